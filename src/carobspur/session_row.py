"""Rows of sessions: the lease, fence and commit position of a scheduler."""

from __future__ import annotations

import msgspec

from .table import Row

SESSION_PREFIX = "session/"


class SessionRow(msgspec.Struct, frozen=True):
    """Content of a session's row.

    Attributes:
        id: Id of the session, never used again.
        epoch: Fencing number, higher than that of every earlier session.
        instance: Id of the instance.
        host: IP number of the scheduler.
        port: Its port for peers.
        data_centre: Where it stands.
        commits: Number of commits that took effect.
        leaving: Whether it is handing its shards over.
    """

    id: str
    epoch: int
    instance: str
    host: str
    port: int
    data_centre: str
    commits: int = 0
    leaving: bool = False


def session_key(session: str) -> str:
    """Return the key of a session's row."""
    return SESSION_PREFIX + session


def decode_session(row: Row) -> SessionRow:
    """Read a session's row."""
    return msgspec.json.decode(row.value, type=SessionRow)
