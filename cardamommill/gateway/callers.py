"""Callers' connections: requests in, answers out, one at a time on each."""

import asyncio
from collections import deque
from collections.abc import Callable
import dataclasses
import socket
from typing import Any, Protocol

import httptools
import logbook

from cardamommill import logs
from cardamommill.gateway import clock, httpheaders, model, replies

# After a refusal of a request that has not been read whole, its rest is read
# and dropped for this long: closing at once would reset the refusal away.
LINGER_MS = 700
# What may wait for a caller that does not read before more is written. One
# large answer may be more: a caller that reads well was cut off in its middle.
UNSENT_BYTES = 1 << 20
# Requests that wait behind the one being answered on the same connection.
MAX_PIPELINED = 8
DEFAULT_LIMITS = model.Limits(16_384, 4_194_304, 3000, 15_000)

_LOG = logbook.Logger("callers")


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request, whole."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    arrived_ms: float

    def get(self, name: str) -> str | None:
        """Returns the first header of a name, whatever its case."""
        return httpheaders.first_value(self.headers, name)


class ActiveRequest(Protocol):
    """A request that is being answered."""

    def caller_left(self) -> None:
        """The caller closed its connection."""


Handler = Callable[[CallerRequest, replies.Reply], ActiveRequest | None]


def run_handler(handler: Handler, request: CallerRequest,
                reply: replies.Reply) -> ActiveRequest | None:
    """Has a request served; one whose handler fails is broken off.

    Without that its caller would wait until its time is over, or the parser,
    where it called, would have it refused as malformed: a second answer, or one
    to a request that may have run.
    """
    try:
        return handler(request, reply)
    except Exception:
        _LOG.exception(logs.line("handler-failed", target=request.target))
        if not reply.ended:
            reply.abort()
        return None


