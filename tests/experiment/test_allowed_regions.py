"""Runs nodes against a simulated platform with homes of routes and accounts."""

import pytest

from cardamommill.experiment import deployments, world
from cardamommill.gateway.requests import eligibility
from tests.experiment import test_world

trouble = test_world.trouble
# Of four client accounts, one may run in one region and one in two.
ACCOUNTS = {"tenant1": ("south",), "tenant2": ("north", "south")}
REGIONS = {"a": "north", "b": "south", "c": "west"}


def play(*troubles, route_regions=("north", "west"), accounts=ACCOUNTS):
    kinds = [
        each.model_copy(update={"allowed_regions": route_regions})
        if each.name in ("draft", "status") else each
        for each in test_world.KINDS
    ]
    deployment = deployments.Deployment(
        name="test",
        lead_s=9,
        length_s=9,
        places={
            "a": 2,
            "b": 2,
            "c": 1
        },
        regions=REGIONS,
        account_regions=accounts,
        models=test_world.MODELS,
        kinds=kinds,
        troubles=[deployments.Trouble(**each) for each in troubles])
    return world.play(deployment, 1)


def test_filter_is_what_keeps_requests_in_their_regions(monkeypatch):
    """Shows that the oracle notices requests in another region."""
    monkeypatch.setattr(eligibility.Eligibility, "allows",
                        lambda self, data_centre: True)
    assert {each.rule for each in play().violations} == {"HOME"}


@pytest.mark.parametrize(
    "troubles", [
        [],
        [trouble("heads_reset", 1, count=3, for_s=5)],
        [trouble("runners_dark", 2, place="b", count=4)],
        [trouble("evacuate", 1, place="b", for_s=6)],
        [trouble("place_cut", 2, place="b", for_s=3)],
    ],
    ids=["quiet", "retries", "resumed-streams", "evacuated", "cut-off"])
def test_no_request_leaves_its_regions(troubles):
    """Guards against runners elsewhere when those of the homes fail."""
    outcome = play(*troubles)
    assert not outcome.violations


def test_requests_with_homes_in_two_of_three_regions_are_served():
    """Guards against homes that exclude runners in an allowed region."""
    outcome = play(accounts={})
    assert outcome.share("in-aim") > 0.95


def test_request_whose_restrictions_exclude_each_other_is_refused():
    """Guards against service elsewhere, and against waiting."""
    outcome = play(route_regions=("west",), accounts={"tenant1": ("south",)})
    assert not outcome.violations
    disjoint = [
        each for each in outcome.results
        if each.tenant == "tenant1" and each.kind in ("draft", "status")
    ]
    assert disjoint
    assert all(
        (each.outcome, each.status) == ("refused", 503) for each in disjoint)
