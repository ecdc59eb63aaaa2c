"""Tests of the choice of a replica and of what it rests on."""

import collections
import dataclasses

import pytest

from cardamommill import (
    actions,
    choice,
    events,
    fleet,
    peering,
    requesting,
    routing,
    stragglers,
)
from cardamommill import board as board_lib
from tests import requestnode


def place(node: requestnode.Node, name: str, **fields) -> str:
    done = node.arrive(name, **fields)
    return requestnode.only(done, actions.Dispatch).target.replica_id


def test_never_to_a_replica_without_evidence_of_this_moment():
    """The candidates were worked out a moment ago; then a member was lost.

    A request must not go there even once: the replica is looked at again at
    the moment of the dispatch.
    """
    node = requestnode.Node(replicas=2)
    place(node, "first")
    node.board.vms.leaving.add("vm-r0")
    for number in range(3):
        assert place(node, str(number)) == "r1"


def test_replica_that_was_not_reached_waits_for_newer_evidence():
    """A runner died; its evidence stays young for another two seconds.

    Without this each request of those seconds would be sent there first.
    """
    node = requestnode.Node(replicas=2, slots=20)
    first = requestnode.only(node.arrive("a"), actions.Dispatch)
    done = node.ended(first, requesting.Outcome.NOT_RUN, whole=False)
    second = requestnode.only(done, actions.Dispatch)
    lost = first.target.replica_id
    assert lost not in {place(node, str(number)) for number in range(8)}
    node.ended(second)
    node.tick()
    assert lost in {place(node, f"more{number}") for number in range(8)}


def test_loads_that_peers_and_reports_tell_are_counted():
    node = requestnode.Node(replicas=3, slots=8)
    node.peer("node-2", in_flight=[requestnode.counted(5, "r0")])
    node.refresh(r1=4)
    node.tick(0, refresh=False)
    assert {place(node, str(number)) for number in range(3)} == {"r2"}


def test_requests_known_here_are_not_counted_twice():
    node = requestnode.Node(replicas=1, slots=8)
    sent = [
        requestnode.only(node.arrive(str(number)), actions.Dispatch)
        for number in range(4)
    ]
    node.tick()
    node.refresh(r0=4)
    node.tick(0, refresh=False)
    for dispatch in sent:
        node.ended(dispatch)
    load = choice.load_of(node.board, "r0")
    assert choice.expected(load, node.now_ms) == 0


def test_lagging_reports_draw_no_herd():
    """Reports say that one of eight replicas is idle, for 700 ms.

    Were they believed, all that comes in that time would pile onto it.
    """
    node = requestnode.Node(replicas=8, slots=8)
    node.refresh(**{f"r{number}": 4 for number in range(1, 8)})
    node.tick(0, refresh=False)
    places = collections.Counter(place(node, str(n)) for n in range(40))
    assert max(places.values()) <= 8


def test_peers_together_do_not_overfill_a_replica():
    nodes = [
        requestnode.Node(replicas=3,
                         slots=5,
                         name=f"node-{number}",
                         seed=number) for number in range(4)
    ]
    for node in nodes:
        for other in nodes:
            if other is not node:
                node.peer(other.board.identity.node_id,
                          in_flight=[
                              requestnode.counted(5, f"r{number}")
                              for number in range(3)
                          ])
        node.tick(0)
    places: collections.Counter[str] = collections.Counter()
    for node in nodes:
        for number in range(10):
            for each in node.arrive(str(number)):
                if isinstance(each, actions.Dispatch):
                    places[each.target.replica_id] += 1
    assert set(places.values()) == {5}


@pytest.mark.parametrize("seed", range(6))
def test_own_share_is_used_up_before_what_looks_free(seed):
    """Another node fills its slots, and this one hears of it 700 ms later.

    What looks free may be gone: requests sent there would wait at the replica
    although this node has slots of its own elsewhere that nobody else uses.
    """
    node = requestnode.Node(replicas=4, slots=4, seed=seed)
    node.peer("node-2")
    node.tick(0)
    places = collections.Counter(place(node, str(n)) for n in range(8))
    assert set(places.values()) == {2}


def test_full_replica_is_not_kept_by_those_who_came_first():
    """One node holds all slots and fills each again as it comes free.

    This node must get its share of them all the same, or its callers would
    wait for ever.
    """
    node = requestnode.Node(replicas=1, slots=4)
    node.peer("node-2", in_flight=[requestnode.counted(4, "r0")])
    node.tick(0)
    for number in range(2):
        place(node, str(number))
    assert node.arrive("more") == []


def test_prefix_goes_where_it_is_held_up_to_a_bound():
    node = requestnode.Node(replicas=4, slots=16)
    home = place(node, "a", prefixes=("system", "turn-1"))
    assert place(node, "b", prefixes=("system", "turn-1", "turn-2")) == home
    places = collections.Counter(
        place(node, str(n), prefixes=("system", "turn-1")) for n in range(16))
    assert 2 <= places[home] <= 8


@pytest.mark.parametrize("boot_id, first_sequence, kept", [
    ("boot-r0", 5, {"a", "b", "c", "d"}),
    ("boot-r0", 7, {"c", "d"}),
    ("boot-r0", 99, {"d"}),
    ("boot-new", 5, {"d"}),
])
def test_cache_events_after_a_gap_or_a_new_boot(boot_id, first_sequence, kept):
    """Events are lost, or the runner was started again with an empty cache.

    What was evicted in a gap isn't known: as many as were lost are forgotten,
    the oldest first, or requests would follow a prefix for ever to a replica
    that dropped it long ago.
    """
    node = requestnode.Node()
    node.step(
        events.CacheEventsRead("vm-r0", "boot-r0", 1, ("a", "b", "c", "x"),
                               ("x",), 4))
    node.step(
        events.CacheEventsRead("vm-r0", boot_id, first_sequence, ("d",), (),
                               first_sequence))
    assert set(node.board.load.prefixes) == kept


