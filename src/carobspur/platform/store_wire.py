"""Format of rows in requests to the platform's store and in its answers."""

from __future__ import annotations

from base64 import b64decode

import msgspec

from ..gateway.rows import Row, RowKey


class WireRow(msgspec.Struct):
    """A row in an answer of the store; the value is in base64."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    # Version of the transaction that wrote the row, not a version of its content.
    ver: int = 0
    # The row was deleted; occurs in feeds only.
    tombstone: bool = False


class Page(msgspec.Struct):
    """Body of the store's answer to a read, a write or a feed."""

    rows: list[WireRow] = []
    # The range has more rows than this page.
    truncated: bool = False
    # Version of the whole store at the time of the answer.
    ver: int = 0


def encode_key(key: RowKey) -> dict[str, str]:
    """Return the fields that name a row in a request."""
    return {"table": key.table, "part": key.partition, "key": key.key}


def decode_row(wire: WireRow) -> Row:
    """Decode a row of an answer."""
    value = None if wire.tombstone else b64decode(wire.value)
    return Row(RowKey(wire.table, wire.part, wire.key), value, wire.ver)
