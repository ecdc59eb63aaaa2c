"""Replays of competing callers over many nodes with late and lost views."""

import pytest

from tests.gateway.requests import admissionreplay

GROUPS = 10
SLOTS = admissionreplay.SLOTS * GROUPS
CAPACITY_PER_S = SLOTS / 1.3
URGENT, MIDDLE, LEAST = 1, 4, 8
END_MS = 20_000.0
# The last requests end this long after the last arrival.
DRAINED_MS = END_MS + 5000.0
# One process runs all replays of a size, as those of the bursts are shared.
NODES = pytest.mark.parametrize("nodes", [
    pytest.param(each, marks=pytest.mark.xdist_group(f"admission-{each}"))
    for each in (58, 112)
])


def loads(priority, part, *changes, accounts=8):
    """Returns equal accounts that ask for a part of the capacity together.

    Args:
        priority: Their priority.
        part: Part of the capacity.
        *changes: Times in ms, each with a factor that holds from then on.
        accounts: Their number.
    """
    usual_per_s = part * CAPACITY_PER_S / accounts
    rates = tuple((since_ms, factor * usual_per_s)
                  for since_ms, factor in ((0.0, 1.0), *changes, (END_MS, 0.0)))
    return [
        admissionreplay.Load(f"a{priority}-{index}", priority, rates)
        for index in range(accounts)
    ]


def competing(only=(URGENT, MIDDLE, LEAST)):
    """A burst of the least urgent at 2.5, then of the most urgent at 1.8."""
    parts = {
        URGENT: loads(URGENT, 0.4, (10_000.0, 1.8), (17_000.0, 1.0)),
        MIDDLE: loads(MIDDLE, 0.15),
        LEAST: loads(LEAST, 0.3, (5000.0, 2.5), (14_000.0, 1.0)),
    }
    return [each for priority in only for each in parts[priority]]


def replay(title, asked, nodes, is_controlled, until_ms=DRAINED_MS, **options):
    one = admissionreplay.Replay(asked,
                                 nodes,
                                 GROUPS,
                                 is_controlled=is_controlled,
                                 **options).run(until_ms)
    print(admissionreplay.lines(f"{title}, {nodes} nodes", one))
    return one


@pytest.fixture(scope="module")
def bursts():
    """The three replays of the bursts, by the number of nodes."""
    found = {}

    def of(nodes):
        if nodes not in found:
            found[nodes] = (replay("urgent alone", competing((URGENT,)), nodes,
                                   False),
                            replay("placing alone", competing(), nodes, False),
                            replay("controlled", competing(), nodes, True))
        return found[nodes]

    return of


@NODES
def test_urgent_requests_lose_nothing_to_bursts(bursts, nodes):
    """Guards against urgent requests that are late behind less urgent ones."""
    alone, _, controlled = bursts(nodes)
    assert (controlled.tallies[URGENT].in_time
            >= 0.99 * alone.tallies[URGENT].in_time)


@NODES
def test_urgent_requests_are_not_refused_in_bursts(bursts, nodes):
    """Guards against refusals of urgent requests that have room alone."""
    tally = bursts(nodes)[2].tallies[URGENT]
    assert tally.refused + tally.left <= 0.01 * tally.asked


@NODES
def test_other_requests_get_what_is_left_in_bursts(bursts, nodes):
    """Guards against a reservation that leaves slots idle."""
    _, placing, controlled = bursts(nodes)
    assert controlled.used_slots_ms >= 0.9 * placing.used_slots_ms


@NODES
def test_more_urgent_priorities_are_served_better(bursts, nodes):
    """Guards against an order of service that is not that of priorities."""
    tallies = bursts(nodes)[2].tallies
    parts = [
        tallies[each].in_time / tallies[each].asked
        for each in (URGENT, MIDDLE, LEAST)
    ]
    assert parts == sorted(parts, reverse=True)


