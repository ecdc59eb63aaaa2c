"""A count of this node's changes, by which peers ask for what is new."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class Counter:
    """Numbers the changes of one life of a node.

    Attributes:
        value: The number of the last change.
    """

    def __init__(self) -> None:
        self.value = 0

    def next(self) -> int:
        """Counts one more change and returns its number."""
        self.value += 1
        return self.value


class ChangeLog(Generic[K, V]):
    """Values with the number of the change that made each."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._entries: dict[K, tuple[V, int]] = {}

    def note(self, items: Iterable[tuple[K, V]]) -> None:
        """Takes all values as they are now; absent ones are forgotten."""
        before = self._entries
        self._entries = {}
        for key, value in items:
            entry = before.get(key)
            if entry is None or entry[0] != value:
                entry = (value, self._counter.next())
            self._entries[key] = entry

    def after(self, sequence: int) -> tuple[V, ...]:
        """Returns the values that changed after a number."""
        return tuple(value for value, changed in self._entries.values()
                     if changed > sequence)
