"""Tests of live requests: one answer each, and only its own bytes."""

import dataclasses
import json
import threading

import hypothesis
from hypothesis import strategies as st
import pytest
from werkzeug import datastructures

from cardamommill import (
    actions,
    answerhead,
    answering,
    events,
    eventstream,
    hops,
    http1,
    requesting,
    sinks,
    tracing,
)
from tests import claimfleet, edge

Outcome = requesting.Outcome
STREAM = b'{"stream": true}'
DONE = b"data: [DONE]\n\n"


def an_event(index, text="x"):
    return b'data: {"index": %d, "text": "%s"}\n\n' % (index, text.encode())


def resume(node, address, **more):
    """Returns an end handler that goes on with a second attempt."""

    def on_end(event, now_ms):
        if event.whole:
            return (actions.Finish(event.request_id, 2),)
        if event.attempt_id.endswith("-2"):
            return (actions.Refuse(event.request_id, edge.problem()),)
        head = node[0].of(events.RequestArrived)[-1].head
        values = {"resume_from": event.delivered} | more
        return (edge.dispatch(head, address(), now_ms + 5000, 2, **values),)

    return on_end


@pytest.mark.parametrize("cut", range(0, 5 * len(an_event(0)), 17))
def test_stream_goes_on_at_another_replica_without_gap_or_repeat(cut):
    """The runner dies after any number of bytes, in the middle of an event.

    The caller has some whole events. The next replica goes on after those;
    half an event that had been passed on would be followed by all of it.
    """
    whole = b"".join(map(an_event, range(5)))

    def first(received, send):
        send(edge.stream_head(received) + edge.chunk(whole[:cut] or b":\n\n"))
        return False

    def second(received, send):
        skip = int(received.headers.get("cardamommill-resume-from", 0))
        send(
            edge.stream_head(received) +
            edge.chunk(b"".join(map(an_event, range(skip, 5))) + DONE) +
            b"0\r\n\r\n")

    nodes = []
    with edge.Runner(first) as dying, edge.Runner(second) as other, edge.Node(
            dying.address, on_end=resume(nodes, lambda: other.address)) as node:
        nodes.append(node)
        reply = node.call(body=STREAM)
        assert reply.body.replace(b":\n\n", b"") == whole + DONE
        assert reply.whole
        ends = edge.wait_for(lambda: node.of(events.AttemptEnded)[1:])
        assert ends[0].delivered == 5


def test_engine_that_begins_anew_sends_the_caller_nothing():
    """The document says that the engine can resume, and the engine can't.

    The first replica breaks off after two events; the second ignores the
    offset and begins anew. The caller must get an explicit error: it had got
    the first events twice, in a stream that ended as if whole.
    """

    def first(received, send):
        send(edge.stream_head(received) + edge.chunk(an_event(0) + an_event(1)))
        return False

    def anew(received, send):
        send(
            edge.stream_head(received, resumes=False) +
            edge.chunk(b"".join(map(an_event, range(5))) + DONE) + b"0\r\n\r\n")

    nodes = []
    with edge.Runner(first) as dying, edge.Runner(anew) as other, edge.Node(
            dying.address, on_end=resume(nodes, lambda: other.address)) as node:
        nodes.append(node)
        reply = node.call(body=STREAM)
    assert reply.body.startswith(an_event(0) + an_event(1) + b"event: error")
    assert DONE not in reply.body


def test_resume_from_elsewhere_is_not_sent():

    def first(received, send):
        send(edge.stream_head(received) + edge.chunk(an_event(0)))
        return False

    nodes = []
    with edge.Runner(first) as dying, edge.Runner(
            edge.json_answer()) as other, edge.Node(dying.address,
                                                    on_end=resume(
                                                        nodes,
                                                        lambda: other.address,
                                                        resume_from=7)) as node:
        nodes.append(node)
        reply = node.call(body=STREAM)
        assert b"event: error" in reply.body
        ends = edge.wait_for(lambda: node.of(events.AttemptEnded)[1:])
        assert ends[0].outcome is Outcome.NOT_RUN
        assert not other.received


