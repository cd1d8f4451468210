"""A map that can tell what changed in it since an earlier point."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Generic, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class ChangeCounter:
    """Numbers the changes of several maps in one order."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0

    def advance(self) -> int:
        """Return the number of a new change."""
        self.value += 1
        return self.value


class DeltaMap(Generic[Key, Value]):
    """Current values, and keys that are gone, in order of their last change.

    Args:
        counter: Numbers the changes.
    """

    __slots__ = ("_changes", "_counter", "_values")

    def __init__(self, counter: ChangeCounter) -> None:
        self._counter = counter
        self._changes: dict[Key, int] = {}
        self._values: dict[Key, Value] = {}

    @property
    def values(self) -> Mapping[Key, Value]:
        """Current values by key."""
        return self._values

    def set(self, key: Key, value: Value) -> bool:
        """Set a value; return whether that changed it."""
        if key in self._values and self._values[key] == value:
            return False
        self._values[key] = value
        self._record_change(key)
        return True

    def remove(self, key: Key) -> bool:
        """Remove a key; return whether it was there."""
        if key not in self._values:
            return False
        del self._values[key]
        self._record_change(key)
        return True

    def replace(self, values: Mapping[Key, Value]) -> bool:
        """Set all values at once; return whether anything changed."""
        gone = [self.remove(key) for key in list(self._values) if key not in values]
        changed = [self.set(key, value) for key, value in values.items()]
        return any(gone) or any(changed)

    def changed_since(self, change: int) -> Iterator[Key]:
        """Yield the keys that changed after a change, the latest first."""
        for key in reversed(self._changes):
            if self._changes[key] <= change:
                return
            yield key

    def _record_change(self, key: Key) -> None:
        self._changes.pop(key, None)
        self._changes[key] = self._counter.advance()
