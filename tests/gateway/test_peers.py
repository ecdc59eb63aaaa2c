"""Tests of who the other nodes are and who plans."""

import copy
import random

from cardamommill.gateway import inflight, model, peermessage, peers

PLACES = ("a", "b")


def message(node, place, sent_ms=1.0, **changes):
    figures = dict(node=node,
                   incarnation=1,
                   data_centre=place,
                   sent_ms=sent_ms,
                   echo_ms=0.0,
                   interval_ms=200.0,
                   config_version=7,
                   config_confirmed_age_ms=100.0,
                   in_flight={},
                   alarms=(),
                   opened_groups=(),
                   attempt_histories=(),
                   has_seen_requests=False,
                   stopping=False,
                   planning_age_ms={})
    return peermessage.PeerMessage(**{**figures, **changes})


def node(name="a-1", place="a"):
    return peers.Peers(name, place, 1, (f"10.0.0.{name}", 7340), 0.0)


def receive(who, now_ms, *messages):
    for each in messages:
        who.receive(each, (f"10.0.0.{each.node}", 7340), now_ms)


def test_nothing_is_planned_before_others_could_be_heard():
    assert not node().planned_data_centres(PLACES, 100)


def test_first_node_of_each_data_centre_plans_for_it():
    first = node()
    receive(first, 1000, message("a-2", "a"), message("b-1", "b"))
    assert first.planned_data_centres(PLACES, 1000) == {"a"}


def test_data_centre_without_a_node_is_planned_for_by_another():
    first = node()
    receive(first, 1000, message("b-1", "b"))
    assert first.planned_data_centres(PLACES, 1000) == {"a"}
    assert first.planned_data_centres(PLACES, 5000) == {"a", "b"}


def test_planner_that_comes_back_leaves_planning_to_whoever_has_it():
    # It does not know which groups are being formed.
    back = node()
    receive(back, 1000, message("a-2", "a", planning_age_ms={"a": 3000.0}))
    assert "a" not in back.planned_data_centres(PLACES, 1000)


def test_of_two_planners_the_longer_goes_on():
    older = node("a-2")
    older.planned_data_centres(("a",), 600)
    receive(older, 9000, message("a-1", "a", planning_age_ms={"a": 1000.0}))
    assert older.planned_data_centres(("a",), 9000) == {"a"}
    receive(older, 9100,
            message("a-1", "a", 2.0, planning_age_ms={"a": 60_000.0}))
    assert not older.planned_data_centres(("a",), 9100)


def test_of_two_that_began_together_the_lower_name_goes_on():
    low, high = node("a-1"), node("a-2")
    low.planned_data_centres(("a",), 600)
    high.planned_data_centres(("a",), 600)
    receive(low, 800, message("a-2", "a", planning_age_ms={"a": 200.0}))
    receive(high, 800, message("a-1", "a", planning_age_ms={"a": 200.0}))
    assert low.planned_data_centres(("a",), 800) == {"a"}
    assert not high.planned_data_centres(("a",), 800)


def test_node_that_stops_does_not_count_as_alive():
    first = node("a-2")
    receive(first, 1000, message("a-1", "a", stopping=True))
    assert first.planned_data_centres(("a",), 1000) == {"a"}


def test_limits_are_shared_with_nodes_that_are_out_of_sight():
    # A node that is cut off must not take the others' part of the budget.
    first = node()
    receive(first, 1000, message("a-2", "a"), message("b-1", "b"))
    assert first.nodes(1000) == 3
    assert first.nodes(60_000) == 3


def test_message_that_was_overtaken_is_left():
    first = node()
    receive(first, 1000, message("a-2", "a", 20.0, config_version=8))
    receive(first, 1001, message("a-2", "a", 10.0, config_version=7))
    (peer,) = first.live_peers(1001)
    assert peer.last_message.config_version == 8


