"""Tests sound runners that are silent for a while and then go on."""

import pytest

from tests.experiment import test_cut_nodes, test_sharing, test_world

trouble = test_world.trouble
# A load at which groups are full while some of them are silent.
KINDS = tuple(
    each.model_copy(update={"per_s": 3.4 * each.per_s})
    for each in test_world.KINDS)

FROM_S = 3.0
LENGTH_S = 8.0


def play(kind, seed):
    """Plays six of ten model runners that do nothing for 1.2 s."""
    return test_cut_nodes.play(trouble(kind, FROM_S, for_s=1.2, factor=0.6),
                               kinds=KINDS,
                               plain_runners=1,
                               seed=seed,
                               length_s=LENGTH_S)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("kind", ["runners_silent", "runners_frozen"])
def test_node_does_not_end_answers_of_silent_runners(kind, seed):
    """Nodes left silent groups for others that refused, and had no way back."""
    outcome = play(kind, seed)
    assert "LOST" not in {each.rule for each in outcome.violations}


@pytest.mark.parametrize("seed", [1, 2])
def test_groups_of_frozen_runners_are_not_taken_apart(seed):
    """Their planner took processes that were stopped for a second for dead."""
    outcome = play("runners_frozen", seed)
    counts = [
        sum(count.values())
        for at_ms, count in outcome.open_groups
        if outcome.started_ms + 1000 * FROM_S < at_ms < outcome.started_ms +
        1000 * LENGTH_S
    ]
    assert min(counts) == counts[0]
    assert test_sharing.served(outcome, FROM_S, FROM_S + 1.2) > 0.95
