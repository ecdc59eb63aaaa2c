"""Tests flow control by runners through headers of their answers."""

import pytest

from cardamommill.experiment import deployments
from tests.experiment import test_sharing, test_world

PLACES = {"a": 3, "b": 2, "c": 1}
FROM_S = 1.0
# About 5 requests per second for each head, more than it accepts.
KINDS = (deployments.KindSpec(name="answer",
                              per_s=40,
                              model="small",
                              prompt_tokens=700,
                              answer_tokens=220),)
# A load that three of four groups can carry while one refuses everything.
REDUCED_KINDS = (KINDS[0].model_copy(update={"per_s": 26}),)

PLAIN_PER_S = {"record": 20, "status": 10}
PLAIN = tuple(
    each.model_copy(update={"per_s": PLAIN_PER_S[each.name]})
    for each in test_world.KINDS
    if not each.model)
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])
FLEETS = pytest.mark.parametrize("places", [PLACES, {"a": 16, "b": 8}])


def play(*troubles, places=PLACES, **fields):
    return test_world.play(
        *troubles, **{
            "places": places,
            "kinds": KINDS,
            "length_s": 12.0,
            **fields
        })


@SEEDS
@FLEETS
def test_runner_gets_no_more_than_its_rate_limit(places, seed):
    """Nodes that ignore the limit, or each apply it alone, exceed it."""
    outcome = play(test_world.trouble("heads_limited",
                                      FROM_S,
                                      count=2,
                                      factor=1.0),
                   places=places,
                   seed=seed)
    assert not outcome.violations


@SEEDS
@FLEETS
def test_runner_that_asks_for_rest_gets_few_requests(places, seed):
    """A head that refuses all requests is least loaded and attracts more."""
    outcome = play(test_world.trouble("heads_rest",
                                      FROM_S,
                                      count=2,
                                      factor=3.0,
                                      for_s=8.0),
                   places=places,
                   kinds=REDUCED_KINDS,
                   seed=seed)
    assert not outcome.violations
    assert test_sharing.served(outcome, FROM_S, 12.0) > 0.99


@pytest.mark.parametrize("kind,factor", [("plain_limited", 1.0),
                                         ("plain_rest", 3.0)])
def test_plain_runner_gets_no_more_than_it_asks_for(kind, factor):
    """A plain service has no heads to avoid, only runners to choose from."""
    outcome = play(test_world.trouble(kind,
                                      FROM_S,
                                      count=1,
                                      factor=factor,
                                      for_s=8.0),
                   kinds=PLAIN)
    assert not outcome.violations
    assert test_sharing.served(outcome, FROM_S, 12.0) > 0.98


@SEEDS
@FLEETS
def test_leaving_runner_gets_no_new_requests(places, seed):
    """The store does not learn that it leaves; its entry stays until expiry."""
    outcome = play(test_world.trouble("heads_leave", FROM_S, count=2,
                                      for_s=7.0),
                   places=places,
                   kinds=REDUCED_KINDS,
                   seed=seed)
    assert not outcome.violations
