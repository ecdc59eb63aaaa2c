"""Sends small requests of the node itself and returns complete answers."""

import asyncio
import dataclasses

import logbook

from cardamommill import logs
from cardamommill.platform import wirenames
from cardamommill.transport import httpheaders, upstream

# The store answers with a megabyte at most.
MAX_ANSWER_BYTES = 16 << 20

_LOG = logbook.Logger("fetching")


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete answer, or the reason why there is none (status 0).

    Attributes:
        ending: How the exchange ended; NOT_SENT if no connection was made.
        head: Status and headers.
        body: The complete body.
        reason: Why there is no complete answer.
        is_timeout: Whether nobody but this node ended the exchange.
    """

    ending: upstream.Ending
    head: upstream.Head
    body: bytes
    reason: str
    is_timeout: bool = False


class _Collector:
    """Receives a small answer; see `upstream.Receiver`."""

    keeps_body = True

    def __init__(self, request: bytes) -> None:
        self._is_caller_request = wirenames.ATTEMPT_ID.encode() in request
        self.future: asyncio.Future[Answer] = (
            asyncio.get_running_loop().create_future())
        self._head = upstream.Head()
        self._body = bytearray()

    def on_head(self, head: upstream.Head) -> bool:
        if not self._is_caller_request and head.get(
                wirenames.ATTEMPT_ID) is not None:
            # A late answer to a caller's request on this connection. Without
            # this check its 200 was taken as the confirmation of an order.
            _LOG.warning(logs.line("answer-skipped", status=head.status))
            return False
        self._head = head
        return True

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_ANSWER_BYTES and not self.future.done():
            # The exchange is cancelled by whoever waits for its answer.
            self._body.clear()
            self.future.set_result(
                Answer(upstream.Ending.NOT_HTTP, self._head, b"",
                       "answer too large"))

    def on_end(self, ending: upstream.Ending, reason: str) -> None:
        if not self.future.done():
            self.future.set_result(
                Answer(ending, self._head, bytes(self._body), reason))


async def fetch(pool: upstream.Pool,
                address: upstream.Address,
                request: bytes,
                timeout_ms: float,
                new_connection: bool = False) -> Answer:
    """Sends a request of this node and returns the complete answer.

    Args:
        pool: Connections to peers.
        address: Host and port of the peer.
        request: Head and body, encoded.
        timeout_ms: How long to wait for the complete answer.
        new_connection: Whether to open a connection for this request only.
    """
    collector = _Collector(request)
    exchange = pool.send(address, request, collector, new_connection)
    try:
        answer = await asyncio.wait_for(collector.future, timeout_ms / 1000)
        if answer.ending is upstream.Ending.NOT_HTTP:
            exchange.cancel()
        return answer
    except TimeoutError:
        was_sent = exchange.sent
        return Answer(
            upstream.Ending.BROKEN if was_sent else upstream.Ending.NOT_SENT,
            upstream.Head(),
            b"",
            "timed out",
            is_timeout=True)
    finally:
        if not collector.future.done() or collector.future.cancelled():
            exchange.cancel()


def request_bytes(method: str,
                  target: str,
                  headers: list[tuple[str, str]],
                  body: bytes = b"") -> bytes:
    """Returns an encoded request; adds the Content-Length of a body."""
    if body or method in ("POST", "PUT", "PATCH"):
        headers = [*headers, ("Content-Length", str(len(body)))]
    return httpheaders.request_head(method, target, headers) + body
