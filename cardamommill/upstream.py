"""The thread that sends attempts to replicas and reads all their answers."""

from collections.abc import Callable
from typing import Self

import logbook
import pycurl

from cardamommill import attempts, curlloop, events, loop

log = logbook.Logger("upstream")

CONNECT_TIMEOUT_MS = 1000
CANCEL_TIMEOUT_MS = 2000
# Shorter than servers usually keep idle connections: a reused one that the
# server is closing costs an attempt whose outcome nobody knows.
KEPT_S = 4
MAX_IDLE_HANDLES = 256


class Upstream:
    """Sends attempts and reads their answers; a context manager.

    Its thread runs between enter and exit, and writes what it reads to
    callers itself: measured against handing it to another thread, that takes
    the least processor time for each token (``bench_edge``).
    """

    def __init__(self, post: Callable[[events.Event], None]) -> None:
        """Makes it.

        Args:
            post: Takes `events.AttemptStarted` and `events.AttemptEnded`.
        """
        self._post = post
        self._curl = curlloop.CurlLoop("upstream")
        self._under_way: dict[str, tuple[pycurl.Curl, attempts.Transfer]] = {}
        self._idle: list[pycurl.Curl] = []

    def __enter__(self) -> Self:
        self._curl.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._curl.__exit__(*exception)

    def start(self, attempt: attempts.Attempt, sink: attempts.Sink) -> None:
        """Sends an attempt; from any thread.

        Args:
            attempt: What to send where.
            sink: Takes the answer, on the upstream thread.
        """
        transfer = attempts.Transfer(attempt, sink, self._post)
        self._curl.call(lambda: self._add(transfer))

    def cancel(self, attempt_id: str) -> None:
        """Gives an attempt up, also at the engine; from any thread.

        Args:
            attempt_id: Which; nothing happens if it has ended.
        """
        found = self._under_way.get(attempt_id)
        if found is not None:
            # Seen at once by the upstream thread: no end may be told of an
            # attempt that was given up.
            found[1].cancelled = True
        self._curl.call(lambda: self._cancel(attempt_id))

    def abandon(self, attempt_id: str, silent_ms: int, reason: str) -> None:
        """Ends an attempt if nothing came of it for so long; from any thread.

        Args:
            attempt_id: Which; nothing happens if it has ended.
            silent_ms: For how long it must have been silent.
            reason: Why, for the journal.
        """
        self._curl.call(lambda: self._abandon(attempt_id, silent_ms, reason))

    def _add(self, transfer: attempts.Transfer) -> None:
        attempt = transfer.attempt
        left_ms = attempt.deadline_ms - loop.now_ms()
        if left_ms <= 0 or not transfer.may_send():
            self._post(transfer.finish(pycurl.E_OPERATION_TIMEDOUT, "too late"))
            return
        curl = self._handle()
        try:
            _set_up(curl, attempt, transfer, left_ms)
        except (pycurl.error, ValueError) as error:
            # Nothing was sent; an end without an event would leave the
            # caller waiting until its deadline.
            self._keep(curl)
            self._post(transfer.finish(pycurl.E_URL_MALFORMAT, str(error)))
            return
        self._under_way[attempt.attempt_id] = curl, transfer
        self._curl.add(
            curl,
            lambda number, message: self._end(curl, transfer, number, message))

    def _end(self, curl: pycurl.Curl, transfer: attempts.Transfer, number: int,
             message: str) -> None:
        del self._under_way[transfer.attempt.attempt_id]
        self._keep(curl)
        try:
            ended = transfer.finish(number, message)
        except Exception:
            # Whatever is wrong here, the request must get its end.
            log.exception("event=attempt-failed attempt={}",
                          transfer.attempt.attempt_id)
            ended = transfer.broken_off()
        if transfer.cancelled or transfer.goes_on_at_engine(number):
            self._tell_engine(transfer.attempt)
        if not transfer.cancelled:
            self._post(ended)

    def _cancel(self, attempt_id: str) -> None:
        found = self._under_way.pop(attempt_id, None)
        if found is not None:
            curl, transfer = found
            self._curl.remove(curl)
            self._keep(curl)
            self._tell_engine(transfer.attempt)

    def _abandon(self, attempt_id: str, silent_ms: int, reason: str) -> None:
        found = self._under_way.get(attempt_id)
        if found is None:
            return
        curl, transfer = found
        if transfer.stop_if_silent(silent_ms, reason):
            self._curl.remove(curl)
            self._end(curl, transfer, pycurl.E_OPERATION_TIMEDOUT, reason)

    def _tell_engine(self, attempt: attempts.Attempt) -> None:
        # A node that loses its caller's connection cancels by itself.
        if attempt.target.remote_node:
            return
        curl = self._handle()
        _set_common(curl)
        curl.setopt(
            pycurl.URL, f"http://{attempt.target.address}/cancel/"
            f"{attempt.attempt_id}")
        curl.setopt(pycurl.POSTFIELDS, b"")
        curl.setopt(pycurl.TIMEOUT_MS, CANCEL_TIMEOUT_MS)
        curl.setopt(pycurl.WRITEFUNCTION, len)
        self._curl.add(curl, lambda number, message: self._keep(curl))

    def _handle(self) -> pycurl.Curl:
        return self._idle.pop() if self._idle else pycurl.Curl()

    def _keep(self, curl: pycurl.Curl) -> None:
        if len(self._idle) < MAX_IDLE_HANDLES:
            curl.reset()
            self._idle.append(curl)
        else:
            curl.close()


def _set_common(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.NOSIGNAL, 1)
    # Neither the environment nor an answer decides whom this node talks to.
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.FOLLOWLOCATION, 0)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.MAXAGE_CONN, KEPT_S)
    curl.setopt(pycurl.TCP_NODELAY, 1)


def _set_up(curl: pycurl.Curl, attempt: attempts.Attempt,
            transfer: attempts.Transfer, left_ms: int) -> None:
    _set_common(curl)
    curl.setopt(pycurl.URL, f"http://{attempt.target.address}{attempt.path}")
    _METHODS.get(attempt.method, _set_other)(curl, attempt)
    lines = [
        f"{name}: {value}" if value else f"{name};"
        for name, value in attempt.headers
    ]
    curl.setopt(pycurl.HTTPHEADER,
                [line.encode("latin-1") for line in _NOT_BY_CURL + lines])
    curl.setopt(pycurl.TIMEOUT_MS, left_ms)
    curl.setopt(pycurl.FRESH_CONNECT, int(attempt.once))
    curl.setopt(pycurl.FORBID_REUSE, int(attempt.once))
    curl.setopt(pycurl.PREREQFUNCTION, transfer.before_sending)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.take_body)


def _set_get(curl: pycurl.Curl, attempt: attempts.Attempt) -> None:
    if attempt.body:
        _set_other(curl, attempt)


def _set_head(curl: pycurl.Curl, attempt: attempts.Attempt) -> None:
    del attempt
    curl.setopt(pycurl.NOBODY, 1)


def _set_other(curl: pycurl.Curl, attempt: attempts.Attempt) -> None:
    curl.setopt(pycurl.POSTFIELDS, attempt.body)
    curl.setopt(pycurl.CUSTOMREQUEST, attempt.method)


_METHODS = {"GET": _set_get, "HEAD": _set_head}

# curl would add these by itself.
_NOT_BY_CURL = ["Expect:", "User-Agent:", "Accept:", "Content-Type:"]