def test_cache_events_are_asked_for_where_there_are_some():
    node = requestnode.Node(replicas=2)
    report = node.board.evidence.by_vm["vm-r1"].report
    node.board.evidence.by_vm["vm-r1"] = fleet.Evidence(
        dataclasses.replace(report, cache_sequence=7), node.now_ms, "node-1")
    asked = requestnode.only(node.tick(0, refresh=False),
                             actions.ReadCacheEvents)
    assert (asked.vm_id, asked.after_sequence) == ("vm-r1", 0)


def test_prefixes_are_bounded(monkeypatch):
    monkeypatch.setattr(routing, "MAX_PREFIXES", 10)
    node = requestnode.Node(slots=100)
    for number in range(30):
        place(node, str(number), prefixes=(f"p{number}",))
    assert list(node.board.load.prefixes) == [f"p{n}" for n in range(20, 30)]


def loads_of(first_bytes_ms) -> dict[str, board_lib.ReplicaLoad]:
    return {
        f"r{number}":
            board_lib.ReplicaLoad(first_byte_ms=value,
                                  samples=stragglers.LEAST_SAMPLES)
        for number, value in enumerate(first_bytes_ms)
    }


@pytest.mark.parametrize("slow", range(11))
def test_no_more_than_the_cap_is_ejected(slow):
    """More and more of ten replicas become ten times slower than the rest.

    If all of them were ejected, the few that are left would get the work of
    the whole service and fail as well.
    """
    loads = loads_of([1000.0] * slow + [100.0] * (10 - slow))
    for now_ms in range(0, 5000, 500):
        list(stragglers.evaluate(loads, now_ms))
    ejected = sum(load.ejected_until_ms > 5000 for load in loads.values())
    assert ejected == (min(slow, 2) if slow <= 5 else 0)


def test_straggler_comes_back_by_a_probe():
    loads = loads_of([1000.0] + [100.0] * 9)
    now_ms = 1000
    for expected_ms in (10_000, 20_000):
        change, = stragglers.evaluate(loads, now_ms)
        assert (change.replica_id, change.event) == ("r0", "ejected")
        assert loads["r0"].ejected_until_ms == now_ms + expected_ms
        now_ms += expected_ms
        assert not list(stragglers.evaluate(loads, now_ms))
        assert loads["r0"].probing
        stragglers.sample(loads["r0"], 1000)
    loads["r0"].first_byte_ms = 100.0
    change, = stragglers.evaluate(loads, now_ms)
    assert change.event == "ejection-ended"
    assert not loads["r0"].probing


def test_replica_that_gives_no_byte_is_a_straggler():
    """A runner is stopped: it takes requests, and nothing comes back.

    It gives no times at all, so without counting silence it would look as
    fast as before and get its full share until it is known to be lost.
    """
    node = requestnode.Node(replicas=5, slots=50)
    for number in range(60):
        done = node.arrive(str(number))
        dispatch = requestnode.only(done, actions.Dispatch)
        if dispatch.target.replica_id != "r0":
            node.step(
                events.AttemptStarted(dispatch.request_id, dispatch.attempt_id,
                                      200), 20)
    for _ in range(20):
        node.tick()
    assert node.board.load.by_replica["r0"].ejected_until_ms > node.now_ms
    assert "r0" not in {place(node, f"more{n}") for n in range(20)}


def suspected(node: requestnode.Node, name: str) -> str:
    node.board.suspects.by_digest[f"digest-{name}"] = peering.Suspicion(
        f"digest-{name}", peering.SuspectState.SUSPECT, ("crash",))
    done = node.arrive(name)
    return done[0].target.replica_id if done else ""


def test_suspects_of_two_nodes_never_meet():
    """Two nodes place suspects at one moment, each without the other's word.

    Two on one replica that crashes would both be quarantined, though only
    one of them did it.
    """
    places = []
    for name, other in (("node-1", "node-2"), ("node-2", "node-1")):
        node = requestnode.Node(replicas=5, name=name)
        node.peer(other)
        node.peer("node-3")
        places.append({suspected(node, str(n)) for n in range(2)} - {""})
        idle = {suspected(node, str(n)) for n in range(2, 9)} - {""}
        assert len(idle) == 5 - len(places[-1])
    assert places[0] and places[1] and not places[0] & places[1]


def test_suspect_waits_for_a_place_apart_but_not_for_long():
    node = requestnode.Node(replicas=2, slots=8)
    node.peer("node-2")
    node.tick(0)
    busy = [place(node, str(number)) for number in range(8)]
    assert set(busy) == {"r0", "r1"}
    own = suspected(node, "a")
    assert own
    assert suspected(node, "b") == ""
    node.tick(500)
    assert requestnode.only(node.tick(600),
                            actions.Dispatch).target.replica_id != own


def test_spilled_requests_count_on_no_replica():
    node = requestnode.Node(replicas=0)
    node.summary()
    dispatch = requestnode.only(node.arrive("a"), actions.Dispatch)
    assert not node.board.load.by_replica
    node.ended(dispatch)
    assert not node.board.load.by_replica
