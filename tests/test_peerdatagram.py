"""Tests of pulls in datagrams, over real sockets."""

import contextlib
import dataclasses
import queue
import socket

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import (
    actions,
    events,
    fleet,
    loop,
    peerdatagram,
    peering,
    peerwire,
    processes,
    settings,
)

WAIT_S = 20
ASKER = fleet.NodeIdentity("a", "dc", "r", 1, "127.0.0.1:1", "127.0.0.1:2")
REQUEST = peering.PullRequest(peering.PROTOCOL_VERSION, ASKER)
DIGEST = peering.Digest(peering.PROTOCOL_VERSION, ASKER, sequence=7)
LARGE = dataclasses.replace(DIGEST, drained=("x" * 100,) * 100)


@contextlib.contextmanager
def link(digest=None, timeout_ms=5000, **fields):
    """Yields a link that answers with a digest, what it posted and passed on.

    Without a digest it answers nothing.
    """
    posted: queue.Queue = queue.Queue()
    passed_on: queue.Queue = queue.Queue()

    def post(event):
        posted.put(event)
        if digest and isinstance(event, events.PeerAsked):
            running.answer(actions.AnswerPeer(event.token, digest))
            running.answer(actions.AnswerPeer(event.token, digest))

    side = settings.PeerSide(address=processes.free_address(set()), **fields)
    running = peerdatagram.DatagramLink(side, post, timeout_ms, loop.now_ms,
                                        passed_on.put)
    with running:
        yield running, side.address, posted, passed_on


def test_pull_is_answered_once_and_dated_by_its_question():
    before_ms = loop.now_ms()
    with link(DIGEST) as (_, address, asked, _), link() as (asker, _, posted,
                                                            _):
        asker.pull(actions.PullPeer(address, REQUEST))
        pulled = posted.get(timeout=WAIT_S)
        assert asked.get(timeout=WAIT_S).request == REQUEST
    assert pulled.digest == DIGEST
    assert before_ms <= pulled.sent_ms <= loop.now_ms()
    assert posted.empty()


def test_answer_that_fits_no_datagram_comes_otherwise():
    with link(LARGE) as (_, address, _, _), link() as (asker, _, posted,
                                                       passed_on):
        action = actions.PullPeer(address, REQUEST)
        asker.pull(action)
        assert passed_on.get(timeout=WAIT_S) == action
        assert posted.empty()


def test_silent_peer_is_told_and_then_asked_otherwise():
    """The network lets no datagrams through, or the peer is dead.

    Each pull must end, or the peer would never count as silent; and after a
    few, gRPC must be tried, or two nodes that it could join would never hear
    of one another. Now and then a datagram is tried again.
    """
    with link() as (_, address, _, _), link(timeout_ms=20) as (asker, _, posted,
                                                               passed_on):
        action = actions.PullPeer(address, REQUEST)
        for _ in range(peerdatagram.SILENT_PULLS):
            asker.pull(action)
            assert posted.get(timeout=WAIT_S).digest is None
        for _ in range(peerdatagram.RETRY_PULLS - peerdatagram.SILENT_PULLS):
            asker.pull(action)
        assert passed_on.qsize() == (peerdatagram.RETRY_PULLS -
                                     peerdatagram.SILENT_PULLS)
        asker.pull(action)
        assert posted.get(timeout=WAIT_S).digest is None


def test_late_doubled_and_strange_answers_are_dropped():
    """Somebody sends answers to questions that he was not asked.

    Taken in, they would be evidence that nobody gave. Only the address that
    was asked may answer, once, by the question's number.
    """
    with link(timeout_ms=500) as (asker, address, posted, _):
        with socket.socket(socket.AF_INET,
                           socket.SOCK_DGRAM) as other, (socket.socket(
                               socket.AF_INET, socket.SOCK_DGRAM)) as peer:
            peer.bind(("127.0.0.1", 0))
            peer.settimeout(WAIT_S)
            asker.pull(
                actions.PullPeer(f"127.0.0.1:{peer.getsockname()[1]}", REQUEST))
            question, to = peer.recvfrom(9000)
            answer = b"A" + question[1:9] + peerwire.encode(DIGEST)
            wrong = b"A" + b"\0" * 8 + peerwire.encode(DIGEST)
            other.sendto(answer, to)
            peer.sendto(wrong, to)
            assert posted.get(timeout=WAIT_S).digest is None
            peer.sendto(answer, to)
            # A question to itself shows that all before it was looked at.
            asker.pull(actions.PullPeer(address, REQUEST))
            assert isinstance(posted.get(timeout=WAIT_S), events.PeerAsked)


@hypothesis.given(
    garbage=strategies.lists(strategies.binary(max_size=60), max_size=20))
@hypothesis.settings(max_examples=10)
def test_garbage_stops_nothing(garbage):
    """A stranger sends datagrams to the peers' port, some like real questions.

    Each is refused and counted; the next node's pull is answered as if nothing
    had been.
    """
    with link(DIGEST) as (running, address, _, _), link() as (asker, _, posted,
                                                              _):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for data in garbage:
                stranger.sendto(data, peerdatagram._address(address))
                stranger.sendto(b"Q" + b"\0" * 8 + data,
                                peerdatagram._address(address))
        asker.pull(actions.PullPeer(address, REQUEST))
        assert posted.get(timeout=WAIT_S).digest == DIGEST
        # An empty message names no version, so every garbled one is refused.
        assert running.refused >= len(garbage)


def test_nodes_with_certificates_use_no_datagrams():
    with link(tls_certificate="node.pem") as (asker, address, _, passed_on):
        action = actions.PullPeer(address, REQUEST)
        asker.pull(action)
        assert passed_on.get(timeout=WAIT_S) == action
        with pytest.raises(ConnectionRefusedError), (socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM)) as stranger:
            stranger.connect(peerdatagram._address(address))
            stranger.settimeout(WAIT_S)
            stranger.send(b"")
            stranger.recv(10)
