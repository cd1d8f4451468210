"""Reports of an owner on the accounts that it has released."""

from __future__ import annotations

from .accounts import Account, ReleasedAccount


class ReleasedAccounts:
    """Reports on released accounts, by program.

    The next owner may ask again, and so may another gateway, until a row has been
    written that includes the report. A report is therefore stored until this gateway
    has written the program's row again, the account has moved together with what the
    report counts, or the program can no longer return.
    """

    __slots__ = ("_forget_at", "_released")

    def __init__(self) -> None:
        self._released: dict[str, ReleasedAccount] = {}
        self._forget_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"ReleasedAccounts({len(self._released)} programs)"

    def __contains__(self, program: str) -> bool:
        return program in self._released

    def record(
        self, program: str, account: Account, *, forget_at: float
    ) -> ReleasedAccount:
        """Add the report on an account that is being released.

        Tokens granted without a row add up with those of an earlier report.

        Args:
            program: The program.
            account: Its account, which must not be used here from now on.
            forget_at: Loop time from which the program can no longer return.

        Returns:
            The report for the next owner.
        """
        earlier = self._released.get(program, ReleasedAccount(None, 0))
        open_turns = dict(account.open)
        if account.version:
            released = ReleasedAccount(
                recorded=account.spent,
                unrecorded=0,
                row_version=account.version,
                spent=account.spent,
                opened_serial=account.opened_serial,
                open=open_turns,
            )
        else:
            released = ReleasedAccount(
                recorded=earlier.recorded,
                unrecorded=earlier.unrecorded + account.unrecorded,
                row_version=earlier.row_version,
                spent=account.spent + earlier.unrecorded,
                opened_serial=account.opened_serial,
                open=open_turns,
            )
        self._released[program] = released
        self._forget_at[program] = forget_at
        return released

    @property
    def has_unrecorded(self) -> bool:
        """Whether a report counts tokens that no row counts."""
        return any(item.unrecorded for item in self._released.values())

    def for_row(
        self, program: str, row_version: int, serial: int
    ) -> ReleasedAccount | None:
        """Return the report for the row that another gateway has found, if any."""
        released = self._released.get(program)
        return released.for_row(row_version, serial) if released else None

    def settle(self, program: str, turn: str, tokens: int) -> None:
        """Count the end of a turn that was running when its account was released."""
        released = self._released.get(program)
        if released is not None and turn in released.open:
            self._released[program] = released.with_settled(turn, tokens)

    def forget(self, program: str) -> None:
        """Drop the report on a program if there is one."""
        self._released.pop(program, None)
        self._forget_at.pop(program, None)

    def sweep(self, now: float) -> None:
        """Drop the reports on programs that can no longer return."""
        expired = [program for program, at in self._forget_at.items() if at < now]
        for program in expired:
            self.forget(program)
