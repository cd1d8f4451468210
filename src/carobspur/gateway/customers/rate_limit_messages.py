"""Datagrams between gateways and the owners of customers' limits."""

from __future__ import annotations

import hashlib
from functools import lru_cache
from typing import Annotated

import msgspec

MAX_ENTRIES = 24
"""Customers in one datagram. An entry has at most 45 bytes, so that a datagram stays
below 1,400 bytes with names of up to 200 bytes."""
MAX_CACHED_IDS = 4096

# Anybody may send to an open port. A level that is no number would remain in a bucket,
# and long names in the table of senders.
_Name = Annotated[str, msgspec.Meta(max_length=300)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
_Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]


class RequestEntry(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway asks for one customer.

    Attributes:
        customer: Id of the customer, see :func:`customer_id`.
        delegates: Whether the gateway delegates its share of the rate to the owner;
            otherwise it withdraws it.
        running: Tokens wanted for requests of running programs.
        new: Tokens wanted for other requests.
        ahead: Tokens wanted ahead of demand.
        level: Level that the former owner handed over with the share.
    """

    customer: int
    delegates: bool
    running: _Count = 0
    new: _Count = 0
    ahead: _Count = 0
    level: _Amount = 0.0


class RateRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A datagram from a gateway to an owner.

    Attributes:
        sender: Name of the gateway's process.
        callers: Address of the gateway for callers, the same across restarts.
        number: Increases with every request of the process.
        sent_at: Time by the sender's clock, which the answer repeats.
        stamp: Last time stamp received from the owner; 0 for none.
        gateways: Number of gateways that the sender knows; 0 if it has not yet read
            the member table.
        entries: One for each customer.
    """

    sender: _Name
    callers: _Name
    number: int
    sent_at: _Amount
    stamp: _Amount
    gateways: _Count
    entries: list[RequestEntry]


class AnswerEntry(msgspec.Struct, frozen=True, array_like=True):
    """What the owner answers for one customer.

    Attributes:
        customer: Id of the customer.
        running: Tokens for requests of running programs.
        other: Tokens for any requests.
        running_retry_ms: Time until a refused request of a running program may have
            room; 0 if none was refused.
        new_retry_ms: The same for other requests.
        bucket_level: Tokens left in the owner's bucket, rounded down.
        has_returned: Whether the owner no longer counts the share of the gateway,
            which withdrew it.
        level: Part of the owner's level that goes with the returned share.
    """

    customer: int
    running: _Count
    other: _Count
    running_retry_ms: _Count
    new_retry_ms: _Count
    bucket_level: int
    has_returned: bool = False
    level: _Amount = 0.0


class RateAnswer(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer of an owner.

    Attributes:
        callers: Address of the owner for callers.
        number: The number in the request.
        sent_at: The time in the request.
        stamp: Time by the owner's clock; repeated in the next request.
        gateways: Number of gateways that the owner knows; 0 if it has not yet read the
            member table.
        entries: One for each customer that the owner knows.
    """

    callers: _Name
    number: int
    sent_at: _Amount
    stamp: _Amount
    gateways: _Count
    entries: list[AnswerEntry]


@lru_cache(maxsize=MAX_CACHED_IDS)
def customer_id(name: str) -> int:
    """Return the 64-bit hash by which datagrams identify a customer."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())
