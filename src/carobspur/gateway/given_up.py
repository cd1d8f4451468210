"""What a home tells of accounts that it has given up."""

from __future__ import annotations

from .accounts import Account, GivenUp


class GivenUpAccounts:
    """True until another home has written a program's row, and told again till then."""

    __slots__ = ("_forget_at", "_told")

    def __init__(self) -> None:
        self._told: dict[str, GivenUp] = {}
        self._forget_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"GivenUpAccounts({len(self._told)} programs)"

    def __contains__(self, program: str) -> bool:
        return program in self._told

    def record(self, program: str, account: Account, *, forget_at: float) -> GivenUp:
        """Take note of an account that is given up.

        Args:
            program: The program.
            account: Its account, which nobody uses here any more.
            forget_at: Loop time at which the program is over.

        Returns:
            What is told of it from now on.
        """
        before = self._told.get(program, GivenUp(None, 0))
        under_way = dict(account.open)
        if account.version:
            told = GivenUp(
                recorded=account.spent,
                unrecorded=0,
                row_version=account.version,
                spent=account.spent,
                opened_serial=account.opened_serial,
                open=under_way,
            )
        else:
            told = GivenUp(
                recorded=before.recorded,
                unrecorded=before.unrecorded + account.unrecorded,
                row_version=before.row_version,
                spent=account.spent + before.unrecorded,
                opened_serial=account.opened_serial,
                open=under_way,
            )
        self._told[program] = told
        self._forget_at[program] = forget_at
        return told

    def about(self, program: str, row_version: int, serial: int) -> GivenUp | None:
        """Return what holds for a row that another home has found, if anything."""
        told = self._told.get(program)
        return told.about(row_version, serial) if told else None

    def settle(self, program: str, turn: str, tokens: int) -> None:
        """Count the end of a turn that was under way when its account was given up."""
        told = self._told.get(program)
        if told is not None and turn in told.open:
            self._told[program] = told.settled(turn, tokens)

    def forget(self, program: str) -> None:
        """Forget a program whose account is spoken for elsewhere, or over."""
        self._told.pop(program, None)
        self._forget_at.pop(program, None)

    def sweep(self, now: float) -> None:
        """Forget the programs that are over."""
        over = [program for program, at in self._forget_at.items() if at < now]
        for program in over:
            self.forget(program)
