"""Splits a stream of server-sent events and reads their ids."""

import dataclasses

# An event usually has some hundred bytes. The limit bounds the memory for a
# faulty peer that never ends an event.
MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event, including the empty line that ends it."""

    data: bytes
    id: int | None


class EventParser:
    """Splits bytes received in any portions into complete events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are complete with these bytes.

        Raises:
            ValueError: The incomplete event is longer than MAX_EVENT_BYTES.
        """
        self._rest += data
        events = []
        while (end := self._rest.find(b"\n\n")) >= 0:
            block = bytes(self._rest[:end + 2])
            del self._rest[:end + 2]
            events.append(Event(block, event_id(block)))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event without an end")
        return events


def event_id(block: bytes) -> int | None:
    """Returns the id of an event, or None if it has no numeric id."""
    start = 0 if block.startswith(b"id:") else block.find(b"\nid:") + 1
    if start == 0 and not block.startswith(b"id:"):
        return None
    text = block[start + 3:block.find(b"\n", start)].strip()
    return int(text) if text.isdigit() else None
