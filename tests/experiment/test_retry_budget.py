"""Tests that all nodes together keep to the retry budget."""

import pytest

from tests.experiment import test_world

PLACES = {"a": 3, "b": 2, "c": 1}
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])
trouble = test_world.trouble
# Heads that fail one after the other have requests repeated all the time.
FAILING_HEADS = [
    trouble("heads_reset", 2.0 + 0.7 * number, count=2, for_s=3.0)
    for number in range(24)
]


def play(*troubles, **fields):
    return test_world.play(
        *FAILING_HEADS, *troubles, **{
            "places": PLACES,
            "kinds": test_world.KINDS[:2],
            "length_s": 20.0,
            "retry_slack": 20.0,
            **fields
        })


@SEEDS
@pytest.mark.parametrize("slack", [0.0, 6.0, 20.0])
def test_failing_heads_alone_do_not_exceed_it(seed, slack):
    assert not play(seed=seed, retry_slack=slack).violations


@SEEDS
def test_nodes_that_start_without_peers_do_not_exceed_it(seed):
    """A node that hears no peer takes the slack of all nodes for itself."""
    outcome = play(trouble("nodes_parted", 1.0, count=16),
                   trouble("all_nodes_kill", 1.5),
                   seed=seed,
                   places={
                       "a": 8,
                       "b": 8
                   })
    assert not outcome.violations


@SEEDS
def test_start_of_all_nodes_does_not_exceed_it(seed):
    """Nodes that start do not know what they sent before."""
    outcome = test_world.play(*(trouble("heads_fail",
                                        6.0 + 0.5 * number,
                                        count=40,
                                        for_s=3.0) for number in range(24)),
                              trouble("all_nodes_kill", 8.0, for_s=0.3),
                              places=PLACES,
                              kinds=test_world.KINDS[:2],
                              length_s=20.0,
                              retry_slack=20.0,
                              seed=seed)
    assert not outcome.violations


@pytest.mark.parametrize("slack", [6.0, 20.0])
def test_runners_that_stand_still_do_not_exceed_it(slack):
    """They take requests when they go on, and others have taken them before."""
    outcome = test_world.play(*(trouble("heads_fail",
                                        29.0 + 0.5 * number,
                                        count=40,
                                        for_s=3.0) for number in range(24)),
                              trouble("runners_frozen",
                                      23.0,
                                      for_s=8.0,
                                      factor=0.7),
                              places=PLACES,
                              kinds=test_world.KINDS[:2],
                              length_s=40.0,
                              retry_slack=slack,
                              seed=3)
    assert not outcome.violations