def test_late_bytes_of_an_attempt_that_was_given_up_are_dropped():
    """The first replica stalls, the request goes to a second one.

    Then the first one wakes up and sends its answer too. The caller must get
    one of the two, whole, and not a mixture.
    """
    late = threading.Event()

    def first(received, send):
        send(edge.stream_head(received) + edge.chunk(an_event(0, "first")))
        late.wait(5)
        send(edge.chunk(an_event(1, "first") + DONE) + b"0\r\n\r\n")

    def second(received, send):
        send(edge.stream_head(received) + edge.chunk(an_event(1, "second")))
        late.set()
        edge.wait_for(lambda: len(stalled.received) > 1)
        send(edge.chunk(an_event(2, "second") + DONE) + b"0\r\n\r\n")

    with edge.Runner(first) as stalled, edge.Runner(second) as other, edge.Node(
            stalled.address) as node:
        sock = node.connect()
        sock.sendall(edge.request(body=STREAM))
        arrived = edge.wait_for(lambda: node.of(events.RequestArrived))[0].head
        live = node.exchange._live[arrived.request_id]
        edge.wait_for(lambda: live.delivered)
        node.exchange.perform(
            actions.CancelAttempt(arrived.request_id,
                                  f"{arrived.request_id}-1"))
        node.exchange.perform(
            edge.dispatch(arrived,
                          other.address,
                          arrived.received_ms + 5000,
                          2,
                          resume_from=1))
        reply = edge.Reply(sock)
        assert reply.body == (an_event(0, "first") + an_event(1, "second") +
                              an_event(2, "second") + DONE)
        assert len(edge.wait_for(lambda: node.of(events.AttemptEnded))) == 1


class Listener:
    """A connection that keeps what is written, or whose caller has gone."""

    def __init__(self, gone=False):
        self.gone = gone
        self.written = b""

    def write(self, data, streamed=False):
        self.written += data
        return not self.gone

    def answered(self, keep_alive):
        pass


def make_sink(connection):
    start = http1.RequestStart("POST", "/", 1, datastructures.Headers())
    answer = answering.Answer(connection, start, "r", tracing.Context("t"),
                              True)
    head = dataclasses.replace(claimfleet.head("r"), streaming=True)
    live = sinks.Live(head, (), b"", answer, attempt_id="r-1")
    sink = sinks.AnswerSink(live, "r-1", 1000, False, lambda live: None)
    assert sink.begin(
        answerhead.AnswerHead(200, (("content-type", "text/event-stream"),)))
    return live, sink


def test_attempt_that_was_replaced_at_this_moment_writes_no_more():
    """Its bytes are being read while the control thread gives it up."""
    connection = Listener()
    live, sink = make_sink(connection)
    assert sink.take(an_event(0))
    before = connection.written
    live.attempt_id = "r-2"
    assert not sink.take(an_event(1))
    assert not sink.end(complete=True).whole
    assert connection.written == before
    assert live.delivered == 1


def test_caller_that_has_gone_looks_like_no_failure_of_the_replica():
    """The stream finds the caller's connection broken.

    Ended as failed, the attempt would be sent to another replica before the
    news that the caller has gone arrives.
    """
    _, sink = make_sink(Listener(gone=True))
    assert sink.take(an_event(0))


def test_caller_that_goes_cancels_at_the_engine():

    def script(received, send):
        send(edge.stream_head(received) + edge.chunk(an_event(0)))
        edge.wait_for(lambda: len(runner.received) > 1)

    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        sock = node.connect()
        sock.sendall(edge.request(body=STREAM))
        sock.recv(10)
        sock.close()
        gone, = edge.wait_for(lambda: node.of(events.CallerGone))
        cancelled = edge.wait_for(lambda: runner.received[1:])[0]
        assert cancelled.line.startswith(f"POST /cancel/{gone.request_id}-1 ")
        edge.wait_for(lambda: not node.exchange.count)


def test_each_request_gets_one_answer_whoever_is_first():
    """An answer and a refusal come at the same moment, many times."""

    def on_end(event, now_ms):
        return (actions.Refuse(event.request_id, edge.problem()),
                actions.Finish(event.request_id, 1),
                actions.Refuse(event.request_id, edge.problem()))

    with edge.Runner(edge.json_answer()) as runner, edge.Node(
            runner.address, on_end=on_end) as node:
        sock = node.connect()
        sock.sendall(edge.request() * 20)
        reader = sock.makefile("rb")
        for _ in range(20):
            reply = edge.Reply.of(reader)
            assert (reply.status, reply.body) == (200, b'{"text": "whole"}')
        edge.wait_for(lambda: not node.exchange.count)


