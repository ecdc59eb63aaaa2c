"""Tests the slow start of cold runners on nodes in simulated time."""

import pytest

from cardamommill.experiment import deployments
from tests.experiment import test_sharing, test_world

PLACES = {"a": 6, "b": 6}
# About 60 requests a second in each data centre, for two heads of the model.
KINDS = (deployments.KindSpec(name="answer",
                              per_s=120,
                              model="small",
                              prompt_tokens=300,
                              answer_tokens=30),
         deployments.KindSpec(name="status",
                              per_s=100,
                              type="idempotent",
                              deadline_ms=1500))
AWAY = test_world.trouble("cold_return", 2.0, place="a", for_s=4.0)
BACK_S = AWAY["at_s"] + AWAY["for_s"]
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])


def play(*troubles, **fields):
    return test_world.play(
        *troubles, **{
            "places": PLACES,
            "kinds": KINDS,
            "length_s": 12.0,
            "cold_s": 3.0,
            "cold_per_s": 14.0,
            **fields
        })


def failbacks(outcome):
    return [each for each in outcome.violations if each.rule == "FAILBACK"]


@SEEDS
def test_data_centre_that_returns_cold_is_not_flooded(seed):
    """Its empty groups have the lowest cost and attract all requests at once.

    It comes back whole under full traffic: groups are still open by their rows,
    and each node finds its heads idle.
    """
    outcome = play(AWAY, seed=seed)
    assert not failbacks(outcome)


@SEEDS
def test_data_centre_that_returns_cold_gets_requests(seed):
    """A share that no node takes would leave it idle until it is warm.

    Nodes read of its return up to 1.2 s after it. From then on, the plain
    runner alone may get 9 requests a second for the rest of its 3 s: 16.
    """
    outcome = play(AWAY, seed=seed)
    print(outcome.cold_requests)
    assert outcome.cold_requests >= 16
    assert test_sharing.served(outcome, BACK_S, 12.0) > 0.97


@SEEDS
def test_heads_that_become_cold_again_are_not_flooded(seed):
    """A slow start that only follows a runner's start would miss these."""
    outcome = play(test_world.trouble("cold_again", 2.0, count=2),
                   test_world.trouble("cold_again", 4.0, count=3),
                   seed=seed)
    assert not outcome.violations


def test_other_groups_take_what_cold_heads_do_not():
    """Cold heads that hide warm ones would have these requests refused."""
    outcome = play(test_world.trouble("cold_again", 2.0, count=1))
    assert not outcome.violations
    assert test_sharing.served(outcome, 2.0, 6.0) > 0.97


def test_runners_without_a_cold_rate_get_as_many_requests_as_before():
    outcome = play(AWAY, cold_per_s=0.0)
    assert not failbacks(outcome)
    assert test_sharing.served(outcome, BACK_S + 1, 12.0) > 0.97
