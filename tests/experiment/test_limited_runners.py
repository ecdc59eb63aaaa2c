"""Plays runners that ask callers for less, by headers of their answers."""

import pytest

from cardamommill.experiment import deployments
from tests.experiment import test_sharing, test_world

PLACES = {"a": 3, "b": 2, "c": 1}
FROM_S = 1.0
# Some 5 requests a second for each head: it gets more than it takes.
KINDS = (deployments.KindSpec(name="answer",
                              per_s=40,
                              model="small",
                              prompt_tokens=700,
                              answer_tokens=220),)


def play(*troubles, places=PLACES, **fields):
    return test_world.play(
        *troubles, **{
            "places": places,
            "kinds": KINDS,
            "length_s": 12.0,
            **fields
        })


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("places", [PLACES, {"a": 16, "b": 8}])
def test_runner_gets_no_more_than_the_limit_that_it_names(places, seed):
    """Nodes that do not heed a limit, or each for itself, exceed it."""
    outcome = play(test_world.trouble("heads_limited",
                                      FROM_S,
                                      count=2,
                                      factor=1.0),
                   places=places,
                   seed=seed)
    assert not outcome.violations


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("places", [PLACES, {"a": 16, "b": 8}])
def test_runner_that_asks_for_rest_is_left_alone(places, seed):
    """A head that turns all away is the least loaded and drew ever more."""
    outcome = play(test_world.trouble("heads_rest",
                                      FROM_S,
                                      count=2,
                                      factor=3.0,
                                      for_s=8.0),
                   places=places,
                   seed=seed)
    assert not outcome.violations
    assert test_sharing.served(outcome, FROM_S, 12.0) > 0.99
