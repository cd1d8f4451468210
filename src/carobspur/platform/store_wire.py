"""Rows on the wire of the platform's store."""

from __future__ import annotations

from base64 import b64decode

import msgspec

from ..gateway.rows import Row, RowKey


class WireRow(msgspec.Struct):
    """A row as it is sent."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    # Version of the transaction that wrote the row, not of its content.
    ver: int = 0
    # The row was dropped; only feeds say so.
    tombstone: bool = False


class Page(msgspec.Struct):
    """An answer with rows."""

    rows: list[WireRow] = []
    # More rows of the range follow.
    truncated: bool = False
    # Version of the whole store at the moment of the answer.
    ver: int = 0


def encode_key(key: RowKey) -> dict[str, str]:
    """Return a row's name as it is sent."""
    return {"table": key.table, "part": key.partition, "key": key.key}


def decode_row(wire: WireRow) -> Row:
    """Return a row from what was sent."""
    value = None if wire.tombstone else b64decode(wire.value)
    return Row(RowKey(wire.table, wire.part, wire.key), value, wire.ver)
