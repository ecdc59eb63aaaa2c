"""Tests of attempts at replicas, against a scripted runner."""

import time

import pytest

from cardamommill import events, requesting
from tests import edge

Outcome = requesting.Outcome
STREAM = b'{"stream": true}'
EVENTS = [b'data: {"index": %d}\n\n' % index for index in range(3)]
DONE = b"data: [DONE]\n\n"


def ended(node):
    """Returns how the only attempt ended."""
    return edge.wait_for(lambda: node.of(events.AttemptEnded))[0]


def test_whole_answer():
    with edge.Runner(edge.json_answer()) as runner, edge.Node(
            runner.address) as node:
        reply = node.call(traceparent=f"00-{'a' * 32}-{'b' * 16}-01")
        assert (reply.status, reply.body) == (200, b'{"text": "whole"}')
        assert (ended(node).outcome, ended(node).whole) == (Outcome.RAN, True)
        assert len(runner.work) == 1
        sent = runner.work[0].headers
        assert "authorization" not in sent
        for trace in (sent["traceparent"], reply.headers["traceparent"]):
            assert trace.split("-")[1] == "a" * 32


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_stream(step):
    body = b"".join(EVENTS) + b": a comment\n\n" + DONE

    def script(received, send):
        send(edge.stream_head(received))
        for start in range(0, len(body), step):
            send(edge.chunk(body[start:start + step]))
        send(b"0\r\n\r\n")

    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        reply = node.call(body=STREAM)
        assert (reply.body, reply.whole) == (body, True)
        assert (ended(node).delivered, ended(node).whole) == (3, True)


@pytest.mark.parametrize("name", ["request", "replica", "epoch", "formation"])
@pytest.mark.parametrize("body", [b"{}", STREAM])
def test_foreign_answer_is_dropped(name, body):
    """The answer names another request, or a replica as it was before.

    The runner's VMs may have changed between choice and answer. The caller
    must see no byte of it, and nobody may be told that nothing ran.
    """

    def script(received, send):
        send(
            edge.stream_head(received, **{name: "other"}) +
            edge.chunk(EVENTS[0]) + b"0\r\n\r\n")

    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        reply = node.call(body=body)
        assert (reply.status, b"index" in reply.body) == (503, False)
        assert ended(node).outcome is Outcome.UNKNOWN
        edge.wait_for(lambda: len(runner.received) > len(runner.work))


def test_refusal_by_another_replica_means_not_run():
    """The head was given to another replica before the request arrived.

    It refuses in its own name, and says that it did not run the request; its
    word counts although replica and epoch are not those that were asked.
    """
    script = edge.json_answer(b'{"ran": false}',
                              "421 Misdirected Request",
                              replica="other",
                              epoch=9)
    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        assert node.call().status == 503
        assert ended(node).outcome is Outcome.NOT_RUN


def test_refusal_that_speaks_of_another_request_proves_nothing():
    """A late refusal of a former request comes on a kept connection.

    Taken for this one's, it would say "not run" of a request that runs.
    """
    script = edge.json_answer(b'{"ran": false}',
                              "503 Service Unavailable",
                              request="other")
    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        node.call()
        assert ended(node).outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("body", [b"full", b"[]", b'{"ran": true}', b"{" * 99])
def test_error_without_that_word_is_an_answer(body):
    script = edge.json_answer(body, "503 Service Unavailable")
    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        reply = node.call()
        assert (reply.status, reply.body) == (503, body)
        assert (ended(node).outcome, ended(node).whole) == (Outcome.RAN, True)


def cut_body(received, send):
    send(edge.head(received, Content_Length=100) + b"x" * 99)
    return False


def cut_stream(received, send):
    send(edge.stream_head(received) + edge.chunk(EVENTS[0] + EVENTS[1][:-1]))
    return False


def unframed(received, send):
    send(edge.head(received, Content_Type="text/plain") + b"all of it?")
    return False


@pytest.mark.parametrize("script", [cut_body, cut_stream, unframed])
def test_cut_answer_is_not_passed_on(script):
    """The runner dies in the middle of an answer that is no stream."""
    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        reply = node.call()
        assert (reply.status, reply.whole) == (503, True)
        assert ended(node).outcome is Outcome.UNKNOWN
        assert ended(node).connection_lost is (script is not unframed)


def test_cut_stream_ends_in_an_error_event():
    """The runner dies in the middle of an event.

    The caller has the whole events before it, then an error event, and no
    end of the message that a simple client would take for the whole answer.
    """
    with edge.Runner(cut_stream) as runner, edge.Node(runner.address) as node:
        reply = node.call(body=STREAM)
        assert reply.body.startswith(EVENTS[0] + b"event: error\ndata: {")
        assert not reply.whole
        assert (ended(node).delivered, ended(node).outcome) == (1,
                                                                Outcome.UNKNOWN)


