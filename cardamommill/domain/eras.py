"""Tracks the era of the platform's store, which rises with each restore.

A store that was restored from a backup assigns the same versions a second time,
so that versions can be compared only within one era.
"""

import asyncio
from typing import NamedTuple


class TablePosition(NamedTuple):
    """The point up to which the content of a table is known.

    Attributes:
        era: Era of the store.
        version: The newest known version of that era.
    """

    era: int
    version: int


class EraTracker:
    """Keeps the newest era reported by any answer of the store or of peers."""

    def __init__(self) -> None:
        self._first: int | None = None
        self._newest = 0
        # A dict, so that waiters are woken in the order of their arrival and
        # simulations with the same seed agree.
        self._waiters: dict[asyncio.Future[None], None] = {}

    @property
    def newest(self) -> int:
        """The current era of the store, or 0 if none was reported yet."""
        return self._newest

    @property
    def first(self) -> int:
        """The first era that was reported to this node, or 0."""
        return self._first or 0

    def observe(self, era: int) -> bool:
        """Records the era of an answer; returns whether the store was restored.

        The first era that is reported does not count as a restore.
        """
        if self._first is None:
            self._first = self._newest = era
            return False
        if era <= self._newest:
            return False
        self._newest = era
        for each in self._waiters:
            if not each.done():
                each.set_result(None)
        return True

    async def wait_for_newer(self, era: int, timeout_ms: float) -> bool:
        """Waits until the store is in a newer era, or until the timeout.

        Returns:
            Whether the store is in a newer era.
        """
        if self._newest > era:
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait_for(waiter, timeout_ms / 1000)
        except TimeoutError:
            return False
        finally:
            del self._waiters[waiter]
        return True
