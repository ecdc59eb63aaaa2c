"""Tests of the failure probabilities of runners."""

import random

import hypothesis
from hypothesis import strategies

from cardamommill.gateway.requests import reliability

HEAD = "i-1"
DOUBT_THRESHOLD = reliability.DOUBT_THRESHOLD


def node(seed=1):
    return reliability.Reliability(random.Random(seed))


def send_updates(sender, *receivers, now_ms, name="n"):
    """Delivers the reports of a node to others, as datagrams do."""
    for each in receivers:
        each.receive(sender.updates_for_peers(now_ms), name, now_ms)


def test_runner_without_failures_has_zero_failure_probability():
    one = node()
    assert one.fail_odds(HEAD, 0) == 0.0
    one.succeeded(HEAD, 0)
    assert one.fail_odds(HEAD, 1) == 0.0
    assert not one.updates_for_peers(1)


def test_two_consecutive_failures_make_a_runner_doubted():
    one = node()
    one.failed(HEAD, 1, 1000)
    assert 0.0 < one.fail_odds(HEAD, 1000) < DOUBT_THRESHOLD
    one.failed(HEAD, 2, 1010)
    assert one.fail_odds(HEAD, 1010) > DOUBT_THRESHOLD


def test_earlier_successes_do_not_hide_new_failures():
    """A head that has served each node for long begins to fail all requests.

    Compared with all successes of the seconds before, five failures gave a
    probability below one half, and the head went on attracting requests.
    """
    one = node()
    for number in range(100):
        one.succeeded(HEAD, 10.0 * number)
    one.failed(HEAD, 1, 1000)
    one.failed(HEAD, 2, 1020)
    assert one.fail_odds(HEAD, 1020) > DOUBT_THRESHOLD


def test_repeated_failures_of_one_request_do_not_make_a_runner_doubted():
    """A request causes its own failure, and its caller keeps repeating it.

    It reaches all nodes and all heads. If each failure counted, the whole fleet
    would avoid healthy heads because of one bad request.
    """
    nodes = [node(seed) for seed in range(4)]
    for again in range(12):
        nodes[again % 4].failed(HEAD, 7, 1000.0 + 100 * again)
        for number, each in enumerate(nodes):
            send_updates(each,
                         *nodes,
                         now_ms=1000.0 + 100 * again,
                         name=str(number))
            assert each.fail_odds(HEAD, 1000.0 + 100 * again) < DOUBT_THRESHOLD


def test_failure_rate_of_one_in_eight_is_not_doubted():
    one = node()
    for number in range(400):
        if number % 8:
            one.succeeded(HEAD, 20.0 * number)
        else:
            one.failed(HEAD, number, 20.0 * number)
        if number > 50:
            assert one.fail_odds(HEAD, 20.0 * number) < 0.3


def test_failures_of_all_nodes_count_once():
    """Two nodes see one failure each, and report it to each other and a third.

    Each node relays what it received, so each failure arrives several times,
    but none of these reports is another failure.
    """
    first, second, third = node(1), node(2), node(3)
    first.failed(HEAD, 1, 1000)
    second.failed(HEAD, 2, 1010)
    for _ in range(5):
        send_updates(first, second, third, now_ms=1020, name="first")
        send_updates(second, first, third, now_ms=1020, name="second")
        send_updates(third, first, second, now_ms=1020, name="third")
    counted = node()
    counted.failed(HEAD, 1, 1000)
    counted.failed(HEAD, 2, 1010)
    for each in (first, second, third):
        # Nodes differ in their half-lives, which matters little after 20 ms.
        assert abs(each.fail_odds(HEAD, 1020) -
                   counted.fail_odds(HEAD, 1020)) < 0.01
        assert each.fail_odds(HEAD, 1020) > DOUBT_THRESHOLD


def test_successes_of_peers_lower_the_failure_probability():
    """One node sees two failures at a head that serves all other nodes."""
    one, other = node(1), node(2)
    one.failed(HEAD, 1, 1000)
    one.failed(HEAD, 2, 1010)
    send_updates(one, other, now_ms=1020)
    for number in range(8):
        other.succeeded(HEAD, 1020.0 + number)
    for _ in range(3):
        send_updates(other, one, now_ms=1030, name="other")
    assert 0.1 < one.fail_odds(HEAD, 1030) < 0.25


