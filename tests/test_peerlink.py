"""Tests of the gRPC link between nodes, over real sockets."""

import contextlib
import pathlib
import queue
import socket

import grpc
import pytest

from cardamommill import (
    actions,
    events,
    fleet,
    loop,
    peer_pb2,
    peering,
    peerlink,
    peerwire,
    settings,
)

WAIT_S = 20
TIMEOUT_MS = 5000
CERTIFICATES = pathlib.Path(__file__).parent / "certificates"
ASKER = fleet.NodeIdentity("a", "dc", "r", 1, "127.0.0.1:1", "127.0.0.1:2")
ANSWERER = fleet.NodeIdentity("b", "dc", "r", 1, "127.0.0.1:3", "127.0.0.1:4")
REQUEST = peering.PullRequest(peering.PROTOCOL_VERSION, ASKER)
DIGEST = peering.Digest(peering.PROTOCOL_VERSION, ANSWERER, sequence=7)


def side(**fields) -> settings.PeerSide:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    return settings.PeerSide(address=f"127.0.0.1:{port}", **fields)


@contextlib.contextmanager
def server(limits=None, answers=True, timeout_ms=TIMEOUT_MS):
    """Yields a server that answers with `DIGEST`, and what it posted."""
    posted: queue.Queue = queue.Queue()

    def post(event):
        posted.put(event)
        if answers and isinstance(event, events.PeerAsked):
            running.answer(actions.AnswerPeer(event.token, DIGEST))
            # A second answer to the same question must do nothing.
            running.answer(actions.AnswerPeer(event.token, DIGEST))

    running = peerlink.PeerServer(limits or side(), post, timeout_ms)
    with running:
        yield running, posted


def pull(address, limits=None, timeout_ms=TIMEOUT_MS):
    """Returns what a pull posts, and the client."""
    posted: queue.Queue = queue.Queue()
    client = peerlink.PeerClient(limits or side(), posted.put, timeout_ms,
                                 loop.now_ms)
    with client:
        client.pull(actions.PullPeer(address, REQUEST))
        return posted.get(timeout=WAIT_S), client


def test_pull_is_answered_and_dated_by_its_question():
    before_ms = loop.now_ms()
    with server() as (running, posted):
        pulled, client = pull(running.address)
        asked = posted.get(timeout=WAIT_S)
    assert asked.request == REQUEST
    assert pulled.digest == DIGEST
    assert before_ms <= pulled.sent_ms <= loop.now_ms()
    assert client.sent_bytes and client.received_bytes


def test_notice_arrives():
    notice = peering.Notice(peering.PROTOCOL_VERSION,
                            ASKER,
                            lost_vms=(peering.LostVm("vm", "boot"),))
    with server() as (running, posted):
        with peerlink.PeerClient(side(), lambda event: None, TIMEOUT_MS,
                                 loop.now_ms) as client:
            client.notify(actions.NotifyPeer(running.address, notice))
            assert posted.get(timeout=WAIT_S) == events.PeerNotified(notice)


def test_silent_peer_ends_the_pull_without_an_answer():
    """The asked node's control thread stands still.

    The puller hears nothing in time and must be told so once, or else it
    would never count the peer as silent.
    """
    with server(answers=False, timeout_ms=100) as (running, _):
        pulled, _ = pull(running.address, timeout_ms=300)
    assert pulled.digest is None


def test_absent_peer_ends_the_pull_without_an_answer():
    """A peer's process is gone.

    The pull ends as one without an answer, which is how the node learns that
    its evidence from there grows old.
    """
    pulled, _ = pull(side().address)
    assert pulled.digest is None


BAD_REQUESTS = {
    "garbage": b"\xff\xfe\x00garbage",
    "empty": b"",
    "other-version": peer_pb2.PullRequest(version=99).SerializeToString(),
    "too-big": peerwire.encode(REQUEST) + b"\x2a\x04\x0a\x02ab" * 4096,
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_bad_question_is_refused_and_the_next_one_answered(name):
    """A process of another version, or a stranger, talks to the port.

    It gets an error; the decisions never see its message, and the next
    node's question is answered as if nothing had been.
    """
    limits = side(message_bytes=4096)
    with server(limits) as (running, posted):
        with grpc.insecure_channel(running.address) as channel:
            call = channel.unary_unary(f"/{peerlink.SERVICE}/{peerlink.PULL}")
            with pytest.raises(grpc.RpcError) as refused:
                call(BAD_REQUESTS[name], timeout=WAIT_S)
            assert refused.value.code() in (grpc.StatusCode.INVALID_ARGUMENT,
                                            grpc.StatusCode.RESOURCE_EXHAUSTED)
        assert posted.empty()
        pulled, _ = pull(running.address)
        assert pulled.digest == DIGEST


def _odd_handlers(answer):
    """Another implementation of the protocol, which answers nonsense."""
    return (grpc.method_handlers_generic_handler(
        peerlink.SERVICE, {
            peerlink.PULL:
                grpc.unary_unary_rpc_method_handler(
                    lambda request, context: answer.SerializeToString())
        }),)


@pytest.mark.parametrize(
    "answer", (peer_pb2.Digest(version=2), peer_pb2.Digest(version=1),
               peer_pb2.Digest(version=1, drained=["x" * 100] * 50)),
    ids=("other-version", "no-sender", "too-big"))
def test_bad_answer_counts_as_none(answer):
    """A process of another version answers a pull, or answers too much.

    What it says reaches no decision; to the node it is a peer that is away.
    """
    limits = side()
    with peerlink.futures.ThreadPoolExecutor(1) as pool:
        odd = grpc.server(pool)
        odd.add_generic_rpc_handlers(_odd_handlers(answer))
        odd.add_insecure_port(limits.address)
        odd.start()
        pulled, _ = pull(limits.address, side(message_bytes=2048))
        odd.stop(0).wait()
    assert pulled.digest is None


def _tls(name, authority="authority"):
    return side(tls_certificate=str(CERTIFICATES / f"{name}.pem"),
                tls_key=str(CERTIFICATES / f"{name}.key"),
                tls_authority=str(CERTIFICATES / f"{authority}.pem"))


@pytest.mark.parametrize(
    ("limits", "answered"),
    ((_tls("node"), True), (_tls("stranger"), False), (side(), False)),
    ids=("node", "stranger", "plain"))
def test_mutual_tls_answers_nodes_of_the_authority_alone(limits, answered):
    with server(_tls("node")) as (running, posted):
        pulled, _ = pull(running.address, limits, timeout_ms=1000)
        assert posted.empty() != answered
    assert (pulled.digest == DIGEST) == answered
