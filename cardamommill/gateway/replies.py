"""Answers to callers: each step of one follows what was sent of it."""

import enum
import http
from typing import Protocol

import logbook

from cardamommill import exceptions, logs

REASONS = {each.value: each.phrase for each in http.HTTPStatus}

_LOG = logbook.Logger("callers")


class Line(Protocol):
    """The connection that carries an answer."""

    @property
    def closing(self) -> bool:
        """Whether it ends after the answer that begins now."""

    def write(self, data: bytes) -> None:
        """Sends bytes."""

    def answered(self) -> None:
        """Goes on after an answer."""

    def abort(self) -> None:
        """Closes at once."""


class _Sent(enum.Enum):
    """How much of an answer has been sent."""

    NOTHING = "nothing"
    PART = "a part"
    ALL = "all of it"


class _Step(enum.Enum):
    """What may be sent next of an answer."""

    WHOLE = "a whole answer"
    START = "a head"
    PIECE = "a piece"
    END = "the end"
    BREAK_OFF = "the breaking off"


# What follows on what, and what is sent then. Callers took a whole failure
# behind events for bytes of their stream, since each decision had to remember
# what was sent; here no step is taken that does not follow, whoever asks.
_FOLLOWS = {
    (_Sent.NOTHING, _Step.WHOLE): _Sent.ALL,
    (_Sent.NOTHING, _Step.START): _Sent.PART,
    (_Sent.NOTHING, _Step.BREAK_OFF): _Sent.ALL,
    (_Sent.PART, _Step.PIECE): _Sent.PART,
    (_Sent.PART, _Step.END): _Sent.ALL,
    (_Sent.PART, _Step.BREAK_OFF): _Sent.ALL,
}


class Reply:
    """The answer to one request.

    Each step raises `AnswerOutOfOrder` where it does not follow what was sent.
    """

    def __init__(self, connection: Line) -> None:
        self._connection = connection
        self._sent = _Sent.NOTHING
        # Whether its head says that the connection ends behind it.
        self.said_close = False

    @property
    def started(self) -> bool:
        """Whether the caller was sent any of it."""
        return self._sent is not _Sent.NOTHING

    @property
    def ended(self) -> bool:
        """Whether nothing more may be sent."""
        return self._sent is _Sent.ALL

    def send(self, status: int, headers: list[tuple[str, str]],
             body: bytes) -> None:
        """Sends an answer at once."""
        self._take(_Step.WHOLE)
        self.said_close = self._connection.closing
        self._connection.write(
            head_bytes(status, [*headers, ("Content-Length",
                                           str(len(body)))], self.said_close) +
            body)
        self._connection.answered()

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begins an answer whose length is not known."""
        self._take(_Step.START)
        self.said_close = self._connection.closing
        self._connection.write(
            head_bytes(status, [*headers, ("Transfer-Encoding", "chunked")],
                       self.said_close))

    def write(self, data: bytes) -> None:
        """Sends a piece."""
        self._take(_Step.PIECE)
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Ends an answer that is complete."""
        self._take(_Step.END)
        self._connection.write(b"0\r\n\r\n")
        self._connection.answered()

    def abort(self) -> None:
        """Ends an answer that is not complete so that it looks like that."""
        self._take(_Step.BREAK_OFF)
        self._connection.abort()

    def _take(self, step: _Step) -> None:
        before = self._sent
        after = _FOLLOWS.get((before, step))
        if after is not None:
            self._sent = after
            return
        _LOG.error(
            logs.line("answer-out-of-order", step=step.value,
                      sent=before.value))
        if before is not _Sent.ALL:
            # After the end the connection may carry another request's answer.
            self._sent = _Sent.ALL
            self._connection.abort()
        raise exceptions.AnswerOutOfOrder(
            f"{step.value} after {before.value} was sent", step="answer")


def head_bytes(status: int, headers: list[tuple[str, str]],
               closing: bool) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if closing:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
