"""Token budgets of programs: accounts at their homes, covered by rows of the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

from .accounts import (
    DOUBT_SHARE,
    UNCOVERED_SHARE,
    Account,
    GivenUp,
    Granted,
    NeedsCover,
    Spent,
)
from .decisions import DecisionLog
from .partition import part_of
from .rows import (
    Row,
    RowConflictError,
    RowKey,
    RowStore,
    RowStoreAwayError,
    RowWrite,
)
from .spending_records import (
    BudgetSpentError,
    MovedAccount,
    SpendingRow,
    StoreDoubt,
    fill_account,
    moved_account,
)

TABLE = "spending"
COVER_TIMEOUT_S = 1.0
"""Longest wait for the store inside one reservation: a store slowed 91 times answers a
write within 0.9 s."""
LOOK_S = 0.05
"""Time between looks at whether the store turns out to be away meanwhile."""
IDLE_S = 1.0
"""Time after which a program without a turn pauses: longer than usual tool calls."""
FLUSH_TIMEOUT_S = 3.0
IDLE_MARGIN_S = 10.0
"""Unused accounts are dropped so long after their programs may return."""
SWEEP_S = 5.0
MAX_ROWS_A_WRITE = 50
MAX_PARALLEL_WRITES = 10
"""Writes under way at once that no turn waits for: at 10 ms each the store's whole rate
is not used up by one gateway."""
MAX_TRIES = 4
MAX_EARLY = 1000
"""Ends of turns that are remembered before the turns are known: more than wait at one
home during an outage."""


HandOver = Callable[[str, str, int, int], Awaitable[GivenUp | None]]
"""Asks a holder for a program's account, by version and serial of the row that was
found; ``None`` where it says nothing."""


Pull = Callable[[str], Awaitable[MovedAccount | None]]
"""Asks the gateways that may have been a program's home for its account."""

Move = Callable[[MovedAccount], Awaitable[bool]]
"""Hands an account to its next home; returns whether that has taken it."""


