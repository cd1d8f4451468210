"""Messages between this system and model engines, besides the generate call."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class CacheEventKind(StrEnum):
    """What happened to a history in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's cache.

    Attributes:
        number: Counts from 1 in one life of the engine; a jump means that events
            in between are lost.
        kind: What happened.
        program: Id of the program.
        key: Key of the history.
        tokens: Length of the history.
    """

    number: int
    kind: CacheEventKind
    program: str
    key: str
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/events?after=N``.

    Attributes:
        life: Id of the engine's present life; another one means an empty cache.
        latest: Number of the newest event that is published.
        events: Events after the asked number that are still kept, oldest first.
    """

    life: str
    latest: int
    events: list[CacheEvent]


class CachedHistory(msgspec.Struct, frozen=True):
    """One entry of ``GET /v1/cache``: a history that an engine holds now.

    Attributes:
        program: Id of the program.
        key: Key of the history.
        tokens: Length of the history.
        held_s: Seconds for which it stays held; 0 where it may be evicted.
    """

    program: str
    key: str
    tokens: int
    held_s: float = 0.0


class KvImage(msgspec.Struct, frozen=True):
    """An exported history: answer to ``POST /v1/kv/export``, body of an import.

    Attributes:
        program: Id of the program.
        key: Key of the history.
        tokens: Length of the history.
        ttl_s: Seconds for which an importing engine holds it.
        fence: Fencing number of the sender.
    """

    program: str
    key: str
    tokens: int = 0
    ttl_s: float = 0.0
    fence: int = 0


class EngineOrderKind(StrEnum):
    """What an engine is told to change."""

    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


class EngineOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``: load a model, adapter or version; take a role.

    Attributes:
        kind: What changes.
        name: The model, adapter, version or role.
        fence: Fencing number of the sender.
    """

    kind: EngineOrderKind
    name: str
    fence: int


class EngineAccount(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/account``; sums since the engine's start.

    Attributes:
        idle_token_s: Token-seconds of cached histories that were not used again.
        recomputed_tokens: History tokens prefilled again.
        prefilled_tokens: All tokens prefilled.
        generated_tokens: Tokens generated.
        calls: Calls that ran.
        kv_tokens: Capacity of the cache.
        prefill_tokens_per_s: Speed of reading input.
    """

    idle_token_s: float
    recomputed_tokens: int
    prefilled_tokens: int
    generated_tokens: int
    calls: int
    kv_tokens: int
    prefill_tokens_per_s: float