def test_confirmation_is_dated_by_this_nodes_own_question():
    # A datagram may be late without bound; what it confirms is dated by when
    # this node sent what it echoes, so delay only makes it older.
    first = node()
    receive(first, 9000,
            message("a-2", "a", echo_ms=5000.0, config_confirmed_age_ms=300.0))
    assert first.config_confirmed_ms(7) == 4700.0
    assert first.config_confirmed_ms(8) == float("-inf")


def test_loads_of_peers_are_added():
    key = model.GroupKey("g", 1)
    first = node()
    receive(first, 1000,
            message("a-2", "a", in_flight={key: inflight.GroupLoad(2, 1, 30)}),
            message("b-1", "b", in_flight={key: inflight.GroupLoad(3, 0, 5)}))
    assert first.in_flight(1000)[key] == inflight.GroupLoad(5, 1, 35)
    assert not first.in_flight(9000)


def test_lost_node_is_forgotten_and_seeds_are_asked_seldom():
    first = node()
    receive(first, 1000, message("a-2", "a"))
    assert len(first.due_peers(1000)) == 1
    assert not first.due_peers(1100)
    assert len(first.due_peers(1200)) == 1
    assert not first.due_peers(30_000)


def spoken(who, seconds):
    """Returns the datagrams of a node in so long, to near peers and others."""
    sent = {True: 0, False: 0}
    for now_ms in range(0, seconds * 1000, 20):
        for peer, _ in who.due_peers(now_ms):
            sent[peer.last_message.data_centre == "a"] += 1
        for peer in list(who.peers.values()):
            peer.heard_ms = now_ms
    return sent


def test_few_peers_are_told_five_times_a_second():
    who = node()
    receive(who, 0, message("a-2", "a"), message("b-1", "b"))
    assert spoken(who, 4) == {True: 20, False: 20}


def test_datagrams_of_a_node_do_not_grow_with_the_fleet():
    """Seventy nodes, each of which told each other one five times a second.

    Their datagrams took most of their processor time and bytes between data
    centres, and a day took longer to play than it may.
    """
    who = node()
    receive(who, 0, *(message(f"a-{each}", "a") for each in range(2, 25)))
    receive(who, 0, *(message(f"b-{each}", "b") for each in range(1, 48)))
    sent = spoken(who, 10)
    assert sent[True] <= 11 * peers.NEAR_PER_S
    assert sent[False] <= 12 * peers.FAR_PER_S


def test_peer_that_speaks_seldom_is_not_taken_for_dead():
    who = node()
    receive(who, 1000, message("b-1", "b", interval_ms=2400.0))
    receive(who, 1000, message("b-2", "b"))
    assert [each.last_message.node for each in who.live_peers(5000)] == ["b-1"]
    assert not who.live_peers(12_000)


def test_load_of_a_peer_is_counted_once_whatever_it_tells():
    key, other = model.GroupKey("g", 1), model.GroupKey("h", 2)
    who = node()
    for sent_ms, loads in enumerate(({
            key: inflight.GroupLoad(2, 1, 30)
    }, {
            key: inflight.GroupLoad(1),
            other: inflight.GroupLoad(4)
    }, {})):
        receive(who, 1000, message("a-2", "a", 1.0 + sent_ms, in_flight=loads))
        assert who.in_flight(1000) == loads


def test_bytes_between_data_centres_do_not_grow_with_the_square_of_nodes():
    """Each node tells all others; beyond a few, each tells far ones less."""

    def sent_far_per_s(others):
        one = node()
        sent = 0
        for now_ms in range(10, 12_000, 10):
            if now_ms % 1000 == 10:
                receive(
                    one, now_ms,
                    *(message(f"b-{number}",
                              "b",
                              sent_ms=float(now_ms),
                              interval_ms=2000.0) for number in range(others)))
            due = one.due_peers(float(now_ms))
            sent += len(due) if now_ms > 2000 else 0
        return sent / 10

    assert 18 <= sent_far_per_s(4) <= 20.5
    assert sent_far_per_s(80) <= 8.5


