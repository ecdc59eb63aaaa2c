"""Callers' connections: one thread reads them all, any thread answers.

A request that arrives slowly, or never whole, holds a socket and a buffer
within limits but no thread. Weighed against werkzeug's own server: that has
one unbounded thread a connection, no limit on the time in which a request
arrives, and answers streams in a form whose cut looks like an end.
"""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import selectors
import socket
import ssl
import threading
import time
from typing import Protocol, Self

import logbook

from cardamommill import connection as connection_lib
from cardamommill import exceptions, http1, settings, units

log = logbook.Logger("connections")

ACCEPTS_PER_TURN = 64
RECEIVE_BYTES = 65_536
TURN_S = 0.1
# How long a refused caller may go on sending before its connection is cut:
# closing at once would reset it, and it might never see the refusal.
LINGER_MS = 1000
# How long callers may take to read their answers when the node ends.
FLUSH_MS = 3000

Connection = connection_lib.Connection
RECEIVE_BYTES = connection_lib.RECEIVE_BYTES
_Phase = connection_lib.Phase
_now_ms = connection_lib.now_ms


class Handler(Protocol):
    """Who answers the requests."""

    def screen(self, start: http1.RequestStart) -> int:
        """Returns the limit of the body in bytes, or raises RequestError."""

    def answer(self, request: http1.Request, connection: Connection) -> None:
        """Answers, in time, from any thread; runs on a thread of the pool."""

    def refuse(self, error: exceptions.RequestError,
               connection: Connection) -> None:
        """Answers a request that can't be read; must be quick."""


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Figures for the metrics page."""

    open: int
    accepted: int
    refused: int
    timed_out: int


class Connections:
    """Accepts and reads all callers' connections; a context manager.

    Attributes:
        address: Where it listens, once entered.
        counts: Figures for the metrics page.
    """

    def __init__(self, limits: settings.CallerSide, handler: Handler) -> None:
        self._limits = limits
        self._handler = handler
        self._open: set[Connection] = set()
        self._held_bytes = 0
        self._calls: list[Callable[[], None]] = []
        self._calls_lock = threading.Lock()
        self._running = True
        self.address = limits.address
        self.counts = Counts(0, 0, 0, 0)

    def __enter__(self) -> Self:
        host, port = self._limits.address.split(":")
        self._listener = socket.create_server((host, int(port)), backlog=512)
        self._listener.setblocking(False)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._tls = _tls(self._limits)
        self._selector = selectors.DefaultSelector()
        self._wake, wake = socket.socketpair()
        self._wake.setblocking(False)
        self._woken = wake
        wake.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(wake, selectors.EVENT_READ)
        self._pool = futures.ThreadPoolExecutor(self._limits.workers, "caller")
        self._thread = futures.ThreadPoolExecutor(1, "callers")
        self._thread.submit(self._run)
        return self

    def __exit__(self, *exception: object) -> None:
        # The last answers of a graceful shutdown may wait in this process
        # for a slow caller; closing now would cut them off.
        until_ms = _now_ms() + FLUSH_MS
        while _now_ms() < until_ms and any(
                connection.wants_write for connection in tuple(self._open)):
            time.sleep(TURN_S)
        self._running = False
        self.call(lambda: None)
        self._thread.shutdown()
        self._pool.shutdown()
        for connection in tuple(self._open):
            connection.close()
        for each in (self._listener, self._wake, self._woken):
            each.close()
        self._selector.close()

    def call(self, action: Callable[[], None]) -> None:
        """Runs something on the reading thread, soon; from any thread."""
        with self._calls_lock:
            first = not self._calls
            self._calls.append(action)
        if first:
            try:
                self._wake.send(b"\0")
            except OSError:
                pass  # Already woken, or over.

    def _run(self) -> None:
        next_look_ms = 0
        while self._running:
            for key, mask in self._selector.select(TURN_S):
                self._ready(key, mask)
            with self._calls_lock:
                calls, self._calls = self._calls, []
            for action in calls:
                action()
            if _now_ms() >= next_look_ms:
                next_look_ms = _now_ms() + int(TURN_S * units.MS_PER_S)
                self._expire()

    def _ready(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.fileobj is self._listener:
            self._accept()
        elif key.fileobj is self._woken:
            self._woken.recv(RECEIVE_BYTES)
        elif key.data.phase is not _Phase.CLOSED:
            try:
                self._serve(key.data, mask)
            except Exception:
                log.exception("event=connection-failed peer={}", key.data.peer)
                self.drop(key.data)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, peer = self._listener.accept()
            except OSError:
                return
            if len(self._open) >= self._limits.connections:
                sock.close()
                self._count(refused=1)
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls:
                sock = self._tls.wrap_socket(sock,
                                             server_side=True,
                                             do_handshake_on_connect=False)
            connection = Connection(self, sock, f"{peer[0]}:{peer[1]}",
                                    self._limits, self._handler.screen)
            if not self._tls:
                self._wait(connection)
            self._open.add(connection)
            self._selector.register(sock, selectors.EVENT_READ, connection)
            self._count(accepted=1)

    def _serve(self, connection: Connection, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            connection.flush()
            self.watch(connection)
        if mask & selectors.EVENT_READ:
            _READERS[connection.phase](self, connection)

    def watch(self, connection: Connection) -> None:
        """Looks for what the connection now needs."""
        if connection.phase is _Phase.CLOSED:
            return
        if connection.phase is _Phase.LINGERING and connection.flush():
            try:
                connection.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.drop(connection)
                return
        mask = selectors.EVENT_READ
        if connection.wants_write:
            mask |= selectors.EVENT_WRITE
        self._selector.modify(connection.sock, mask, connection)

    def _handshake(self, connection: Connection) -> None:
        assert isinstance(connection.sock, ssl.SSLSocket)
        try:
            connection.sock.do_handshake()
        except connection_lib.WAITS:
            return
        except OSError:
            self.drop(connection)
            return
        self._wait(connection)
        self._read(connection)

    def _read(self, connection: Connection) -> None:
        data = connection.receive()
        while data:
            connection.parser.feed(data)
            # A TLS socket may hold bytes that the selector can't see.
            data = connection.receive() if self._tls else None
            if connection.parser.buffered_bytes > RECEIVE_BYTES:
                self._advance(connection)
        if data == b"":
            self.drop(connection)
        else:
            self._advance(connection)

    def _advance(self, connection: Connection) -> None:
        if connection.phase not in (_Phase.IDLE, _Phase.READING):
            return
        try:
            request = connection.parser.next()
            self._hold(connection)
        except exceptions.RequestError as error:
            connection.phase = _Phase.ANSWERING
            self._count(refused=1)
            self._handler.refuse(error, connection)
            return
        if request:
            connection.phase = _Phase.ANSWERING
            connection.body_bytes = len(request.body)
            self._sum_up(connection)
            self._pool.submit(self._answer, request, connection)
        elif (connection.phase is _Phase.IDLE and
              (connection.parser.start or connection.parser.buffered_bytes)):
            connection.phase = _Phase.READING
            connection.until_ms = _now_ms() + self._limits.read_timeout_ms
        start = connection.parser.start
        if start and start.headers.get("Expect", "").lower() == "100-continue":
            start.headers.remove("Expect")
            connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _hold(self, connection: Connection) -> None:
        self._sum_up(connection)
        if self._held_bytes > self._limits.held_bytes:
            # Each caller is within its own limit, but together they would
            # fill the memory of a small VM and end all streams on it.
            raise http1.refusal("the node holds too many requests", 503)

    def _sum_up(self, connection: Connection) -> None:
        held_bytes = connection.parser.buffered_bytes + connection.body_bytes
        self._held_bytes += held_bytes - connection.counted_bytes
        connection.counted_bytes = held_bytes

    def _answer(self, request: http1.Request, connection: Connection) -> None:
        try:
            self._handler.answer(request, connection)
        except Exception:
            log.exception("event=answer-failed peer={}", connection.peer)
            self._handler.refuse(
                http1.refusal("this node failed before it ran the request",
                              500), connection)

    def _look_out(self, connection: Connection) -> None:
        # While an answer goes out, the caller may send its next request,
        # within a limit, or go.
        data = connection.receive()
        if data:
            connection.parser.feed(data)
        if data == b"" or (connection.parser.buffered_bytes
                           > self._limits.header_bytes + RECEIVE_BYTES):
            self.drop(connection)

    def _discard(self, connection: Connection) -> None:
        if connection.receive() == b"":
            self.drop(connection)

    def answered(self, connection: Connection, keep_alive: bool) -> None:
        """Takes the next request, or ends the connection in good order."""
        if connection.phase is not _Phase.ANSWERING:
            return
        connection.gone = None
        connection.body_bytes = 0
        self._sum_up(connection)
        if keep_alive and self._running:
            self._wait(connection)
            self._advance(connection)
            return
        connection.phase = _Phase.LINGERING
        connection.until_ms = _now_ms() + LINGER_MS
        self.watch(connection)

    def _wait(self, connection: Connection) -> None:
        connection.phase = _Phase.IDLE
        connection.until_ms = _now_ms() + self._limits.idle_timeout_ms

    def _expire(self) -> None:
        now_ms = _now_ms()
        for connection in tuple(self._open):
            if connection.stalled(now_ms):
                self.drop(connection)
            elif (connection.phase is not _Phase.ANSWERING and
                  now_ms >= connection.until_ms and
                  not (connection.phase is _Phase.LINGERING and
                       connection.wants_write)):
                self._time_out(connection)

    def _time_out(self, connection: Connection) -> None:
        if connection.phase is not _Phase.READING:
            self.drop(connection)
            return
        self._count(timed_out=1)
        connection.phase = _Phase.ANSWERING
        self._handler.refuse(
            http1.refusal(
                "the request was not whole after "
                f"{self._limits.read_timeout_ms} ms", 408), connection)

    def drop(self, connection: Connection) -> None:
        """Closes a connection whose caller has gone or is not waited for."""
        if connection.phase is _Phase.CLOSED:
            return
        connection.phase = _Phase.CLOSED
        self._open.discard(connection)
        self._held_bytes -= connection.counted_bytes
        self._selector.unregister(connection.sock)
        connection.close()
        gone, connection.gone = connection.gone, None
        if gone:
            gone()
        self._count()

    def _count(self,
               accepted: int = 0,
               refused: int = 0,
               timed_out: int = 0) -> None:
        counts = self.counts
        self.counts = Counts(len(self._open), counts.accepted + accepted,
                             counts.refused + refused,
                             counts.timed_out + timed_out)


_READERS = {
    _Phase.HANDSHAKE: Connections._handshake,
    _Phase.IDLE: Connections._read,
    _Phase.READING: Connections._read,
    _Phase.ANSWERING: Connections._look_out,
    _Phase.LINGERING: Connections._discard,
}


def _tls(limits: settings.CallerSide) -> ssl.SSLContext | None:
    if not limits.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(limits.tls_certificate, limits.tls_key or None)
    return context