@NODES
def test_account_above_its_share_takes_nothing_from_others(nodes):
    """Guards against refusals of small accounts because of a large one.

    One of 24 accounts asks for five times its share, the others for somewhat
    less than theirs.
    """
    small = loads(MIDDLE, 0.9 * 23 / 24, accounts=23)
    large = [
        admissionreplay.Load("large", MIDDLE,
                             ((0.0, 5 * CAPACITY_PER_S / 24), (END_MS, 0.0)))
    ]
    before = replay("large, placing", small + large, nodes, False)
    after = replay("large, controlled", small + large, nodes, True)
    print(before.tallies["large"], after.tallies["large"])
    asked = sum(after.tallies[each.account].asked for each in small)
    refused = sum(after.tallies[each.account].refused +
                  after.tallies[each.account].left for each in small)
    assert refused <= 0.01 * asked
    assert after.used_slots_ms >= 0.9 * before.used_slots_ms


@NODES
def test_one_source_is_served_exactly_as_by_placing_alone(nodes):
    """Guards against any effect where only one priority and account ask."""
    asked = loads(MIDDLE, 1.3, accounts=1)
    before = replay("one source, placing", asked, nodes, False)
    after = replay("one source, controlled", asked, nodes, True)
    assert after.tallies == before.tallies
    assert after.used_slots_ms == before.used_slots_ms


@NODES
def test_groups_that_are_not_full_serve_exactly_as_by_placing_alone(nodes):
    """Guards against any effect where there is room for all."""
    asked = loads(URGENT, 0.2) + loads(LEAST, 0.2)
    before = replay("room, placing", asked, nodes, False)
    after = replay("room, controlled", asked, nodes, True)
    assert after.tallies == before.tallies
    assert after.used_slots_ms == before.used_slots_ms


@NODES
def test_equal_priorities_are_served_as_before(nodes):
    """Guards against losses where no priority and no account differs."""
    asked = loads(MIDDLE, 1.3, accounts=24)
    before = replay("equal, placing", asked, nodes, False)
    after = replay("equal, controlled", asked, nodes, True)
    assert after.tallies[MIDDLE].in_time >= before.tallies[MIDDLE].in_time
    assert after.used_slots_ms >= 0.9 * before.used_slots_ms


@NODES
def test_halves_that_do_not_hear_each_other_serve_the_urgent_first(nodes):
    """Guards against admission control that fails in a partition."""

    def cut(title, is_controlled):
        one = admissionreplay.Replay(competing(),
                                     nodes,
                                     GROUPS,
                                     is_controlled=is_controlled)
        one.cut_ms = (8000.0, 16_000.0)
        one.run(DRAINED_MS)
        print(admissionreplay.lines(f"{title}, {nodes} nodes", one))
        return one

    before, after = cut("cut, placing", False), cut("cut, controlled", True)
    assert after.tallies[URGENT].in_time >= before.tallies[URGENT].in_time
    assert after.used_slots_ms >= 0.9 * before.used_slots_ms


@NODES
def test_reservation_ends_within_two_seconds(nodes):
    """Guards against slots kept for a priority that no longer asks."""
    asked = loads(URGENT, 0.7, (10_000.0, 0.0)) + loads(LEAST, 0.9)
    one = replay("urgent stop", asked, nodes, True)
    kept = [
        reserved for at_ms, _, reserved in one.samples if 9000 < at_ms < 9900
    ]
    late = [reserved for at_ms, _, reserved in one.samples if at_ms > 12_000.0]
    assert min(kept) > 0.5 * SLOTS
    assert max(late) == 0.0


def test_in_flight_requests_do_not_oscillate():
    """Guards against nodes that all admit and all refuse in turn.

    The least urgent press at four times the capacity beside a constant urgent
    load.
    """
    asked = loads(URGENT, 0.4) + loads(LEAST, 4.0)
    one = replay("pressed", asked, 58, True)
    busy = [used for at_ms, used, _ in one.samples if 8000 < at_ms < END_MS]
    assert min(busy) >= 0.6 * SLOTS
    assert sum(busy) / len(busy) >= 0.85 * SLOTS
