"""One thread that drives many pycurl transfers."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import queue
import selectors
import socket
from typing import Self

import logbook
import pycurl

from cardamommill import boottime, units

log = logbook.Logger("curlloop")

# How long the loop sleeps at most; libcurl asks for less where it must.
MAX_SLEEP_S = 1.0

# Called with libcurl's error number (0 for none) and its message.
Done = Callable[[int, str], None]

_WANTED = {
    pycurl.POLL_IN: selectors.EVENT_READ,
    pycurl.POLL_OUT: selectors.EVENT_WRITE,
    pycurl.POLL_INOUT: selectors.EVENT_READ | selectors.EVENT_WRITE,
}


class CurlLoop:
    """Runs transfers; all callbacks run on its thread and must be short.

    A context manager: its thread runs between enter and exit, which drops
    what is still under way without calling back.
    """

    def __init__(self, name: str) -> None:
        self._pool = futures.ThreadPoolExecutor(1, name)
        self._calls: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._multi = pycurl.CurlMulti()
        self._done: dict[pycurl.Curl, Done] = {}
        self._due_at_ms: float | None = None
        self._closing = False

    def __enter__(self) -> Self:
        self._selector.register(self._wake_in, selectors.EVENT_READ)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._running = self._pool.submit(self._run)
        return self

    def __exit__(self, *exception: object) -> None:
        self.call(self._stop)
        self._pool.shutdown()
        self._selector.close()
        self._wake_in.close()
        self._wake_out.close()

    def call(self, function: Callable[[], None]) -> None:
        """Runs a function on the loop's thread, soon; from any thread."""
        self._calls.put(function)
        # A full pipe has woken the loop already.
        with contextlib.suppress(BlockingIOError):
            self._wake_out.send(b"\0")

    def add(self, curl: pycurl.Curl, done: Done) -> None:
        """Starts a transfer; only on the loop's thread.

        Args:
            curl: Its handle, all set up.
            done: Called once when it has ended; the handle is the caller's
                again by then.
        """
        self._done[curl] = done
        self._multi.add_handle(curl)

    def remove(self, curl: pycurl.Curl) -> None:
        """Drops a transfer without calling back; only on the loop's thread."""
        if self._done.pop(curl, None) is not None:
            self._multi.remove_handle(curl)

    def _stop(self) -> None:
        for curl in list(self._done):
            self.remove(curl)
        self._closing = True

    def _run(self) -> None:
        while not self._closing:
            for key, mask in self._selector.select(self._wait_s()):
                self._handle(key, mask)
            # Looked at in each round: sockets that are always ready would
            # else keep every timeout of libcurl from being seen.
            if self._due_at_ms is not None and self._wait_s() == 0:
                self._due_at_ms = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._collect()
        self._multi.close()

    def _wait_s(self) -> float:
        if self._due_at_ms is None:
            return MAX_SLEEP_S
        left_ms = self._due_at_ms - boottime.now_ms()
        return max(0.0, min(MAX_SLEEP_S, left_ms / units.MS_PER_S))

    def _handle(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.fileobj is self._wake_in:
            self._drain()
            return
        flags = (pycurl.CSELECT_IN if mask & selectors.EVENT_READ else 0) | (
            pycurl.CSELECT_OUT if mask & selectors.EVENT_WRITE else 0)
        self._multi.socket_action(key.fd, flags)

    def _drain(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while self._wake_in.recv(4096):
                pass
        with contextlib.suppress(queue.Empty):
            while True:
                self._guard(self._calls.get_nowait())

    def _guard(self, function: Callable[[], None]) -> None:
        # One faulty callback must not end the loop: every other transfer of
        # the node would stand still.
        try:
            function()
        except Exception:
            log.exception("event=callback-failed")

    def _collect(self) -> None:
        remaining = 1
        while remaining:
            remaining, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                self._end(curl, 0, "")
            for curl, number, message in failed:
                self._end(curl, number, message)

    def _end(self, curl: pycurl.Curl, number: int, message: str) -> None:
        done = self._done.pop(curl, None)
        if done is not None:
            self._multi.remove_handle(curl)
            self._guard(lambda: done(number, message))

    def _watch(self, what: int, descriptor: int, multi: object,
               data: object) -> None:
        del multi, data
        if what == pycurl.POLL_REMOVE:
            with contextlib.suppress(KeyError):
                self._selector.unregister(descriptor)
            return
        wanted = _WANTED.get(what)
        if wanted is None:
            return
        try:
            self._selector.modify(descriptor, wanted)
        except KeyError:
            self._selector.register(descriptor, wanted)

    def _set_timer(self, timeout_ms: int) -> None:
        # libcurl's own clock stands still while the VM sleeps. Told that the
        # time is over when by its clock it is not, it sets its timer anew.
        self._due_at_ms = (None if timeout_ms < 0 else boottime.now_ms() +
                           timeout_ms)