def test_recorded_answer_is_replayed_and_kept_answer_handed_back():

    def on_end(event, now_ms):
        return (actions.Refuse(event.request_id, edge.problem()),)

    with edge.Node("127.0.0.1:1", on_end=on_end) as node:
        node.kind.address = "127.0.0.1:1"
        node.kind.on_end = staticmethod(lambda event, now_ms: (actions.Replay(
            event.request_id,
            requesting.RecordedAnswer(201, "text/plain", "caf\xe9")),))
        reply = node.call()
        assert (reply.status, reply.body) == (201, b"caf\xe9")
        assert reply.headers["cardamommill-outcome"] == "ran"


def test_answer_of_a_claimed_request_is_kept_though_its_caller_went():
    """The caller of a booking goes while it runs; its repeat wants the answer.

    So the attempt goes on, and what came is handed back for recording.
    """
    going_on = threading.Event()

    def script(received, send):
        going_on.wait(5)
        edge.json_answer(b"booked")(received, send)

    with edge.Runner(script) as runner, edge.Node("127.0.0.1:1") as node:
        node.kind.address = runner.address
        node.kind.keep = True
        sock = node.connect()
        sock.sendall(
            edge.request(path="/services/drafts/book", Idempotency_Key="k"))
        edge.wait_for(lambda: runner.received)
        sock.close()
        edge.wait_for(lambda: node.of(events.CallerGone))
        going_on.set()
        ended, = edge.wait_for(lambda: node.of(events.AttemptEnded))
        assert ended.outcome is Outcome.RAN
        assert ended.answer.body == "booked"


def remote(received, send, outcome="ran", status="200 OK", body=b"{}"):
    send((f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
          f"Cardamommill-Attempt: {received.headers['cardamommill-attempt']}"
          f"\r\nCardamommill-Outcome: {outcome}\r\n\r\n").encode() + body)


@pytest.mark.parametrize(("said", "status", "outcome", "whole"), [
    ("ran", "200 OK", Outcome.RAN, True),
    ("unknown", "504 Gateway Timeout", Outcome.UNKNOWN, True),
    ("not-run", "503 Service Unavailable", Outcome.NOT_RUN, False),
    ("nonsense", "200 OK", Outcome.UNKNOWN, True),
])
def test_word_of_a_node_of_another_data_centre(said, status, outcome, whole):
    with edge.Runner(lambda received, send: remote(received, send, said, status)
                    ) as other, edge.Node(other.address) as node:
        node.kind.remote = True
        node.call()
        ended, = edge.wait_for(lambda: node.of(events.AttemptEnded))
        assert (ended.outcome, ended.whole) == (outcome, whole)
        received, = other.received
        assert received.line.startswith("POST /services/drafts/v1/")
        sent = received.headers
        assert sent["authorization"] == f"Bearer {edge.KEY}"
        digest = node.of(events.RequestArrived)[0].head.digest
        assert sent["cardamommill-hop-proof"] == hops.proof(
            b"", sent["cardamommill-attempt"], digest)


def test_callers_cannot_name_a_replica_but_may_test_the_stand_in():
    with edge.Runner(edge.json_answer()) as runner, edge.Node(
            runner.address) as node:
        node.call(Cardamommill_Epoch="99", Cardamommill_Standin_Crash="yes")
        sent = runner.received[0].headers
        assert sent["cardamommill-epoch"] == str(edge.EPOCH)
        assert sent["cardamommill-standin-crash"] == "yes"


@hypothesis.given(
    st.lists(st.sampled_from([
        b"data: a\n\n", b"data: b\r\n\r\n", b": comment\n\n",
        b"event: x\ndata: c"
        b"\n\n", DONE
    ]),
             max_size=6), st.lists(st.integers(0, 80), max_size=6))
def test_splitter_gives_whole_events_however_they_are_cut(parts, cuts):
    data = b"".join(parts)
    splitter = eventstream.EventSplitter(1000)
    ends = sorted(min(cut, len(data)) for cut in cuts) + [len(data)]
    start, given = 0, b""
    for end in ends:
        whole = splitter.feed(data[start:end])
        assert not whole or whole[-2:] in (b"\n\n", b"\r\n")
        given, start = given + whole, end
    assert given == data
    assert splitter.done is (DONE in parts)
    counted = [part for part in parts if part[:1] != b":" and part != DONE]
    assert splitter.take_count() == len(counted)


def test_problem_json_tells_all():
    told = json.loads(answering.problem_json(edge.problem(), "r"))
    assert told["outcome"] == "unknown"
    assert (told["step"], told["peer"], told["retry_after_s"]) == ("dispatch",
                                                                   "peer-1", 2)
