"""Tests which requests are blamed for crashes of runners."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.gateway.requests import crashcauses

DEADLY = 1000


def blamed(crashes, at_ms=lambda number: 5000.0 * number):
    """Returns the blamed requests after crashes with these requests."""
    causes = crashcauses.CrashCauses()
    for number, accused in enumerate(crashes):
        causes.record(number, accused, at_ms(number))
    return {digest: each.crashes for digest, each in causes.blamed().items()}


@pytest.mark.parametrize("crashes,expected", [
    ([{DEADLY}], {}),
    ([{DEADLY}, {DEADLY}], {
        DEADLY: 2
    }),
    ([{DEADLY, 1, 2}, {DEADLY, 3, 4}, {DEADLY, 5, 6}], {
        DEADLY: 3
    }),
    ([{DEADLY, 1, 2}, {DEADLY, 1, 3}, {DEADLY, 4}], {
        DEADLY: 3
    }),
    ([{1}, {2}, {3}], {}),
])
def test_request_that_was_in_all_crashes_is_blamed(crashes, expected):
    assert blamed(crashes) == expected


@pytest.mark.parametrize("crashes", [
    [{DEADLY, 1}, {DEADLY, 1}],
    [{DEADLY, 1}, {DEADLY, 1}, {DEADLY, 1}],
    [{DEADLY, 1, 2}, {DEADLY, 1, 3}, {DEADLY, 2, 3}],
])
def test_no_request_is_blamed_while_others_explain_as_much(crashes):
    """One of several that ran side by side would be refused by chance."""
    assert not blamed(crashes)


def test_request_in_all_crashes_is_blamed_before_several_that_share_them():
    """Streams that broke go on together at the next runner that it crashes."""
    crashes = [{DEADLY, 1, 2}, {DEADLY, 3}, {DEADLY, 1, 2}, {DEADLY, 3}]
    assert blamed(crashes) == {DEADLY: 4}


def test_request_beside_two_deadly_ones_is_not_blamed_for_their_crashes():
    """A runner crashed beside without it, so another request does so too."""
    crashes = [{7, 1}, {7, 2}, {7, 1}, {7, 2}, {1}]
    assert not blamed(crashes, lambda number: 100.0 * number)


def test_next_crash_tells_requests_apart_that_ran_side_by_side():
    side_by_side = [{DEADLY, 1}] * 3
    assert blamed([*side_by_side, {DEADLY}]) == {DEADLY: 4}


def test_harmless_request_beside_two_deadly_ones_is_not_blamed():
    """It was in more crashes than either of them when it was blamed."""
    crashes = [{1, 2}, {1, 3}, {1, 2}, {2}, {3}, {3}]
    assert blamed(crashes) == {2: 3, 3: 3}


def test_runners_that_end_by_a_common_cause_blame_no_request():
    """A power failure breaks the same streams again on their next runners."""
    together = [{7}, {7}, {7}, *({number} for number in range(20, 32))]
    assert not blamed(together, lambda number: 10.0 * number)
    assert blamed(together, lambda number: 5000.0 * number) == {7: 3}


def test_request_that_runs_whole_is_blamed_for_no_earlier_crash():
    causes = crashcauses.CrashCauses()
    for number in range(3):
        causes.record(number, {DEADLY}, 1000.0 * number)
    assert causes.blamed()
    assert causes.ran_whole(DEADLY, 2500.0)
    assert not causes.blamed()
    causes.record(4, {DEADLY}, 2400.0)
    assert not causes.blamed()
    causes.record(5, {DEADLY}, 6000.0)
    causes.record(6, {DEADLY}, 9000.0)
    assert causes.blamed()[DEADLY].crashes == 2


def test_request_that_ran_whole_before_is_excused_once():
    """Copies of a harmless request come all the time and are in any crash."""
    causes = crashcauses.CrashCauses()
    causes.ran_whole(1, 0.0)
    assert causes.accused([1, 2]) == [2]
    assert causes.accused([1, 2]) == [1, 2]


def test_crash_of_a_runner_that_answers_again_counts_no_more():
    causes = crashcauses.CrashCauses()
    for number in range(2):
        causes.record(number, {DEADLY}, 1000.0 * number)
    causes.retract(0)
    assert not causes.blamed()


def test_memory_is_bounded():
    causes = crashcauses.CrashCauses()
    for number in range(3 * crashcauses.MAX_CRASHES):
        causes.record(number, range(3 * crashcauses.MAX_ACCUSED), number)
        causes.clear(number, number)
    for number in range(3 * crashcauses.MAX_RAN_WHOLE):
        causes.ran_whole(number, 0.0)
    assert len(causes._crashes) == crashcauses.MAX_CRASHES
    assert len(causes._cleared_ms) <= crashcauses.MAX_CLEARED
    assert len(causes._ran_whole) == crashcauses.MAX_RAN_WHOLE
    assert all(
        len(each.accused) == crashcauses.MAX_ACCUSED
        for each in causes._crashes.values())


@pytest.mark.parametrize("seed", range(20))
def test_requests_that_crash_the_same_runners_do_not_excuse_each_other(seed):
    """Six of them crash a small service again and again, in changing groups."""
    rng = random.Random(seed)
    causes = crashcauses.CrashCauses()
    once = iter(range(100, 1000))
    for moment in range(6):
        at = {number: rng.randrange(3) for number in range(6)}
        for runner in set(at.values()):
            here = {number for number, each in at.items() if each == runner}
            causes.record(10 * moment + runner,
                          here | {next(once), next(once)},
                          4000.0 * moment + 100.0 * runner)
        assert set(causes.blamed()) <= set(at)
    assert all(causes.blamed()[each].crashes == 6 for each in range(6))


def test_request_beside_a_blamed_one_is_not_blamed_while_all_runners_crash():
    """A faulty version crashes under any request, so many have no suspect."""
    once = iter(range(100, 1000))
    crashes = [
        {7, 8} if number % 4 == 0 else {next(once)} for number in range(24)
    ]
    crashes.append({7})
    assert blamed(crashes, lambda number: 400.0 * number) == {7: 7}


def test_stream_that_breaks_at_one_runner_after_the_other_is_not_blamed():
    """All its repeats come within moments, and others explain the crashes."""
    crashes = [{7, number % 2} for number in range(6)]
    assert 7 not in blamed(crashes + [{0}, {1}] * 4, lambda n: 300.0 * n)


CRASHES = strategies.lists(strategies.tuples(
    strategies.integers(0, 7),
    strategies.sets(strategies.integers(0, 9), max_size=5)),
                           min_size=1,
                           max_size=24)


@hypothesis.given(CRASHES, strategies.randoms(use_true_random=False))
def test_reports_lead_to_the_same_blame_in_any_order(reports, rng):
    """Reports of one crash come from several nodes, late and repeatedly."""
    shuffled = [*reports, *rng.sample(reports, len(reports) // 2)]
    rng.shuffle(shuffled)
    found = []
    for told in (reports, shuffled):
        causes = crashcauses.CrashCauses()
        for runner, accused in told:
            causes.record(runner, accused, 5000.0 * runner)
        found.append(causes.blamed())
    assert found[0] == found[1]


@pytest.mark.parametrize("seed", range(40))
def test_deadly_request_is_found_among_twenty_at_each_runner(seed):
    """Each crash breaks twenty requests, which go on at the other runners."""
    rng = random.Random(seed)
    groups = 6
    at = {number: rng.randrange(groups) for number in range(20 * groups)}
    crashes = []
    for _ in range(6):
        crashed = rng.randrange(groups)
        here = {each for each, group in at.items() if group == crashed}
        crashes.append({DEADLY, *rng.sample(sorted(here), min(20, len(here)))})
        for each in here:
            at[each] = rng.choice(
                [other for other in range(groups) if other != crashed])
        found = blamed(crashes)
        assert set(found) <= {DEADLY}
    assert found == {DEADLY: 6}
