"""Tests of the transitions of a reply that no other test covers."""

import asyncio

import pytest

from cardamommill import exceptions
from cardamommill.transport import replies
from tests.gateway import relays


class Connection:
    """A caller's connection that records what is sent on it."""

    closing = False

    def __init__(self):
        self.got = b""
        self.ends = []

    def write(self, data, *how):
        del how
        self.got += data

    def answered(self):
        self.ends.append("answered")

    def abort(self):
        self.ends.append("aborted")


def _reply():
    connection = Connection()
    return replies.Reply(connection), connection


@pytest.mark.parametrize("is_begun", [False, True])
def test_answer_may_be_aborted_before_its_end(is_begun):
    reply, connection = _reply()
    if is_begun:
        reply.start(200, [])
    reply.abort()
    assert reply.ended and connection.ends == ["aborted"]


@pytest.mark.parametrize("step", [
    lambda reply: reply.start(200, []),
    lambda reply: reply.abort(),
])
def test_nothing_is_sent_after_a_complete_answer(step):
    reply, connection = _reply()
    reply.send(200, [], b"own")
    before = connection.got
    with pytest.raises(exceptions.AnswerOutOfOrder):
        step(reply)
    assert (connection.got, connection.ends) == (before, ["answered"])


def test_answer_with_a_step_out_of_order_has_ended():
    """A chunk is written before the head, and the head after it.

    The chunk aborts the connection. The head must not be sent on it, and the
    reply must count as ended.
    """
    reply, connection = _reply()
    with pytest.raises(exceptions.AnswerOutOfOrder):
        reply.write(b"x")
    with pytest.raises(exceptions.AnswerOutOfOrder):
        reply.start(200, [])
    assert reply.ended and (connection.got, connection.ends) == (b"",
                                                                 ["aborted"])


def test_request_with_a_step_out_of_order_is_reported_once():
    """The answer of a stream is ended before its runner ends the stream.

    The second end is out of order and not sent, and the request is reported
    once, as broken off.
    """
    node = relays.FakeNode()

    async def script():
        reply, connection = _reply()
        relays.begin(node, reply=reply)
        await asyncio.sleep(0.01)
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        reply.end()
        first.complete()
        await asyncio.sleep(0.01)
        node.task.result()
        return connection

    connection = asyncio.run(script())
    assert connection.ends == ["answered"]
    assert [reason.partition(":")[0] for _, reason in node.ends
           ] == ["broken off"]
