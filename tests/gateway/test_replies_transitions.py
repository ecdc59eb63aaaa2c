"""Rows of the table of an answer's steps that no other test tells apart."""

import asyncio

import pytest

from cardamommill import exceptions
from cardamommill.gateway import replies
from tests.gateway import relays


class Line:
    """A caller's connection that keeps what it is told."""

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
    line = Line()
    return replies.Reply(line), line


@pytest.mark.parametrize("is_begun", [False, True])
def test_answer_may_be_broken_off_before_its_end(is_begun):
    reply, line = _reply()
    if is_begun:
        reply.start(200, [])
    reply.abort()
    assert reply.ended and line.ends == ["aborted"]


@pytest.mark.parametrize("step", [
    lambda reply: reply.start(200, []),
    lambda reply: reply.abort(),
])
def test_complete_answer_is_followed_by_nothing(step):
    reply, line = _reply()
    reply.send(200, [], b"own")
    before = line.got
    with pytest.raises(exceptions.AnswerOutOfOrder):
        step(reply)
    assert (line.got, line.ends) == (before, ["answered"])


def test_answer_with_a_step_out_of_order_has_ended():
    """A piece comes before its head, and the head after it.

    The connection was closed for the piece. The head must not go out on it, and
    whoever asks has to learn that nothing more may be sent.
    """
    reply, line = _reply()
    with pytest.raises(exceptions.AnswerOutOfOrder):
        reply.write(b"x")
    with pytest.raises(exceptions.AnswerOutOfOrder):
        reply.start(200, [])
    assert reply.ended and (line.got, line.ends) == (b"", ["aborted"])


def test_request_whose_answer_takes_a_step_out_of_order_is_told_as_ended():
    """Something ends a stream's answer while its runner goes on.

    The runner's own end then can't follow. The step is not taken, and the
    request is told of as broken off, once.
    """
    node = relays.FakeNode()

    async def work():
        reply, line = _reply()
        relays.begin(node, reply=reply)
        await asyncio.sleep(0.01)
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        reply.end()
        first.complete()
        await asyncio.sleep(0.01)
        node.task.result()
        return line

    line = asyncio.run(work())
    assert line.ends == ["answered"]
    assert [reason.partition(":")[0] for _, reason in node.ends
           ] == ["broken off"]