def looked_through(who, now_ms):
    """Returns who is due when each peer is looked at, and who is left."""
    every = copy.deepcopy(who)
    every._idle_until_ms = float("-inf")
    due = [
        (each.address, again_ms) for each, again_ms in every.due_peers(now_ms)
    ]
    return due, set(every.peers)


def test_peers_are_due_in_the_same_tick_as_if_all_were_looked_at():
    """Nodes come, fall silent for a while or for good, and begin to plan.

    A node skips looking through its peers until the first of them is due; one
    that it skipped wrongly would hear nothing and take the node for dead.
    """
    chance = random.Random(5)
    who, quiet_until_ms = node(), {}
    for now_ms in range(0, 40_000, 20):
        for number in range(2, 32):
            name = f"{'a' if number % 4 else 'b'}-{number}"
            if chance.random() < 0.0004:
                quiet_until_ms[name] = now_ms + chance.choice(
                    (900, 4000, 25_000))
            if (now_ms > quiet_until_ms.get(name, 100 * number) and
                    chance.random() < 0.05):
                receive(who, now_ms,
                        message(name, name[0], now_ms + 1.0, interval_ms=400.0))
        expected = looked_through(who, now_ms)
        due = [
            (each.address, again_ms) for each, again_ms in who.due_peers(now_ms)
        ]
        assert (due, set(who.peers)) == expected


def fleet(near, far=0):
    """Returns a node that has told all its peers at 1,000 ms."""
    who = node()
    receive(who, 1000, *(message(f"a-{2 + each}", "a") for each in range(near)),
            *(message(f"b-{1 + each}", "b") for each in range(far)))
    assert len(who.due_peers(1000)) == near + far
    return who


def test_nobody_is_looked_at_until_a_peer_is_due():
    """Looked at in each tick, 79 peers took half of an idle node's time."""
    who = fleet(near=19, far=60)
    who.peers = None
    assert not who.due_peers(1300)


def test_address_that_was_just_learned_is_told_in_the_next_tick():
    who = fleet(near=30)
    who.add_address(("10.0.9.9", 7340))
    assert [peer.address for peer, _ in who.due_peers(1020)] == [("10.0.9.9",
                                                                  7340)]


def test_planner_that_just_began_is_heard_sooner():
    who = fleet(near=30)
    assert not who.due_peers(1400)
    who.planned_data_centres(("a",), 1400)
    assert len(who.due_peers(1400)) == 30


def test_peers_are_told_sooner_once_others_are_forgotten():
    who = fleet(near=60)
    for now_ms in range(1100, 16_000, 100):
        receive(who, now_ms,
                *(message(f"a-{2 + each}", "a", now_ms) for each in range(20)))
        who.due_peers(now_ms)
    assert len(who.due_peers(16_000)) == 60
    assert not who.due_peers(16_020)
    assert len(who.peers) == 20
    assert not who.due_peers(16_320)
    assert len(who.due_peers(16_340)) == 20


def test_peer_that_is_heard_again_is_told_as_often_as_before():
    who = fleet(near=1)
    assert len(who.due_peers(4000)) == 1
    assert not who.due_peers(4300)
    receive(who, 4300, message("a-2", "a", 2.0))
    assert len(who.due_peers(4300)) == 1


def test_load_of_a_peer_that_speaks_seldom_counts_for_longer():
    key = model.GroupKey("g", 1)
    who = node()
    load = inflight.GroupLoad(2, 0, 10)
    receive(who, 1000, message("a-2", "a", in_flight={key: load}),
            message("b-1", "b", interval_ms=2400.0, in_flight={key: load}))
    assert who.in_flight(2500)[key] == load.plus(load)
    assert who.in_flight(2520) == {key: load}
    assert who.in_flight(7000) == {key: load}
    assert not who.in_flight(7020)


def test_nobody_is_looked_at_for_old_loads_while_there_are_none():
    who = fleet(near=19, far=60)
    who.peers = None
    assert not who.in_flight(9000)
