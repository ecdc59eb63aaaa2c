"""Pulls between nodes of a data centre, in datagrams.

A pull is small, frequent and may be lost, since the next one makes up for it.
Over gRPC one costs about a millisecond of processor time at each end, nearly
all of it for waking threads; docs/CAPACITY.md has the figures. What does not
fit a datagram, and everything where nodes have certificates, goes over gRPC.
"""

from collections.abc import Callable
from concurrent import futures
import contextlib
import dataclasses
import secrets
import select
import socket
import struct
import threading
from typing import Self

import logbook

from cardamommill import (
    actions,
    events,
    exceptions,
    logs,
    peering,
    peerwire,
    settings,
    units,
)

OWNER = "peerdatagram"

# Beyond this the network must cut a datagram into many pieces, and the loss of
# one loses all.
MAX_DATAGRAM_BYTES = 8192
MAX_UNANSWERED = 256
MAX_SLEEP_S = 1.0

# After so many datagrams without an answer a peer is asked over gRPC, until
# it has been asked so often in all.
SILENT_PULLS = 3
RETRY_PULLS = 30
MAX_SILENT = 1024

# Kind of message, and the number of the question.
_HEAD = struct.Struct("!cQ")
HEAD_BYTES = _HEAD.size
_QUESTION = b"Q"
_ANSWER = b"A"
# The answer is too large; ask over gRPC.
_TOO_LARGE = b"L"

log = logbook.Logger("peerdatagram")

