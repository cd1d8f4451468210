"""Map that lists which keys changed since an earlier change number."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Generic, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class ChangeCounter:
    """Numbers the changes of several maps in one common sequence.

    Attributes:
        value: Number of the latest change.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0

    def advance(self) -> int:
        """Return the number of a new change."""
        self.value += 1
        return self.value


class DeltaMap(Generic[Key, Value]):
    """Current values, and the keys that changed or were removed, by change number.

    Args:
        counter: Source of change numbers; maps that share it share their sequence.
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
        """Set a value; return whether it differs from the previous one."""
        if key in self._values and self._values[key] == value:
            return False
        self._values[key] = value
        self._record_change(key)
        return True

    def remove(self, key: Key) -> bool:
        """Remove a key; return whether it was present."""
        if key not in self._values:
            return False
        del self._values[key]
        self._record_change(key)
        return True

    def replace(self, values: Mapping[Key, Value]) -> bool:
        """Replace the whole content; return whether anything changed.

        Keys that are not in ``values`` are removed; equal values count as unchanged.
        """
        removed = [self.remove(key) for key in list(self._values) if key not in values]
        changed = [self.set(key, value) for key, value in values.items()]
        return any(removed) or any(changed)

    def changed_since(self, change: int) -> Iterator[Key]:
        """Yield the keys set or removed after a change number, latest change first."""
        for key in reversed(self._changes):
            if self._changes[key] <= change:
                return
            yield key

    def _record_change(self, key: Key) -> None:
        self._changes.pop(key, None)
        self._changes[key] = self._counter.advance()
