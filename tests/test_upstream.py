"""Tests of attempts at replicas, against a scripted runner."""

from cardamommill import events, requesting
from tests import edge


def test_whole_answer():
    with edge.Runner(edge.json_answer()) as runner, edge.Node(
            runner.address) as node:
        reply = node.call()
        assert (reply.status, reply.body) == (200, b'{"text": "whole"}')
        ended, = edge.wait_for(lambda: node.of(events.AttemptEnded))
        assert (ended.outcome, ended.whole) == (requesting.Outcome.RAN, True)
        assert len(runner.work) == 1


def test_stream():
    body = b'data: {"index": 0}\n\ndata: {"index": 1}\n\ndata: [DONE]\n\n'

    def script(received, send):
        send(edge.stream_head(received))
        for start in range(0, len(body), 7):
            send(edge.chunk(body[start:start + 7]))
        send(b"0\r\n\r\n")

    with edge.Runner(script) as runner, edge.Node(runner.address) as node:
        reply = node.call(body=b'{"stream": true}')
        assert (reply.body, reply.whole) == (body, True)
        ended, = edge.wait_for(lambda: node.of(events.AttemptEnded))
        assert (ended.delivered, ended.whole) == (2, True)
