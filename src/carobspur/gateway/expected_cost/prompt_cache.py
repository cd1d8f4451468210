"""What this gateway recently sent to each engine, by prompt part; pure.

It handles sessions whose every turn contains all earlier ones, sub-agents that share
their parent's prefix, and first parts that many programs share.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from ..calls import PromptPart

RECENT_S = 4.0
"""Age up to which a part counts as sent recently; see :class:`~.estimates.Reuse`."""
MAX_AGE_S = 60.0
"""Age from which a sent part no longer counts."""
MAX_PARTS = 1024
"""Parts that are remembered for one engine."""
MAX_ENGINES = 256
"""Engines for which parts are remembered: four times the candidates of a request."""
DEFAULT_CAPACITY = 100_000
"""Assumed memory of an engine in tokens where the configuration does not state it."""
MAX_PROMPT_PARTS = 128
"""Leading parts of a prompt that are considered. A header holds thousands of empty
parts, and they are compared with those of each candidate."""
MAX_FIRST_PARTS = 512
SHARED_AFTER = 3
"""Programs after which a first part counts as shared by many."""


class _EngineParts:
    __slots__ = ("parts", "tokens")

    def __init__(self) -> None:
        # Tokens and time of the last send by the hash of the part id, least recently
        # sent first. Ids may be as long as a header; hashes are small.
        self.parts: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self.tokens = 0


class PromptCache:
    """Prompt parts that each engine was sent, bounded by the engine's memory.

    Other gateways send there too, so that a part may be evicted earlier. The share that
    is still cached is measured; see :class:`~.estimates.ReuseShares`.
    """

    __slots__ = ("_engines", "_first_parts")

    def __init__(self) -> None:
        self._engines: OrderedDict[str, _EngineParts] = OrderedDict()
        # Hash of the last program and number of programs by the hash of the first part.
        self._first_parts: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def __repr__(self) -> str:
        return f"PromptCache({len(self._engines)} engines)"

    def known_prefix(
        self, key: str, parts: Sequence[PromptPart], now: float
    ) -> tuple[int, float]:
        """Return the length of the leading parts sent to an engine, and their age.

        The age is that of the last of these parts, which is the first to be evicted.

        Args:
            key: Key of the engine.
            parts: Parts of the prompt, in order.
            now: Loop time.
        """
        engine = self._engines.get(key)
        tokens, age_s = 0, 0.0
        if engine is None:
            return tokens, age_s
        sent = engine.parts
        for part in parts[:MAX_PROMPT_PARTS]:
            found = sent.get(hash(part.id))
            if found is None or now - found[1] > MAX_AGE_S:
                break
            # A caller may state another length than when the part was sent.
            tokens += part.tokens if part.tokens < found[0] else found[0]
            age_s = now - found[1]
        return tokens, age_s

    def is_shared(self, part: PromptPart) -> bool:
        """Return whether several programs began with a part."""
        return self._first_parts.get(hash(part.id), (0, 0))[1] >= SHARED_AFTER

    def record(
        self,
        key: str,
        parts: Sequence[PromptPart],
        now: float,
        *,
        program: str,
        capacity: int,
    ) -> None:
        """Record that a prompt was sent to an engine.

        Args:
            key: Key of the engine.
            parts: Parts of the prompt, in order.
            now: Loop time.
            program: Program that the prompt belongs to.
            capacity: Tokens that the engine's memory holds; 0 if unknown.
        """
        capacity = capacity or DEFAULT_CAPACITY
        if not parts or sum(part.tokens for part in parts) > capacity:
            # A prompt that no engine holds would displace all others here.
            return
        engine = self._engines.setdefault(key, _EngineParts())
        self._engines.move_to_end(key)
        while len(self._engines) > MAX_ENGINES:
            self._engines.popitem(last=False)
        # The last parts are evicted first, as those before them are needed by more.
        for part in reversed(parts[:MAX_PROMPT_PARTS]):
            part_hash = hash(part.id)
            known = engine.parts.pop(part_hash, (0, 0.0))
            engine.parts[part_hash] = part.tokens, now
            engine.tokens += part.tokens - known[0]
        while engine.tokens > capacity or (len(engine.parts) > MAX_PARTS):
            _, (tokens, _) = engine.parts.popitem(last=False)
            engine.tokens -= tokens
        self._record_first(parts[0], program)

    def _record_first(self, part: PromptPart, program: str) -> None:
        part_hash, program_hash = hash(part.id), hash(program)
        last, count = self._first_parts.pop(part_hash, (0, 0))
        self._first_parts[part_hash] = program_hash, count + (program_hash != last)
        while len(self._first_parts) > MAX_FIRST_PARTS:
            self._first_parts.popitem(last=False)