Post = Callable[[events.Event], None]
Pull = Callable[[actions.PullPeer], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Asked:
    """A question of this node without an answer yet."""

    action: actions.PullPeer
    sent_ms: int
    deadline_ms: int


class DatagramLink:
    """Asks and answers other nodes; a context manager that owns the port.

    Attributes:
        refused: Messages that were not taken.
        sent_bytes: Bytes of all datagrams sent.
        received_bytes: Bytes of all datagrams received.
    """

    def __init__(self, side: settings.PeerSide, post: Post, timeout_ms: int,
                 now_ms: Callable[[], int], pull_otherwise: Pull) -> None:
        """Makes the link.

        Args:
            side: The port; the same number as gRPC's, which is TCP.
            post: Takes events, from any thread.
            timeout_ms: How long an answer may take.
            now_ms: The local monotonic time that the decisions go by.
            pull_otherwise: Asks a peer whose answer fits no datagram.
        """
        self.refused = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._side = side
        self._post = post
        self._timeout_ms = timeout_ms
        self._now_ms = now_ms
        self._pull_otherwise = pull_otherwise
        self._lock = threading.Lock()
        self._asked: dict[int, _Asked] = {}
        # Whom to answer, by the number of a token.
        self._askers: dict[int, tuple[int, tuple[str, int]]] = {}
        self._serial = 0
        # Datagrams without an answer since the last one with, by address.
        self._silent: dict[str, int] = {}
        self._closing = False
        # A datagram proves nothing of its sender, so nodes that have
        # certificates neither send nor take any.
        self._secured = bool(side.tls_certificate)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._pool = futures.ThreadPoolExecutor(1, OWNER)

    def __enter__(self) -> Self:
        if self._secured:
            return self
        try:
            self._socket.bind(_address(self._side.address))
        except OSError as error:
            self._socket.close()
            raise exceptions.SettingsError(f"can't listen: {error}",
                                           step="peers",
                                           peer=self._side.address) from error
        self._socket.setblocking(False)
        self._pool.submit(self._run)
        return self

    def __exit__(self, *exception: object) -> None:
        self._closing = True
        if not self._secured:
            # Wakes the thread, which then finds that it is to end.
            with contextlib.suppress(OSError):
                self._socket.sendto(b"", _address(self._side.address))
        self._pool.shutdown()
        self._socket.close()

    def pull(self, action: actions.PullPeer) -> None:
        """Performs `actions.PullPeer`; posts `events.PeerPulled`."""
        data = peerwire.encode(action.request)
        if (self._secured or len(data) > MAX_DATAGRAM_BYTES or
                self._is_unreachable(action.address)):
            self._pull_otherwise(action)
            return
        # Not to be guessed, so that only who was asked can answer.
        number = secrets.randbits(64)
        # Taken before anything is sent: whatever the answer says was true at
        # or before this time, less the age that it names.
        sent_ms = self._now_ms()
        with self._lock:
            self._asked[number] = _Asked(action, sent_ms,
                                         sent_ms + self._timeout_ms)
        self._send(_QUESTION, number, data, _address(action.address))

    def _is_unreachable(self, address: str) -> bool:
        # Where a network lets no datagrams through, nodes would never hear of
        # one another although gRPC could reach them.
        silent = self._silent.get(address, 0)
        if silent < SILENT_PULLS:
            return False
        self._silent[address] = (silent + 1) % RETRY_PULLS
        return True

    def answer(self, action: actions.AnswerPeer) -> None:
        """Performs `actions.AnswerPeer` for a question that came here."""
        if action.token.owner != OWNER:
            return
        with self._lock:
            asker = self._askers.pop(action.token.serial, None)
        if asker is None:
            return
        data = peerwire.encode(action.digest)
        fits = len(data) <= MAX_DATAGRAM_BYTES
        self._send(_ANSWER if fits else _TOO_LARGE, asker[0],
                   data if fits else b"", asker[1])

    def _send(self, kind: bytes, number: int, data: bytes,
              to: tuple[str, int]) -> None:
        # One that can't be sent is as good as lost: the timeout tells.
        with contextlib.suppress(OSError):
            self.sent_bytes += self._socket.sendto(
                _HEAD.pack(kind, number) + data, to)

    # --- The receiving thread ---

    def _run(self) -> None:
        while not self._closing:
            select.select((self._socket,), (), (), self._sleep_s())
            self._receive()
            self._expire()

    def _sleep_s(self) -> float:
        with self._lock:
            # All wait equally long, so the oldest ends first.
            oldest = next(iter(self._asked.values()), None)
        if oldest is None:
            # A question asked meanwhile is looked at after this at most; its
            # answer wakes the thread before.
            return self._timeout_ms / units.MS_PER_S
        wait_s = (oldest.deadline_ms - self._now_ms()) / units.MS_PER_S
        return min(max(wait_s, 0.0), MAX_SLEEP_S)

    def _receive(self) -> None:
        for _ in range(MAX_UNANSWERED):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES * 2)
            except BlockingIOError:
                return
            except OSError as error:
                # A peer's host said that nobody listens there.
                log.debug(logs.line("datagram-failed", detail=error))
                continue
            self.received_bytes += len(data)
            if len(data) >= _HEAD.size:
                kind, number = _HEAD.unpack_from(data)
                self._take(kind, number, data[_HEAD.size:], sender)

    def _take(self, kind: bytes, number: int, data: bytes,
              sender: tuple[str, int]) -> None:
        peer = f"{sender[0]}:{sender[1]}"
        try:
            if kind == _QUESTION:
                self._take_question(number, data, sender, peer)
                return
            with self._lock:
                asked = self._asked.get(number)
                # Late, doubled, or from somebody who was not asked.
                if asked is None or asked.action.address != peer:
                    return
                del self._asked[number]
                self._silent.pop(peer, None)
            if kind == _ANSWER:
                digest = peerwire.decode(data, peering.Digest, peer)
                self._post(
                    events.PeerPulled(asked.action.address, digest,
                                      asked.sent_ms))
            else:
                self._pull_otherwise(asked.action)
        except exceptions.BadPeerMessage as error:
            self.refused += 1
            log.warning(
                logs.line("peer-refused",
                          step=error.step,
                          peer=error.peer,
                          detail=error.message))

    def _take_question(self, number: int, data: bytes, sender: tuple[str, int],
                       peer: str) -> None:
        request = peerwire.decode(data, peering.PullRequest, peer)
        with self._lock:
            self._serial += 1
            token = events.Token(OWNER, self._serial)
            self._askers[token.serial] = (number, sender)
            # Without a bound a control thread that stands still would let
            # questions pile up; the oldest are given up by who asked them.
            if len(self._askers) > MAX_UNANSWERED:
                del self._askers[next(iter(self._askers))]
        self._post(events.PeerAsked(token, request))

    def _expire(self) -> None:
        now_ms = self._now_ms()
        ended = []
        with self._lock:
            for number, asked in list(self._asked.items()):
                if asked.deadline_ms > now_ms:
                    break
                ended.append(self._asked.pop(number))
                address = asked.action.address
                if address in self._silent or len(self._silent) < MAX_SILENT:
                    self._silent[address] = self._silent.get(address, 0) + 1
        for asked in ended:
            self._post(
                events.PeerPulled(asked.action.address, None, asked.sent_ms))


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
