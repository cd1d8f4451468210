"""Rows of sessions: the lease, fence and commit number of each scheduler."""

from __future__ import annotations

import msgspec

from .clock import Clock
from .errors import StoreConflictError, StoreUnavailableError
from .retry import Backoff
from .table import ABSENT_VERSION, Check, Row, Table, Write

SESSION_PREFIX = "session/"
ENDED_PREFIX = "ended/"
SESSIONS_CHANGED_KEY = "sessions-changed"
EPOCH_KEY = "epoch"
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


class SessionRow(msgspec.Struct, frozen=True):
    """Content of a session's row.

    Attributes:
        id: Id of the session, never reused.
        epoch: Fencing number, higher than that of every earlier session.
        instance: Id of the instance on which the scheduler runs.
        host: IP address of the scheduler.
        port: Port of the scheduler for peers.
        data_centre: Data centre of the instance.
        commits: Number of the last commit that took effect.
        leaving: Whether the session is handing its shards over.
        shards: Shards that the session holds. This is only a hint, possibly
            truncated; the rows of the shards are authoritative.
    """

    id: str
    epoch: int
    instance: str
    host: str
    port: int
    data_centre: str
    commits: int = 0
    leaving: bool = False
    shards: list[int] = []


def session_key(session: str) -> str:
    """Return the key of a session's row."""
    return SESSION_PREFIX + session


def sessions_changed_write(by: str) -> Write:
    """Return the write that every change to the set of sessions must include.

    Readers that cache the session rows poll this single row, and scan all session
    rows only after its version has changed.

    Args:
        by: Id of the session that makes the change.
    """
    return Write(SESSIONS_CHANGED_KEY, msgspec.json.encode(by))


def ended_key(session: str) -> str:
    """Return the key of the row that marks a session as ended.

    The journal of an ended session is deleted once no shard's row refers to it.
    """
    return ENDED_PREFIX + session


def end_session_writes(session: str, *, by: str) -> list[Write]:
    """Return the writes that end a session.

    The caller must combine them with a check of the session row's version.

    Args:
        session: Id of the session.
        by: Id of the session that ends it: its own, or the one that takes it over.
    """
    return [
        Write(session_key(session), None),
        Write(ended_key(session), msgspec.json.encode(by)),
        sessions_changed_write(by),
    ]


def decode_session(row: Row) -> SessionRow:
    """Return the content of a session's row."""
    return msgspec.json.decode(row.value, type=SessionRow)


async def create_session(
    table: Table, clock: Clock, row: SessionRow
) -> tuple[SessionRow, int, float]:
    """Write the row of a new session; retry on conflicts with other new sessions.

    Args:
        table: The table service.
        clock: Source of time.
        row: The row without id and epoch, which are filled in.

    Returns:
        The row as written, its version, and the monotonic time in seconds at which
        its commit was sent.

    Raises:
        StoreUnavailableError: The table service did not answer; the row may have been
            written.
    """
    while True:
        epoch, epoch_version = await _next_epoch(table)
        row = msgspec.structs.replace(row, id=f"s{epoch:08d}", epoch=epoch)
        key = session_key(row.id)
        checks = [Check(EPOCH_KEY, epoch_version), Check(key, ABSENT_VERSION)]
        writes = [
            Write(EPOCH_KEY, msgspec.json.encode(epoch)),
            Write(key, msgspec.json.encode(row)),
            sessions_changed_write(row.id),
        ]
        sent_s = clock.monotonic()
        try:
            return row, await table.commit(checks, writes), sent_s
        except StoreConflictError:
            continue


async def read_until_answered(table: Table, clock: Clock, session: str) -> Row | None:
    """Return a session's row, if it has one; retry until the table service answers."""
    backoff = Backoff(first_s=RETRY_DELAY_S, max_s=MAX_RETRY_DELAY_S)
    while True:
        try:
            return await table.read(session_key(session))
        except StoreUnavailableError:
            await clock.sleep(backoff.next_s())


async def _next_epoch(table: Table) -> tuple[int, int]:
    row = await table.read(EPOCH_KEY)
    if row is None:
        return 1, ABSENT_VERSION
    return msgspec.json.decode(row.value, type=int) + 1, row.version
