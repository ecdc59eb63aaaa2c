"""One answer to one caller: exactly one, and never one that looks whole.

The end of an HTTP message is what a caller trusts. So a body goes out with
its length, a stream in chunks, and a stream that broke ends in an error event
and a closed connection, without the last chunk.
"""

from collections.abc import Iterable
import enum
import hashlib
import http
import json
import threading

from werkzeug import datastructures

from cardamommill import connection as connection_lib
from cardamommill import http1, requesting, tracing

EVENT_STREAM = "text/event-stream"
PROBLEM_JSON = "application/problem+json"
SPAN_ID_DIGITS = 16
LAST_CHUNK = b"0\r\n\r\n"

Headers = Iterable[tuple[str, str]]


class _Stage(enum.Enum):
    """How far an answer is."""

    NOTHING = enum.auto()
    STREAMING = enum.auto()
    DONE = enum.auto()


class Answer:
    """The answer that a caller waits for; any thread may give it.

    Attributes:
        request_id: Of the request that it answers.
        trace: Where in a trace its caller is.
    """

    def __init__(self, connection: connection_lib.Connection,
                 start: http1.RequestStart, request_id: str,
                 trace: tracing.Context, keep_alive: bool) -> None:
        """Makes the answer of a request.

        Args:
            connection: The caller's.
            start: The request, without its body.
            request_id: Of the request.
            trace: Where in a trace its caller is.
            keep_alive: Whether the caller may use the connection again; a
                node that leaves sends its callers to other ones.
        """
        self.request_id = request_id
        self.trace = trace
        self._connection = connection
        self._start = start
        self._keep_alive = keep_alive and start.keep_alive
        self._stage = _Stage.NOTHING
        # Two threads may both want to end it: the one that reads the
        # replica's last bytes and the one that gives the request up. The
        # caller must get one of the two, not a mixture.
        self._lock = threading.Lock()

    @property
    def done(self) -> bool:
        """Whether the final answer has been given."""
        return self._stage is _Stage.DONE

    @property
    def begun(self) -> bool:
        """Whether the caller has seen a part of a stream."""
        return self._stage is _Stage.STREAMING

    def whole(self,
              status: int,
              headers: Headers,
              body: bytes,
              outcome: requesting.Outcome,
              attempts: int = 0) -> bool:
        """Gives the whole answer at once.

        Args:
            status: The HTTP status.
            headers: Headers of the answer, without those for the connection.
            body: All of the body.
            outcome: Whether the request ran.
            attempts: How often it was sent to a replica.

        Returns:
            Whether this is the answer; False if there was one already.
        """
        with self._lock:
            if self._stage is not _Stage.NOTHING:
                return False
            self._stage = _Stage.DONE
            has_body = status not in (204, 304)
            head = self._head(headers, outcome, attempts)
            if has_body:
                head.set("Content-Length", str(len(body)))
            if not has_body or self._start.method == "HEAD":
                body = b""
            if not self._keep_alive:
                head.set("Connection", "close")
            self._connection.write(_start_bytes(status, head) + body)
        self._connection.answered(self._keep_alive)
        return True

    def problem(self, problem: requesting.Problem, attempts: int = 0) -> bool:
        """Gives a problem as the final answer, or as a stream's last event.

        Args:
            problem: What to tell.
            attempts: How often the request was sent to a replica.

        Returns:
            Whether this is the answer; False if there was one already.
        """
        body = problem_json(problem, self.request_id)
        with self._lock:
            if self._stage is _Stage.STREAMING:
                self._stage = _Stage.DONE
                event = b"event: error\ndata: " + body + b"\n\n"
                # Without the last chunk and with the connection closed: not
                # even a caller that does not know the event takes it for
                # the end of a whole answer.
                self._connection.write(_chunk(event))
                self._connection.answered(False)
                return True
        headers = [("Content-Type", PROBLEM_JSON)]
        if problem.retry_after_s:
            headers.append(("Retry-After", str(problem.retry_after_s)))
        if problem.status == http.HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        return self.whole(problem.status, headers, body, problem.outcome,
                          attempts)

    def stream(self, status: int, headers: Headers, events: bytes,
               attempts: int) -> bool:
        """Sends whole events, and before the first ones the answer's head.

        Args:
            status: The HTTP status, for the head.
            headers: Headers, for the head.
            events: One or more whole events.
            attempts: How often the request was sent to a replica, so far.

        Returns:
            Whether the caller still listens.
        """
        with self._lock:
            if self._stage is _Stage.DONE:
                return False
            data = _chunk(events) if events else b""
            if self._stage is _Stage.NOTHING:
                self._stage = _Stage.STREAMING
                head = self._head(headers, requesting.Outcome.RAN, attempts)
                head.set("Transfer-Encoding", "chunked")
                if not self._keep_alive:
                    head.set("Connection", "close")
                data = _start_bytes(status, head) + data
            return self._connection.write(data, streamed=True)

    def end_stream(self) -> bool:
        """Ends a stream that is whole.

        Returns:
            Whether this ended it; False if it was over already.
        """
        with self._lock:
            if self._stage is not _Stage.STREAMING:
                return False
            self._stage = _Stage.DONE
            standing = self._connection.write(LAST_CHUNK)
        self._connection.answered(self._keep_alive)
        return standing

    def _head(self, headers: Headers, outcome: requesting.Outcome,
              attempts: int) -> datastructures.Headers:
        head = datastructures.Headers(headers)
        head.set("Cardamommill-Request", self.request_id)
        head.set("Cardamommill-Outcome", outcome)
        head.set("Cardamommill-Attempts", str(attempts))
        head.set("traceparent",
                 f"00-{self.trace.trace_id}-{span_id(self.request_id)}-01")
        attempt_id = self._start.headers.get("Cardamommill-Attempt")
        if attempt_id:
            # The node of another data centre compares this before it passes
            # a byte on.
            head.set("Cardamommill-Attempt", attempt_id)
        return head


def problem_json(problem: requesting.Problem, request_id: str) -> bytes:
    """Returns the RFC 9457 text of a problem."""
    return json.dumps({
        "type": "about:blank",
        "status": problem.status,
        "title": problem.title,
        "detail": problem.detail,
        "step": problem.step,
        "peer": problem.peer,
        "outcome": problem.outcome,
        "retry_after_s": problem.retry_after_s,
        "request": request_id,
    }).encode()


def span_id(name: str) -> str:
    """Returns the span id that belongs to a request or an attempt.

    Args:
        name: The request's or attempt's id.
    """
    return hashlib.sha256(name.encode()).hexdigest()[:SPAN_ID_DIGITS]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _start_bytes(status: int, headers: datastructures.Headers) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
