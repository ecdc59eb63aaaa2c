"""Tests of the placement of requests."""

import collections
import dataclasses
import random

from cardamommill.domain import model
from cardamommill.gateway.requests import enginetimes, placing
from tests.gateway import builders

ENGINE = builders.engine()
REQUEST_TOKENS = placing.RequestTokens(1000, 180)
REQUIREMENTS = placing.Requirements(300.0, 1600.0, 8000.0, 0.5)


def candidate(name="g", in_flight=0, **changes):
    defaults = dict(key=model.GroupKey(name, 1),
                    head=f"i-{name}",
                    in_flight=in_flight,
                    slots=13,
                    pace=1.0,
                    is_remote=False,
                    is_avoided=False)
    return placing.Candidate(**{**defaults, **changes})


def place(*candidates,
          requirements=REQUIREMENTS,
          excluded=frozenset(),
          request_tokens=REQUEST_TOKENS):
    return placing.place(ENGINE, request_tokens, candidates, excluded,
                         requirements, 700.0)


def test_least_loaded_group_is_chosen():
    placed = place(candidate("a", 9), candidate("b", 2))
    assert placed.candidate.key.name == "b"
    assert not placed.is_deferred


def test_group_under_backpressure_is_skipped():
    placed = place(candidate("a", 0, wait_ms=300.0), candidate("b", 12))
    assert placed.candidate.key.name == "b"


def test_refusal_by_backpressure_names_the_shortest_wait():
    """All heads are at their rate limit or have asked for a pause.

    Sending the request would exceed these limits, and holding it would only
    delay the refusal.
    """
    refused = place(candidate("a", wait_ms=900.0), candidate("b",
                                                             wait_ms=600.0))
    assert refused.reason == "no runner takes more now"
    assert 600.0 <= refused.retry_after_ms <= 1200.0


def test_local_group_is_preferred_at_equal_load():
    placed = place(candidate("a", 2, is_remote=True), candidate("b", 2))
    assert placed.candidate.key.name == "b"


def test_idle_connection_decides_between_equally_good_groups():
    """Each of hundreds of nodes sends a group one request in six seconds.

    When a node spread its requests over all equally good groups, every second
    request opened a connection, and a runner allows only some hundreds.
    """
    placed = place(candidate("a", 2), candidate("b",
                                                3,
                                                has_idle_connection=True))
    assert placed.candidate.key.name == "b"
    placed = place(candidate("a", 2),
                   candidate("b", 13, has_idle_connection=True))
    assert placed.candidate.key.name == "a"


def test_remote_group_is_chosen_if_much_faster():
    placed = place(candidate("a", 1, is_remote=True), candidate("b", 13))
    assert placed.candidate.key.name == "a"


def test_slow_group_loses_to_a_busier_fast_one():
    placed = place(candidate("a", 2, pace=2.5), candidate("b", 6))
    assert placed.candidate.key.name == "b"


def test_long_answer_avoids_a_group_that_misses_the_deadline():
    """An answer of 80 events; the fast group is full, the slow one idle.

    The slow group would give the first event in time but take 10 s in total,
    with a deadline of 8 s: the caller would wait in vain. Without another group
    the slow one is still used, since the answer's length is an estimate.
    """
    long = placing.RequestTokens(200, 560)
    slow = candidate("slow", 0, pace=2.5)
    quick = candidate("quick", 17)
    assert place(slow, quick, request_tokens=long).candidate.key.name == "quick"
    assert place(slow, quick).candidate.key.name == "slow"
    assert place(slow, request_tokens=long).candidate.key.name == "slow"


def test_avoided_group_is_used_only_without_an_alternative():
    avoided = candidate("a", is_avoided=True)
    assert place(avoided, candidate("b", 9)).candidate.key.name == "b"
    assert place(avoided).candidate.key.name == "a"


def test_suspect_group_is_not_preferred_to_a_place_in_a_queue():
    """A silent group has no load, so it seems to meet every objective."""
    silent = candidate("a", is_avoided=True, is_suspect=True)
    placed = place(silent, candidate("b", 19))
    assert placed.candidate.key.name == "b"
    assert placed.is_deferred
    assert place(silent, candidate("b", 19, deferred=7)).candidate is silent


def test_request_is_refused_rather_than_sent_to_a_dead_group():
    """The head of a dead group holds a request until its caller leaves."""
    dead = candidate("a", is_avoided=True, is_suspect=True, is_down=True)
    full = candidate("b", 19, deferred=7)
    assert place(dead, full).reason == "all groups are full"
    assert place(dead,
                 candidate("b"),
                 excluded=frozenset({model.GroupKey("b", 1)
                                    })).reason == "no group stands"
    assert place(dead).candidate is dead


def test_overload_beside_dead_groups_fails_no_request_there():
    """Half of the groups are dead while twice what the others take arrives."""
    dead = [
        candidate(f"d{number}", is_avoided=True, is_suspect=True, is_down=True)
        for number in range(6)
    ]
    load = dict.fromkeys((f"g{number}" for number in range(6)), 10)
    sent = []
    for number in range(120):
        found = place(*dead,
                      *(candidate(name,
                                  min(held, 19),
                                  deferred=max(0, held - 19))
                        for name, held in load.items()),
                      requirements=dataclasses.replace(REQUIREMENTS,
                                                       jitter=number % 7 / 7))
        if isinstance(found, placing.Placed):
            load[found.candidate.key.name] += 1
            sent.append(found.candidate)
    assert len(sent) > 60
    assert not any(each.is_down for each in sent)


