"""Tests of how answers of runners are classified."""

import asyncio

import logbook
import pytest

from cardamommill.gateway.requests import attemptresult
from cardamommill.gateway.shell import attempts
from cardamommill.platform import wirenames
from tests.gateway import exchanges

OWN = f"{wirenames.ATTEMPT_ID}: a1\r\n{wirenames.RESPONSE_SEAL}: s\r\n"
OTHER = f"{wirenames.ATTEMPT_ID}: zz\r\n{wirenames.RESPONSE_SEAL}: s\r\n"


def answer(status="200 OK", headers=OWN, body="yes"):
    return (f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n"
            f"\r\n{body}").encode()


def stream(*events, end=True, headers=OWN):
    text = f"HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n"
    for event in events:
        text += f"{len(event):x}\r\n{event}\r\n"
    return (text + ("0\r\n\r\n" if end else "")).encode()


class Sink:
    """Records the ids of events."""

    def __init__(self):
        self.events = []

    def on_head(self, head):
        pass

    def on_event(self, head, event):
        del head
        self.events.append(event.id)
        return True


def attempt(*answers, streaming=False, after_answer="", cancel_ms=1000):
    sink = Sink()

    async def script(pool):
        one = attempts.Attempt("a1", streaming, sink)
        one.exchange = pool.send(exchanges.ADDRESS, b"GET / HTTP/1.1\r\n\r\n",
                                 one)
        asyncio.get_running_loop().call_later(cancel_ms / 1000, one.cancel,
                                              attemptresult.Result.TIMED_OUT,
                                              "late")
        outcome = await one.done
        await asyncio.sleep(0.01)
        return outcome, pool.idle_count()

    (outcome, idle), _ = exchanges.run(script, answers, after_answer)
    return outcome, idle, sink.events


def test_complete_answer_is_passed_on_and_its_connection_pooled():
    outcome, idle, _ = attempt(answer())
    assert outcome.result is attemptresult.Result.ANSWERED
    assert outcome.body == b"yes" and idle == 1


def test_answer_of_another_request_is_skipped():
    # A runner sends an answer twice, and the second one arrives where the
    # answer to the next request is due. Its id shows that it is not for this
    # request.
    outcome, idle, _ = attempt(answer(headers=OTHER, body="no") + answer())
    assert outcome.body == b"yes"
    assert idle == 0


def test_bytes_after_the_answer_close_the_connection():
    outcome, idle, _ = attempt(answer() + answer(headers=OTHER, body="no"))
    assert outcome.body == b"yes"
    assert idle == 0


@pytest.mark.parametrize("text", [
    b"\x00\x01garbage",
    answer(headers=""),
    answer(headers=f"{wirenames.ATTEMPT_ID}: a1\r\n"),
    answer(headers=OWN + "Content-Encoding: gzip\r\n"),
    answer("500 Internal Server Error", headers=""),
])
def test_invalid_or_foreign_answer_counts_as_none(text):
    outcome, _, _ = attempt(text)
    assert outcome.result is attemptresult.Result.BROKEN


def test_runner_that_reports_not_executed_is_trusted():
    outcome, _, _ = attempt(
        answer("503 Service Unavailable", f"{wirenames.NOT_EXECUTED}: 1\r\n",
               ""))
    assert outcome.result is attemptresult.Result.NOT_RUN


def test_answer_without_length_is_complete_unless_reset():
    text = f"HTTP/1.1 200 OK\r\n{OWN}\r\nyes".encode()
    assert attempt(text, after_answer="close")[0].body == b"yes"
    assert attempt(
        text, after_answer="reset")[0].result is attemptresult.Result.BROKEN


def test_truncated_answer_is_broken():
    outcome, _, _ = attempt(answer(body="yes")[:-1], after_answer="close")
    assert outcome.result is attemptresult.Result.BROKEN


def test_stream_is_passed_on_by_events():
    outcome, _, events = attempt(stream("id: 1\ndata: a\n\n",
                                        "id: 2\ndata: b\n\n"),
                                 streaming=True)
    assert outcome.result is attemptresult.Result.STREAMED and events == [1, 2]


def test_partial_event_is_not_passed_on():
    outcome, _, events = attempt(stream("id: 1\ndata: a\n\n", "id: 2\nda"),
                                 streaming=True)
    assert outcome.result is attemptresult.Result.BROKEN and events == [1]


def test_stream_without_its_last_chunk_is_incomplete():
    outcome, _, _ = attempt(stream("id: 1\ndata: a\n\n", end=False),
                            streaming=True,
                            after_answer="close")
    assert outcome.result is attemptresult.Result.BROKEN


def test_runner_that_does_not_answer_times_out():
    outcome, _, _ = attempt(b"", cancel_ms=300)
    assert outcome.result is attemptresult.Result.TIMED_OUT


@pytest.mark.parametrize("answers,event", [
    ((answer(headers=OTHER) + answer(),), "event=answer-skipped"),
    ((answer() + answer(headers=OTHER),), "event=answer-unasked"),
])
def test_unexpected_answer_is_logged(answers, event):
    """A runner answers twice; the second answer belongs to no request.

    Without a log line it cannot be seen whether wrong bytes at a caller came
    from a runner that answers twice.
    """
    with logbook.TestHandler() as handler:
        outcome, idle, _ = attempt(*answers)
    assert outcome.body == b"yes" and idle == 0
    told = [each for each in handler.formatted_records if event in each]
    assert len(told) == 1
