"""Messages between the system and model engines, other than the generate call."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class CacheEventKind(StrEnum):
    """What happened to a history in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change in an engine's cache.

    Attributes:
        number: Sequence number, from 1 after each start of the engine; a gap means
            that events were lost.
        kind: What happened.
        program: Id of the program.
        key: Key of the history.
        tokens: Length of the history in tokens.
    """

    number: int
    kind: CacheEventKind
    program: str
    key: str
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/events?after=N``.

    Attributes:
        life: Id of the engine's process since its start; a new id means that the
            cache was emptied.
        latest: Number of the newest published event.
        events: Retained events after the requested number, oldest first.
    """

    life: str
    latest: int
    events: list[CacheEvent]


class CachedHistory(msgspec.Struct, frozen=True):
    """One entry of ``GET /v1/cache``: a history that is in an engine's cache now.

    Attributes:
        program: Id of the program.
        key: Key of the history.
        tokens: Length of the history in tokens.
        held_s: Remaining seconds of its hold; 0 if it may be evicted.
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
        tokens: Length of the history in tokens.
        ttl_s: Seconds for which the importing engine holds it.
        fence: Fencing number of the sender.
    """

    program: str
    key: str
    tokens: int = 0
    ttl_s: float = 0.0
    fence: int = 0


class EngineOrderKind(StrEnum):
    """What an order changes in an engine."""

    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


class EngineOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``: load a model, adapter or version; change the role.

    Attributes:
        kind: What changes.
        name: The model, adapter, version or role.
        fence: Fencing number of the sender.
    """

    kind: EngineOrderKind
    name: str
    fence: int


class EngineAccount(msgspec.Struct, frozen=True):
    """Usage counters since the engine's start; answer to ``GET /v1/account``.

    Attributes:
        idle_token_s: Token-seconds in which histories were cached that were not used
            again.
        recomputed_tokens: History tokens that had to be prefilled again.
        prefilled_tokens: All tokens prefilled.
        generated_tokens: Tokens generated.
        calls: Calls that ran.
        kv_tokens: Capacity of the cache in tokens.
        prefill_tokens_per_s: Prefill speed.
    """

    idle_token_s: float
    recomputed_tokens: int
    prefilled_tokens: int
    generated_tokens: int
    calls: int
    kv_tokens: int
    prefill_tokens_per_s: float
