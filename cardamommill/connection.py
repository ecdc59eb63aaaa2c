"""One caller's connection: read by one thread, written by any."""

from collections.abc import Callable
import enum
import socket
import ssl
import threading
from typing import Protocol

from cardamommill import boottime, http1, settings

RECEIVE_BYTES = 65_536

# What a socket raises that can't go on now but may later.
WAITS = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


def now_ms() -> int:
    """Returns whole milliseconds on a clock that goes on while the VM sleeps.

    On one that stands still meanwhile, callers that went
    meanwhile would hold sockets and buffers for their whole time once more.
    """
    return int(boottime.now_ms())


class Owner(Protocol):
    """Reads connections, on its one thread."""

    def call(self, action: Callable[[], None]) -> None:
        """Runs something on the reading thread, soon; from any thread."""

    def watch(self, connection: "Connection") -> None:
        """Looks for what the connection now needs."""

    def drop(self, connection: "Connection") -> None:
        """Closes the connection."""

    def answered(self, connection: "Connection", keep_alive: bool) -> None:
        """Takes the next request, or ends the connection in good order."""


class Phase(enum.Enum):
    """What a connection is doing."""

    HANDSHAKE = enum.auto()
    IDLE = enum.auto()
    READING = enum.auto()
    ANSWERING = enum.auto()
    LINGERING = enum.auto()
    CLOSED = enum.auto()


class Connection:
    """One caller's connection.

    Only the thread of `Connections` reads it and changes its phase. Any
    thread may write; the lock also keeps a TLS socket from being read and
    written at once, which its library does not allow.

    Attributes:
        peer: The caller's address.
        parser: What has arrived.
        phase: What it is doing.
        until_ms: When it must have done so.
        body_bytes: The body of the request that is being answered.
        counted_bytes: What of it stands in the sum over all connections.
        gone: See `on_gone`.
    """

    def __init__(self, owner: Owner, sock: socket.socket, peer: str,
                 limits: settings.CallerSide,
                 screen: Callable[[http1.RequestStart], int]) -> None:
        self.peer = peer
        self.gone: Callable[[], None] | None = None
        self._owner = owner
        self._sock = sock
        self._limits = limits
        self._lock = threading.Lock()
        self._unsent = bytearray()
        self._broken = False
        self._sent_ms = 0
        self.parser = http1.RequestParser(limits.header_bytes, screen)
        self.phase = Phase.HANDSHAKE
        self.until_ms = now_ms() + limits.read_timeout_ms
        self.body_bytes = 0
        self.counted_bytes = 0

    @property
    def sock(self) -> socket.socket:
        """The socket, for the reading thread."""
        return self._sock

    def write(self, data: bytes, streamed: bool = False) -> bool:
        """Sends bytes, or keeps them until the socket takes more.

        Args:
            data: What to send.
            streamed: Whether more may follow without end. A caller that does
                not read its stream is cut off at a limit, since its bytes
                would otherwise fill this process.

        Returns:
            Whether the connection still stands.
        """
        with self._lock:
            if self._broken:
                return False
            waiting = bool(self._unsent)
            if waiting:
                self._unsent += data
            else:
                sent = self._send(data)
                if self._broken or sent == len(data):
                    return self._checked()
                self._unsent += memoryview(data)[sent:]
                self._sent_ms = now_ms()
            if streamed and len(self._unsent) > self._limits.unsent_bytes:
                self._broken = True
                return self._checked()
        if not waiting:
            self._owner.call(lambda: self._owner.watch(self))
        return True

    def _checked(self) -> bool:
        if self._broken:
            self._owner.call(lambda: self._owner.drop(self))
        return not self._broken

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self._sock.send(data)
        except WAITS:
            return 0
        except OSError:
            self._broken = True
            return 0

    def flush(self) -> bool:
        """Sends what was kept; returns whether nothing is left."""
        with self._lock:
            sent = self._send(self._unsent) if self._unsent else 0
            if sent:
                del self._unsent[:sent]
                self._sent_ms = now_ms()
            return not self._unsent

    def stalled(self, now_ms: int) -> bool:
        """Tells whether the caller has taken nothing for too long."""
        with self._lock:
            return self._broken or bool(
                self._unsent
            ) and now_ms - self._sent_ms > self._limits.read_timeout_ms

    def receive(self) -> bytes | None:
        """Returns what came, empty at the end, None if there is nothing."""
        with self._lock:
            try:
                return self._sock.recv(RECEIVE_BYTES)
            except WAITS:
                return None
            except OSError:
                return b""

    @property
    def wants_write(self) -> bool:
        """Whether bytes wait for the socket."""
        return bool(self._unsent)

    def close(self) -> None:
        """Closes the socket; later writes are dropped."""
        with self._lock:
            self._broken = True
            self._unsent.clear()
            self._sock.close()

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Has this called if the caller closes before its answer is whole.

        Args:
            callback: Runs on the reading thread, once at most.
        """

        def remember() -> None:
            if self.phase is Phase.CLOSED:
                callback()
            elif self.phase is Phase.ANSWERING:
                self.gone = callback

        self._owner.call(remember)

    def answered(self, keep_alive: bool) -> None:
        """Tells that the answer was written whole; from any thread."""
        self._owner.call(lambda: self._owner.answered(self, keep_alive))
