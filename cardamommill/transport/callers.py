"""HTTP server for callers: one request at a time on each connection."""

import asyncio
from collections import deque
from collections.abc import Callable
import contextlib
import dataclasses
import socket
from typing import Any, Protocol

import httptools
import logbook

from cardamommill import logs
from cardamommill.domain import clock, model
from cardamommill.transport import httpheaders, replies

# A connection whose sending side is closed is read for this long. What arrives
# is discarded: closing with unread bytes resets the connection, and the caller
# loses what it has not read of the answer.
LINGER_MS = 700
# A write to a connection that has more unsent bytes than this aborts it, so
# that callers that do not read use bounded memory. The bytes of the write
# itself are not counted: a single large answer may exceed the limit, and a
# caller that was reading it normally used to be disconnected in its middle.
MAX_UNSENT_BYTES = 1 << 20
# Pipelined requests that wait on a connection before it is no longer read.
MAX_PIPELINED = 8
# 16 KiB of head and 4 MiB of body; 3 s for a head or until more of a body
# arrives, and 15 s for an idle connection.
DEFAULT_LIMITS = model.Limits(16_384, 4_194_304, 3000, 15_000)

_LOG = logbook.Logger("callers")


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One complete request of a caller."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    arrived_ms: float

    def get(self, name: str) -> str | None:
        """Returns the first header of a name, ignoring case."""
        return httpheaders.first_value(self.headers, name)


class ActiveRequest(Protocol):
    """A request in progress, as returned by its handler."""

    def caller_left(self) -> None:
        """Cancels the request: the caller closed its connection."""


Handler = Callable[[CallerRequest, replies.Reply], ActiveRequest | None]


def run_handler(handler: Handler, request: CallerRequest,
                reply: replies.Reply) -> ActiveRequest | None:
    """Calls the handler of a request and aborts the answer if it raises.

    If the exception were not handled, the caller would wait until its deadline.
    If the handler was called from within the parser, the parser would report
    the exception as a malformed request. The caller would then get a 400, after
    a complete answer or for a request that may have run.
    """
    try:
        return handler(request, reply)
    except Exception:
        _LOG.exception(logs.line("handler-failed", target=request.target))
        if not reply.ended:
            reply.abort()
        return None


