"""Tests of how nodes heed what runners ask of their callers."""

import pytest

from cardamommill import metrics
from cardamommill.gateway import backpressure, clock, ratelimits, upstream
from tests.gateway import builders

RUNNER = builders.runner(1)


class Node:
    """One node that hears answers of a runner at times of its own."""

    def __init__(self):
        self.now_ms = 1000.0
        self.view = builders.view(RUNNER)
        self.asked = backpressure.Backpressure(
            self.view, ratelimits.RateLimits("n", lambda _: {"a": ["n"]}),
            metrics.Metrics())

    def answer(self, status=200, **headers):
        head = upstream.Head(status, [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ])
        with clock.override(lambda: self.now_ms):
            self.asked.receive_head("a1", RUNNER.id, head, self.now_ms - 1)

    def wait_ms(self):
        return self.asked.wait_ms(RUNNER, self.now_ms)


def test_runner_is_left_alone_for_as_long_as_it_asks():
    node = Node()
    node.answer(503, Retry_After="3")
    assert node.wait_ms() == 3000
    node.now_ms += 2999
    assert node.wait_ms() == 1
    node.now_ms += 1
    assert not node.wait_ms()


def test_shorter_rest_does_not_end_a_longer_one():
    """Refusals overtake each other, and each holds until its own end."""
    node = Node()
    node.answer(503, Retry_After="3")
    node.answer(503, Retry_After="0.5")
    node.answer(200)
    assert node.wait_ms() == 3000


@pytest.mark.parametrize("status", [200, 421, 500])
def test_answer_that_refuses_nothing_asks_for_no_rest(status):
    node = Node()
    node.answer(status, Retry_After="3")
    assert not node.wait_ms()


def test_answer_of_another_runner_says_nothing_of_this_one():
    """Addresses of runners that are gone are given out again."""
    node = Node()
    node.answer(421, Server_Limit="0.5")
    assert not node.wait_ms()
    node.answer(200, Server_Limit="0.5")
    node.now_ms += 10
    node.answer(421)
    assert node.wait_ms()


def test_runner_that_says_that_it_leaves_is_not_used():
    node = Node()
    node.answer(200, Server_Leaving="0")
    assert node.view.known[RUNNER.id].is_usable
    node.answer(503, Server_Leaving="1")
    assert not node.view.known[RUNNER.id].is_usable


def test_list_does_not_take_back_that_a_runner_leaves():
    """A runner that is cut off from the store is listed as ready to the end."""
    node = Node()
    node.answer(200, Server_Leaving="1")
    node.view.apply_list([builders.runner(1, row_version=9)],
                         node.view.list_as_of_ms + 500)
    known = node.view.known[RUNNER.id]
    assert known.is_leaving and known.leaving_ms == node.now_ms


def test_other_life_of_a_runner_is_used():
    """Runners start again at the address, under another id."""
    node = Node()
    node.answer(200, Server_Leaving="1")
    node.view.apply_list([builders.runner(2)], node.view.list_as_of_ms + 500)
    assert node.view.known["i-2"].is_usable


def test_header_that_cannot_be_read_changes_nothing():
    """One spoiled header must not take what the other one says with it."""
    node = Node()
    node.answer(503, Server_Limit="many", Retry_After="2")
    assert node.wait_ms() == 2000
    node.now_ms += 2000
    node.answer(503, Server_Limit="0.5", Retry_After="later")
    assert node.wait_ms()
    node.answer(200, Server_Limit="many")
    assert node.wait_ms()


def test_rests_that_are_over_are_forgotten():
    node = Node()
    node.answer(503, Retry_After="2")
    node.now_ms += 2001
    node.asked.drop_expired(node.now_ms)
    assert not node.asked._rests_until_ms
