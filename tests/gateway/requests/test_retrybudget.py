"""Tests of the limit on retries, as runners see them arrive."""

import bisect

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.gateway.requests import retrybudget
from cardamommill.transport import upstream

WINDOW_MS = 10_000.0
RATIO, SLACK = 0.2, 30.0


def arrivals_in_worst_window(arrivals_ms):
    return max(
        sum(from_ms <= each < from_ms + WINDOW_MS
            for each in arrivals_ms)
        for from_ms in arrivals_ms)


def budget():
    return retrybudget.RetryBudget(RATIO, WINDOW_MS, SLACK,
                                   upstream.MAX_DELIVERY_MS)


@hypothesis.given(
    strategies.lists(strategies.tuples(
        strategies.floats(0, 30_000),
        strategies.floats(0, upstream.MAX_DELIVERY_MS)),
                     min_size=1,
                     max_size=120))
def test_retries_that_are_delayed_arrive_within_the_budget(wanted):
    """Those of two windows arrive together once a link carries data again."""
    one = budget()
    arrivals_ms = []
    for sent_ms, delay_ms in sorted(wanted):
        if one.may_retry(1, sent_ms):
            one.repeat("r", sent_ms)
            arrivals_ms.append(sent_ms + delay_ms)
    assert arrivals_in_worst_window(arrivals_ms) <= SLACK


def test_retries_on_a_link_that_is_cut_count_until_they_have_arrived():
    """All arrive with its return, and those of the next window with them."""
    one = budget()
    back_ms = upstream.MAX_DELIVERY_MS
    arrivals_ms = []
    for sent_ms in range(0, 13_000, 10):
        while one.may_retry(1, sent_ms):
            one.repeat("r", sent_ms)
            arrivals_ms.append(max(sent_ms, back_ms))
    assert SLACK / 2 < arrivals_in_worst_window(arrivals_ms) <= SLACK


def test_starts_do_not_renew_the_slack():
    """Each start took what the former incarnations had left, once more."""
    sent = 0
    for started_ms in range(0, 10_000, 1_000):
        one = retrybudget.RetryBudget(RATIO, WINDOW_MS, SLACK,
                                      upstream.MAX_DELIVERY_MS, started_ms)
        while one.may_retry(1, started_ms + 999.0):
            one.repeat("r", started_ms + 999.0)
            sent += 1
    used_before_the_first = SLACK * retrybudget.SHARE_SAFETY_FACTOR
    assert sent <= SLACK - used_before_the_first


class Fleet:
    """Nodes that repeat every request that they may, and their callers.

    Callers of a node that is down go to the others, which notice its end from
    its silence or from its first message after the start.
    """

    STEP_MS = 100.0
    SILENCE_MS = 1000.0

    def __init__(self, nodes, requests_per_step):
        self._requests_per_step = requests_per_step
        self._budgets = [budget() for _ in range(nodes)]
        self._up_from_ms = [0.0] * nodes
        # When each node was killed, and when the others notice it.
        self._losses = []
        self._firsts_ms = []
        self._retries_ms = []

    def kill(self, node, now_ms, down_ms):
        self._up_from_ms[node] = now_ms + down_ms
        self._losses.append(
            (now_ms, now_ms + min(down_ms + self.STEP_MS, self.SILENCE_MS)))
        self._budgets[node] = retrybudget.RetryBudget(RATIO, WINDOW_MS, SLACK,
                                                      upstream.MAX_DELIVERY_MS,
                                                      now_ms + down_ms)

    def step(self, now_ms, fails):
        for at_ms, noticed_ms in self._losses:
            if noticed_ms <= now_ms:
                for one in self._budgets:
                    one.record_loss(at_ms)
        up = [
            one for one, from_ms in zip(
                self._budgets, self._up_from_ms, strict=True)
            if from_ms <= now_ms
        ]
        for number in range(self._requests_per_step):
            self._firsts_ms.append(now_ms)
            if not up:
                continue
            one = up[number % len(up)]
            one.request(now_ms)
            while fails and one.may_retry(len(self._budgets), now_ms):
                one.repeat("r", now_ms)
                self._retries_ms.append(now_ms)

    def excess(self):
        """Returns the most retries of a window beyond those allowed."""
        return max((self._retries_from(each) - self._allowed_from(each)
                    for each in set(self._retries_ms)),
                   default=0.0)

    def _retries_from(self, from_ms):
        return count_within(self._retries_ms, from_ms)

    def _allowed_from(self, from_ms):
        return SLACK + RATIO * max(
            count_within(self._firsts_ms, from_ms - shift)
            for shift in (0.0, WINDOW_MS / 2, WINDOW_MS))


def count_within(times_ms, from_ms):
    """Returns how many of ascending times are in the window from a time on."""
    return (bisect.bisect_left(times_ms, from_ms + WINDOW_MS) -
            bisect.bisect_left(times_ms, from_ms))


def play(kills, fails_from_ms=12_000.0, nodes=6, requests_per_step=7):
    """Plays kills, each a node, its time and how long it is down, in ms."""
    fleet = Fleet(nodes, requests_per_step)
    waiting = sorted(kills, key=lambda each: each[1], reverse=True)
    for step in range(400):
        now_ms = step * Fleet.STEP_MS
        while waiting and waiting[-1][1] <= now_ms:
            fleet.kill(*waiting.pop())
        fleet.step(now_ms, now_ms >= fails_from_ms)
    return fleet


def test_nodes_that_keep_running_keep_to_the_budget():
    assert play([]).excess() <= 0


@pytest.mark.parametrize("starts", [1, 2, 3, 6])
def test_starts_within_a_window_do_not_renew_the_budget(starts):
    """A node that starts does not know what it sent just before."""
    kills = [(node, 13_000.0 + 1_500.0 * number, 200.0)
             for node in range(6)
             for number in range(starts)]
    assert play(kills).excess() <= 0


@pytest.mark.parametrize("nodes", [1, 3, 5])
def test_callers_that_move_from_dead_nodes_do_not_renew_the_budget(nodes):
    """Their requests count at other nodes beside the dead ones' retries."""
    kills = [(node, 13_000.0, 60_000.0) for node in range(nodes)]
    assert play(kills).excess() <= 0


@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.integers(0, 3),
                                       strategies.floats(10_000, 38_000),
                                       strategies.floats(0, 12_000)),
                     max_size=12), strategies.integers(0, 20))
def test_no_series_of_kills_renews_the_budget(kills, requests_per_step):
    assert play(kills, nodes=4,
                requests_per_step=requests_per_step).excess() <= 0