def test_node_with_a_broken_link_reports_nothing():
    """A node's link resets all its connections, so all heads seem to fail.

    If it reported that, all nodes would doubt all heads and send them nothing
    during the cool-down, though the heads serve everybody else.
    """
    cut, other = node(1), node(2)
    for number in range(40):
        cut.failed(f"i-{number % 8}", number, 1000.0 + number)
    assert cut.fail_odds("i-1", 1050) > DOUBT_THRESHOLD
    send_updates(cut, other, now_ms=1050)
    assert not any(other.fail_odds(f"i-{number}", 1050) for number in range(8))
    # It is served again by all heads but one.
    for number in range(1, 8):
        cut.succeeded(f"i-{number}", 5000.0)
    cut.failed("i-0", 41, 5000)
    cut.failed("i-0", 42, 5000)
    send_updates(cut, other, now_ms=5010)
    assert other.fail_odds("i-0", 5010) > DOUBT_THRESHOLD
    assert not other.fail_odds("i-1", 5010)


def test_recovered_runner_is_trusted_again():
    one = node()
    for number in range(20):
        one.failed(HEAD, number, 1000.0 + 20 * number)
    assert one.fail_odds(HEAD, 1400) > DOUBT_THRESHOLD
    # It gets attempts again after some seconds, or sooner if all others are
    # full.
    assert one.fail_odds(HEAD,
                         1400 + 5 * reliability.HALF_LIFE_MS) < DOUBT_THRESHOLD
    for number in range(5):
        one.succeeded(HEAD, 1500.0 + number)
    assert one.fail_odds(HEAD, 1510) < DOUBT_THRESHOLD


def test_nodes_resume_attempts_at_different_times():
    """All nodes know the same failures, but one node must resume first.

    If all of them resumed at once, a head that still failed would fail all
    requests that come before the first failure is reported.
    """
    ends_ms = []
    for seed in range(12):
        one = node(seed)
        for number in range(5):
            one.failed(HEAD, number, 1000)
        now_ms = 1000
        while one.fail_odds(HEAD, now_ms) > DOUBT_THRESHOLD:
            now_ms += 50
        ends_ms.append(now_ms)
    assert max(ends_ms) - min(ends_ms) > 2000
    assert len(set(ends_ms)) > 8


def test_doubt_changes_are_returned_once():
    one = node()
    one.failed(HEAD, 1, 1000)
    assert not one.doubt_changes(1000)
    one.failed(HEAD, 2, 1010)
    ((runner, odds),) = one.doubt_changes(1010)
    assert runner == HEAD and odds > DOUBT_THRESHOLD
    assert not one.doubt_changes(1020)
    one.drop_expired(1010 + 2 * reliability.EXPIRY_MS)
    assert one.doubt_changes(1010 + 2 * reliability.EXPIRY_MS) == [(HEAD, 0.0)]
    assert not one.doubt_changes(1010 + 2 * reliability.EXPIRY_MS)


def test_cool_down_ends():
    one = node()
    assert not one.is_cooling_down(HEAD, 1000)
    one.failed(HEAD, 1, 1000)
    assert one.is_cooling_down(HEAD, 1001)
    assert not one.is_cooling_down(HEAD, 1000 + reliability.COOLDOWN_MS)


def test_failures_are_not_relayed_for_ever():
    """Each hop makes a failure look newer by the transmission time.

    If nodes relayed failures until these expire, they would do so for ever.
    """
    nodes = [node(seed) for seed in range(4)]
    nodes[0].failed(HEAD, 1, 0)
    delay_ms = 100.0
    now_ms = 0.0
    while now_ms < 4 * reliability.EXPIRY_MS:
        updates = [each.updates_for_peers(now_ms) for each in nodes]
        now_ms += delay_ms
        for each in nodes:
            each.drop_expired(now_ms)
            for number, told in enumerate(updates):
                each.receive(told, str(number), now_ms)
    assert not any(each.updates_for_peers(now_ms) for each in nodes)
    assert not any(each.fail_odds(HEAD, now_ms) for each in nodes)


@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.integers(0, 40),
                                       strategies.integers(0, 9),
                                       strategies.floats(0, 3000)),
                     max_size=200))
def test_reports_are_bounded_and_relayed_unchanged(attempts):
    one, other = node(1), node(2)
    for runner, request, at_ms in attempts:
        one.failed(f"i-{runner}", request, at_ms)
    updates = one.updates_for_peers(3000)
    assert len(updates) <= reliability.MAX_REPORTED_RUNNERS
    assert all(
        len(each.failures) <= reliability.MAX_REPORTED_FAILURES
        for each in updates)
    other.receive(updates, "one", 3000)
    for each in updates:
        assert set(each.failures) <= set(
            next(back for back in other.updates_for_peers(3000)
                 if back.runner == each.runner).failures)
        assert 0 < other.fail_odds(each.runner, 3000) < 1
