"""Tests of the backpressure that runners signal in answers."""

import dataclasses

import pytest

from cardamommill import metrics
from cardamommill.domain import clock
from cardamommill.gateway.requests import ratelimits, slowstart
from cardamommill.gateway.shell import backpressure, coldrunners
from cardamommill.transport import upstream
from tests.gateway import builders

RUNNER = builders.runner(1)
SERVICE = dataclasses.replace(builders.service(), cold_s=3.0, cold_per_s=14.0)


class Node:
    """A node that receives answers of a runner at times set by the test."""

    def __init__(self):
        self.now_ms = 1000.0
        self.view = builders.view(RUNNER)
        self.backpressure = backpressure.Backpressure(
            self.view, ratelimits.RateLimits("n", lambda _: {"a": ["n"]}),
            metrics.Metrics(),
            coldrunners.ColdRunners(
                self.view,
                slowstart.SlowStart("n", self.view.cold_periods,
                                    lambda *_: {"n"},
                                    lambda: {SERVICE.name: SERVICE},
                                    builders.cold_settings()),
                metrics.Metrics()))

    def answer(self, status=200, **headers):
        head = upstream.Head(status, [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ])
        with clock.override(lambda: self.now_ms):
            self.backpressure.receive_head("a1", RUNNER.id, head,
                                           self.now_ms - 1)

    def wait_ms(self):
        return self.backpressure.wait_ms(RUNNER, self.now_ms)


def test_runner_gets_no_requests_during_its_rest():
    node = Node()
    node.answer(503, Retry_After="3")
    assert node.wait_ms() == 3000
    node.now_ms += 2999
    assert node.wait_ms() == 1
    node.now_ms += 1
    assert not node.wait_ms()


def test_shorter_rest_does_not_end_a_longer_one():
    """Refusals can arrive out of order, and each rest lasts until its end."""
    node = Node()
    node.answer(503, Retry_After="3")
    node.answer(503, Retry_After="0.5")
    node.answer(200)
    assert node.wait_ms() == 3000


@pytest.mark.parametrize("status", [200, 421, 500])
def test_retry_after_is_ignored_unless_refused(status):
    node = Node()
    node.answer(status, Retry_After="3")
    assert not node.wait_ms()


def test_misdirected_request_changes_no_limit():
    """Addresses of runners that are gone are reassigned."""
    node = Node()
    node.answer(421, Server_Limit="0.5")
    assert not node.wait_ms()
    node.answer(200, Server_Limit="0.5")
    node.now_ms += 10
    node.answer(421)
    assert node.wait_ms()


def test_leaving_runner_is_not_used():
    node = Node()
    node.answer(200, Server_Leaving="0")
    assert node.view.known[RUNNER.id].is_usable
    node.answer(503, Server_Leaving="1")
    assert not node.view.known[RUNNER.id].is_usable


def test_list_does_not_revert_leaving():
    """A runner that can't reach the store stays listed as ready to the end."""
    node = Node()
    node.answer(200, Server_Leaving="1")
    node.view.apply_list([builders.runner(1, row_version=9)],
                         node.view.list_as_of_ms + 500)
    known = node.view.known[RUNNER.id]
    assert known.is_leaving and known.leaving_ms == node.now_ms


def test_restarted_runner_is_used():
    """A restarted runner has the same address but another ID."""
    node = Node()
    node.answer(200, Server_Leaving="1")
    node.view.apply_list([builders.runner(2)], node.view.list_as_of_ms + 500)
    assert node.view.known["i-2"].is_usable


def test_malformed_header_is_ignored():
    """One malformed header must not prevent the use of the other one."""
    node = Node()
    node.answer(503, Server_Limit="many", Retry_After="2")
    assert node.wait_ms() == 2000
    node.now_ms += 2000
    node.answer(503, Server_Limit="0.5", Retry_After="later")
    assert node.wait_ms()
    node.answer(200, Server_Limit="many")
    assert node.wait_ms()


def test_expired_rests_are_dropped():
    node = Node()
    node.answer(503, Retry_After="2")
    node.now_ms += 2001
    node.backpressure.drop_expired(node.now_ms)
    assert not node.backpressure._rest_until_ms


def test_cold_runner_gets_requests_at_its_share_only():
    """A header that is not applied lets all nodes send to the cold runner."""
    node = Node()
    node.answer(200, X_Cardamommill_Cold_Ms="2000")
    assert node.wait_ms()
    node.now_ms += 2000
    assert not node.wait_ms()


def test_misdirected_answer_does_not_make_a_runner_cold():
    """Addresses of runners that are gone are reassigned."""
    node = Node()
    node.answer(421, X_Cardamommill_Cold_Ms="2000")
    assert not node.wait_ms()


def test_malformed_cold_header_is_ignored():
    """One malformed header must not prevent the use of the others."""
    node = Node()
    node.answer(503, X_Cardamommill_Cold_Ms="-5", Retry_After="2")
    assert node.wait_ms() == 2000
