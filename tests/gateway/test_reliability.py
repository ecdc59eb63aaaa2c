"""Tests of how likely runners fail what they are sent."""

import random

import hypothesis
from hypothesis import strategies

from cardamommill.gateway import reliability

HEAD = "i-1"
DOUBT_THRESHOLD = reliability.DOUBT_THRESHOLD


def node(seed=1):
    return reliability.Reliability(random.Random(seed))


def tell(sender, *hearers, now_ms, name="n"):
    """Has a node tell others what it knows, as datagrams do."""
    for each in hearers:
        each.receive(sender.updates_for_peers(now_ms), name, now_ms)


def test_nothing_is_feared_of_a_runner_that_has_not_failed():
    one = node()
    assert one.fail_odds(HEAD, 0) == 0.0
    one.succeeded(HEAD, 0)
    assert one.fail_odds(HEAD, 1) == 0.0
    assert not one.updates_for_peers(1)


def test_two_requests_that_failed_in_a_row_make_a_runner_doubted():
    one = node()
    one.failed(HEAD, 1, 1000)
    assert 0.0 < one.fail_odds(HEAD, 1000) < DOUBT_THRESHOLD
    one.failed(HEAD, 2, 1010)
    assert one.fail_odds(HEAD, 1010) > DOUBT_THRESHOLD


def test_long_good_past_does_not_hide_that_a_runner_fails_now():
    """A head has served each node for long, and begins to fail all it gets.

    Set against all that had gone well in the seconds before, five failures
    weighed less than a half, and the head went on drawing requests.
    """
    one = node()
    for number in range(100):
        one.succeeded(HEAD, 10.0 * number)
    one.failed(HEAD, 1, 1000)
    one.failed(HEAD, 2, 1020)
    assert one.fail_odds(HEAD, 1020) > DOUBT_THRESHOLD


def test_one_request_alone_never_makes_a_runner_doubted():
    """A request fails by its own doing; its caller sends it again and again.

    It comes to all nodes and all heads. If each counted it anew, sound heads
    would be avoided by the whole fleet for one bad request.
    """
    nodes = [node(seed) for seed in range(4)]
    for again in range(12):
        nodes[again % 4].failed(HEAD, 7, 1000.0 + 100 * again)
        for number, each in enumerate(nodes):
            tell(each, *nodes, now_ms=1000.0 + 100 * again, name=str(number))
            assert each.fail_odds(HEAD, 1000.0 + 100 * again) < DOUBT_THRESHOLD


def test_runner_that_fails_one_in_eight_is_not_doubted():
    one = node()
    for number in range(400):
        if number % 8:
            one.succeeded(HEAD, 20.0 * number)
        else:
            one.failed(HEAD, number, 20.0 * number)
        if number > 50:
            assert one.fail_odds(HEAD, 20.0 * number) < 0.3


def test_failures_of_others_count_and_each_once():
    """Two nodes fail once each at a head, and tell each other and a third.

    Each of them tells on what it heard, so that each failure comes back by
    several ways; none of that is a failure more.
    """
    first, second, third = node(1), node(2), node(3)
    first.failed(HEAD, 1, 1000)
    second.failed(HEAD, 2, 1010)
    for _ in range(5):
        tell(first, second, third, now_ms=1020, name="first")
        tell(second, first, third, now_ms=1020, name="second")
        tell(third, first, second, now_ms=1020, name="third")
    counted = node()
    counted.failed(HEAD, 1, 1000)
    counted.failed(HEAD, 2, 1010)
    for each in (first, second, third):
        # Nodes differ in how long they remember, by little after 20 ms.
        assert abs(each.fail_odds(HEAD, 1020) -
                   counted.fail_odds(HEAD, 1020)) < 0.01
        assert each.fail_odds(HEAD, 1020) > DOUBT_THRESHOLD


def test_what_went_well_elsewhere_speaks_for_a_runner():
    """One node has failed twice where all others are served."""
    one, other = node(1), node(2)
    one.failed(HEAD, 1, 1000)
    one.failed(HEAD, 2, 1010)
    tell(one, other, now_ms=1020)
    for number in range(8):
        other.succeeded(HEAD, 1020.0 + number)
    for _ in range(3):
        tell(other, one, now_ms=1030, name="other")
    assert 0.1 < one.fail_odds(HEAD, 1030) < 0.25


