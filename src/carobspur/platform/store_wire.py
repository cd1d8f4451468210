"""Format of rows in requests to the platform's store and in its answers."""

from __future__ import annotations

from base64 import b64decode, b64encode

import msgspec

from ..gateway.rows import Row, RowKey
from . import configuration


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


_CONFIGURATION_TABLE_TEXT = f'"{configuration.TABLE}"'.encode()


def decode_page(body: bytes) -> Page:
    """Decode an answer of the store; API keys in it are replaced by their digests."""
    page = msgspec.json.decode(body, type=Page)
    for row in page.rows:
        if _is_configuration(row):
            row.value = _replace_keys(row.value)
    return page


def replace_page_keys(body: bytes) -> bytes:
    """Return an answer of the store for a peer, with digests in place of API keys.

    Answers without a row of the configuration's table are returned unchanged, and so
    are those that are no page.
    """
    if _CONFIGURATION_TABLE_TEXT not in body:
        return body
    try:
        page = decode_page(body)
    except (msgspec.MsgspecError, ValueError):
        return b""
    if not any(_is_configuration(row) for row in page.rows):
        return body
    return msgspec.json.encode(page)


def _is_configuration(row: WireRow) -> bool:
    is_named = (row.table, row.key) == (configuration.TABLE, configuration.KEY)
    return is_named and not row.tombstone


def _replace_keys(value: str) -> str:
    return b64encode(configuration.replace_keys(b64decode(value))).decode()


def encode_key(key: RowKey) -> dict[str, str]:
    """Return the fields that name a row in a request."""
    return {"table": key.table, "part": key.partition, "key": key.key}


def decode_row(wire: WireRow) -> Row:
    """Decode a row of an answer."""
    value = None if wire.tombstone else b64decode(wire.value)
    return Row(RowKey(wire.table, wire.part, wire.key), value, wire.ver)
