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
    """Counts the events that the caller of a request has, from any attempt.

    Attributes:
        last_event_id: The id of the last event that the caller has; None if it
            has no event, or none with an id.
        events: The number of events passed to the caller by this node.
    """

    def __init__(self, last_event_id: int | None) -> None:
        """Initialises the progress of a request without attempts.

        Args:
            last_event_id: The last event that the caller had before it sent
                this request.
        """
        self.last_event_id = last_event_id
        self.events = 0

    def begin_attempt(self) -> "AttemptProgress":
        """Returns the progress of a new attempt; several may be in progress."""
        return AttemptProgress(self)


class AttemptProgress:
    """Counts the events of one attempt.

    Attributes:
        events: Their number, including those that the caller already had.
    """

    def __init__(self, stream: StreamProgress) -> None:
        self.events = 0
        self._stream = stream
        self._last_event_id: int | None = None

    @property
    def is_replaying(self) -> bool:
        """Whether the attempt has not yet reached the caller's last event."""
        return (self._last_event_id is not None and
                self._last_event_id < (self._stream.last_event_id or 0))

    def record(self, event: eventparser.Event) -> EventPosition:
        """Counts an event of the attempt and returns its position.

        Only an event with the position NEXT may be passed to the caller.
        """
        self.events += 1
        stream = self._stream
        if event.id is not None:
            self._last_event_id = event.id
            if stream.last_event_id is not None:
                if event.id <= stream.last_event_id:
                    return EventPosition.REPEATED
                if event.id > stream.last_event_id + 1:
                    return EventPosition.GAP
            stream.last_event_id = event.id
        stream.events += 1
        return EventPosition.NEXT
