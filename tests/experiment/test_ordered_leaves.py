"""Tests that nodes don't end answers by their orders to silent runners."""

import pytest

from cardamommill.experiment import modelfleet
from tests.experiment import test_silent_runners


def _has_lost_a_process(runner):
    members = [runner.fleet.runners[each] for each in runner.members]
    return runner.is_unreachable or any(each.is_unreachable for each in members)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_node_does_not_end_answers_by_orders_to_leave(seed, monkeypatch):
    """Members left their groups on the word of a node, and streams were cut.

    The model's rule counts a runner as disrupted that was told to leave, so
    that it excused these answers; here only the end of a process does.
    """
    record = modelfleet.ListedRunner.record_disruption
    monkeypatch.setattr(
        modelfleet.ListedRunner, "record_disruption",
        lambda runner: _has_lost_a_process(runner) and record(runner))
    outcome = test_silent_runners.play("runners_frozen", seed)
    assert "LOST" not in {each.rule for each in outcome.violations}
