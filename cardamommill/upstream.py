"""The thread that sends attempts to replicas and reads all their answers."""

from collections.abc import Callable
from concurrent import futures
import selectors
import socket
import threading
import time
from typing import Self

import logbook
import pycurl

from cardamommill import attempts, events, loop

LOG = logbook.Logger("upstream")

CONNECT_TIMEOUT_MS = 1000
CANCEL_TIMEOUT_MS = 2000
KEPT_CONNECTIONS = 256
# Shorter than servers usually keep idle connections: a reused one that the
# server is closing costs an attempt whose outcome nobody knows.
KEPT_S = 4
MAX_IDLE_HANDLES = 256
WAKE_BYTES = 4096
MS_PER_S = 1000

_TO_SELECTOR = {
    pycurl.POLL_IN: selectors.EVENT_READ,
    pycurl.POLL_OUT: selectors.EVENT_WRITE,
    pycurl.POLL_INOUT: selectors.EVENT_READ | selectors.EVENT_WRITE,
}
_TO_CURL = {
    selectors.EVENT_READ:
        pycurl.CSELECT_IN,
    selectors.EVENT_WRITE:
        pycurl.CSELECT_OUT,
    selectors.EVENT_READ | selectors.EVENT_WRITE:
        pycurl.CSELECT_IN | pycurl.CSELECT_OUT,
}


class Upstream:
    """Owns the upstream thread and curl; a context manager.

    Attributes:
        cpu_ns: Processor time that the thread has used.
    """

    def __init__(self, post: Callable[[events.Event], None]) -> None:
        """Makes it.

        Args:
            post: Takes `events.AttemptStarted` and `events.AttemptEnded`.
        """
        self._post = post
        self._calls: list[Callable[[], None]] = []
        self._lock = threading.Lock()
        self._running = True
        self._handles: dict[str, pycurl.Curl] = {}
        self._transfers: dict[pycurl.Curl, attempts.Transfer | None] = {}
        self._idle: list[pycurl.Curl] = []
        self._timer_s = 0.0
        self.cpu_ns = 0

    def __enter__(self) -> Self:
        self._selector = selectors.DefaultSelector()
        self._wake, self._woken = socket.socketpair()
        self._wake.setblocking(False)
        self._woken.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, KEPT_CONNECTIONS)
        self._thread = futures.ThreadPoolExecutor(1, "upstream")
        self._ended = self._thread.submit(self._run)
        return self

    def __exit__(self, *exception: object) -> None:
        self._running = False
        self._call(lambda: None)
        self._thread.shutdown()
        for handle in tuple(self._transfers):
            self._release(handle)
        for handle in self._idle:
            handle.close()
        self._multi.close()
        for end in (self._selector, self._wake, self._woken):
            end.close()
        self._ended.result()

    def start(self, attempt: attempts.Attempt, sink: attempts.Sink) -> None:
        """Sends an attempt; from any thread.

        Args:
            attempt: What to send where.
            sink: Takes the answer, on the upstream thread.
        """
        transfer = attempts.Transfer(attempt, sink, self._post)
        self._call(lambda: self._add(transfer))

    def cancel(self, attempt_id: str) -> None:
        """Gives an attempt up, also at the engine; from any thread.

        Args:
            attempt_id: Which; nothing happens if it has ended.
        """
        self._call(lambda: self._cancel(attempt_id))

    def _call(self, action: Callable[[], None]) -> None:
        with self._lock:
            first = not self._calls
            self._calls.append(action)
        if first:
            try:
                self._wake.send(b"\0")
            except OSError:
                pass  # It has been woken, or it is over.

    def _run(self) -> None:
        while self._running:
            for key, mask in self._selector.select(self._wait_s()):
                if key.fileobj is self._woken:
                    self._woken.recv(WAKE_BYTES)
                else:
                    self._multi.socket_action(key.fd, _TO_CURL[mask])
            with self._lock:
                calls, self._calls = self._calls, []
            for action in calls:
                action()
            if self._timer_s and time.monotonic() >= self._timer_s:
                self._timer_s = 0.0
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._reap()
            self.cpu_ns = time.thread_time_ns()

    def _wait_s(self) -> float | None:
        if not self._timer_s:
            return None
        return max(0.0, self._timer_s - time.monotonic())

    def _set_timer(self, timeout_ms: int) -> None:
        self._timer_s = (time.monotonic() +
                         timeout_ms / MS_PER_S if timeout_ms >= 0 else 0.0)

    def _watch(self, what: int, fd: int, multi: object, data: object) -> None:
        del multi, data
        known = fd in self._selector.get_map()
        if what == pycurl.POLL_REMOVE:
            if known:
                self._selector.unregister(fd)
        elif known:
            self._selector.modify(fd, _TO_SELECTOR[what])
        else:
            self._selector.register(fd, _TO_SELECTOR[what])

    def _add(self, transfer: attempts.Transfer) -> None:
        attempt = transfer.attempt
        left_ms = attempt.deadline_ms - loop.now_ms()
        if not transfer.may_send() or left_ms <= 0:
            self._post(transfer.finish(pycurl.E_OPERATION_TIMEDOUT, ""))
            return
        handle = self._idle.pop() if self._idle else pycurl.Curl()
        _set_up(handle, attempt, transfer, left_ms)
        self._handles[attempt.attempt_id] = handle
        self._transfers[handle] = transfer
        self._multi.add_handle(handle)

    def _cancel(self, attempt_id: str) -> None:
        handle = self._handles.get(attempt_id)
        transfer = self._transfers.get(handle) if handle else None
        if handle and transfer:
            transfer.cancelled = True
            self._release(handle)
            self._tell_engine(transfer.attempt)

    def _tell_engine(self, attempt: attempts.Attempt) -> None:
        # A node that loses its caller's connection cancels by itself.
        if attempt.target.remote_node:
            return
        handle = self._idle.pop() if self._idle else pycurl.Curl()
        _set_common(handle)
        handle.setopt(
            pycurl.URL, f"http://{attempt.target.address}/cancel/"
            f"{attempt.attempt_id}")
        handle.setopt(pycurl.POSTFIELDS, b"")
        handle.setopt(pycurl.TIMEOUT_MS, CANCEL_TIMEOUT_MS)
        handle.setopt(pycurl.WRITEFUNCTION, len)
        self._transfers[handle] = None
        self._multi.add_handle(handle)

    def _reap(self) -> None:
        _, done, failed = self._multi.info_read()
        for handle in done:
            self._end(handle, 0, "")
        for handle, error, detail in failed:
            self._end(handle, error, detail)

    def _end(self, handle: pycurl.Curl, error: int, detail: str) -> None:
        transfer = self._transfers.get(handle)
        self._release(handle)
        if transfer is None:
            return
        ended = transfer.finish(error, detail)
        if transfer.goes_on_at_engine(error):
            self._tell_engine(transfer.attempt)
        self._post(ended)

    def _release(self, handle: pycurl.Curl) -> None:
        self._multi.remove_handle(handle)
        transfer = self._transfers.pop(handle, None)
        if transfer:
            self._handles.pop(transfer.attempt.attempt_id, None)
        handle.reset()
        if len(self._idle) < MAX_IDLE_HANDLES:
            self._idle.append(handle)
        else:
            handle.close()


