"""Tests of where requests go."""

import collections
import dataclasses
import random

from cardamommill.gateway import model, placing
from tests.gateway import builders

ENGINE = builders.engine()
TOKEN_COUNTS = placing.TokenCounts(1000, 180)
REQUIREMENTS = placing.Requirements(300.0, 1600.0, 8000.0, 0.5)


def candidate(name="g", in_flight=0, **changes):
    figures = dict(key=model.GroupKey(name, 1),
                   head=f"i-{name}",
                   in_flight=in_flight,
                   places=13,
                   pace=1.0,
                   is_remote=False,
                   is_avoided=False)
    return placing.Candidate(**{**figures, **changes})


def place(*candidates,
          requirements=REQUIREMENTS,
          excluded=frozenset(),
          token_counts=TOKEN_COUNTS):
    return placing.place(ENGINE, token_counts, candidates, excluded,
                         requirements, 700.0)


def test_least_loaded_group_is_taken():
    placed = place(candidate("a", 9), candidate("b", 2))
    assert placed.candidate.key.name == "b"
    assert not placed.is_deferred


def test_group_whose_head_takes_nothing_now_is_left_out():
    placed = place(candidate("a", 0, wait_ms=300.0), candidate("b", 12))
    assert placed.candidate.key.name == "b"


def test_request_that_no_head_takes_now_is_told_when_one_will():
    """Sent all the same it exceeds the limits; held it is only told later."""
    refused = place(candidate("a", wait_ms=900.0), candidate("b",
                                                             wait_ms=600.0))
    assert refused.reason == "no runner takes more now"
    assert 600.0 <= refused.retry_after_ms <= 1200.0


def test_group_nearby_is_taken_where_both_are_as_good():
    placed = place(candidate("a", 2, is_remote=True), candidate("b", 2))
    assert placed.candidate.key.name == "b"


def test_kept_connection_decides_between_groups_that_are_as_good():
    """Of hundreds of nodes each sends a group one request in six seconds.

    Spread over all groups that are as good, every second one of them opened a
    connection, and runners have places for some hundreds only.
    """
    placed = place(candidate("a", 2), candidate("b",
                                                3,
                                                has_idle_connection=True))
    assert placed.candidate.key.name == "b"
    placed = place(candidate("a", 2),
                   candidate("b", 13, has_idle_connection=True))
    assert placed.candidate.key.name == "a"


def test_group_away_is_taken_where_it_is_much_sooner():
    placed = place(candidate("a", 1, is_remote=True), candidate("b", 13))
    assert placed.candidate.key.name == "a"


def test_slow_group_is_left_for_a_whole_one():
    placed = place(candidate("a", 2, pace=2.5), candidate("b", 6))
    assert placed.candidate.key.name == "b"


def test_long_answer_is_not_sent_where_it_cannot_be_whole():
    """An answer of 80 events; the quick group is full, the slow idle.

    The slow one gives the first event in time and takes 10 s for the rest, of
    8: its caller would wait for all of that and get nothing. Where there is no
    other, the slow one has it all the same: its length is a guess.
    """
    long = placing.TokenCounts(200, 560)
    slow = candidate("slow", 0, pace=2.5)
    quick = candidate("quick", 17)
    assert place(slow, quick, token_counts=long).candidate.key.name == "quick"
    assert place(slow, quick).candidate.key.name == "slow"
    assert place(slow, token_counts=long).candidate.key.name == "slow"


def test_avoided_group_is_used_only_where_no_other_is_in_time():
    avoided = candidate("a", is_avoided=True)
    assert place(avoided, candidate("b", 9)).candidate.key.name == "b"
    assert place(avoided).candidate.key.name == "a"


def test_request_that_cannot_be_in_time_waits_behind_those_that_can():
    placed = place(candidate("a", 19))
    assert placed.is_deferred


def test_queue_of_late_requests_is_short():
    # A longer one would not be served before its callers leave.
    refused = place(candidate("a", 19, deferred=7))
    assert isinstance(refused, placing.Refused)
    assert refused.retry_after_ms > 0


def test_returns_are_spread():
    early = place(candidate("a", 19, deferred=7),
                  requirements=dataclasses.replace(REQUIREMENTS, jitter=0.0))
    late = place(candidate("a", 19, deferred=7),
                 requirements=dataclasses.replace(REQUIREMENTS, jitter=1.0))
    assert late.retry_after_ms >= 1.5 * early.retry_after_ms


def test_caller_comes_back_when_the_queue_is_worked_off():
    """All groups are full; the shortest queue takes some 2 s.

    A caller that comes back before finds the same queue, is refused again and
    tries no more.
    """
    refused = place(candidate("a", 60, deferred=7),
                    candidate("b", 40, deferred=7),
                    requirements=placing.Requirements(300.0, 1600.0, 8000.0,
                                                      0.0))
    engine_ms = placing.pass_ms(ENGINE, 13, 1.0)
    queue_ms = 28 * 180 / ENGINE.stride * engine_ms / 13
    assert queue_ms - 300 < refused.retry_after_ms < queue_ms + 300