class CallerConnection(asyncio.Protocol):
    """A caller's connection; httptools calls its ``on_...`` methods."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._active: ActiveRequest | None = None
        self._is_answering = False
        self._pipelined: deque[CallerRequest] = deque()
        # Whether a request was refused; all bytes after it are discarded.
        self._is_refusing = False
        # Whether the sending side is closed; all bytes are discarded.
        self._is_lingering = False
        self._reply: replies.Reply | None = None
        # Whether the caller waits for "100 Continue" before it sends the body
        # of the request that is arriving.
        self._continue_expected = False
        self._head_bytes = 0
        self._is_in_head = True
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        # The start of the timeout of the request that is arriving; 0 if none
        # is.
        self.partial_since_ms = 0.0
        self.idle_since_ms = clock.now_ms()

    @property
    def closing(self) -> bool:
        """Whether the connection closes after the answer that begins now."""
        return self._is_refusing or (self._server.stopping and
                                     not self._pipelined)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being answered, is queued or is arriving.

        Bytes of the last answer may still be unsent.
        """
        return not (self._is_answering or self._pipelined or
                    self.partial_since_ms > 0)

    @property
    def busy(self) -> bool:
        """Whether the end of the process would cut a request or an answer."""
        return (not self.is_idle or self._is_lingering or self.unsent_bytes > 0)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    # asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; see asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections[self] = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; see asyncio.Protocol."""
        if self._is_refusing or self._is_lingering:
            return
        if not self._is_answering and (not self.partial_since_ms or
                                       not self._is_in_head):
            # The timeout of a head runs from its first byte, that of a body
            # from its last one.
            self.partial_since_ms = clock.now_ms()
        limits = self._server.limits
        if self._is_in_head:
            # Bounds the memory for a head that does not end. Bytes that end it
            # may contain a part of the body; on_headers_complete then checks
            # the head alone.
            self._head_bytes += len(data)
            if self._head_bytes > limits.header_bytes + len(self._body) and (
                    not self._ends_head(data)):
                self._refuse(431)
                return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            self._ignore_upgrade(data[error.args[0]:])
        except httptools.HttpParserError:
            self._refuse(400)

    def _ignore_upgrade(self, rest: bytes) -> None:
        """Goes on in HTTP/1.1 after a head that offers another protocol.

        The parser takes such a request for one without a body. So its head is
        parsed again without the offer.

        Args:
            rest: The bytes after the head.
        """
        if self._parser.get_method() == b"CONNECT":
            self._refuse(400)
            return
        head = httpheaders.request_head(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            httpheaders.without_upgrade(self._headers))
        self._parser = httptools.HttpRequestParser(self)
        self.data_received(head + rest)

    def _ends_head(self, data: bytes) -> bool:
        return b"\r\n\r\n" in data

    def eof_received(self) -> bool:
        """Cancels the requests of the connection; see asyncio.Protocol."""
        # Not left to connection_lost: the loop closes the transport only in its
        # next iteration, and until then the request could be retried at
        # another runner.
        self._cancel_requests()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of the connection; see asyncio.Protocol."""
        del exc
        self._transport = None
        self._server.connections.pop(self, None)
        self._cancel_requests()

    def _cancel_requests(self) -> None:
        serving, self._active = self._active, None
        self._pipelined.clear()
        if serving is not None:
            serving.caller_left()

    # httptools.

    def on_message_begin(self) -> None:
        """Resets the state for a new request; see httptools."""
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._is_in_head = True

    def on_url(self, url: bytes) -> None:
        """Collects a part of the target; see httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; see httptools."""
        if not self._is_in_head:
            # Trailers are ignored: the limits on the head do not cover them.
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Checks the head against the limits; see httptools."""
        if self._parser.should_upgrade():
            # Parsed again.
            return
        self._is_in_head = False
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
                self._continue_expected = True
        self._send_continue()

    def _send_continue(self) -> None:
        # Never within an answer: the caller would read it as a part of that.
        if (self._continue_expected and not self._is_answering and
                not self._pipelined):
            self._continue_expected = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collects a part of the body; see httptools."""
        if self._is_refusing:
            return
        self._body += data
        if len(self._body) > self._server.limits.body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Queues the complete request; see httptools."""
        if self._parser.should_upgrade():
            return
        self.partial_since_ms = 0.0
        self._head_bytes = 0
        self._is_in_head = True
        self._continue_expected = False
        if self._is_refusing:
            return
        request = CallerRequest(self._parser.get_method().decode("latin-1"),
                                self._target.decode("latin-1"), self._headers,
                                bytes(self._body), clock.now_ms())
        self._pipelined.append(request)
        if len(self._pipelined) >= MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        self._serve_next()

    # Answers.

    def _serve_next(self) -> None:
        if self._is_answering or not self._pipelined or self._transport is None:
            return
        self._is_answering = True
        request = self._pipelined.popleft()
        self._reply = reply = replies.Reply(self, request.method)
        serving = run_handler(self._server.handler, request, reply)
        if not reply.ended:
            self._active = serving

    def answered(self) -> None:
        """Closes the connection or continues with the next request."""
        self._is_answering = False
        self._active = None
        self.idle_since_ms = clock.now_ms()
        if self._transport is None:
            return
        is_last = self._reply is not None and self._reply.announced_close
        if is_last:
            self._pipelined.clear()
        if is_last or self.closing:
            self.close()
            return
        self._send_continue()
        self._transport.resume_reading()
        if self._pipelined:
            asyncio.get_running_loop().call_soon(self._serve_next)

    def _refuse(self, status: int) -> None:
        if self._is_refusing:
            return
        self._is_refusing = True
        if self._is_answering or self._pipelined:
            # The caller would read a refusal as the answer to an earlier
            # request.
            self.abort()
            return
        body = replies.REASONS[status].encode()
        method = self._parser.get_method().decode("latin-1")
        self.write(replies.whole_bytes(method, status, [], body, True))
        self._server.on_refused(status)
        self.close()

    def time_out(self) -> None:
        """Refuses a request that did not arrive within the timeout."""
        self._refuse(408)

    def write(self, data: bytes) -> None:
        """Sends bytes; aborts if too many earlier ones are unsent."""
        transport = self._transport
        if (transport is None or transport.is_closing() or self._is_lingering):
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return
        transport.write(data)

    def close(self) -> None:
        """Closes the connection once all written bytes are sent.

        The sending side closes first, and the other one when the caller has
        closed its own, or some time later.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_lingering:
            return
        self._is_lingering = True
        transport.resume_reading()
        with contextlib.suppress(OSError):
            # Not if the caller has reset the connection.
            transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        asyncio.get_running_loop().call_later(LINGER_MS / 1000,
                                              self._end_linger,
                                              self.unsent_bytes > 0)

    def _end_linger(self, had_unsent_bytes: bool) -> None:
        if self._transport is None:
            return
        if had_unsent_bytes:
            # The caller has just got the last of them, or still reads.
            self._linger()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""
        if self._transport is not None:
            self._transport.abort()


class CallerServer:
    """Accepts callers' connections and applies limits and timeouts."""

    def __init__(self, handler: Handler, on_refused: Callable[[int],
                                                              None]) -> None:
        self.handler = handler
        self.on_refused = on_refused
        self.limits = DEFAULT_LIMITS
        # Ordered by arrival, so that runs in simulated time are reproducible.
        self.connections: dict[CallerConnection, None] = {}
        self.stopping = False
        self._servers: list[asyncio.Server] = []
        self._accepting: set[asyncio.Task[Any]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections."""
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
            if connection.partial_since_ms:
                if now_ms - connection.partial_since_ms > self.limits.header_ms:
                    connection.time_out()
            elif connection.is_idle and (now_ms - connection.idle_since_ms
                                         > self.limits.idle_ms):
                connection.close()

    def stop(self) -> None:
        """Has connections close once their queued requests are answered."""
        self.stopping = True

    def close_idle(self, now_ms: float, idle_ms: float) -> None:
        """Closes connections that are not in use and were not lately."""
        for connection in list(self.connections):
            if not connection.busy and (now_ms - connection.idle_since_ms
                                        > idle_ms):
                connection.close()

    def has_new_connections(self, now_ms: float, new_ms: float) -> bool:
        """Whether any connection that is not in use was lately."""
        return any(not each.busy and now_ms - each.idle_since_ms <= new_ms
                   for each in self.connections)

    def close(self) -> None:
        """Stops accepting connections; open ones continue.

        Those that are established but were not accepted yet are accepted: they
        would be reset, and their callers may have sent requests.
        """
        with contextlib.ExitStack() as stack:
            queues = [
                stack.enter_context(each.dup())
                for server in self._servers
                for each in server.sockets
            ]
            for server in self._servers:
                server.close()
            for each in queues:
                self._accept_all(each)

    def _accept_all(self, queue: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        # Until none is left, or no descriptor for it.
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = queue.accept()
                accepted.setblocking(False)
                task = loop.create_task(
                    loop.connect_accepted_socket(lambda: CallerConnection(self),
                                                 accepted))
                self._accepting.add(task)
                task.add_done_callback(self._accepting.discard)

    @property
    def busy(self) -> int:
        """The number of connections that the end of the process would cut."""
        return sum(each.busy for each in self.connections) + len(
            self._accepting)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return sum(each.unsent_bytes for each in self.connections)