def _set_common(handle: pycurl.Curl) -> None:
    handle.setopt(pycurl.NOSIGNAL, 1)
    # Neither the environment nor an answer decides whom this node talks to.
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.FOLLOWLOCATION, 0)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.PATH_AS_IS, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.MAXAGE_CONN, KEPT_S)
    handle.setopt(pycurl.TCP_NODELAY, 1)


def _set_up(handle: pycurl.Curl, attempt: attempts.Attempt,
            transfer: attempts.Transfer, left_ms: int) -> None:
    _set_common(handle)
    handle.setopt(pycurl.URL, f"http://{attempt.target.address}{attempt.path}")
    _METHODS.get(attempt.method, _set_other)(handle, attempt)
    lines = [
        f"{name}: {value}" if value else f"{name};"
        for name, value in attempt.headers
    ]
    handle.setopt(pycurl.HTTPHEADER,
                  [line.encode("latin-1") for line in _NOT_BY_CURL + lines])
    handle.setopt(pycurl.TIMEOUT_MS, left_ms)
    handle.setopt(pycurl.FRESH_CONNECT, int(attempt.once))
    handle.setopt(pycurl.PREREQFUNCTION, transfer.before_sending)
    handle.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
    handle.setopt(pycurl.WRITEFUNCTION, transfer.take_body)


def _set_get(handle: pycurl.Curl, attempt: attempts.Attempt) -> None:
    if attempt.body:
        _set_other(handle, attempt)


def _set_head(handle: pycurl.Curl, attempt: attempts.Attempt) -> None:
    del attempt
    handle.setopt(pycurl.NOBODY, 1)


def _set_other(handle: pycurl.Curl, attempt: attempts.Attempt) -> None:
    handle.setopt(pycurl.POSTFIELDS, attempt.body)
    handle.setopt(pycurl.CUSTOMREQUEST, attempt.method)


_METHODS = {"GET": _set_get, "HEAD": _set_head}

# curl would add these by itself.
_NOT_BY_CURL = ["Expect:", "User-Agent:", "Accept:", "Content-Type:"]
