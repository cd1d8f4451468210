"""What a home tells of accounts that it has given up."""

from __future__ import annotations

from .accounts import Account, ReleasedAccount


class ReleasedAccounts:
    """True until another home has written a program's row, and told again till then."""

    __slots__ = ("_forget_at", "_released")

    def __init__(self) -> None:
        self._released: dict[str, ReleasedAccount] = {}
        self._forget_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"GivenUpAccounts({len(self._released)} programs)"

    def __contains__(self, program: str) -> bool:
        return program in self._released

    def record(
        self, program: str, account: Account, *, forget_at: float
    ) -> ReleasedAccount:
        """Take note of an account that is given up.

        Args:
            program: The program.
            account: Its account, which nobody uses here any more.
            forget_at: Loop time at which the program is over.

        Returns:
            What is told of it from now on.
        """
        before = self._released.get(program, ReleasedAccount(None, 0))
        under_way = dict(account.open)
        if account.version:
            released = ReleasedAccount(
                recorded=account.spent,
                unrecorded=0,
                row_version=account.version,
                spent=account.spent,
                opened_serial=account.opened_serial,
                open=under_way,
            )
        else:
            released = ReleasedAccount(
                recorded=before.recorded,
                unrecorded=before.unrecorded + account.unrecorded,
                row_version=before.row_version,
                spent=account.spent + before.unrecorded,
                opened_serial=account.opened_serial,
                open=under_way,
            )
        self._released[program] = released
        self._forget_at[program] = forget_at
        return released

    def for_row(
        self, program: str, row_version: int, serial: int
    ) -> ReleasedAccount | None:
        """Return what holds for a row that another home has found, if anything."""
        released = self._released.get(program)
        return released.for_row(row_version, serial) if released else None

    def settle(self, program: str, turn: str, tokens: int) -> None:
        """Count the end of a turn that was under way when its account was given up."""
        released = self._released.get(program)
        if released is not None and turn in released.open:
            self._released[program] = released.with_settled(turn, tokens)

    def forget(self, program: str) -> None:
        """Forget a program whose account is spoken for elsewhere, or over."""
        self._released.pop(program, None)
        self._forget_at.pop(program, None)

    def sweep(self, now: float) -> None:
        """Forget the programs that are over."""
        over = [program for program, at in self._forget_at.items() if at < now]
        for program in over:
            self.forget(program)
