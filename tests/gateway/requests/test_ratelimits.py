"""Tests of the rate limits that runners set."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.gateway.requests import ratelimits

STEP_MS = 20
WINDOW_MS = 4000


def alone():
    return ratelimits.RateLimits("n", lambda _: {"a": ["n"]})


class Fleet:
    """Nodes that all have requests for one runner, which sets a limit.

    Attributes:
        per_s: The limit, or None.
        sent_ms: When requests were sent.
    """

    def __init__(self, nodes, per_s):
        self.per_s = per_s
        self.sent_ms = []
        self.now_ms = 0
        self._nodes = nodes
        self._last_ms = {}
        self.limits = {
            name: ratelimits.RateLimits(name, lambda _: nodes)
            for names in nodes.values() for name in names
        }

    def run(self, until_ms, only=None, sends_updates=True):
        """Advances the time; each node sends whenever it may."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for name, limits in self.limits.items():
                if only is None or name in only:
                    self._maybe_send(name, limits)
            if sends_updates and self.now_ms % 200 == 0:
                self.send_updates()

    def _maybe_send(self, name, limits):
        # A node has at most ten requests a second for the runner.
        if (limits.wait_ms("i-1", "a", self.now_ms) or
                self.now_ms - self._last_ms.get(name, -100) < 100):
            return
        self._last_ms[name] = self.now_ms
        limits.sent("i-1", self.now_ms)
        self.sent_ms.append(self.now_ms)
        limits.receive_answer("i-1", self.per_s, self.now_ms - 1, self.now_ms)

    def send_updates(self):
        for name, limits in self.limits.items():
            told = limits.updates_for_peers(self.now_ms)
            for other, receiver in self.limits.items():
                if other != name:
                    receiver.receive(told, self.now_ms, self.now_ms)

    def max_sent_in_window(self, from_ms):
        """Returns the most requests sent within any `WINDOW_MS`."""
        sent = [each for each in self.sent_ms if each >= from_ms]
        return max((sum(each <= other < each + WINDOW_MS
                        for other in sent)
                    for each in sent),
                   default=0)


def fleet(per_s, near=3, far=3):
    return Fleet(
        {
            "a": [f"a-{number}" for number in range(near)],
            "b": [f"b-{number}" for number in range(far)]
        }, per_s)


def test_answer_without_a_limit_lifts_it():
    limits = alone()
    assert limits.receive_answer("i-1", 1.5, 0, 100)
    assert limits.per_s("i-1") == 1.5
    assert limits.receive_answer("i-1", None, 101, 200)
    assert limits.per_s("i-1") is None


def test_reordered_answer_does_not_lift_a_limit():
    """If an answer from before the limit lifted it, it would be exceeded."""
    limits = alone()
    limits.receive_answer("i-1", 1.5, 50, 100)
    assert not limits.receive_answer("i-1", None, 60, 120)
    assert limits.per_s("i-1") == 1.5


def test_runner_without_a_limit_needs_no_wait():
    limits = alone()
    assert not limits.receive_answer("i-1", None, 0, 10)
    assert limits.per_s("i-1") is None
    assert not limits.wait_ms("i-1", "a", 20)


@hypothesis.given(strategies.floats(0.0, 40.0), strategies.integers(0, 30),
                  strategies.integers(1, 30))
@hypothesis.settings(max_examples=25, deadline=None)
def test_all_nodes_together_respect_a_limit(per_s, near, far):
    """Nodes that each apply the whole limit would exceed it together."""
    nodes = fleet(per_s, near, far)
    nodes.run(12_000)
    most = nodes.max_sent_in_window(1000)
    assert most <= max(ratelimits.MIN_PER_S, per_s) * WINDOW_MS / 1000 * 1.5 + 5


def test_most_of_the_permitted_rate_is_used():
    nodes = fleet(2.0)
    nodes.run(20_000)
    assert sum(each > 1000 for each in nodes.sent_ms) >= 0.9 * 2.0 * 19


