"""Connections to runners and to the platform: one answer at a time on each."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import socket
from typing import Any, Protocol

import httptools
import logbook

from cardamommill import logs
from cardamommill.gateway import clock, httpheaders

# A connection that answers within a data centre or two answers in a few ms;
# an opening packet that was dropped is sent again after 1 s.
CONNECT_TIMEOUT_MS = 400
# Unanswered bytes on a connection: a peer without power is found by this even
# where nobody waits for an answer.
USER_TIMEOUT_MS = 2500
# Idle connections go this long before the peer's own time-out, so that a
# request rarely crosses the peer's close.
KEEP_ALIVE_MARGIN_MS = 700
# For peers that name no time-out.
DEFAULT_KEEP_ALIVE_MS = 3000

_LOG = logbook.Logger("upstream")


class Ending(enum.Enum):
    """How an exchange ended, as far as the connection can tell."""

    COMPLETE = "complete"
    # Nothing left this node: the peer can't have run it.
    NOT_SENT = "not-sent"
    # The peer closed or reset.
    BROKEN = "broken"
    # The peer sent what is no HTTP.
    NOT_HTTP = "not-http"
    # This side gave up.
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class Head:
    """An answer's status and headers, names as sent."""

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)

    def get(self, name: str) -> str | None:
        """Returns the first header of a name, whatever its case."""
        return httpheaders.first_value(self.headers, name)


class Receiver(Protocol):
    """Who takes an answer as it arrives."""

    def on_head(self, head: Head) -> bool:
        """Takes a head; False skips this answer as nobody's."""

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""

    def on_end(self, ending: Ending, reason: str) -> None:
        """Takes the end; called once."""


