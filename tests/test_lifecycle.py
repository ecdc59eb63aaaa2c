"""Tests of a node's start, pauses and graceful end."""

import pytest

from cardamommill import (
    actions,
    board,
    decisions,
    events,
    lifecycle,
    periods,
    requesting,
)
from tests import edge

TIMING = periods.Timing()
Phase = board.NodePhase


@pytest.fixture
def node():
    made = decisions.Decisions(edge.IDENTITY, TIMING, 1, (lifecycle.Lifecycle,))
    made.board.documents.complete = True
    made.step(events.Tick(), 0)
    assert made.board.life.phase is Phase.SERVING
    return made


def ended(done):
    return [each for each in done if isinstance(each, actions.EndProcess)]


def test_takes_no_traffic_before_all_documents_have_come():
    made = decisions.Decisions(edge.IDENTITY, TIMING, 1, (lifecycle.Lifecycle,))
    made.step(events.Tick(), 0)
    assert made.board.life.phase is Phase.STARTING


def test_evidence_from_before_a_pause_is_not_used(node):
    """A node's VM stands still for five seconds and goes on, unaware.

    Its evidence looks young only because its clock of decisions stood still
    too; meanwhile the VMs may have been given to another replica.
    """
    node.step(events.Paused(5000), 9000)
    assert node.board.life.not_before_ms == 9000


def test_shutdown_waits_for_balancer_and_requests(node):
    """A node is asked to end while it streams.

    Its readiness fails at once; requests that the balancer still sends are
    taken until it can have seen that; the stream ends as it would have.
    """
    node.board.requests.stages["r"] = requesting.Stage.RUNNING
    node.step(events.ShutdownAsked(), 1000)
    assert node.board.life.leaving
    node.step(events.Tick(), 999 + TIMING.balancer_ms)
    assert node.board.life.phase is Phase.SERVING
    assert not ended(node.step(events.Tick(), 1000 + TIMING.balancer_ms))
    assert node.board.life.phase is Phase.DRAINING
    assert not ended(node.step(events.Tick(), 50_000))
    node.board.requests.stages.clear()
    node.board.claims.unrecorded = 1
    assert not ended(node.step(events.Tick(), 50_100))
    node.board.claims.unrecorded = 0
    assert ended(node.step(events.Tick(), 50_200)) == [actions.EndProcess(())]
    assert node.board.life.phase is Phase.ENDED
    assert not node.step(events.Tick(), 50_300)
    assert not node.step(events.ShutdownAsked(), 50_300)


@pytest.mark.parametrize(("event", "at_ms"), [
    (events.ShutdownAsked(), 1100),
    (events.Tick(), 1000 + TIMING.shutdown_ms),
])
def test_second_signal_or_limit_ends_it_and_says_what_was_cut(
        node, event, at_ms):
    """A node is told to end while a request runs that does not end.

    At the limit, or when told again, the process ends; the journal names the
    request that was cut off, which nobody could tell otherwise.
    """
    node.board.requests.stages["r"] = requesting.Stage.RUNNING
    node.step(events.ShutdownAsked(), 1000)
    node.step(events.Tick(), 1000 + TIMING.balancer_ms)
    done = node.step(event, at_ms)
    assert ended(done) == [actions.EndProcess(("r",))]
    assert "1 requests cut off: r" in done[0].detail


def test_asked_to_end_before_it_served():
    """A node is told to end while it still waits for its documents.

    It has no requests; it must end all the same, and not wait to become
    ready first.
    """
    made = decisions.Decisions(edge.IDENTITY, TIMING, 1, (lifecycle.Lifecycle,))
    made.step(events.ShutdownAsked(), 0)
    made.step(events.Tick(), TIMING.balancer_ms)
    assert ended(made.step(events.Tick(), TIMING.balancer_ms + 100))
