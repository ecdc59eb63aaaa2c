"""Tests of the choice of a source for the store's tables."""

import pytest

from cardamommill.gateway.nodes import peers
from cardamommill.gateway.tables import sourceselector
from tests.gateway.nodes import test_peers

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


def selector_and_peers(own, *others):
    """Returns the selector of node `own` of data centre a, and its peers."""
    known = peers.Peers(f"n{own}", "a", 1, address(own), 0.0)
    receive(known, *others)
    return sourceselector.SourceSelector(f"n{own}", known), known


def lose_store(selector):
    for _ in range(sourceselector.STORE_FAILURE_LIMIT):
        selector.failed(sourceselector.STORE, NOW_MS)


def receive(known, *messages, at_ms=NOW_MS):
    for message in messages:
        known.receive(message, address(int(message.node[1:])), at_ms)


def test_two_nodes_of_a_data_centre_read_the_store():
    nodes = range(1, 7)
    direct = [
        own for own in nodes
        if selector_and_peers(own, *(peer(each) for each in nodes if each != own
                                    ))[0].choose(NOW_MS) == sourceselector.STORE
    ]
    assert direct == [1, 2]


@pytest.mark.parametrize("others", [(1,), (1, 2)])
def test_small_data_centres_read_for_themselves(others):
    """Nodes of another data centre are not readers for this one."""
    messages = [peer(each, place="a" if each == 1 else "b") for each in others]
    assert selector_and_peers(
        9, *messages)[0].choose(NOW_MS) == sourceselector.STORE


def test_nodes_never_follow_each_other():
    """Each node sees only some of the others, so their views differ.

    If two nodes followed each other, the data of both would become stale, and
    neither would ask the store.
    """
    for hidden in range(1, 6):
        for own in range(1, 6):
            seen = [
                peer(each) for each in range(1, 6) if each not in (own, hidden)
            ]
            found = selector_and_peers(own, *seen)[0].choose(NOW_MS)
            assert found == sourceselector.STORE or int(
                found.peer[0].rpartition(".")[2]) < own


def test_planner_reads_for_itself():
    """It waits for members of groups; a list 1 s old would delay a group."""
    selector, known = selector_and_peers(9)
    known.planned_data_centres(("a",), NOW_MS)
    receive(known, peer(1), peer(2))
    assert known.is_planner
    assert selector.choose(NOW_MS) == sourceselector.STORE


def test_reader_that_fails_is_avoided_for_a_while():
    selector, known = selector_and_peers(9, peer(1), peer(2))
    first = selector.choose(NOW_MS)
    selector.failed(first, NOW_MS)
    assert selector.choose(NOW_MS + 1) == sourceselector.STORE
    later_ms = NOW_MS + sourceselector.PEER_RETRY_MS + 1
    receive(known, peer(1), peer(2), at_ms=later_ms)
    assert selector.choose(later_ms) == first


def test_node_refused_by_the_store_asks_a_near_peer_with_recent_data():
    """The store serves the others, so this node need not reject all keys."""
    others = (peer(1, age_ms=4000.0), peer(2, "b", 10.0), peer(3, age_ms=900.0))
    selector, _ = selector_and_peers(0, *others)
    assert selector.choose(NOW_MS) == sourceselector.STORE
    lose_store(selector)
    assert selector.choose(NOW_MS + 1).peer == address(3)


def test_store_that_failed_is_asked_again():
    selector, _ = selector_and_peers(0, peer(3))
    lose_store(selector)
    assert selector.choose(NOW_MS + sourceselector.STORE_RETRY_MS +
                           1) == sourceselector.STORE
    assert selector.has_reached_failure_limit
    selector.succeeded(sourceselector.STORE)
    assert not selector.has_reached_failure_limit


def test_node_without_peers_asks_the_store_despite_failures():
    selector, _ = selector_and_peers(0)
    lose_store(selector)
    assert selector.choose(NOW_MS + 1) == sourceselector.STORE


def test_next_nodes_become_readers_when_readers_lose_the_store():
    """The store refuses both readers, but would answer the other nodes.

    If no other nodes became readers, each follower would call the store itself
    once its list is stale: 37 nodes instead of two, and up to a second late.
    """
    nodes = range(1, 9)
    lost = {1, 2}
    direct = [
        own for own in nodes if selector_and_peers(
            own,
            *(peer(each, has_lost_store=each in lost)
              for each in nodes if each != own
             ))[0].choose(NOW_MS) == sourceselector.STORE and own not in lost
    ]
    assert direct == [3, 4]
    reader, _ = selector_and_peers(
        1, peer(2, has_lost_store=True),
        *(peer(each, interval_ms=9000.0) for each in range(3, 9)))
    lose_store(reader)
    assert reader.choose(NOW_MS + sourceselector.STORE_RETRY_MS +
                         1).peer is not None
    later_ms = NOW_MS + sourceselector.STORE_LOST_MS + 1
    assert not reader.has_lost_store(later_ms)


def test_many_nodes_that_lost_the_store_together_call_it_rarely():
    called_at_ms = []
    for own in range(1, 40):
        selector, known = selector_and_peers(
            own,
            *(peer(each, age_ms=9000.0, has_lost_store=True, interval_ms=9000.0)
              for each in range(1, 40)
              if each != own))
        lose_store(selector)
        for at_ms in range(0, 30_000, 500):
            if selector.choose(NOW_MS + at_ms) == sourceselector.STORE:
                called_at_ms.append(at_ms)
                selector.failed(sourceselector.STORE, NOW_MS + at_ms)
    of_readers = (sourceselector.READERS_PER_DATA_CENTRE * 1000 /
                  sourceselector.STORE_RETRY_MS)
    assert len(called_at_ms) / 30 <= 3 * of_readers


def test_store_is_not_abandoned_after_one_lost_answer():
    """All nodes lose one answer of their feeds while the store is healthy."""
    selector, _ = selector_and_peers(0, peer(3))
    selector.failed(sourceselector.STORE, NOW_MS)
    assert selector.choose(NOW_MS + 1) == sourceselector.STORE
    assert not selector.has_reached_failure_limit


def test_peers_without_newer_data_are_not_asked():
    """No node reaches the store, so all peers' confirmations are equally old.

    Readers keep calling the store, and followers keep asking the readers.
    """
    old = {
        "age_ms": sourceselector.MAX_CONFIRMATION_AGE_MS + 500.0,
        "has_lost_store": True
    }
    reader, _ = selector_and_peers(0, peer(3, **old), peer(4, **old))
    lose_store(reader)
    assert reader.choose(NOW_MS + 1) == sourceselector.STORE
    follower, _ = selector_and_peers(9, peer(3, **old), peer(4, **old))
    assert follower.choose(NOW_MS) == sourceselector.STORE
    lose_store(follower)
    first = follower.choose(NOW_MS + 2)
    assert first.peer in (address(3), address(4))
    follower.failed(first, NOW_MS + 2)
    assert follower.choose(NOW_MS + 3) == first
    assert follower.choose(NOW_MS + sourceselector.STORE_RETRY_MS +
                           1) == sourceselector.STORE


def test_nearest_peer_with_a_newer_configuration_is_asked_for_it():
    selector, _ = selector_and_peers(0, peer(1, config_version=4),
                                     peer(2, "b", config_version=6),
                                     peer(3, config_version=5))
    assert selector.peer_with_newer(4, NOW_MS).peer == address(3)
    selector.failed(selector.peer_with_newer(4, NOW_MS), NOW_MS)
    assert selector.peer_with_newer(4, NOW_MS).peer == address(2)
    assert selector.peer_with_newer(6, NOW_MS) is None
