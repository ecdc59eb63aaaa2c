"""Tests load that differs from the declared shares of the models."""

from cardamommill.experiment import deployments, world
from cardamommill.gateway.groups import rebalancing
from tests.experiment import test_world

MODELS = tuple(
    each.model_copy(update={
        "share": 0.5,
        "load_s": 4
    }) for each in test_world.MODELS)
DRAFT, ANSWER, *_ = test_world.KINDS
KINDS = (DRAFT.model_copy(update={"per_s": 1}),
         ANSWER.model_copy(update={
             "per_s": 33,
             "answer_tokens": 180
         }))
# By then a model has been loaded, and the groups of its runners are open.
MOVED_MS = 11_000.0


def served_in_time(seed):
    """Returns the fraction of requests in time once groups can have moved."""
    deployment = deployments.Deployment(name="shifted",
                                        lead_s=9,
                                        length_s=18,
                                        places={"a": 3},
                                        domains=2,
                                        models=MODELS,
                                        kinds=KINDS)
    outcome = world.play(deployment, seed)
    assert not outcome.violations
    later = [
        each for each in outcome.results
        if each.at_ms > outcome.started_ms + MOVED_MS
    ]
    return sum(each.outcome == "in-aim" for each in later) / len(later)


def test_groups_move_to_the_model_that_has_the_load(monkeypatch):
    """The smaller model gets nearly all requests but half of the runners."""
    moved = [served_in_time(seed) for seed in (1, 2)]
    monkeypatch.setattr(rebalancing.Rebalancing, "step",
                        lambda *args, **kwargs: iter(()))
    declared = [served_in_time(seed) for seed in (1, 2)]
    assert min(moved) > 0.9
    assert max(declared) < min(moved) - 0.1
