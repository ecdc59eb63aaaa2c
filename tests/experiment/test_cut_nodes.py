"""Tests nodes that callers and peers reach, but that reach no runner."""

import pytest

from tests.experiment import test_world

PLACES = {"a": 3, "b": 2, "c": 1}
FROM_S = 2.0
LENGTH_S = 12.0
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])
KINDS_OF_CUT = pytest.mark.parametrize(
    "kind", ["nodes_cut", "nodes_reset", "nodes_refused"])
trouble = test_world.trouble


def play(*troubles, **fields):
    return test_world.play(
        *troubles, **{
            "places": PLACES,
            "plain_runners": 2,
            "length_s": LENGTH_S,
            **fields
        })


@SEEDS
@KINDS_OF_CUT
def test_node_that_reaches_no_runner_serves_its_callers(seed, kind):
    """Callers of such a node got 503 while the others served all."""
    outcome = play(trouble(kind, FROM_S, place="a", count=1, for_s=9.0),
                   seed=seed)
    assert not outcome.violations
