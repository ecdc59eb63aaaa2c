"""Writes answers to callers and enforces the order of their parts."""

import enum
import http
from typing import Protocol

import logbook

from cardamommill import exceptions, logs
from cardamommill.transport import httpheaders

REASONS = {each.value: each.phrase for each in http.HTTPStatus}

_LOG = logbook.Logger("callers")


class ReplyConnection(Protocol):
    """The connection on which an answer is sent."""

    @property
    def closing(self) -> bool:
        """Whether it closes after the answer that begins now."""

    def write(self, data: bytes) -> None:
        """Sends bytes."""

    def answered(self) -> None:
        """Continues after a complete answer."""

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""


class _Sent(enum.Enum):
    """How much of an answer has been sent; values appear in logs."""

    NOTHING = "nothing"
    PART = "a part"
    ALL = "all of it"


class _Step(enum.Enum):
    """A step in sending an answer; values appear in logs."""

    COMPLETE = "a whole answer"
    START = "a head"
    CHUNK = "a piece"
    END = "the end"
    ABORT = "the breaking off"


# The allowed steps in each state, and the state that follows. They are enforced
# here and not left to the code that answers: when that had to keep track of
# what was sent, a complete error answer was written after events of a stream,
# and the caller read it as a part of the stream.
_TRANSITIONS = {
    (_Sent.NOTHING, _Step.COMPLETE): _Sent.ALL,
    (_Sent.NOTHING, _Step.START): _Sent.PART,
    (_Sent.NOTHING, _Step.ABORT): _Sent.ALL,
    (_Sent.PART, _Step.CHUNK): _Sent.PART,
    (_Sent.PART, _Step.END): _Sent.ALL,
    (_Sent.PART, _Step.ABORT): _Sent.ALL,
}


class Reply:
    """The answer to one request.

    Each method that sends raises `AnswerOutOfOrder` if what was sent before
    does not allow it.
    """

    def __init__(self,
                 connection: ReplyConnection,
                 method: str = "GET") -> None:
        """Initialises an answer of which nothing was sent.

        Args:
            connection: The connection on which it is sent.
            method: The method of the request.
        """
        self._connection = connection
        self._method = method
        self._allows_body = True
        self._sent = _Sent.NOTHING
        # Whether the head contained "Connection: close".
        self.announced_close = False

    @property
    def started(self) -> bool:
        """Whether any part of the answer was sent."""
        return self._sent is not _Sent.NOTHING

    @property
    def ended(self) -> bool:
        """Whether the answer was completed or aborted."""
        return self._sent is _Sent.ALL

    def send(self, status: int, headers: list[tuple[str, str]],
             body: bytes) -> None:
        """Sends a complete answer."""
        self._advance(_Step.COMPLETE)
        self.announced_close = self._connection.closing
        self._connection.write(
            whole_bytes(self._method, status, headers, body,
                        self.announced_close))
        self._connection.answered()

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head of a chunked answer."""
        self._advance(_Step.START)
        self.announced_close = self._connection.closing
        self._allows_body = httpheaders.allows_body(self._method, status)
        if self._allows_body:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        self._connection.write(head_bytes(status, headers,
                                          self.announced_close))

    def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        self._advance(_Step.CHUNK)
        if self._allows_body:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Ends a chunked answer that is complete."""
        self._advance(_Step.END)
        if self._allows_body:
            self._connection.write(b"0\r\n\r\n")
        self._connection.answered()

    def abort(self) -> None:
        """Closes the connection, so that the answer is seen as incomplete."""
        self._advance(_Step.ABORT)
        self._connection.abort()

    def _advance(self, step: _Step) -> None:
        before = self._sent
        after = _TRANSITIONS.get((before, step))
        if after is not None:
            self._sent = after
            return
        _LOG.error(
            logs.line("answer-out-of-order", step=step.value,
                      sent=before.value))
        if before is not _Sent.ALL:
            # Not after the end: by then the connection may carry the answer to
            # another request.
            self._sent = _Sent.ALL
            self._connection.abort()
        raise exceptions.AnswerOutOfOrder(
            f"{step.value} after {before.value} was sent", step="answer")


def whole_bytes(method: str, status: int, headers: list[tuple[str, str]],
                body: bytes, closing: bool) -> bytes:
    """Returns an encoded answer; its body is left out if it may have none.

    Args:
        method: The method of the request.
        status: The status of the answer.
        headers: Its headers without those that frame the body.
        body: The body that an answer to GET would have.
        closing: Whether the connection closes after it.
    """
    allows_body = httpheaders.allows_body(method, status)
    if allows_body or body:
        headers = [*headers, ("Content-Length", str(len(body)))]
    return head_bytes(status, headers, closing) + (body if allows_body else b"")


def head_bytes(status: int, headers: list[tuple[str, str]],
               closing: bool) -> bytes:
    """Returns the encoded status line and headers of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if closing:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
