"""Names under which the programs and turns of customers are stored; pure functions.

Callers choose the ids of their programs and requests, so two customers may use the same
ones. Rows, caches, token accounts and the placement therefore use names that begin with
a digest of the customer's name. Where the configuration has no customers, the names are
the ids themselves. The functions run for every request under full load and take about
a microsecond.
"""

from __future__ import annotations

import hashlib
import re
from functools import lru_cache

from ..calls import Call

MAX_ID_BYTES = 140
"""Longest id that a scoped name contains; a longer one is replaced by its digest. With
the scope and the number of a row in a chain, keys of rows stay under 200 bytes."""
_SCOPE_DIGEST_BYTES = 8
_ID_DIGEST_BYTES = 24
_SCOPE = re.compile(r"~[0-9a-f]{16}~")
"""Beginning of a scoped name. A digest, because names of customers may be long, and one
may be the beginning of another."""
_LONG_ID = "~"
"""Precedes the digest of a long id. Ids that begin with it are replaced as well, so
that no short id has the name of a long one."""


def scoped_name(customer: str | None, name: str) -> str:
    """Return the name under which a customer's program or turn is stored.

    Args:
        customer: Name of the customer, empty for anonymous requests; ``None`` where the
            configuration has no customers.
        name: Id of the program, or request id of the turn.
    """
    if customer is None or not name:
        return name
    encoded = name.encode()
    if len(encoded) > MAX_ID_BYTES or name.startswith(_LONG_ID):
        digest = hashlib.blake2b(encoded, digest_size=_ID_DIGEST_BYTES)
        name = _LONG_ID + digest.hexdigest()
    return _scope(customer) + name


def unscoped_name(stored: str) -> str:
    """Return the name that was used before the configuration had customers.

    Args:
        stored: Name under which a program or turn is stored.

    Returns:
        An empty text if the name has no scope or its id was replaced by a digest.
    """
    scope = _SCOPE.match(stored)
    if scope is None:
        return ""
    name = stored[scope.end() :]
    return "" if name.startswith(_LONG_ID) else name


def turn_name(call: Call) -> str:
    """Return the name under which the turn of a request is stored."""
    return scoped_name(call.customer, call.id)


def program_name(call: Call) -> str:
    """Return the name of the program of a request; empty if it belongs to none."""
    return scoped_name(call.customer, call.program.id) if call.program else ""


def previous_turn_names(call: Call) -> tuple[str, ...]:
    """Return the names under which the previous turn may be stored, best first.

    The second one is that of a row which was written before the configuration had
    customers. It has no scope, so that it can be neither the turn of another customer
    nor, if the caller has chosen an id of that form, name one.
    """
    if call.program is None or not call.program.previous_turn:
        return ()
    name = scoped_name(call.customer, call.program.previous_turn)
    older = unscoped_name(name)
    return (name, older) if older else (name,)


@lru_cache(maxsize=1024)
def _scope(customer: str) -> str:
    digest = hashlib.blake2b(customer.encode(), digest_size=_SCOPE_DIGEST_BYTES)
    return f"~{digest.hexdigest()}~"
