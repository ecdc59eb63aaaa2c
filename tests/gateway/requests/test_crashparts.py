"""Tests of the search for parts of prompts that crash runners."""

import random

import pytest

from cardamommill.gateway.requests import crashparts

DEADLY, FIRST = 1000, 1
LONG_AGO_MS = -20_000.0


def causes(*survived, at_ms=-1000.0):
    """A node that has seen requests survive for some time."""
    found = crashparts.PartCauses()
    for _ in range(crashparts.LEARNING_REQUESTS):
        found.survived([999], LONG_AGO_MS)
    found.survived(survived, at_ms)
    return found


def crash(found, number, *requests, at_ms=None):
    """Records a crash; each request has the parts given."""
    accused = {
        100 * number + each: tuple(parts) for each, parts in enumerate(requests)
    }
    found.record(number, accused, 1000.0 * number if at_ms is None else at_ms)


def certain(found):
    return {part for part, blame in found.blamed().items() if blame.is_certain}


def test_part_that_all_crashes_have_in_common_is_blamed():
    found = causes(FIRST)
    for number in range(4):
        crash(found, number, [FIRST, DEADLY], [FIRST, 50 + number])
        assert (DEADLY in certain(found)) is (number == 3)
    assert certain(found) == {DEADLY}


def test_part_is_suspected_before_it_is_certain():
    """This node repeats no more requests with it."""
    found = causes(FIRST)
    for number in range(3):
        crash(found, number, [FIRST, DEADLY])
    assert set(found.blamed()) == {DEADLY}


def test_one_request_that_crashes_several_runners_blames_no_part():
    """It may be to blame itself."""
    found = causes(FIRST)
    for number in range(5):
        found.record(number, {7: (FIRST, DEADLY)}, 1000.0 * number)
    assert not found.blamed()
    found.record(6, {8: (FIRST, DEADLY)}, 6000.0)
    assert certain(found) == {DEADLY}


def test_part_of_a_request_that_survived_is_cleared():
    found = causes()
    for number in range(4):
        crash(found, number, [DEADLY])
    assert certain(found)
    assert found.survived([DEADLY], 3500.0) == [DEADLY]
    assert not found.blamed()


def test_answer_that_began_before_a_crash_does_not_clear_it():
    """It began when the part did no harm yet."""
    found = causes()
    for number in range(4):
        crash(found, number, [DEADLY])
    found.survived([DEADLY], -1.0)
    assert certain(found) == set()
    for number in range(4, 6):
        crash(found, number, [DEADLY])
    assert certain(found) == {DEADLY}


def test_popular_part_is_not_blamed_while_nothing_survives():
    """All replicas of a model end, under requests that share their first part.

    If it were blamed, no request of the model would be served any more.
    """
    found = causes(FIRST)
    for number in range(9):
        crash(found,
              number, [FIRST, DEADLY],
              *[[FIRST, 10 * number + each] for each in range(2, 8)],
              at_ms=200.0 * number)
        assert FIRST not in found.blamed()
    assert certain(found) == {DEADLY}


def test_node_that_has_just_started_needs_more_evidence():
    """It knows of no survivals, so all parts are new to it."""
    found = crashparts.PartCauses()
    found.survived([999], -100.0)
    for number in range(5):
        crash(found, number, [FIRST, DEADLY], at_ms=100.0 * number)
    assert not certain(found)


def test_part_that_did_no_harm_before_is_blamed_after_more_crashes():
    found = causes(FIRST, DEADLY)
    for number in range(6):
        assert not certain(found)
        crash(found, number, [FIRST, DEADLY], [FIRST, 50 + number])
        found.survived([FIRST], 1000.0 * number + 500)
    assert certain(found) == {DEADLY}


def test_parts_that_always_come_together_are_blamed_together():
    found = causes()
    for number in range(4):
        crash(found, number, [DEADLY, 7])
    assert certain(found) == {DEADLY, 7}


def test_parts_of_different_requests_at_the_same_crashes_wait_for_more():
    found = causes()
    for number in range(5):
        crash(found, number, [DEADLY], [7])
    assert not certain(found)
    crash(found, 5, [DEADLY])
    assert certain(found) == {DEADLY}


def test_runners_that_crash_beside_by_themselves_excuse():
    found = causes()
    for number in range(30):
        parts = [DEADLY] if number % 6 == 0 else [20 + number]
        crash(found, number, parts, at_ms=300.0 * number)
    assert not found.blamed()


def test_reports_may_come_in_any_order_and_twice():
    found = causes(FIRST)
    reports = [(number, {
        10 * number + each: (FIRST, DEADLY)
    }) for number in range(4) for each in range(2)]
    random.Random(1).shuffle(reports)
    for number, requests in reports + reports:
        found.record(number, requests, 1000.0 * number)
    assert certain(found) == {DEADLY}
    assert not found.record(*reports[0], 1000.0 * reports[0][0])


def test_peers_are_told_first_of_parts_that_nobody_survived():
    """A datagram has room for a request or two of the many in a crash."""
    found = causes(FIRST, *range(2, 30))
    crash(found, 0, *[[FIRST, each] for each in range(2, 30)],
          [FIRST, DEADLY, 2])
    assert found.telling(0)[0] == (28, (DEADLY,))
    assert len(found.telling(0)) == 29
    assert not found.telling(1)


def test_state_is_bounded():
    found = causes()
    for number in range(2 * crashparts.MAX_CRASHES):
        crash(found, number, *[[number, each] for each in range(100)])
        found.survived(range(100 * number, 100 * number + 100), 0.0)
    assert len(found._crashes) == crashparts.MAX_CRASHES
    assert len(found._survived_ms) == crashparts.MAX_SURVIVED
    assert len(found._first_accused_ms) <= crashparts.MAX_CRASHES + 100
    found.drop_expired(1e9)
    assert not found._crashes and not found._first_accused_ms


@pytest.mark.parametrize("seed", range(20))
def test_only_the_deadly_part_is_blamed_among_many_requests(seed):
    """Sound requests at each crash, of which most survive elsewhere later."""
    rng = random.Random(seed)

    def sound():
        return (FIRST, rng.randrange(10, 16), rng.randrange(20, 60))

    found = causes(FIRST, *range(10, 16), *range(20, 60))
    for number in range(8):
        at_ms = 700.0 * number
        crash(found,
              number, (FIRST, DEADLY, rng.randrange(20, 60)),
              *[sound() for _ in range(12)],
              at_ms=at_ms)
        for _ in range(6):
            found.survived(sound(), at_ms + rng.uniform(100, 600))
        assert set(found.blamed()) <= {DEADLY}
    assert certain(found) == {DEADLY}


def test_crashes_of_the_last_hour_cost_requests_nothing(monkeypatch):
    """Popular parts are in all of them, and survive with each request."""
    found = causes(FIRST)
    for number in range(crashparts.MAX_CRASHES):
        crash(found, number, *[[FIRST, each] for each in range(60)])
    found.survived(range(100), 1e6)
    found.blamed()
    searches = []
    monkeypatch.setattr(found, "_find_blamed", lambda: searches.append(1) or {})
    for number in range(100):
        found.survived([FIRST, number % 60], 1e6 + 1 + number)
        found.blamed()
    assert not searches


def test_request_that_found_no_room_is_not_new():
    """Peers would tell each other of it again and again."""
    found = causes()
    one_too_many = range(crashparts.MAX_ACCUSED + 1)
    accused = dict.fromkeys(one_too_many, (DEADLY,))
    assert found.record(1, accused, 0.0)
    assert not found.record(1, accused, 0.0)
