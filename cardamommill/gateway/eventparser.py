"""Cuts a stream of events at their boundaries and reads their ids."""

import dataclasses

# One event is some hundred bytes; a peer that never ends one is at fault.
MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event, with the empty line that ends it."""

    data: bytes
    id: int | None


class EventParser:
    """Collects bytes and gives out whole events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that these bytes complete.

        Raises:
            ValueError: An event is longer than any may be.
        """
        self._rest += data
        events = []
        while (end := self._rest.find(b"\n\n")) >= 0:
            piece = bytes(self._rest[:end + 2])
            del self._rest[:end + 2]
            events.append(Event(piece, event_id(piece)))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event without an end")
        return events


def event_id(piece: bytes) -> int | None:
    """Returns an event's id where it is a number."""
    start = 0 if piece.startswith(b"id:") else piece.find(b"\nid:") + 1
    if start == 0 and not piece.startswith(b"id:"):
        return None
    text = piece[start + 3:piece.find(b"\n", start)].strip()
    return int(text) if text.isdigit() else None
