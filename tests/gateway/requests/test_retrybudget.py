"""Tests of the limit on retries, as runners see them arrive."""

import hypothesis
from hypothesis import strategies

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
            one.repeat(sent_ms)
            arrivals_ms.append(sent_ms + delay_ms)
    assert arrivals_in_worst_window(arrivals_ms) <= SLACK


def test_retries_on_a_link_that_is_cut_count_until_they_have_arrived():
    """All arrive with its return, and those of the next window with them."""
    one = budget()
    back_ms = upstream.MAX_DELIVERY_MS
    arrivals_ms = []
    for sent_ms in range(0, 13_000, 10):
        while one.may_retry(1, sent_ms):
            one.repeat(sent_ms)
            arrivals_ms.append(max(sent_ms, back_ms))
    assert SLACK / 2 < arrivals_in_worst_window(arrivals_ms) <= SLACK
