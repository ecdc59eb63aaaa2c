"""Tests of the rate limits that runners name."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.gateway import ratelimits

STEP_MS = 20
WINDOW_MS = 4000


def alone():
    return ratelimits.RateLimits("n", lambda _: {"a": ["n"]})


class Fleet:
    """Nodes that all have requests for one runner, which names a limit.

    Attributes:
        per_s: The limit, None for none.
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

    def run(self, until_ms, only=None, tells=True):
        """Lets time pass; each node sends whenever it may."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for name, limits in self.limits.items():
                if only is None or name in only:
                    self._maybe_send(name, limits)
            if tells and self.now_ms % 200 == 0:
                self.tell()

    def _maybe_send(self, name, limits):
        # A node has at most ten requests a second for the runner.
        if (limits.wait_ms("i-1", "a", self.now_ms) or
                self.now_ms - self._last_ms.get(name, -100) < 100):
            return
        self._last_ms[name] = self.now_ms
        limits.sent("i-1", self.now_ms)
        self.sent_ms.append(self.now_ms)
        limits.take_answer("i-1", self.per_s, self.now_ms - 1, self.now_ms)

    def tell(self):
        for name, limits in self.limits.items():
            told = limits.updates_for_peers(self.now_ms)
            for other, hearing in self.limits.items():
                if other != name:
                    hearing.receive(told, self.now_ms, self.now_ms)

    def most_in_a_window(self, from_ms):
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


def test_limit_holds_until_an_answer_to_a_later_request_names_none():
    limits = alone()
    assert limits.take_answer("i-1", 1.5, 0, 100)
    assert limits.per_s("i-1") == 1.5
    assert limits.take_answer("i-1", None, 101, 200)
    assert limits.per_s("i-1") is None


def test_answer_that_was_overtaken_lifts_no_limit():
    """A limit taken back by an answer of before it was named is exceeded."""
    limits = alone()
    limits.take_answer("i-1", 1.5, 50, 100)
    assert not limits.take_answer("i-1", None, 60, 120)
    assert limits.per_s("i-1") == 1.5


def test_runner_without_a_limit_may_be_sent_to_at_any_time():
    limits = alone()
    assert not limits.take_answer("i-1", None, 0, 10)
    assert limits.per_s("i-1") is None
    assert not limits.wait_ms("i-1", "a", 20)


@hypothesis.given(strategies.floats(0.0, 40.0), strategies.integers(0, 30),
                  strategies.integers(1, 30))
@hypothesis.settings(max_examples=25, deadline=None)
def test_all_nodes_together_keep_to_a_limit(per_s, near, far):
    """Nodes that keep to it each for itself exceed it together."""
    nodes = fleet(per_s, near, far)
    nodes.run(12_000)
    most = nodes.most_in_a_window(1000)
    assert most <= max(ratelimits.LEAST_PER_S,
                       per_s) * WINDOW_MS / 1000 * 1.5 + 5


def test_most_of_what_a_runner_takes_is_sent():
    nodes = fleet(2.0)
    nodes.run(20_000)
    assert sum(each > 1000 for each in nodes.sent_ms) >= 0.9 * 2.0 * 19


def test_nodes_that_were_not_answered_themselves_keep_to_a_limit_too():
    """Two nodes are told by the runner; the others hear of it from them."""
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


def test_limit_that_nobody_confirms_is_tried_by_all_nodes_together():
    """Forgotten by each node for itself, it was exceeded by a request each."""
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
    assert nodes.most_in_a_window(sent[0]) <= 11


def test_node_tries_again_whenever_a_limit_is_unconfirmed():
    """Turns are counted anew after each confirmation."""
    limits = alone()
    limits.take_answer("i-1", 1.0, 0, 0)
    for now_ms in (60_000, 120_000):
        assert not limits.wait_ms("i-1", "a", now_ms)
        limits.sent("i-1", now_ms)
        assert limits.wait_ms("i-1", "a", now_ms + 10)
        limits.take_answer("i-1", 1.0, now_ms, now_ms + 20)
    now_ms = 120_020 + ratelimits.STALE_MS + 1001
    assert not limits.wait_ms("i-1", "a", now_ms)


def test_word_that_comes_back_is_as_old_as_it_was():
    """Taken for younger with each hop, it would outlive what it tells of."""
    one, other = alone(), ratelimits.RateLimits("m", lambda _: {"a": ["m"]})
    one.take_answer("i-1", 1.0, 0, 100)
    for now_ms in range(200, 20_000, 200):
        other.receive(one.updates_for_peers(now_ms), now_ms, now_ms + 50)
        one.receive(other.updates_for_peers(now_ms), now_ms, now_ms + 50)
    assert not one.updates_for_peers(20_000) and not other.updates_for_peers(
        20_000)


@pytest.mark.parametrize("ahead_ms", [-1e9, 1e9])
def test_clocks_of_peers_are_not_compared(ahead_ms):
    one, other = alone(), ratelimits.RateLimits("m", lambda _: {"a": ["m"]})
    one.take_answer("i-1", 1.0, 0, 100)
    other.receive(one.updates_for_peers(150), 150, 150 + ahead_ms)
    assert other.updates_for_peers(160 + ahead_ms)[0].as_of_ms == 100 + ahead_ms


def test_node_tells_first_what_runners_told_it_themselves():
    """Crowded out by what all nodes know, a limit would stay unknown."""
    one, other = alone(), ratelimits.RateLimits("m", lambda _: {"a": ["m"]})
    one.take_answer("i-own", 1.0, 0, 100)
    for number in range(2 * ratelimits.MAX_TOLD):
        other.take_answer(f"i-{number}", 1.0, 0, 200 + number)
        one.receive(other.updates_for_peers(300), 300, 300)
    told = one.updates_for_peers(300)
    assert len(told) == ratelimits.MAX_TOLD
    assert told[0].runner == "i-own"


def test_old_limits_are_forgotten():
    limits = alone()
    limits.take_answer("i-1", 1.0, 0, 100)
    limits.drop_expired(101 + ratelimits.FORGOTTEN_MS)
    assert limits.per_s("i-1") is None
    assert not limits.wait_ms("i-1", "a", 101 + ratelimits.FORGOTTEN_MS)
