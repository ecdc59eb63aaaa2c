"""Bounds the memory of answer bodies that a node keeps while they arrive."""

from collections import deque
import dataclasses
import math
from typing import Protocol

# Bodies up to this length never wait: small answers go on beside large ones.
SMALL_BYTES = 1 << 16


class BodyHolder(Protocol):
    """The connection on which a body arrives."""

    def pause_reading(self) -> None:
        """Stops reading, so that the sender has to wait."""

    def resume_reading(self) -> None:
        """Goes on with reading."""

    def end_body(self, received_bytes: int) -> None:
        """Ends the exchange, since there is no memory for more."""


@dataclasses.dataclass(eq=False, slots=True)
class Body:
    """A body that arrives.

    Attributes:
        length: Its length in bytes; None if the head doesn't give it.
        received_bytes: What has arrived of it.
    """

    holder: BodyHolder
    length: int | None
    received_bytes: int = 0


class BufferBudget:
    """The memory for all bodies that arrive at the same time.

    Half of it is for bodies of known length, which are reserved as a whole:
    others wait, unread, until enough is free. The other half is for bodies
    whose head does not say where they end. Such a body may have no end, so the
    largest one ends when that half is used up.

    Attributes:
        limit_bytes: The memory; infinite if it is unlimited.
        ended: How many bodies were ended.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.ended = 0
        self._reserved: dict[Body, int] = {}
        self._reserved_bytes = 0
        self._waiting: deque[Body] = deque()
        self._unbounded: dict[Body, None] = {}
        self._unbounded_bytes = 0

    @property
    def used_bytes(self) -> int:
        """The bytes that are reserved, or were received without a length."""
        return self._reserved_bytes + self._unbounded_bytes

    @property
    def waiting(self) -> int:
        """The number of bodies that are not read for now."""
        return len(self._waiting)

    def begin(self, holder: BodyHolder, length: int | None) -> Body:
        """Returns a body whose head has arrived; it may have to wait."""
        body = Body(holder, length)
        if length is None:
            self._unbounded[body] = None
        elif length <= SMALL_BYTES or (not self._waiting and
                                       self._has_room(length)):
            self._reserve(body, length)
        else:
            self._waiting.append(body)
            holder.pause_reading()
        return body

    def grow(self, body: Body, count: int) -> None:
        """Counts received bytes, and ends bodies if there are too many."""
        body.received_bytes += count
        if body not in self._unbounded:
            return
        self._unbounded_bytes += count
        while self._unbounded_bytes > self.limit_bytes / 2:
            largest = max(self._unbounded, key=lambda one: one.received_bytes)
            self.end(largest)
            self.ended += 1
            largest.holder.end_body(largest.received_bytes)

    def end(self, body: Body) -> None:
        """Releases the memory of a body that is whole or given up."""
        if body in self._unbounded:
            del self._unbounded[body]
            self._unbounded_bytes -= body.received_bytes
        self._reserved_bytes -= self._reserved.pop(body, 0)
        if body in self._waiting:
            self._waiting.remove(body)
        while self._waiting:
            length = self._waiting[0].length or 0
            if not self._has_room(length):
                break
            following = self._waiting.popleft()
            self._reserve(following, length)
            following.holder.resume_reading()

    def _has_room(self, length: int) -> bool:
        # A body that is larger than the budget is read alone.
        return not self._reserved_bytes or (self._reserved_bytes + length
                                            <= self.limit_bytes / 2)

    def _reserve(self, body: Body, length: int) -> None:
        self._reserved[body] = length
        self._reserved_bytes += length
