"""The era of the platform's store, which rises when it is restored.

A store that was restored from a backup gives versions out a second time, so a
version says nothing without the era in which it was given.
"""

import asyncio
from typing import NamedTuple


class TablePosition(NamedTuple):
    """How far a table is known.

    Attributes:
        era: Of the store.
        version: The newest that was given out in that era.
    """

    era: int
    version: int


class EraTracker:
    """The newest era that any answer told of."""

    def __init__(self) -> None:
        self._first: int | None = None
        self._newest = 0
        # In the order in which they came.
        self._waiting: dict[asyncio.Future[None], None] = {}

    @property
    def newest(self) -> int:
        """The era in which the store is; 0 where none was told."""
        return self._newest

    @property
    def first(self) -> int:
        """The era in which this node heard of the store first."""
        return self._first or 0

    def observe(self, era: int) -> bool:
        """Takes the era of an answer; True where the store was restored."""
        if self._first is None:
            self._first = self._newest = era
            return False
        if era <= self._newest:
            return False
        self._newest = era
        for each in self._waiting:
            if not each.done():
                each.set_result(None)
        return True

    async def wait_for_newer(self, era: int, within_ms: float) -> bool:
        """Returns once the store is in a newer era, or after a time.

        Returns:
            Whether it is.
        """
        if self._newest > era:
            return True
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[waiting] = None
        try:
            await asyncio.wait_for(waiting, within_ms / 1000)
        except TimeoutError:
            return False
        finally:
            del self._waiting[waiting]
        return True