class CallerConnection(asyncio.Protocol):
    """One caller's connection; httptools calls its ``on_...`` methods."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._serving: ActiveRequest | None = None
        self._busy = False
        self._waiting: deque[CallerRequest] = deque()
        self._refusing = False
        self._reply: replies.Reply | None = None
        # Whether the caller of the request that arrives waits to be told to
        # send its body.
        self._owes_continue = False
        self._head_bytes = 0
        self._in_head = True
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self.part_since_ms = 0.0
        self.idle_since_ms = clock.now_ms()

    @property
    def closing(self) -> bool:
        """Whether the connection ends after the answer that begins now."""
        return self._refusing or (self._server.stopping and not self._waiting)

    @property
    def busy(self) -> bool:
        """Whether a request is being answered or has arrived in part."""
        return self._busy or bool(self._waiting) or self.part_since_ms > 0

    # asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the transport; see asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections[self] = None

    def data_received(self, data: bytes) -> None:
        """Parses what arrived; see asyncio.Protocol."""
        if self._refusing:
            return
        if not self._busy and (not self.part_since_ms or not self._in_head):
            # The head has a limit of its own; a body must make progress.
            self.part_since_ms = clock.now_ms()
        limits = self._server.limits
        if self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > limits.header_bytes + len(self._body) and (
                    not self._headers_done(data)):
                self._refuse(431)
                return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)

    def _headers_done(self, data: bytes) -> bool:
        return b"\r\n\r\n" in data

    def eof_received(self) -> bool:
        """A caller that closes has left; see asyncio.Protocol."""
        # Told at once: the loop closes the transport only in its next turn,
        # and until then the request would go on to another runner.
        self._tell_left()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells whoever answers; see asyncio.Protocol."""
        del exc
        self._transport = None
        self._server.connections.pop(self, None)
        self._tell_left()

    def _tell_left(self) -> None:
        serving, self._serving = self._serving, None
        self._waiting.clear()
        if serving is not None:
            serving.caller_left()

    # httptools.

    def on_message_begin(self) -> None:
        """Begins a request; see httptools."""
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target; see httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; see httptools."""
        if not self._in_head:
            # Behind a body; no limit on heads holds for it.
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Looks at the head; see httptools."""
        self._in_head = False
        self._head_bytes = 0
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._target) > self._server.limits.header_bytes:
            self._refuse(431)
            return
        for name, value in self._headers:
            lower = name.lower()
            if lower == "content-length" and value.isdigit() and (
                    int(value) > self._server.limits.body_bytes):
                self._refuse(413)
                return
            if lower == "expect" and value.lower() == "100-continue":
                self._owes_continue = True
        self._tell_to_go_on()

    def _tell_to_go_on(self) -> None:
        # Not into an answer: its caller would take it for a part of that.
        if self._owes_continue and not self._busy and not self._waiting:
            self._owes_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body; see httptools."""
        if self._refusing:
            return
        self._body += data
        if len(self._body) > self._server.limits.body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Hands over the request; see httptools."""
        self.part_since_ms = 0.0
        self._head_bytes = 0
        self._in_head = True
        self._owes_continue = False
        if self._refusing:
            return
        request = CallerRequest(self._parser.get_method().decode("latin-1"),
                                self._target.decode("latin-1"), self._headers,
                                bytes(self._body), clock.now_ms())
        self._waiting.append(request)
        if len(self._waiting) >= MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        self._serve_next()

    # Answers.

    def _serve_next(self) -> None:
        if self._busy or not self._waiting or self._transport is None:
            return
        self._busy = True
        request = self._waiting.popleft()
        self._reply = reply = replies.Reply(self)
        serving = run_handler(self._server.handler, request, reply)
        if not reply.ended:
            self._serving = serving

    def answered(self) -> None:
        """Goes on after an answer."""
        self._busy = False
        self._serving = None
        self.idle_since_ms = clock.now_ms()
        if self._transport is None:
            return
        said_close = self._reply is not None and self._reply.said_close
        if said_close:
            self._waiting.clear()
        if said_close or self.closing:
            self._close_soon()
            return
        self._tell_to_go_on()
        self._transport.resume_reading()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._serve_next)

    def _close_soon(self) -> None:
        if self._transport is None:
            return
        if self._refusing:
            # The rest of the request is read and dropped for a while.
            asyncio.get_running_loop().call_later(LINGER_MS / 1000, self.close)
            return
        self._transport.close()

    def _refuse(self, status: int) -> None:
        if self._refusing:
            return
        self._refusing = True
        if self._busy or self._waiting:
            # A refusal now would be taken for the answer to those.
            self.abort()
            return
        body = replies.REASONS[status].encode()
        self.write(
            replies.head_bytes(status, [("Content-Length",
                                         str(len(body)))], True) + body)
        self._server.on_refused(status)
        self._close_soon()

    def time_out(self) -> None:
        """Answers a request that did not arrive in time."""
        self._refuse(408)

    def write(self, data: bytes) -> None:
        """Sends bytes, or cuts off a caller that doesn't read."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > UNSENT_BYTES:
            self.abort()
            return
        transport.write(data)

    def close(self) -> None:
        """Closes after what is unsent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes at once."""
        if self._transport is not None:
            self._transport.abort()


class CallerServer:
    """All callers' connections; a context manager within one loop."""

    def __init__(self, handler: Handler, on_refused: Callable[[int],
                                                              None]) -> None:
        self.handler = handler
        self.on_refused = on_refused
        self.limits = DEFAULT_LIMITS
        # In order of arrival, so that a run in simulated time repeats.
        self.connections: dict[CallerConnection, None] = {}
        self.stopping = False
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int) -> None:
        """Begins to take connections."""
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=512,
            reuse_address=True)
        self._servers.append(server)

    def enforce_timeouts(self, now_ms: float) -> None:
        """Closes idle connections and times out slow requests."""
        for connection in list(self.connections):
            if connection.part_since_ms:
                if now_ms - connection.part_since_ms > self.limits.header_ms:
                    connection.time_out()
            elif not connection.busy and (now_ms - connection.idle_since_ms
                                          > self.limits.idle_ms):
                connection.close()

    def stop(self) -> None:
        """Ends each connection after its answer."""
        self.stopping = True

    def close_idle(self) -> None:
        """Closes connections on which nothing is under way."""
        for connection in list(self.connections):
            if not connection.busy:
                connection.close()

    def close(self) -> None:
        """Takes no more connections."""
        for server in self._servers:
            server.close()

    @property
    def busy(self) -> int:
        """How many connections have a request under way."""
        return sum(each.busy for each in self.connections)