class SpendingHome:
    """The accounts of the programs whose home this gateway is.

    Args:
        name: Name of this gateway.
        store: The row store.
        hand_over: Asks another gateway to give an account up.
        pull: Asks likely former homes for an account while the store is away.
        doubt: Returns what is known of the store.
        log: Decision log.
    """

    __slots__ = (
        "_accounts",
        "_doubt",
        "_early",
        "_given_up",
        "_hand_over",
        "_idle_writes",
        "_locks",
        "_log",
        "_name",
        "_pull",
        "_serial",
        "_store",
        "_write_places",
    )

    def __init__(
        self,
        name: str,
        store: RowStore,
        *,
        hand_over: HandOver,
        pull: Pull,
        doubt: Callable[[], StoreDoubt],
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._store = store
        self._hand_over = hand_over
        self._pull = pull
        self._doubt = doubt
        self._log = log
        self._accounts: dict[str, Account] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        # What turns generated that are not under way here, or not yet; oldest first.
        self._early: dict[str, int] = {}
        # What was told of accounts given up; true until another home writes its row.
        self._given_up: dict[str, GivenUp] = {}
        # Writes of programs that pause, under way; they give way to new turns.
        self._idle_writes: dict[str, asyncio.Task] = {}
        self._write_places = asyncio.Semaphore(MAX_PARALLEL_WRITES)
        self._serial = 0

    async def reserve(
        self, program: str, turn: str, tokens: int, budget: int, *, kept_s: float
    ) -> int:
        """Set a turn's tokens aside; returns what the program's other turns hold.

        Args:
            program: The program.
            turn: The turn's request id.
            tokens: The most that it may generate.
            budget: Tokens that all turns of the program may generate.
            kept_s: How long after its last turn a program may return.

        Raises:
            BudgetSpentError: They do not fit.
            RowStoreAwayError: The store must cover them and could not be asked.
        """
        if program in self._idle_writes:
            self._idle_writes[program].cancel()
        async with self._locks.setdefault(program, asyncio.Lock()):
            account = self._accounts.get(program)
            if account is None:
                account = self._open(program, budget, tokens)
            account.kept_s = max(account.kept_s, kept_s)
            account.used_at = asyncio.get_running_loop().time()
            others = await self._grant(program, account, turn, tokens)
            if turn in self._early:
                account.settle(turn, self._early.pop(turn))
                raise RowStoreAwayError("the gateway that asked did not wait")
            return others

    async def _grant(
        self, program: str, account: Account, turn: str, tokens: int
    ) -> int:
        for _ in range(MAX_TRIES):
            match account.grant(turn, tokens):
                case Granted(others=others):
                    return others
                case Spent(others=others):
                    raise BudgetSpentError(
                        f"{others} of {account.budget} tokens are spent or set aside, "
                        f"{tokens} more do not fit"
                    )
                case NeedsCover(tokens=needed):
                    await self._cover_or_go_on(program, account, needed, tokens)
        raise RowStoreAwayError("the account changed hands again and again")

    def settle(self, program: str, turn: str, tokens: int) -> bool:
        """Replace a turn's reservation by what it generated.

        An end that comes before its turn, or after the account has moved on, is
        remembered: it counts as soon as the turn is known here.

        Returns:
            Whether the turn was under way here; if not, another home may hold it.
        """
        account = self._accounts.get(program)
        if account is not None and account.settle(turn, tokens):
            if account.row_refuses_next_turn and account.is_row_higher:
                self._begin_writing(program, account)
            return True
        told = self._given_up.get(program)
        if told is not None and turn in told.open:
            self._given_up[program] = told.settled(turn, tokens)
        self._early[turn] = tokens
        while len(self._early) > MAX_EARLY:
            del self._early[next(iter(self._early))]
        return False

    def _settle_early(self, account: Account) -> None:
        """End the turns of a new account whose ends were told before."""
        for turn in list(account.open):
            if turn in self._early:
                account.settle(turn, self._early.pop(turn))

    async def give_up(
        self, program: str, row_version: int, serial: int
    ) -> GivenUp | None:
        """Forget an account for another home, and tell what was spent.

        Args:
            program: The program.
            row_version: Version of the row that the other home has found.
            serial: This home's number of its write.
        """
        if program in self._accounts:
            async with self._locks.setdefault(program, asyncio.Lock()):
                account = self._accounts.pop(program, None)
            if account is not None:
                self._note_given_up(program, account)
        return self._told(program, row_version, serial)

    def _told(self, program: str, row_version: int, serial: int) -> GivenUp | None:
        told = self._given_up.get(program)
        return told.about(row_version, serial) if told else None

    def _note_given_up(self, program: str, account: Account) -> None:
        before = self._given_up.get(program, GivenUp(None, 0))
        if account.version:
            told = GivenUp(
                account.spent,
                0,
                account.version,
                account.spent,
                account.opened_serial,
                dict(account.open),
            )
        else:
            told = GivenUp(
                before.recorded,
                before.unrecorded + account.unrecorded,
                before.row_version,
                account.spent + before.unrecorded,
                account.opened_serial,
                dict(account.open),
            )
        self._given_up[program] = told
        self._log.note(
            "account_given_up",
            program=program,
            recorded=told.recorded,
            unrecorded=told.unrecorded,
            row_version=told.row_version,
        )

    def take_over(self, moved: MovedAccount) -> bool:
        """Go on with an account that its home has given up; false if one is open."""
        if moved.program in self._accounts:
            return False
        account = Account(moved.budget, opened_serial=self._serial)
        account.used_at = asyncio.get_running_loop().time()
        fill_account(account, moved)
        self._settle_early(account)
        self._accounts[moved.program] = account
        return True

    async def give_away(self, program: str) -> MovedAccount | None:
        """Give an account to the home that asks for it, with its cover."""
        lock = self._locks.setdefault(program, asyncio.Lock())
        if lock.locked():
            # In use here; the asker may itself be asked, and neither must wait.
            return None
        async with lock:
            account = self._accounts.pop(program, None)
        if account is None:
            return None
        # From now on another home spends under the same row.
        self._given_up.pop(program, None)
        return moved_account(program, account)

    async def move_all(self, move: Move) -> None:
        """Move every account to its next home; write those that cannot be moved."""
        programs = list(self._accounts)
        await asyncio.gather(*(self._move(program, move) for program in programs))
        await self.flush()

    async def _move(self, program: str, move: Move) -> None:
        async with self._locks.setdefault(program, asyncio.Lock()):
            account = self._accounts.pop(program, None)
        if account is None or not account.spent:
            return
        moved = moved_account(program, account)
        if await move(moved):
            # What it carried has gone with it; the row is spoken for there.
            self._given_up.pop(program, None)
        else:
            # Back again, to be written with what is really spent.
            self._accounts[program] = account

    async def flush(self) -> None:
        """Write what is really spent, so that a successor loses nothing."""
        writes: dict[str, list[tuple[str, Account]]] = {}
        for program, account in self._accounts.items():
            if account.spent != account.covered:
                writes.setdefault(part_of(program), []).append((program, account))
        batches = [
            items[start : start + MAX_ROWS_A_WRITE]
            for items in writes.values()
            for start in range(0, len(items), MAX_ROWS_A_WRITE)
        ]
        places = asyncio.Semaphore(MAX_PARALLEL_WRITES)
        await asyncio.gather(*(self._flush_batch(batch, places) for batch in batches))
        self._accounts.clear()

    async def cover_uncovered(self) -> None:
        """Write the rows of accounts that were opened while the store was away."""
        for program, account in list(self._accounts.items()):
            if account.version or not account.spent:
                continue
            async with self._locks.setdefault(program, asyncio.Lock()):
                if account.version:
                    continue
                try:
                    await self._cover(
                        program, account, account.spent, timeout_s=COVER_TIMEOUT_S
                    )
                except RowStoreAwayError as error:
                    self._log.note("not_covered", program=program, reason=error.message)
                    return

    async def write_idle_forever(self) -> None:
        """Write what is really spent of programs that pause, again and again."""
        while True:
            await asyncio.sleep(IDLE_S / 2)
            await self.write_idle()

    async def write_idle(self, *, idle_s: float = IDLE_S) -> None:
        """Write what is really spent of programs without a turn under way.

        If this home died, all that their rows cover would count as spent, and a
        program of two turns could not go on.

        Args:
            idle_s: Time since the last turn began from which on a program pauses.
        """
        now = asyncio.get_running_loop().time()
        begun = [
            self._begin_writing(program, account)
            for program, account in self._accounts.items()
            if not account.open
            and now - account.used_at >= idle_s
            and account.is_row_higher
        ]
        if begun:
            await asyncio.wait(begun)

    def _begin_writing(self, program: str, account: Account) -> asyncio.Task:
        """Write beside the requests what is really spent."""
        writing = self._idle_writes.get(program)
        if writing is None:
            writing = asyncio.get_running_loop().create_task(
                self._write_beside(program, account)
            )
            self._idle_writes[program] = writing
            # Also where it is cancelled before it has begun.
            writing.add_done_callback(lambda _: self._idle_writes.pop(program, None))
        return writing

    async def _write_beside(self, program: str, account: Account) -> None:
        async with self._write_places:
            if not self._doubt().is_away:
                await self._write_spent(program, account)

    async def _write_spent(self, program: str, account: Account) -> None:
        async with self._locks.setdefault(program, asyncio.Lock()):
            is_current = self._accounts.get(program) is account
            if not is_current or not account.is_row_higher:
                return
            # Nothing more is granted under a row that may be lower from now on.
            account.covered = account.spent
            account.is_row_unsure = True
            write = self._write_of(program, account, account.spent, self._name)
            try:
                account.version = await self._store.write(
                    [write],
                    expected={write.key: account.version},
                    timeout_s=COVER_TIMEOUT_S,
                )
            except RowConflictError as error:
                # Another home has it, or an earlier write was done after all.
                await self._adopt(program, account, error.rows)
            except RowStoreAwayError as error:
                self._log.note(
                    "idle_not_written", program=program, reason=error.message
                )
            else:
                account.is_row_unsure = False

    async def sweep_forever(self) -> None:
        """Drop accounts that are no longer used, with their rows."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = asyncio.get_running_loop().time()
            for program, account in list(self._accounts.items()):
                if now - account.used_at > account.kept_s + IDLE_MARGIN_S:
                    await self._drop(program, account)

    def _open(self, program: str, budget: int, tokens: int) -> Account:
        """Create an account; a row that exists is found when it is covered.

        Where homes may have died with uncovered grants, as much counts as spent; but
        not for a program too small to have been granted a turn that way.
        """
        account = Account(budget, opened_serial=self._serial)
        if self._doubt().may_be_lost and tokens <= int(budget * UNCOVERED_SHARE):
            account.base = int(budget * DOUBT_SHARE)
        self._accounts[program] = account
        return account

    async def _cover_or_go_on(
        self, program: str, account: Account, needed: int, tokens: int
    ) -> None:
        """Cover tokens, or begin without where the store turns out to be away.

        Raises:
            RowStoreAwayError: The store is away and the program may not begin.
        """
        if await self._go_on_without(program, account, tokens):
            return
        covering = asyncio.create_task(
            self._cover(program, account, needed, timeout_s=COVER_TIMEOUT_S)
        )
        has_looked = False
        try:
            # A slow store still answers; whether it is away is known meanwhile.
            while not (await asyncio.wait([covering], timeout=LOOK_S))[0]:
                if has_looked or not self._doubt().is_away:
                    continue
                has_looked = True
                if await self._go_on_without(program, account, tokens):
                    return
            await covering
        except RowStoreAwayError:
            if not await self._go_on_without(program, account, tokens):
                raise
        finally:
            covering.cancel()

    async def _go_on_without(self, program: str, account: Account, tokens: int) -> bool:
        """Let a program begin while the store is away, up to a small share.

        A former home may hold its account, so the likely ones are asked first.
        """
        doubt = self._doubt()
        if not doubt.is_away or account.version:
            return False
        if not account.unrecorded:
            moved = await self._pull(program)
            if moved is not None:
                fill_account(account, moved)
                self._settle_early(account)
                return True
        uncovered = int(account.budget * UNCOVERED_SHARE)
        if (
            not doubt.may_grant_uncovered
            or account.spent + tokens > account.base + uncovered
        ):
            return False
        account.covered = account.base + uncovered
        self._log.note("account_uncovered", program=program, tokens=uncovered)
        return True

    async def _cover(
        self, program: str, account: Account, tokens: int, *, timeout_s: float
    ) -> None:
        """Write that so many tokens count as spent; adopts a row found instead."""
        write = self._write_of(program, account, tokens, self._name)
        account.is_row_unsure = True
        try:
            version = await self._store.write(
                [write], expected={write.key: account.version}, timeout_s=timeout_s
            )
        except RowConflictError as error:
            await self._adopt(program, account, error.rows)
            return
        account.covered, account.version = tokens, version
        account.is_row_unsure = False
        self._given_up.pop(program, None)

    def _write_of(
        self, program: str, account: Account, tokens: int, holder: str
    ) -> RowWrite:
        """Return the write by which a program's row counts so many tokens."""
        self._serial += 1
        kept_until = time.time() + account.kept_s
        row = SpendingRow(tokens, holder, self._serial, kept_until)
        return RowWrite(_key(program), msgspec.msgpack.encode(row))

    async def _adopt(self, program: str, account: Account, rows: list[Row]) -> None:
        found = next((item for item in rows if item.value is not None), None)
        if found is None:
            # The row was dropped as unused; what is known here stands.
            account.version = 0
            account.is_row_unsure = False
            return
        row = msgspec.msgpack.decode(found.value, type=SpendingRow)
        if row.holder == self._name and row.serial > account.opened_serial:
            # An earlier write of this account whose answer was lost.
            account.covered, account.version = row.tokens, found.version
            account.is_row_unsure = False
            return
        told = await self._former(row, program, found.version)
        spent = told.counted(row.tokens) if told else row.tokens
        self._log.note(
            "account_adopted",
            program=program,
            holder=row.holder,
            covered=row.tokens,
            spent=spent,
            row_version=found.version,
        )
        under_way = (dict(told.open) if told else {}) | account.unrecorded_turns
        account.adopt(spent + account.unrecorded, found.version, under_way)
        self._settle_early(account)
        account.covered = 0

    async def _former(
        self, row: SpendingRow, program: str, version: int
    ) -> GivenUp | None:
        """Return what the holder of a row says of its account."""
        if row.holder == self._name:
            return self._told(program, version, row.serial)
        if not row.holder:
            return None
        return await self._hand_over(row.holder, program, version, row.serial)

    async def _flush_batch(
        self, batch: list[tuple[str, Account]], places: asyncio.Semaphore
    ) -> None:
        writes, expected = [], {}
        for program, account in batch:
            write = self._write_of(program, account, account.spent, "")
            writes.append(write)
            expected[write.key] = account.version
        try:
            async with places:
                await self._store.write(
                    writes, expected=expected, timeout_s=FLUSH_TIMEOUT_S
                )
        except (RowConflictError, RowStoreAwayError) as error:
            # The rows then count all that was covered, which is safe.
            self._log.note(
                "accounts_not_flushed", accounts=len(batch), reason=error.message
            )

    async def _drop(self, program: str, account: Account) -> None:
        self._accounts.pop(program, None)
        self._locks.pop(program, None)
        self._given_up.pop(program, None)
        if not account.version:
            return
        key = _key(program)
        try:
            await self._store.write(
                [RowWrite(key, None)],
                expected={key: account.version},
                timeout_s=COVER_TIMEOUT_S,
            )
        except (RowConflictError, RowStoreAwayError) as error:
            self._log.note("row_not_dropped", row=program, reason=error.message)


def _key(program: str) -> RowKey:
    return RowKey(TABLE, part_of(program), program)
