"""What a caller has of a stream, and what a try adds to it."""

import enum

from cardamommill.gateway import eventparser


class EventPosition(enum.Enum):
    """How an event stands to those that the caller has."""

    NEXT = "next"
    # A runner that begins anew: the caller has this one.
    REPEATED = "repeated"
    # Something is missing before it.
    GAP = "gap"


class StreamProgress:
    """Counts events over all tries of a request.

    Attributes:
        last_event_id: The newest id that the caller has; None where it has no
            event, or none with an id.
        events: How many went to the caller here.
        attempt_events: How many the try has brought, those it had included.
    """

    def __init__(self, last_event_id: int | None) -> None:
        """Makes it.

        Args:
            last_event_id: What the caller had before it asked.
        """
        self.last_event_id = last_event_id
        self.events = 0
        self.attempt_events = 0
        self._try_last_id: int | None = None

    def begin_attempt(self) -> None:
        """Notes that another try begins."""
        self.attempt_events = 0
        self._try_last_id = None

    @property
    def is_replaying(self) -> bool:
        """Whether the try has not come up to what the caller has."""
        return (self._try_last_id is not None and
                self._try_last_id < (self.last_event_id or 0))

    def record(self, event: eventparser.Event) -> EventPosition:
        """Takes an event of the try; only the next one goes on."""
        self.attempt_events += 1
        if event.id is not None:
            self._try_last_id = event.id
            if self.last_event_id is not None:
                if event.id <= self.last_event_id:
                    return EventPosition.REPEATED
                if event.id > self.last_event_id + 1:
                    return EventPosition.GAP
            self.last_event_id = event.id
        self.events += 1
        return EventPosition.NEXT