def test_request_that_cannot_meet_its_objective_is_deferred():
    placed = place(candidate("a", 19))
    assert placed.is_deferred


def test_queue_of_deferred_requests_is_limited():
    # Callers at the end of a longer queue would leave before they are served.
    refused = place(candidate("a", 19, deferred=7))
    assert isinstance(refused, placing.Refused)
    assert refused.retry_after_ms > 0


def test_retry_delays_have_jitter():
    early = place(candidate("a", 19, deferred=7),
                  requirements=dataclasses.replace(REQUIREMENTS, jitter=0.0))
    late = place(candidate("a", 19, deferred=7),
                 requirements=dataclasses.replace(REQUIREMENTS, jitter=1.0))
    assert late.retry_after_ms >= 1.5 * early.retry_after_ms


def test_retry_delay_covers_the_queue():
    """All groups are full, and the shortest queue takes about 2 s.

    A caller that retries earlier finds the same queue, is refused again and
    gives up.
    """
    refused = place(candidate("a", 60, deferred=7),
                    candidate("b", 40, deferred=7),
                    requirements=placing.Requirements(300.0, 1600.0, 8000.0,
                                                      0.0))
    one_pass_ms = enginetimes.pass_ms(ENGINE, 13, 1.0)
    # 28 of the 40 requests must end before the next one gets a place.
    queue_ms = 28 * 180 / ENGINE.stride * one_pass_ms / 13
    assert queue_ms - 300 < refused.retry_after_ms < queue_ms + 300


def test_retry_delay_without_a_group_is_the_recovery_time():
    refused = place(candidate("a"),
                    excluded=frozenset({model.GroupKey("a", 1)}))
    assert refused.reason == "no group stands"
    assert 700 <= refused.retry_after_ms <= 900


def test_long_prompt_delays_the_first_event():
    short = placing.place(ENGINE, placing.RequestTokens(100, 10), [candidate()],
                          frozenset(), REQUIREMENTS, 0)
    long = placing.place(ENGINE, placing.RequestTokens(5000, 10), [candidate()],
                         frozenset(), REQUIREMENTS, 0)
    assert long.first_event_ms > short.first_event_ms + 90


def test_busy_group_is_preferred_to_an_idle_failing_one():
    """A head that fails every request at once has none in flight.

    By load alone it would look the fastest and get most requests.
    """
    failing = candidate("failing", 0, fail_odds=0.7)
    assert place(failing, candidate("b", 12)).candidate.key.name == "b"
    # Deferring a request at a healthy group is better than a likely failure.
    late = place(failing, candidate("b", 18))
    assert late.candidate.key.name == "b" and late.is_deferred


def test_head_that_is_likely_to_fail_is_the_last_choice():
    failing = candidate("failing", 0, fail_odds=0.7)
    full = candidate("full", 13, deferred=13, pending_prompt_tokens=40_000)
    assert place(failing).candidate.key.name == "failing"
    assert place(failing, full).candidate.key.name == "failing"
    # During the cool-down after a failure, requests are refused instead.
    cooling_down = dataclasses.replace(failing, is_cooling_down=True)
    assert isinstance(place(cooling_down, full), placing.Refused)
    assert place(cooling_down).candidate.key.name == "failing"


def test_single_failure_has_a_small_cost():
    failed_once = candidate("once", 1, fail_odds=0.05)
    assert place(failed_once, candidate("b", 14)).candidate.key.name == "once"
    assert place(failed_once, candidate("b", 1)).candidate.key.name == "b"


def test_retry_delay_ignores_failing_groups():
    idle = candidate("failing", 0, fail_odds=0.7, is_cooling_down=True)
    full = candidate("full", 13, deferred=13, pending_prompt_tokens=60_000)
    refused = place(idle, full)
    assert refused == place(full)


def test_overhead_counts_towards_the_objective():
    """With the overhead, requests in this queue would miss the objective."""
    full = candidate("a", 13)
    assert not place(full).is_deferred
    late = dataclasses.replace(REQUIREMENTS, overhead_ms=120.0)
    assert place(full, requirements=late).is_deferred
    assert place(candidate("a", 2), requirements=late).first_event_ms == (
        place(candidate("a", 2)).first_event_ms + 120.0)


def placements_by_group(unreported, requests=60, groups=12):
    """Places requests by the same load reports; returns the group counts."""
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


def test_simultaneous_requests_of_many_nodes_are_spread():
    """Seventy nodes have the same load reports, half a second old.

    If each node took the group with the lowest cost, all sixty requests of that
    time would go to one group, which has thirteen places.
    """
    assert max(placements_by_group(unreported=0.0)) == 60
    counts = placements_by_group(unreported=60.0)
    assert max(counts) <= 13
    assert min(counts) > 0


def test_fuller_groups_get_fewer_of_the_spread_requests():
    counts = placements_by_group(unreported=60.0, requests=600)
    emptiest, fullest = sum(counts[0::4]), sum(counts[3::4])
    assert fullest < emptiest


def test_few_unreported_requests_go_only_to_the_emptiest_groups():
    counts = placements_by_group(unreported=0.3)
    assert sum(counts[0::4]) == sum(counts)


def test_avoided_group_gets_none_of_the_spread_requests():
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


def test_unreported_requests_grow_with_the_load_and_its_age():
    assert placing.unreported_requests(ENGINE, 1.0, 0, 400.0) == 0.0
    one = placing.unreported_requests(ENGINE, 1.0, 100, 400.0)
    assert placing.unreported_requests(ENGINE, 1.0, 200, 400.0) == 2 * one
    assert placing.unreported_requests(ENGINE, 1.0, 100, 800.0) == 2 * one
