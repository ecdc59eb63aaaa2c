"""Splits a stream of server-sent events, so that only whole ones go on."""

import re

DONE = b"data: [DONE]"
_END = re.compile(rb"\r\n\r\n|\n\r\n|\n\n|\r\r")
_DATA = re.compile(rb"(?:^|[\r\n])(?:data|event|id)[:\r\n]")


class EventSplitter:
    """Takes bytes in any pieces and gives whole events.

    Half an event must not reach the caller: after a resume at another replica
    it would be followed by the same event again, whole.

    Attributes:
        done: Whether the last event was seen, which carries nothing but that
            the stream is done.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Makes a splitter.

        Args:
            limit_bytes: The largest event.
        """
        self._limit_bytes = limit_bytes
        self._rest = b""
        self._events = 0
        self.done = False

    @property
    def rest(self) -> bytes:
        """What has come of an event that is not whole."""
        return self._rest

    def take_count(self) -> int:
        """Returns how many events have been given since the last call.

        Comments don't count, nor does the last event.
        """
        events, self._events = self._events, 0
        return events

    def feed(self, data: bytes) -> bytes:
        """Returns all events that are now whole, as they came.

        Args:
            data: The next bytes.

        Raises:
            ValueError: An event is larger than the limit.
        """
        if self._rest:
            data = self._rest + data
        start = 0
        for match in _END.finditer(data):
            self._count(data[start:match.start()])
            start = match.end()
        self._rest = data[start:]
        if len(self._rest) > self._limit_bytes:
            raise ValueError(f"an event is larger than {self._limit_bytes} "
                             "bytes")
        return data[:start]

    def _count(self, event: bytes) -> None:
        if event.strip() == DONE:
            self.done = True
        elif _DATA.search(event):
            self._events += 1
