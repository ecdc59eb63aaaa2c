"""Tests of one caller's connection."""

import pytest

from cardamommill import boottime, connection
from tests import edge

SLEPT_MS = 60_000


@pytest.fixture(name="node")
def _node():
    with edge.Runner(edge.json_answer()) as runner, edge.Node(
            runner.address) as made:
        yield made


def _phases(node):
    return [each.phase for each in tuple(node.frontend._connections._open)]


@pytest.mark.parametrize("sent", [edge.request()[:30], edge.request()])
def test_callers_time_runs_while_the_machine_sleeps(node, sent, monkeypatch):
    """A caller sends half a request, or nothing after its answer, and goes.

    The VM was suspended for longer than such a caller may stay. Its connection
    must end at the next look, and not after its whole time once more.
    """
    sock = node.connect()
    sock.sendall(sent)
    is_whole = sent == edge.request()
    if is_whole:
        assert edge.Reply(sock).status == 200
    waits = connection.Phase.IDLE if is_whole else connection.Phase.READING
    edge.wait_for(lambda: _phases(node) == [waits])
    sock.settimeout(3)
    read = boottime.now_ms
    monkeypatch.setattr(boottime, "now_ms", lambda: read() + SLEPT_MS)
    if not is_whole:
        assert edge.Reply(sock).status == 408
    assert sock.recv(1) == b""
