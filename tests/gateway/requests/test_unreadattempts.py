"""Tests of attempts that arrive after they have ended."""

import pytest

from cardamommill.gateway.requests import (
    attemptresult,
    retrybudget,
    unreadattempts,
)
from tests.gateway import builders

WINDOW_MS, MAX_DELIVERY_MS, SLACK = 10_000.0, 2_900.0, 30.0
LATEST_MS = unreadattempts.MAX_STANDSTILL_MS
DIVERTED = attemptresult.Result.DIVERTED


class Node:
    """A node whose requests go on elsewhere after their runner was silent."""

    def __init__(self):
        self.budget = retrybudget.RetryBudget(0.0, WINDOW_MS, SLACK,
                                              MAX_DELIVERY_MS)
        self.unread = unreadattempts.UnreadAttempts(MAX_DELIVERY_MS)
        (self.known,) = builders.view(builders.runner(1)).known.values()
        self.sent = 0

    def divert(self, now_ms, result=DIVERTED):
        """Repeats one request, if the budget allows it."""
        if not self.budget.may_retry(1, now_ms):
            return
        self.sent += 1
        request = f"r{self.sent}"
        self.budget.repeat(request, now_ms)
        self.unread.attempt_ended(self.known, self.budget, request, result,
                                  now_ms)

    def counted(self, now_ms):
        self.budget.may_retry(1, now_ms)
        return self.budget.retries


def test_requests_at_a_runner_that_stands_still_count_until_it_goes_on():
    """Those of several windows arrived within one."""
    node = Node()
    for now_ms in range(0, 29_000, 100):
        node.divert(float(now_ms))
    assert SLACK / 2 < node.sent <= SLACK


def test_requests_that_arrived_late_count_from_then_on():
    node = Node()
    node.divert(0.0)
    node.unread.heard(node.known.runner.id, 20_000.0)
    assert node.counted(20_000.0 + WINDOW_MS) == 1
    assert node.counted(20_001.0 + WINDOW_MS + MAX_DELIVERY_MS) == 0


def test_answer_that_was_on_its_way_shows_nothing():
    node = Node()
    node.divert(0.0)
    node.unread.heard(node.known.runner.id, MAX_DELIVERY_MS - 1.0)
    assert node.counted(WINDOW_MS + MAX_DELIVERY_MS + 1.0) == 1


@pytest.mark.parametrize("has_ended,now_ms", [(True, 14_000.0),
                                              (False, LATEST_MS)])
def test_requests_at_a_runner_that_will_not_go_on_count_no_longer(
        has_ended, now_ms):
    node = Node()
    node.divert(0.0)
    assert node.counted(13_000.0) == 1
    node.known.has_ended = has_ended
    node.unread.drop_expired(now_ms)
    assert node.counted(now_ms) == 0


def test_retry_after_the_end_of_the_attempt_counts_as_well():
    """A request is sent elsewhere after its group has lost a member."""
    node = Node()
    node.unread.attempt_ended(node.known, node.budget, "r", DIVERTED, 0.0)
    node.budget.repeat("r", 1.0)
    assert node.counted(20_000.0) == 1


@pytest.mark.parametrize(
    "result", [attemptresult.Result.BROKEN, attemptresult.Result.UNSENT])
def test_attempt_that_its_runner_ended_has_arrived(result):
    node = Node()
    node.divert(0.0, result)
    assert node.counted(13_000.0) == 0