def test_stream_whose_last_event_came_is_whole():
    """The head's connection breaks after the stream's last event.

    The caller has everything; told otherwise, it would send its request again.
    """

    def script(received, send):
        send(edge.stream_head(received) + edge.chunk(EVENTS[0] + DONE))
        return False

    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        reply = node.call(body=STREAM)
        assert (reply.body, reply.whole) == (EVENTS[0] + DONE, True)


def test_connection_refused_means_not_run():
    """Nobody listens at the replica's head.

    No byte was sent, so the caller is told that its request was not run, and
    the node may send it elsewhere.
    """
    with edge.Node("127.0.0.1:1") as node:
        assert node.call().status == 503
        assert ended(node).outcome is Outcome.NOT_RUN


def test_nothing_is_sent_on_evidence_that_ran_out():
    """The node stood still between its choice and the sending."""
    with edge.Runner(edge.json_answer()) as runner, edge.Node(
            runner.address, valid_ms=-1) as node:
        node.call()
        assert ended(node).outcome is Outcome.NOT_RUN
        assert not runner.received


@pytest.mark.parametrize("listens", [True, False])
def test_kept_connection_that_breaks_sends_nothing_twice(listens):
    """Another node takes a request on a kept connection and dies.

    curl sends such a request again by itself. A booking would be made twice,
    and the request that crashed one runner would crash the next.
    """

    def script(received, send):
        if len(runner.work) > 1:
            if not listens:
                runner.stop_listening()
            return False
        attempt = received.headers["cardamommill-attempt"]
        send(
            (f"HTTP/1.1 200 OK\r\nCardamommill-Attempt: {attempt}\r\n"
             "Cardamommill-Outcome: ran\r\nContent-Length: 0\r\n\r\n").encode())

    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        node.kind.remote = True
        assert node.call().status == 200
        assert node.call().status == 503
        second = edge.wait_for(lambda: node.of(events.AttemptEnded)[1:])[0]
        assert (second.outcome, second.connection_lost) == (Outcome.UNKNOWN,
                                                            True)
        assert len(runner.work) == 2


def test_runner_that_had_died_before_has_run_nothing():
    """A runner answers, is killed, and gets the next request.

    It can't have crashed on that; it must be told `not-run`, and not be held
    against the request, also if connections to the runner had been kept.
    """

    def script(received, send):
        # Before its answer, or the next request may come first.
        runner.stop_listening()
        edge.json_answer()(received, send)

    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        assert node.call().status == 200
        assert node.call().status == 503
        second = edge.wait_for(lambda: node.of(events.AttemptEnded)[1:])[0]
        assert (second.outcome, second.connection_lost) == (Outcome.NOT_RUN,
                                                            False)


def test_silent_runner_is_given_up_and_told_so():
    """A head takes a request and says nothing until its deadline.

    The caller gets its final answer then, with an outcome that is not known,
    and the engine is told to stop working on it.
    """
    with edge.Runner(lambda received, send: time.sleep(1)) as runner, edge.Node(
            runner.address) as node:
        reply = node.call(Cardamommill_Deadline_Ms="50")
        assert reply.status == 503
        assert ended(node).outcome is Outcome.UNKNOWN
        edge.wait_for(lambda: [
            each for each in runner.received
            if each.line.startswith("POST /cancel/")
        ])


def test_silent_attempt_is_left_and_a_living_one_is_not():
    """A runner stands still after it took the request.

    Its replica serves no more by then. The attempt ends long before its
    deadline, the engine is told, and nobody may say that it did not run; an
    attempt of which something came of late goes on.
    """
    with edge.Runner(lambda received, send: time.sleep(1)) as runner, edge.Node(
            runner.address) as node:
        sock = node.connect()
        sock.sendall(edge.request())
        edge.wait_for(lambda: runner.received)
        request_id = node.of(events.RequestArrived)[0].head.request_id
        for silent_ms in (60_000, 0):
            node.upstream.abandon(f"{request_id}-1", silent_ms,
                                  "it serves no more")
        assert edge.Reply(sock).status == 503
        assert len(node.of(events.AttemptEnded)) == 1
        assert ended(node).outcome is Outcome.UNKNOWN
        assert ended(node).detail == "it serves no more"
        assert ended(node).silent
        edge.wait_for(lambda: [
            each for each in runner.received
            if each.line.startswith("POST /cancel/")
        ])


def test_answer_above_the_limit_is_given_up():
    script = edge.json_answer(b"x" * 9_000_000)
    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        assert node.call().status == 503
        assert ended(node).outcome is Outcome.UNKNOWN
