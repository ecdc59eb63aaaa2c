"""Runners that restart under their ids, in the model of the platform."""

import pytest

from tests.experiment import test_sharing, test_world

SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])
PLAIN = tuple(each for each in test_world.KINDS if not each.model)


def play(*troubles, seed, **fields):
    return test_world.play(*troubles, seed=seed, states_born=True, **fields)


@SEEDS
@pytest.mark.parametrize("for_s", [0.3, 1.5, 5.0])
def test_no_rule_is_broken_when_members_restart_under_their_ids(for_s, seed):
    """Requests at the former incarnation may have run and aren't refused.

    Two rounds of restarts hit groups of both data centres, also those that are
    formed anew with runners of the first round.
    """
    outcome = play(test_world.trouble("runners_restart",
                                      2.0,
                                      place="a",
                                      count=3,
                                      for_s=for_s),
                   test_world.trouble("runners_restart",
                                      4.0,
                                      place="b",
                                      count=3,
                                      for_s=for_s),
                   test_world.trouble("plain_restart", 4.5, for_s=for_s),
                   seed=seed,
                   length_s=12.0)
    assert not outcome.violations
    assert outcome.earned > 0.6


@SEEDS
def test_no_rule_is_broken_when_runners_restart_while_nodes_see_it_late(seed):
    """Nodes act on older lists and orders arrive seconds late."""
    outcome = play(test_world.trouble("late_orders", 1.5, for_s=3, factor=0.3),
                   test_world.trouble("store_silent", 2.5, for_s=2.0),
                   test_world.trouble("runners_restart",
                                      2.8,
                                      count=4,
                                      for_s=0.3),
                   test_world.trouble("place_cut", 5.5, place="b", for_s=2.0),
                   test_world.trouble("runners_restart",
                                      6.0,
                                      count=3,
                                      for_s=0.3),
                   seed=seed,
                   length_s=12.0)
    assert not outcome.violations
    assert outcome.earned > 0.4


@SEEDS
def test_runner_that_told_that_it_leaves_is_used_after_its_restart(seed):
    """What it announced in its former life took it out of use for ever."""
    outcome = play(test_world.trouble("plain_leave", 1.0, count=2),
                   test_world.trouble("plain_restart", 2.0, count=2, for_s=0.3),
                   seed=seed,
                   kinds=PLAIN)
    assert not outcome.violations
    assert test_sharing.served(outcome, 4.5, 8.0) > 0.95


@SEEDS
def test_runner_that_asked_for_rest_is_used_after_its_restart(seed):
    outcome = play(test_world.trouble("plain_rest", 1.0, count=2, factor=60.0),
                   test_world.trouble("plain_restart", 2.0, count=2, for_s=0.3),
                   seed=seed,
                   kinds=PLAIN)
    assert not outcome.violations
    assert test_sharing.served(outcome, 4.5, 8.0) > 0.95


def test_births_change_nothing_while_no_runner_restarts():
    """Incarnation ids in place of plain ones must not cost any request."""
    outcome = play(test_world.trouble("runners_dark", count=2),
                   test_world.trouble("runners_drain", 4.0, count=2),
                   seed=1)
    assert not outcome.violations
    assert outcome.earned > 0.8
