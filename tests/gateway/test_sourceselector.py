"""Tests of whom a node asks for the store's tables."""

import pytest

from cardamommill.gateway import peers, sourceselector
from tests.gateway import test_peers

NOW_MS = 100_000.0


def peer(number, place="a", age_ms=100.0, stopping=False, **fields):
    return test_peers.message(f"n{number}",
                              place,
                              sent_ms=NOW_MS,
                              config_confirmed_age_ms=age_ms,
                              stopping=stopping,
                              **fields)


def address(number):
    return (f"10.1.0.{number}", 7000)


def choice(own, *others):
    """Returns what node `own` of data centre a chooses by, and its peers."""
    known = peers.Peers(f"n{own}", "a", 1, address(own), 0.0)
    hear(known, *others)
    return sourceselector.SourceSelector(f"n{own}", known), known


def lose_store(one):
    for _ in range(sourceselector.STORE_FAILURE_LIMIT):
        one.failed(sourceselector.STORE, NOW_MS)


def hear(known, *messages, at_ms=NOW_MS):
    for message in messages:
        known.receive(message, address(int(message.node[1:])), at_ms)


def test_two_nodes_of_a_data_centre_read_the_store():
    nodes = range(1, 7)
    direct = [
        own for own in nodes
        if choice(own, *(peer(each) for each in nodes if each != own
                        ))[0].choose(NOW_MS) == sourceselector.STORE
    ]
    assert direct == [1, 2]


@pytest.mark.parametrize("others", [(1,), (1, 2)])
def test_small_data_centres_read_for_themselves(others):
    """Two nodes of another data centre are no readers for this one."""
    messages = [peer(each, place="a" if each == 1 else "b") for each in others]
    assert choice(9, *messages)[0].choose(NOW_MS) == sourceselector.STORE


def test_nodes_never_follow_each_other():
    """Views differ: each sees only some of the others.

    Two that followed each other would both grow old, and neither would ask the
    store.
    """
    for hidden in range(1, 6):
        for own in range(1, 6):
            seen = [
                peer(each) for each in range(1, 6) if each not in (own, hidden)
            ]
            found = choice(own, *seen)[0].choose(NOW_MS)
            assert found == sourceselector.STORE or int(
                found.peer[0].rpartition(".")[2]) < own


def test_planner_reads_for_itself():
    """It waits for its members' word; a list of a second ago delays a group."""
    one, known = choice(9)
    known.planned_data_centres(("a",), NOW_MS)
    hear(known, peer(1), peer(2))
    assert known.is_planner
    assert one.choose(NOW_MS) == sourceselector.STORE


def test_reader_that_fails_is_left_for_a_while():
    one, known = choice(9, peer(1), peer(2))
    first = one.choose(NOW_MS)
    one.failed(first, NOW_MS)
    assert one.choose(NOW_MS + 1) == sourceselector.STORE
    later_ms = NOW_MS + sourceselector.PEER_RETRY_MS + 1
    hear(known, peer(1), peer(2), at_ms=later_ms)
    assert one.choose(later_ms) == first


def test_node_that_the_store_turns_away_asks_a_near_peer_that_is_young():
    """The store serves the others: this one need not refuse all keys."""
    others = (peer(1, age_ms=4000.0), peer(2, "b", 10.0), peer(3, age_ms=900.0))
    one, _ = choice(0, *others)
    assert one.choose(NOW_MS) == sourceselector.STORE
    lose_store(one)
    assert one.choose(NOW_MS + 1).peer == address(3)


def test_store_that_failed_is_asked_again():
    one, _ = choice(0, peer(3))
    lose_store(one)
    assert one.choose(NOW_MS + sourceselector.STORE_RETRY_MS +
                      1) == sourceselector.STORE
    assert one.is_store_lost
    one.succeeded(sourceselector.STORE)
    assert not one.is_store_lost


def test_node_that_knows_nobody_asks_the_store_whatever_failed():
    one, _ = choice(0)
    lose_store(one)
    assert one.choose(NOW_MS + 1) == sourceselector.STORE


def test_next_nodes_read_where_readers_lost_the_store():
    """The store turns both readers away and would answer the others.

    These asked it each for itself once their lists were old: 37 nodes in place
    of two, and up to a second late.
    """
    nodes = range(1, 9)
    lost = {1, 2}
    direct = [
        own for own in nodes if choice(
            own,
            *(peer(each, has_lost_store=each in lost)
              for each in nodes if each != own
             ))[0].choose(NOW_MS) == sourceselector.STORE and own not in lost
    ]
    assert direct == [3, 4]
    reader, _ = choice(
        1, peer(2, has_lost_store=True),
        *(peer(each, interval_ms=9000.0) for each in range(3, 9)))
    lose_store(reader)
    assert reader.choose(NOW_MS + sourceselector.STORE_RETRY_MS +
                         1).peer is not None
    later_ms = NOW_MS + sourceselector.STORE_LOST_MS + 1
    assert not reader.has_lost_store(later_ms)


def test_many_nodes_that_lost_the_store_ask_it_seldom_together():
    asked_ms = []
    for own in range(1, 40):
        one, known = choice(
            own,
            *(peer(each, age_ms=9000.0, has_lost_store=True, interval_ms=9000.0)
              for each in range(1, 40)
              if each != own))
        lose_store(one)
        for at_ms in range(0, 30_000, 500):
            if one.choose(NOW_MS + at_ms) == sourceselector.STORE:
                asked_ms.append(at_ms)
                one.failed(sourceselector.STORE, NOW_MS + at_ms)
    of_readers = (sourceselector.READERS_PER_DATA_CENTRE * 1000 /
                  sourceselector.STORE_RETRY_MS)
    assert len(asked_ms) / 30 <= 3 * of_readers


def test_one_lost_answer_is_no_reason_to_leave_the_store():
    """All nodes lose an answer of their feeds; the store itself is well."""
    one, _ = choice(0, peer(3))
    one.failed(sourceselector.STORE, NOW_MS)
    assert one.choose(NOW_MS + 1) == sourceselector.STORE
    assert not one.is_store_lost


def test_nobody_asks_peers_that_know_no_more():
    """The store is away for all: each peer's confirmation is as old as ours.

    Readers go on asking the store, and those that follow them wait for these.
    """
    old = {
        "age_ms": sourceselector.MAX_CONFIRMATION_AGE_MS + 500.0,
        "has_lost_store": True
    }
    reader, _ = choice(0, peer(3, **old), peer(4, **old))
    lose_store(reader)
    assert reader.choose(NOW_MS + 1) == sourceselector.STORE
    follower, _ = choice(9, peer(3, **old), peer(4, **old))
    assert follower.choose(NOW_MS) == sourceselector.STORE
    lose_store(follower)
    first = follower.choose(NOW_MS + 2)
    assert first.peer in (address(3), address(4))
    follower.failed(first, NOW_MS + 2)
    assert follower.choose(NOW_MS + 3) == first
    assert follower.choose(NOW_MS + sourceselector.STORE_RETRY_MS +
                           1) == sourceselector.STORE


def test_nearest_peer_with_a_newer_configuration_is_asked_for_it():
    one, _ = choice(0, peer(1, config_version=4), peer(2, "b",
                                                       config_version=6),
                    peer(3, config_version=5))
    assert one.peer_with_newer(4, NOW_MS).peer == address(3)
    one.failed(one.peer_with_newer(4, NOW_MS), NOW_MS)
    assert one.peer_with_newer(4, NOW_MS).peer == address(2)
    assert one.peer_with_newer(6, NOW_MS) is None
