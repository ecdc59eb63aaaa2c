"""Tests nodes that callers and peers reach, but that reach no runner."""

import pytest

from cardamommill.gateway.shell import alarms, hops
from tests.experiment import test_sharing, test_world

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


@SEEDS
@pytest.mark.parametrize("cut", [
    {
        "place": "a",
        "count": 2
    },
    {
        "place": "a",
        "count": 3
    },
    {
        "count": 4
    },
],
                         ids=["most-of-a", "all-of-a", "most"])
def test_few_sound_nodes_serve_for_most(seed, cut):
    outcome = play(trouble("nodes_cut", FROM_S, for_s=9.0, **cut), seed=seed)
    assert not outcome.violations
    assert test_sharing.served(outcome, FROM_S + 3, FROM_S + 9) > 0.95


@SEEDS
@pytest.mark.parametrize("fault", [
    trouble("node_kill", 6.0, place="b", for_s=1.0),
    trouble("node_stop", 6.0),
    trouble("store_silent", 6.0, for_s=3.0),
    trouble("configuration", 6.0),
    trouble("revoke", 6.0, count=3),
    trouble("runners_dark", 6.0, count=3),
    trouble("runners_dark", 6.0, count=4, for_s=1.0),
    trouble("place_cut", 6.0, place="b", for_s=2.0),
    trouble("nodes_reset", 6.0, place="b", count=2, for_s=4.0),
    trouble("burst", 4.0, for_s=4.0, factor=3),
    trouble("heads_limited", 5.0, count=2, factor=2.0, for_s=5.0),
    trouble("deadly_request", 4.0, for_s=7.0, factor=2.0),
],
                         ids=lambda fault: fault["kind"])
def test_no_rule_is_broken_whatever_happens_meanwhile(seed, fault):
    """Peers that serve for it die, stop, are cut off or lose their groups."""
    outcome = play(trouble("nodes_cut", FROM_S, place="a", count=2, for_s=9.0),
                   fault,
                   seed=seed)
    assert not outcome.violations


@SEEDS
@KINDS_OF_CUT
def test_other_nodes_lose_no_group_to_a_node_that_is_cut_off(
        monkeypatch, seed, kind):
    """Its alarms made them give up groups that served all their requests."""
    given_up = []
    give_up = alarms.Alarms._give_up

    def record(self, key, reason, until_ms, is_dead=True):
        given_up.append(reason)
        give_up(self, key, reason, until_ms, is_dead)

    monkeypatch.setattr(alarms.Alarms, "_give_up", record)
    outcome = play(trouble(kind, FROM_S, place="a", count=2, for_s=9.0),
                   seed=seed)
    assert not outcome.violations
    assert "a peer found a member down" not in given_up


@SEEDS
@KINDS_OF_CUT
def test_node_serves_by_its_own_links_again_after_the_cut(
        monkeypatch, seed, kind):
    """Marks of runners as down must not outlast the cut by seconds."""
    sent_s = []
    started = hops.Hops.started

    def record(self, one, target):
        sent_s.append(one.request.arrived_ms)
        started(self, one, target)

    monkeypatch.setattr(hops.Hops, "started", record)
    outcome = play(trouble(kind, FROM_S, place="a", count=2, for_s=6.0),
                   seed=seed)
    assert not outcome.violations
    assert sent_s
    assert max(sent_s) < outcome.started_ms + 1000 * (FROM_S + 6.0 + 1.0)
    assert test_sharing.served(outcome, FROM_S + 6.0, LENGTH_S) > 0.97


@SEEDS
def test_broken_groups_are_replaced_while_their_planner_is_cut_off(seed):
    """All nodes of a data centre lose the runners, and then members die."""
    outcome = play(trouble("nodes_cut", FROM_S, place="a", count=3, for_s=12.0),
                   trouble("runners_dark", 4.0, place="a", count=3),
                   seed=seed,
                   length_s=14.0)
    assert not outcome.violations
    before = outcome.open_groups[0][1]
    at_ms = outcome.started_ms + 13_000.0
    counts = [
        count for sampled_ms, count in outcome.open_groups
        if outcome.started_ms + 12_000.0 < sampled_ms < at_ms
    ]
    assert before is not None
    assert min(sum(each.values()) for each in counts) >= 6


@SEEDS
@pytest.mark.parametrize("factor", [0.1, 0.5, 0.9])
def test_node_that_loses_some_runners_serves_its_callers(seed, factor):
    outcome = play(trouble("nodes_cut",
                           FROM_S,
                           place="a",
                           count=2,
                           for_s=9.0,
                           factor=factor),
                   seed=seed)
    assert not outcome.violations
    assert test_sharing.served(outcome, FROM_S + 3, FROM_S + 9) > 0.9


def test_hop_is_what_serves_callers_of_such_nodes(monkeypatch):
    """Shows that the rule notices nodes that serve nobody."""
    monkeypatch.setattr(hops.Hops, "find", lambda *_: None)
    outcome = play(trouble("nodes_cut", FROM_S, place="a", count=2, for_s=9.0))
    assert {each.rule for each in outcome.violations} == {"RECOVER"}
