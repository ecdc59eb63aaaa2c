"""Short HTTP calls with a JSON or binary body, through one `CurlLoop`."""

from collections.abc import Callable
import dataclasses
import io

import pycurl
from returns import result

from cardamommill import curlloop, exceptions

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_IDLE_HANDLES = 64

# Errors of libcurl after which nothing of the request can have arrived.
_NOT_SENT = frozenset({
    pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_URL_MALFORMAT
})


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to make.

    Attributes:
        method: The HTTP method.
        url: Where to.
        timeout_ms: After which it has failed.
        body: What to send.
        step: What it is for, for errors.
    """

    method: str
    url: str
    timeout_ms: int
    body: bytes = b""
    step: str = "call"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer that came whole.

    Attributes:
        status: The HTTP status.
        body: The body.
    """

    status: int
    body: bytes


class CallFailed(exceptions.CardamommillError):
    """No whole answer came.

    Attributes:
        not_sent: Whether it is certain that nothing was received.
    """

    def __init__(self, message: str, *, step: str, peer: str,
                 not_sent: bool) -> None:
        super().__init__(message, step=step, peer=peer)
        self.not_sent = not_sent


Outcome = result.Result[Answer, CallFailed]


class HttpCalls:
    """Makes short calls; a context manager that owns its loop."""

    def __init__(self, name: str) -> None:
        self._loop = curlloop.CurlLoop(name)
        self._idle: list[pycurl.Curl] = []

    def __enter__(self) -> "HttpCalls":
        self._loop.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._loop.__exit__(*exception)

    def make(self, call: Call, done: Callable[[Outcome], None]) -> None:
        """Makes a call; from any thread.

        Args:
            call: What to call.
            done: Called once, on the loop's thread; must be short.
        """
        self._loop.call(lambda: self._start(call, done))

    def _start(self, call: Call, done: Callable[[Outcome], None]) -> None:
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        received = io.BytesIO()
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)
        curl.setopt(pycurl.TIMEOUT_MS, call.timeout_ms)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        curl.setopt(pycurl.WRITEFUNCTION, received.write)
        curl.setopt(pycurl.HTTPHEADER,
                    ["Content-Type: application/json", "Expect:"])
        if call.body:
            curl.setopt(pycurl.POSTFIELDS, call.body)
        self._loop.add(
            curl, lambda number, message: self._finish(curl, call, received,
                                                       (number, message), done))

    def _finish(self, curl: pycurl.Curl, call: Call, received: io.BytesIO,
                error: tuple[int, str], done: Callable[[Outcome],
                                                       None]) -> None:
        number, message = error
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        curl.reset()
        if len(self._idle) < MAX_IDLE_HANDLES:
            self._idle.append(curl)
        if number == 0 and status:
            done(result.Success(Answer(status, received.getvalue())))
            return
        done(
            result.Failure(
                CallFailed(message or "no answer",
                           step=call.step,
                           peer=call.url,
                           not_sent=number in _NOT_SENT)))