class Connection(asyncio.Protocol):
    """One connection; httptools calls its ``on_...`` methods.

    Bytes after a complete answer belong to no request: the connection is
    closed, or else a later request would get them as its answer.
    """

    def __init__(self, on_idle: Callable[["Connection"], None]) -> None:
        self._on_idle = on_idle
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._receiver: Receiver | None = None
        self._head = Head()
        self._skipping = False
        self._has_head = False
        self._in_head = True
        self._framed = False
        self._tainted = False
        self._informational = False
        self.idle_until_ms = 0.0

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on it."""
        return (self._transport is not None and
                not self._transport.is_closing() and self._receiver is None and
                clock.now_ms() < self.idle_until_ms)

    def send(self, request: bytes, receiver: Receiver) -> None:
        """Sends a request; the receiver gets its answer."""
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._has_head = False
        self._tainted = False
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(request)
        # Lost by now, it was held to its end, or said to have run. Writes close
        # only if their first send failed, which took nothing.
        if transport is None or transport.is_closing():
            self._finish(Ending.NOT_SENT, "closed before it was sent")

    def cancel(self, receiver: Receiver) -> None:
        """Closes the connection if this receiver waits on it.

        Closed for an exchange that had ended, it took the next one with it.
        """
        if self._receiver is receiver:
            self.close()

    def close(self) -> None:
        """Ends the exchange, if one is under way, and the connection."""
        if self._transport is not None:
            self._transport.abort()
        self._finish(Ending.CANCELLED, "cancelled")

    # asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the transport; see asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                           USER_TIMEOUT_MS)
        self.idle_until_ms = clock.now_ms() + DEFAULT_KEEP_ALIVE_MS

    def data_received(self, data: bytes) -> None:
        """Parses what arrived; see asyncio.Protocol."""
        if self._receiver is None:
            # Nobody waits: an answer too many.
            self._tell_unasked(len(data))
            self._drop()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # What takes the answer failed: not the peer's fault.
            _LOG.exception(logs.line("answer-not-taken"))
            self._drop()
            self._finish(Ending.BROKEN, "a fault of this node")
            return
        except (httptools.HttpParserError,
                httptools.HttpParserUpgrade) as error:
            self._drop()
            self._finish(Ending.NOT_HTTP, f"no HTTP: {type(error).__name__}")
            return
        if self._receiver is None:
            # Only now is it known that no bytes came after the answer.
            if self._tainted:
                self._drop()
            else:
                self._on_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange; see asyncio.Protocol."""
        self._transport = None
        # An answer without a length ends with its connection, but one that
        # was reset on the way is not complete.
        if exc is None and self._has_head and not self._framed:
            self._finish(Ending.COMPLETE, "")
        else:
            self._finish(Ending.BROKEN, f"closed: {exc or 'end of stream'}")

    # httptools.

    def on_message_begin(self) -> None:
        """Begins an answer; see httptools."""
        if self._receiver is None:
            self._tell_unasked(0)
            self._tainted = True
        self._head = Head()
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; see httptools."""
        if not self._in_head:
            # Behind a body: its receiver has the head already.
            return
        self._head.headers.append(
            (name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Hands over the head; see httptools."""
        self._in_head = False
        if self._receiver is None:
            return
        self._head.status = self._parser.get_status_code()
        self._informational = self._head.status < 200
        if self._informational:
            return
        self._framed = any(
            _frames(name.lower(), value.lower())
            for name, value in self._head.headers)
        self._skipping = not self._receiver.on_head(self._head)
        self._has_head = not self._skipping
        self._tainted = self._tainted or self._skipping

    def on_body(self, data: bytes) -> None:
        """Hands over a piece; see httptools."""
        if self._receiver is not None and self._has_head:
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Ends the answer; see httptools."""
        if self._receiver is None or self._informational:
            return
        if self._skipping:
            self._skipping = False
            return
        self._settle_reuse()
        self._finish(Ending.COMPLETE, "")

    def _settle_reuse(self) -> None:
        transport = self._transport
        # A request that is still being sent while its answer is complete: the
        # peer reads on, and other bytes would be taken for the body's rest.
        unsent = transport is None or transport.get_write_buffer_size() > 0
        if unsent or not self._parser.should_keep_alive():
            self._tainted = True
        timeout = _keep_alive_ms(self._head)
        self.idle_until_ms = clock.now_ms() + timeout - KEEP_ALIVE_MARGIN_MS

    def _finish(self, ending: Ending, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        receiver.on_end(ending, reason)

    def _tell_unasked(self, count: int) -> None:
        transport = self._transport
        peer = transport.get_extra_info("peername") if transport else None
        _LOG.warning(
            logs.line("answer-unasked",
                      peer=":".join(map(str, peer or ())),
                      bytes=count or ""))

    def _drop(self) -> None:
        self._tainted = True
        if self._transport is not None:
            self._transport.abort()


def _frames(name: str, value: str) -> bool:
    """Whether a header says where the answer ends."""
    return name == "content-length" or (name == "transfer-encoding" and
                                        "chunked" in value)


def _keep_alive_ms(head: Head) -> float:
    for part in (head.get("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = httpheaders.number(value)
        if name.lower() == "timeout" and seconds is not None:
            return seconds * 1000.0
    return DEFAULT_KEEP_ALIVE_MS


Address = tuple[str, int]


class Pool:
    """Kept connections to peers; a context manager that closes them all."""

    def __init__(self) -> None:
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
        """Sends a request; returns what can cancel it.

        Args:
            address: The peer.
            request: Head and body.
            receiver: Who takes the answer.
            new_connection: Whether a kept connection won't do; the new one is
                not kept.
        """
        exchange = Exchange(receiver)
        connection = None if new_connection else self._take(address)
        # Kept though none takes them, they made a runner reset the next one.
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
        """Returns how many connections stand idle."""
        return sum(map(len, self._idle.values()))

    def has_idle(self, address: Address) -> bool:
        """Whether a request to a peer needs no new connection."""
        return any(each.usable for each in self._idle.get(address, ()))

    def close_expired(self) -> None:
        """Closes what has been idle for too long."""
        for address, connections in list(self._idle.items()):
            kept = [each for each in connections if each.usable]
            for connection in connections:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _take(self, address: Address) -> Connection | None:
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.usable:
                return connection
            connection.close()
        return None

    async def _open_and_send(self, address: Address, request: bytes,
                             receiver: Receiver, exchange: "Exchange",
                             on_idle: Callable[[Connection], None]) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(lambda: Connection(on_idle), *address),
                CONNECT_TIMEOUT_MS / 1000)
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
    """A request that is under way."""

    def __init__(self, receiver: Receiver) -> None:
        self.connection: Connection | None = None
        self.cancelled = False
        self._receiver = receiver

    @property
    def sent(self) -> bool:
        """Whether bytes of it left this node."""
        return self.connection is not None

    def cancel(self) -> None:
        """Gives up; the receiver hears nothing if nothing was sent."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.cancel(self._receiver)