def test_nodes_respect_limits_reported_by_peers():
    """The runner sets the limit in answers to two nodes, which report it."""
    nodes = fleet(1.0, near=10, far=10)
    nodes.run(400, only=("a-0", "b-0"))
    before = len(nodes.sent_ms)
    nodes.run(4400)
    assert len(nodes.sent_ms) - before <= 6


def test_all_nodes_send_again_soon_after_a_limit_is_lifted():
    nodes = fleet(1.0)
    nodes.run(5000)
    nodes.per_s = None
    nodes.run(7000)
    assert all(each.per_s("i-1") is None for each in nodes.limits.values())


def test_nodes_take_turns_to_test_a_stale_limit():
    """If each node tested it on its own, each would send an extra request."""
    nodes = fleet(1.0, near=20, far=20)
    nodes.run(2000)
    senders = {
        name for name, each in nodes.limits.items()
        if each.wait_ms("i-1", "a", 3000) == 0
    }
    others = set(nodes.limits) - senders
    nodes.run(2000 + ratelimits.STALE_MS, only=())
    before = len(nodes.sent_ms)
    nodes.run(2000 + 6 * ratelimits.STALE_MS, only=others)
    sent = nodes.sent_ms[before:]
    assert sent
    assert nodes.max_sent_in_window(sent[0]) <= 11


def test_turns_restart_after_each_confirmation():
    """Otherwise a node would wait for a turn number that it has used before."""
    limits = alone()
    limits.receive_answer("i-1", 1.0, 0, 0)
    for now_ms in (60_000, 120_000):
        assert not limits.wait_ms("i-1", "a", now_ms)
        limits.sent("i-1", now_ms)
        assert limits.wait_ms("i-1", "a", now_ms + 10)
        limits.receive_answer("i-1", 1.0, now_ms, now_ms + 20)
    now_ms = 120_020 + ratelimits.STALE_MS + 1001
    assert not limits.wait_ms("i-1", "a", now_ms)


def test_relayed_limit_does_not_become_newer():
    """If each hop made it look newer, it would outlive the actual limit."""
    one, other = alone(), ratelimits.RateLimits("m", lambda _: {"a": ["m"]})
    one.receive_answer("i-1", 1.0, 0, 100)
    for now_ms in range(200, 20_000, 200):
        other.receive(one.updates_for_peers(now_ms), now_ms, now_ms + 50)
        one.receive(other.updates_for_peers(now_ms), now_ms, now_ms + 50)
    assert not one.updates_for_peers(20_000) and not other.updates_for_peers(
        20_000)


@pytest.mark.parametrize("ahead_ms", [-1e9, 1e9])
def test_clock_offset_of_a_peer_does_not_matter(ahead_ms):
    one, other = alone(), ratelimits.RateLimits("m", lambda _: {"a": ["m"]})
    one.receive_answer("i-1", 1.0, 0, 100)
    other.receive(one.updates_for_peers(150), 150, 150 + ahead_ms)
    assert other.updates_for_peers(160 + ahead_ms)[0].as_of_ms == 100 + ahead_ms


def test_limits_received_from_runners_are_reported_first():
    """Otherwise limits that all nodes know crowd out a new one."""
    one, other = alone(), ratelimits.RateLimits("m", lambda _: {"a": ["m"]})
    one.receive_answer("i-own", 1.0, 0, 100)
    for number in range(2 * ratelimits.MAX_REPORTED):
        other.receive_answer(f"i-{number}", 1.0, 0, 200 + number)
        one.receive(other.updates_for_peers(300), 300, 300)
    told = one.updates_for_peers(300)
    assert len(told) == ratelimits.MAX_REPORTED
    assert told[0].runner == "i-own"


def test_old_limits_are_dropped():
    limits = alone()
    limits.receive_answer("i-1", 1.0, 0, 100)
    limits.drop_expired(101 + ratelimits.EXPIRY_MS)
    assert limits.per_s("i-1") is None
    assert not limits.wait_ms("i-1", "a", 101 + ratelimits.EXPIRY_MS)