def test_no_group_says_when_one_should_stand():
    refused = place(candidate("a"),
                    excluded=frozenset({model.GroupKey("a", 1)}))
    assert refused.reason == "no group stands"
    assert 700 <= refused.retry_after_ms <= 900


def test_long_prompt_is_expected_later():
    short = placing.place(ENGINE, placing.TokenCounts(100, 10), [candidate()],
                          frozenset(), REQUIREMENTS, 0)
    long = placing.place(ENGINE, placing.TokenCounts(5000, 10), [candidate()],
                         frozenset(), REQUIREMENTS, 0)
    assert long.first_event_ms > short.first_event_ms + 90


def test_idle_head_that_fails_all_is_left_for_a_busy_sound_one():
    """A head fails each request at once, and so has nothing in flight.

    By load alone it is the quickest and gets most of what comes.
    """
    failing = candidate("failing", 0, fail_odds=0.7)
    assert place(failing, candidate("b", 12)).candidate.key.name == "b"
    # Late in the queue of a sound one rather than failed.
    late = place(failing, candidate("b", 18))
    assert late.candidate.key.name == "b" and late.is_deferred


def test_head_that_is_likely_to_fail_is_the_last_resort():
    failing = candidate("failing", 0, fail_odds=0.7)
    full = candidate("full", 13, deferred=13, pending_prompt_tokens=40_000)
    assert place(failing).candidate.key.name == "failing"
    assert place(failing, full).candidate.key.name == "failing"
    # A moment after it failed one more is told to come back.
    rests = dataclasses.replace(failing, is_cooling_down=True)
    assert isinstance(place(rests, full), placing.Refused)
    assert place(rests).candidate.key.name == "failing"


def test_one_failure_costs_a_head_little():
    once = candidate("once", 1, fail_odds=0.05)
    assert place(once, candidate("b", 14)).candidate.key.name == "once"
    assert place(once, candidate("b", 1)).candidate.key.name == "b"


def test_refused_callers_come_back_by_what_sound_groups_have_to_do():
    idle = candidate("failing", 0, fail_odds=0.7, is_cooling_down=True)
    full = candidate("full", 13, deferred=13, pending_prompt_tokens=60_000)
    refused = place(idle, full)
    assert refused == place(full)


def test_overhead_counts_against_the_objective():
    """With it the queue is too long: all that wait in it would come late."""
    full = candidate("a", 13)
    assert not place(full).is_deferred
    late = dataclasses.replace(REQUIREMENTS, overhead_ms=120.0)
    assert place(full, requirements=late).is_deferred
    assert place(candidate("a", 2), requirements=late).first_event_ms == (
        place(candidate("a", 2)).first_event_ms + 120.0)


def shared_out(unreported, requests=60, groups=12):
    """Returns how many requests each group gets of nodes that know the same."""
    chance = random.Random(1)
    candidates = [
        candidate(f"g{number}", number % 4) for number in range(groups)
    ]
    counts = collections.Counter()
    for _ in range(requests):
        requirements = dataclasses.replace(REQUIREMENTS,
                                           jitter=chance.random(),
                                           unreported_requests=unreported)
        counts[place(*candidates, requirements=requirements).candidate.key] += 1
    return [counts[each.key] for each in candidates]


def test_requests_of_many_nodes_do_not_all_go_to_the_same_group():
    """Seventy nodes know the same loads, half a second old.

    By the lowest cost alone each sends what comes meanwhile to the same group:
    all sixty requests, where its places are thirteen.
    """
    assert max(shared_out(unreported=0.0)) == 60
    counts = shared_out(unreported=60.0)
    assert max(counts) <= 13
    assert min(counts) > 0


def test_fuller_groups_get_less_of_what_is_shared_out():
    counts = shared_out(unreported=60.0, requests=600)
    emptiest, fullest = sum(counts[0::4]), sum(counts[3::4])
    assert fullest < emptiest


def test_few_unseen_requests_go_to_the_emptiest_groups_alone():
    counts = shared_out(unreported=0.3)
    assert sum(counts[0::4]) == sum(counts)


def test_avoided_group_gets_nothing_of_what_is_shared_out():
    requirement_sets = [
        dataclasses.replace(REQUIREMENTS,
                            jitter=each / 20,
                            unreported_requests=40.0) for each in range(20)
    ]
    chosen = {
        place(candidate("a", is_avoided=True),
              candidate("b", 4),
              requirements=each).candidate.key.name for each in requirement_sets
    }
    assert chosen == {"b"}


def test_unseen_requests_grow_with_the_load_and_its_age():
    assert placing.unreported_requests(ENGINE, 1.0, 0, 400.0) == 0.0
    one = placing.unreported_requests(ENGINE, 1.0, 100, 400.0)
    assert placing.unreported_requests(ENGINE, 1.0, 200, 400.0) == 2 * one
    assert placing.unreported_requests(ENGINE, 1.0, 100, 800.0) == 2 * one
