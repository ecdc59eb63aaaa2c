"""HTTP connections to runners and the platform, one request at a time each."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import socket
from typing import Any, Protocol

import httptools
import logbook

from cardamommill import logs
from cardamommill.domain import clock
from cardamommill.transport import bufferbudget, httpheaders

# A connection is established within a few ms, also between two data centres. A
# lost SYN is retransmitted only after 1 s, so an attempt to connect that takes
# longer than this is abandoned.
CONNECT_TIMEOUT_MS = 400
# Passed to TCP_USER_TIMEOUT, the limit for unacknowledged bytes: it detects a
# peer that lost power even while no request waits for an answer.
USER_TIMEOUT_MS = 2500
# A request arrives within this time, or its connection is given up.
MAX_DELIVERY_MS = CONNECT_TIMEOUT_MS + USER_TIMEOUT_MS
# What a peer may send beside bodies: heads, trailers and the frames of chunks,
# which may take as much again as the bodies.
MAX_HEAD_BYTES = 1 << 16
# Idle connections are closed this long before the peer's keep-alive timeout, so
# that a request is rarely sent just as the peer closes the connection.
KEEP_ALIVE_MARGIN_MS = 700
# For peers that announce no keep-alive timeout.
DEFAULT_KEEP_ALIVE_MS = 3000

_LOG = logbook.Logger("upstream")


class Ending(enum.Enum):
    """How an exchange ended, as seen by its connection."""

    COMPLETE = "complete"
    # No byte left this node, so the peer cannot have run the request.
    NOT_SENT = "not-sent"
    # The peer closed or reset the connection.
    BROKEN = "broken"
    # The peer sent bytes that are not valid HTTP.
    NOT_HTTP = "not-http"
    # This node cancelled the exchange.
    CANCELLED = "cancelled"
    # This node has no memory for the rest of the body.
    NO_MEMORY = "no-memory"


@dataclasses.dataclass(slots=True)
class Head:
    """Status and headers of an answer; header names keep their case."""

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)

    def get(self, name: str) -> str | None:
        """Returns the first header of a name, ignoring case."""
        return httpheaders.first_value(self.headers, name)


class Receiver(Protocol):
    """Callbacks for an answer as it arrives."""

    @property
    def keeps_body(self) -> bool:
        """Whether it keeps the body until it is whole; asked after the head."""

    def on_head(self, head: Head) -> bool:
        """Takes a head; returns False to skip an answer to another request."""

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""

    def on_end(self, ending: Ending, reason: str) -> None:
        """Takes the end of the exchange; called once."""


class Connection(asyncio.Protocol):
    """A connection to a peer; httptools calls its ``on_...`` methods.

    Bytes after a complete answer belong to no request. They close the
    connection: the next request on it would get them as its answer.
    """

    def __init__(self,
                 on_idle: Callable[["Connection"], None],
                 budget: bufferbudget.BufferBudget | None = None) -> None:
        """Initialises a connection that is not established.

        Args:
            on_idle: Called when the connection can be reused.
            budget: The memory for bodies; unlimited by default.
        """
        self._on_idle = on_idle
        self._budget = budget or bufferbudget.BufferBudget()
        self._body: bufferbudget.Body | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        # The method of the request in progress.
        self._method = ""
        self._receiver: Receiver | None = None
        self._head = Head()
        # Whether the answer that arrives was rejected by the receiver, as one
        # to another request.
        self._is_skipping = False
        self._has_accepted_head = False
        self._is_in_head = True
        # Whether the head determines where the body ends; if not, it ends with
        # the connection.
        self._is_body_delimited = False
        # Whether the connection may not be reused after this answer.
        self._must_close = False
        self._is_informational = False
        # Received bytes of the answer, less those of bodies and as many again.
        self._overhead_bytes = 0
        self.reusable_until_ms = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open, idle and not about to time out."""
        return (self._transport is not None and
                not self._transport.is_closing() and self._receiver is None and
                clock.now_ms() < self.reusable_until_ms)

    def send(self, request: bytes, receiver: Receiver) -> None:
        """Sends a request and passes its answer to the receiver."""
        self._receiver = receiver
        self._method = request[:max(0, request.find(b" "))].decode("latin-1")
        self._parser = httptools.HttpResponseParser(self)
        self._has_accepted_head = False
        self._must_close = False
        self._overhead_bytes = 0
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(request)
        # No byte was sent if the connection is closed now: either it was closed
        # before, or the write closed it, which happens only if its first send
        # fails. Without this check the request waited until its deadline or was
        # reported as one that may have run.
        if transport is None or transport.is_closing():
            self._finish(Ending.NOT_SENT, "closed before it was sent")

    def cancel(self, receiver: Receiver) -> None:
        """Closes the connection if it still serves this receiver.

        The exchange may have ended, and the connection serve the next one,
        which a close would break.
        """
        if self._receiver is receiver:
            self.close()

    def close(self) -> None:
        """Closes the connection and cancels the exchange on it, if any."""
        if self._transport is not None:
            self._transport.abort()
        self._finish(Ending.CANCELLED, "cancelled")

    # asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket; see asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                            USER_TIMEOUT_MS)
        self.reusable_until_ms = clock.now_ms() + DEFAULT_KEEP_ALIVE_MS

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; see asyncio.Protocol."""
        if self._receiver is None:
            # No request is in progress, so this is an unexpected answer.
            self._log_unexpected_answer(len(data))
            self._abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # The receiver raised an exception: a fault of this node, not of the
            # peer.
            _LOG.exception(logs.line("answer-not-taken"))
            self._abort()
            self._finish(Ending.BROKEN, "a fault of this node")
            return
        except (httptools.HttpParserError,
                httptools.HttpParserUpgrade) as error:
            self._abort()
            self._finish(Ending.NOT_HTTP, f"no HTTP: {type(error).__name__}")
            return
        if self._overhead_bytes > MAX_HEAD_BYTES:
            self._abort()
            self._finish(Ending.NOT_HTTP, "a head without an end")
        elif self._receiver is None:
            # Only after parsing all received bytes is it known that none came
            # after the answer.
            if self._must_close:
                self._abort()
            else:
                self._on_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange; see asyncio.Protocol."""
        self._transport = None
        # An answer without a length ends with its connection. It is incomplete
        # if the connection was reset.
        if exc is None and self._has_accepted_head and (
                not self._is_body_delimited):
            self._finish(Ending.COMPLETE, "")
        else:
            self._finish(Ending.BROKEN, f"closed: {exc or 'end of stream'}")

    # httptools.

    def on_message_begin(self) -> None:
        """Resets the state for a new answer; see httptools."""
        if self._receiver is None:
            self._log_unexpected_answer(0)
            self._must_close = True
        self._head = Head()
        self._is_in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; see httptools."""
        if not self._is_in_head:
            # Trailers are ignored: the receiver already has the head.
            return
        self._head.headers.append(
            (name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Passes the head to the receiver; see httptools."""
        self._is_in_head = False
        if self._receiver is None:
            return
        self._head.status = self._parser.get_status_code()
        self._is_informational = self._head.status < 200
        if self._is_informational:
            return
        self._is_body_delimited = any(
            httpheaders.delimits_body(name.lower(), value.lower())
            for name, value in self._head.headers)
        self._is_skipping = not self._receiver.on_head(self._head)
        self._has_accepted_head = not self._is_skipping
        self._must_close = self._must_close or self._is_skipping
        if self._has_accepted_head and not httpheaders.allows_body(
                self._method, self._head.status):
            # The parser may expect a body, and what follows belongs to no
            # request.
            self._decide_reuse()
            self._finish(Ending.COMPLETE, "")
            return
        if self._has_accepted_head and self._receiver.keeps_body:
            self._body = self._budget.begin(
                self, httpheaders.content_length(self._head.headers))

    def on_body(self, data: bytes) -> None:
        """Passes a part of the body to the receiver; see httptools."""
        self._overhead_bytes -= 2 * len(data)
        if self._receiver is None:
            self._must_close = True
        if self._receiver is not None and self._has_accepted_head:
            self._receiver.on_body(data)
        if self._body is not None:
            self._budget.grow(self._body, len(data))

    def on_message_complete(self) -> None:
        """Ends the exchange; see httptools."""
        if self._receiver is None or self._is_informational:
            return
        if self._is_skipping:
            self._is_skipping = False
            return
        self._decide_reuse()
        self._finish(Ending.COMPLETE, "")

    def _decide_reuse(self) -> None:
        transport = self._transport
        # The answer may be complete while the request is still being sent. The
        # peer continues to read its body and would take the next request's
        # bytes for the rest of it.
        unsent = transport is None or transport.get_write_buffer_size() > 0
        if unsent or not self._parser.should_keep_alive():
            self._must_close = True
        timeout = httpheaders.keep_alive_ms(self._head.headers)
        if timeout is None:
            timeout = DEFAULT_KEEP_ALIVE_MS
        self.reusable_until_ms = clock.now_ms() + timeout - KEEP_ALIVE_MARGIN_MS

    def _finish(self, ending: Ending, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        body, self._body = self._body, None
        if body is not None:
            self._budget.end(body)
            self.resume_reading()
        if receiver is None:
            return
        receiver.on_end(ending, reason)

    # Bodies; see `bufferbudget.BodyHolder`.

    def pause_reading(self) -> None:
        """Stops reading until memory for the body is free."""
        if self._transport is not None:
            self._transport.pause_reading()
            _LOG.info(
                logs.line("body-waits",
                          peer=self._peer(),
                          used_bytes=self._budget.used_bytes))

    def resume_reading(self) -> None:
        """Goes on with reading."""
        if self._transport is not None:
            self._transport.resume_reading()

    def end_body(self, received_bytes: int) -> None:
        """Ends the exchange, whose body is the largest without a length."""
        _LOG.warning(
            logs.line("body-ended",
                      peer=self._peer(),
                      received_bytes=received_bytes,
                      used_bytes=self._budget.used_bytes))
        self._abort()
        self._finish(Ending.NO_MEMORY, "no memory for an answer without length")

    def _peer(self) -> str:
        transport = self._transport
        peer = transport.get_extra_info("peername") if transport else None
        return ":".join(map(str, peer or ()))

    def _log_unexpected_answer(self, count: int) -> None:
        _LOG.warning(
            logs.line("answer-unasked", peer=self._peer(), bytes=count or ""))

    def _abort(self) -> None:
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()


Address = tuple[str, int]


class Pool:
    """A pool of connections to peers; closes the idle ones on exit.

    Attributes:
        budget: The memory for bodies that arrive on them.
    """

    def __init__(self) -> None:
        self.budget = bufferbudget.BufferBudget()
        self._idle: dict[Address, list[Connection]] = {}
        self._opening: set[asyncio.Task[None]] = set()

    def __enter__(self) -> "Pool":
        return self

    def __exit__(self, *exception: object) -> None:
        for task in self._opening:
            task.cancel()
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def send(self,
             address: Address,
             request: bytes,
             receiver: Receiver,
             new_connection: bool = False) -> "Exchange":
        """Sends a request and returns its exchange, which can be cancelled.

        Args:
            address: Host and port of the peer.
            request: Head and body, encoded.
            receiver: Takes the answer.
            new_connection: Whether to open a connection for this request only
                instead of reusing an idle one; it is closed afterwards.
        """
        exchange = Exchange(receiver)
        connection = None if new_connection else self._take_idle(address)
        # A connection opened for one request is closed after it and not pooled.
        # The next such request opens its own: when they were pooled, idle ones
        # accumulated up to the runner's connection limit, and the runner reset
        # further ones.
        on_idle = Connection.close if new_connection else (
            lambda one: self._idle.setdefault(address, []).append(one))
        if connection is not None:
            exchange.connection = connection
            connection.send(request, receiver)
            return exchange
        task = asyncio.get_running_loop().create_task(
            self._open_and_send(address, request, receiver, exchange, on_idle))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return exchange

    def idle_count(self) -> int:
        """Returns the number of idle connections."""
        return sum(map(len, self._idle.values()))

    def has_idle(self, address: Address) -> bool:
        """Whether a request to a peer can reuse an idle connection."""
        return any(each.is_usable for each in self._idle.get(address, ()))

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to a peer whose process has ended."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Closes idle connections that can no longer be reused."""
        for address, connections in list(self._idle.items()):
            kept = [each for each in connections if each.is_usable]
            for connection in connections:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _take_idle(self, address: Address) -> Connection | None:
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_usable:
                return connection
            connection.close()
        return None

    async def _open_and_send(self, address: Address, request: bytes,
                             receiver: Receiver, exchange: "Exchange",
                             on_idle: Callable[[Connection], None]) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(lambda: Connection(on_idle, self.budget),
                                       *address), CONNECT_TIMEOUT_MS / 1000)
        except (OSError, TimeoutError) as error:
            if not exchange.cancelled:
                receiver.on_end(Ending.NOT_SENT,
                                f"connect: {error or 'timed out'}")
            return
        if exchange.cancelled:
            connection.close()
            return
        exchange.connection = connection
        connection.send(request, receiver)


class Exchange:
    """A request in progress and its answer."""

    def __init__(self, receiver: Receiver) -> None:
        self.connection: Connection | None = None
        self.cancelled = False
        self._receiver = receiver

    @property
    def sent(self) -> bool:
        """Whether the request was handed to a connection."""
        return self.connection is not None

    def cancel(self) -> None:
        """Cancels the request; the receiver is called only if it was sent."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.cancel(self._receiver)
