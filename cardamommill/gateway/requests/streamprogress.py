"""Tracks which events of a stream its caller has received."""

import enum

from cardamommill.gateway.requests import eventparser


class EventPosition(enum.Enum):
    """The position of an event relative to those the caller has."""

    NEXT = "next"
    # The caller has it: the runner started the stream from its beginning.
    REPEATED = "repeated"
    # Events before it are missing.
    GAP = "gap"


class StreamProgress:
    """Counts the events of all attempts of a request.

    Attributes:
        last_event_id: The id of the last event that the caller has; None if it
            has no event, or none with an id.
        events: The number of events passed to the caller by this node.
        attempt_events: The number of events of the current attempt, including
            those that the caller already had.
    """

    def __init__(self, last_event_id: int | None) -> None:
        """Initialises the progress of a request without attempts.

        Args:
            last_event_id: The last event that the caller had before it sent
                this request.
        """
        self.last_event_id = last_event_id
        self.events = 0
        self.attempt_events = 0
        self._attempt_last_id: int | None = None

    def begin_attempt(self) -> None:
        """Resets the state of the current attempt for a new one."""
        self.attempt_events = 0
        self._attempt_last_id = None

    @property
    def is_replaying(self) -> bool:
        """Whether the attempt has not yet reached the caller's last event."""
        return (self._attempt_last_id is not None and
                self._attempt_last_id < (self.last_event_id or 0))

    def record(self, event: eventparser.Event) -> EventPosition:
        """Counts an event of the attempt and returns its position.

        Only an event with the position NEXT may be passed to the caller.
        """
        self.attempt_events += 1
        if event.id is not None:
            self._attempt_last_id = event.id
            if self.last_event_id is not None:
                if event.id <= self.last_event_id:
                    return EventPosition.REPEATED
                if event.id > self.last_event_id + 1:
                    return EventPosition.GAP
            self.last_event_id = event.id
        self.events += 1
        return EventPosition.NEXT