def test_node_whose_own_way_is_harmed_tells_nothing():
    """A node's link resets all its connections, so that each head fails it.

    Told of by that node, all heads would be doubted by all nodes, and rest,
    though they serve everybody else.
    """
    cut, other = node(1), node(2)
    for number in range(40):
        cut.failed(f"i-{number % 8}", number, 1000.0 + number)
    assert cut.fail_odds("i-1", 1050) > DOUBT_THRESHOLD
    tell(cut, other, now_ms=1050)
    assert not any(other.fail_odds(f"i-{number}", 1050) for number in range(8))
    # It is served again, all but by one head.
    for number in range(1, 8):
        cut.succeeded(f"i-{number}", 5000.0)
    cut.failed("i-0", 41, 5000)
    cut.failed("i-0", 42, 5000)
    tell(cut, other, now_ms=5010)
    assert other.fail_odds("i-0", 5010) > DOUBT_THRESHOLD
    assert not other.fail_odds("i-1", 5010)


def test_runner_that_is_well_again_is_tried_and_trusted_soon():
    one = node()
    for number in range(20):
        one.failed(HEAD, number, 1000.0 + 20 * number)
    assert one.fail_odds(HEAD, 1400) > DOUBT_THRESHOLD
    # Tried again by itself after some seconds, sooner where all else is full.
    assert one.fail_odds(HEAD,
                         1400 + 5 * reliability.HALF_LIFE_MS) < DOUBT_THRESHOLD
    for number in range(5):
        one.succeeded(HEAD, 1500.0 + number)
    assert one.fail_odds(HEAD, 1510) < DOUBT_THRESHOLD


def test_nodes_do_not_all_try_again_at_the_same_moment():
    """All nodes heard the same failures; when they forget, one must try first.

    Tried again by all of them at once, a head that still failed took as many
    requests as came before the first of them had told of it.
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


def test_doubts_are_told_once_and_when_they_end():
    one = node()
    one.failed(HEAD, 1, 1000)
    assert not one.doubt_changes(1000)
    one.failed(HEAD, 2, 1010)
    ((runner, odds),) = one.doubt_changes(1010)
    assert runner == HEAD and odds > DOUBT_THRESHOLD
    assert not one.doubt_changes(1020)
    one.drop_expired(1010 + 2 * reliability.FORGOTTEN_MS)
    assert one.doubt_changes(1010 + 2 * reliability.FORGOTTEN_MS) == [(HEAD,
                                                                       0.0)]
    assert not one.doubt_changes(1010 + 2 * reliability.FORGOTTEN_MS)


def test_runner_rests_only_a_moment():
    one = node()
    assert not one.is_cooling_down(HEAD, 1000)
    one.failed(HEAD, 1, 1000)
    assert one.is_cooling_down(HEAD, 1001)
    assert not one.is_cooling_down(HEAD, 1000 + reliability.REST_MS)


def test_old_failures_are_not_told_on_for_ever():
    """Each hop makes a failure look younger by the time that it was under way.

    Nodes that tell on what they heard would tell each other for ever, if they
    did so until they forget it.
    """
    nodes = [node(seed) for seed in range(4)]
    nodes[0].failed(HEAD, 1, 0)
    delay_ms = 100.0
    now_ms = 0.0
    while now_ms < 4 * reliability.FORGOTTEN_MS:
        news = [each.updates_for_peers(now_ms) for each in nodes]
        now_ms += delay_ms
        for each in nodes:
            each.drop_expired(now_ms)
            for number, told in enumerate(news):
                each.receive(told, str(number), now_ms)
    assert not any(each.updates_for_peers(now_ms) for each in nodes)
    assert not any(each.fail_odds(HEAD, now_ms) for each in nodes)


@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.integers(0, 40),
                                       strategies.integers(0, 9),
                                       strategies.floats(0, 3000)),
                     max_size=200))
def test_what_is_told_is_bounded_and_comes_back_the_same(tries):
    one, other = node(1), node(2)
    for runner, request, at_ms in tries:
        one.failed(f"i-{runner}", request, at_ms)
    news = one.updates_for_peers(3000)
    assert len(news) <= reliability.MAX_TOLD_RUNNERS
    assert all(
        len(each.failures) <= reliability.MAX_TOLD_FAILURES for each in news)
    other.receive(news, "one", 3000)
    for each in news:
        assert set(each.failures) <= set(
            next(back for back in other.updates_for_peers(3000)
                 if back.runner == each.runner).failures)
        assert 0 < other.fail_odds(each.runner, 3000) < 1
