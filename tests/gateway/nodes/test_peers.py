"""Tests of the membership of nodes and the election of planners."""

import copy
import random

from cardamommill.domain import model
from cardamommill.gateway.fleet import inflight
from cardamommill.gateway.nodes import peermessage, peers

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


def receive(membership, now_ms, *messages):
    for each in messages:
        membership.receive(each, (f"10.0.0.{each.node}", 7340), now_ms)


def test_nothing_is_planned_during_settle_time():
    assert not node().planned_data_centres(PLACES, 100)


def test_lowest_name_of_each_data_centre_becomes_planner():
    first = node()
    receive(first, 1000, message("a-2", "a"), message("b-1", "b"))
    assert first.planned_data_centres(PLACES, 1000) == {"a"}


def test_remote_node_plans_for_data_centre_without_nodes():
    first = node()
    receive(first, 1000, message("b-1", "b"))
    assert first.planned_data_centres(PLACES, 1000) == {"a"}
    assert first.planned_data_centres(PLACES, 5000) == {"a", "b"}


def test_returning_node_does_not_replace_current_planner():
    # A returning node does not know which groups are being formed.
    back = node()
    receive(back, 1000, message("a-2", "a", planning_age_ms={"a": 3000.0}))
    assert "a" not in back.planned_data_centres(PLACES, 1000)


def test_longer_planning_node_stays_planner():
    older = node("a-2")
    older.planned_data_centres(("a",), 600)
    receive(older, 9000, message("a-1", "a", planning_age_ms={"a": 1000.0}))
    assert older.planned_data_centres(("a",), 9000) == {"a"}
    receive(older, 9100,
            message("a-1", "a", 2.0, planning_age_ms={"a": 60_000.0}))
    assert not older.planned_data_centres(("a",), 9100)


def test_lower_name_stays_planner_after_simultaneous_start():
    low, high = node("a-1"), node("a-2")
    low.planned_data_centres(("a",), 600)
    high.planned_data_centres(("a",), 600)
    receive(low, 800, message("a-2", "a", planning_age_ms={"a": 200.0}))
    receive(high, 800, message("a-1", "a", planning_age_ms={"a": 200.0}))
    assert low.planned_data_centres(("a",), 800) == {"a"}
    assert not high.planned_data_centres(("a",), 800)


def test_stopping_node_does_not_count_as_alive():
    first = node("a-2")
    receive(first, 1000, message("a-1", "a", stopping=True))
    assert first.planned_data_centres(("a",), 1000) == {"a"}


def test_unreachable_nodes_still_count_for_limits():
    # An isolated node must not take the others' share of the budget.
    first = node()
    receive(first, 1000, message("a-2", "a"), message("b-1", "b"))
    assert first.nodes(1000) is None
    first.known_nodes.listed(["a-1"], 1000)
    assert first.nodes(1000) == 3
    assert first.nodes(60_000) == 3


def test_nodes_that_were_never_heard_count_for_limits():
    """A node that starts while it is cut off took the share of all nodes."""
    first = node()
    first.known_nodes.listed(["a-1", "a-2", "b-1"], 1000)
    assert first.nodes(1000) == 3


def test_reordered_message_is_ignored():
    first = node()
    receive(first, 1000, message("a-2", "a", 20.0, config_version=8))
    receive(first, 1001, message("a-2", "a", 10.0, config_version=7))
    (peer,) = first.live_peers(1001)
    assert peer.last_message.config_version == 8


def test_confirmation_time_is_taken_from_echoed_send_time():
    # A datagram may be delayed without bound. Its confirmation is dated by the
    # echoed send time of this node, so that a delay only makes it older.
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


def test_lost_peer_expires():
    first = node()
    receive(first, 1000, message("a-2", "a"))
    assert len(first.due_peers(1000)) == 1
    assert not first.due_peers(1100)
    assert len(first.due_peers(1200)) == 1
    assert not first.due_peers(30_000)


def count_sent(membership, seconds):
    """Returns how many datagrams a node sends to near and to remote peers."""
    sent = {True: 0, False: 0}
    for now_ms in range(0, seconds * 1000, 20):
        for peer, _ in membership.due_peers(now_ms):
            sent[peer.last_message.data_centre == "a"] += 1
        for peer in list(membership.peers.values()):
            peer.heard_ms = now_ms
    return sent


def test_few_peers_get_five_messages_per_second():
    membership = node()
    receive(membership, 0, message("a-2", "a"), message("b-1", "b"))
    assert count_sent(membership, 4) == {True: 20, False: 20}


def test_datagrams_per_node_are_bounded_in_a_large_fleet():
    """Seventy nodes must not each send five messages a second to each other.

    Their datagrams would take most of the processor time and of the bytes
    between data centres, and a simulated day would exceed its time limit.
    """
    membership = node()
    receive(membership, 0,
            *(message(f"a-{each}", "a") for each in range(2, 25)))
    receive(membership, 0,
            *(message(f"b-{each}", "b") for each in range(1, 48)))
    sent = count_sent(membership, 10)
    assert sent[True] <= 11 * peers.NEAR_MESSAGES_PER_S
    assert sent[False] <= 12 * peers.REMOTE_MESSAGES_PER_S


def test_liveness_timeout_follows_the_senders_interval():
    membership = node()
    receive(membership, 1000, message("b-1", "b", interval_ms=2400.0))
    receive(membership, 1000, message("b-2", "b"))
    assert [each.last_message.node for each in membership.live_peers(5000)
           ] == ["b-1"]
    assert not membership.live_peers(12_000)


def test_load_of_a_peer_is_replaced_by_each_message():
    key, other = model.GroupKey("g", 1), model.GroupKey("h", 2)
    membership = node()
    for sent_ms, loads in enumerate(({
            key: inflight.GroupLoad(2, 1, 30)
    }, {
            key: inflight.GroupLoad(1),
            other: inflight.GroupLoad(4)
    }, {})):
        receive(membership, 1000,
                message("a-2", "a", 1.0 + sent_ms, in_flight=loads))
        assert membership.in_flight(1000) == loads


def test_remote_datagrams_per_node_decrease_in_a_large_fleet():
    """Otherwise bytes between data centres grow with the square of the nodes.

    Beyond a few nodes, each node sends fewer messages to remote peers.
    """

    def remote_sent_per_s(others):
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

    assert 18 <= remote_sent_per_s(4) <= 20.5
    assert remote_sent_per_s(80) <= 8.5


def due_without_skipping(membership, now_ms):
    """Returns the due peers and the remaining peers if all are checked."""
    every = copy.deepcopy(membership)
    every._none_due_until_ms = float("-inf")
    due = [
        (each.address, again_ms) for each, again_ms in every.due_peers(now_ms)
    ]
    return due, set(every.peers)


def test_skipping_idle_checks_does_not_change_who_is_due():
    """Nodes start, and fall silent for a while or for good.

    A node does not check its peers until the first one is due. A peer skipped
    by mistake would get no message and consider the node dead.
    """
    rng = random.Random(5)
    membership, silent_until_ms = node(), {}
    for now_ms in range(0, 40_000, 20):
        for number in range(2, 32):
            name = f"{'a' if number % 4 else 'b'}-{number}"
            if rng.random() < 0.0004:
                silent_until_ms[name] = now_ms + rng.choice((900, 4000, 25_000))
            if (now_ms > silent_until_ms.get(name, 100 * number) and
                    rng.random() < 0.05):
                receive(membership, now_ms,
                        message(name, name[0], now_ms + 1.0, interval_ms=400.0))
        expected = due_without_skipping(membership, now_ms)
        due = [(each.address, again_ms)
               for each, again_ms in membership.due_peers(now_ms)]
        assert (due, set(membership.peers)) == expected


def fleet(near, far=0):
    """Returns a node that has sent messages to all peers at 1,000 ms."""
    membership = node()
    receive(membership, 1000,
            *(message(f"a-{2 + each}", "a") for each in range(near)),
            *(message(f"b-{1 + each}", "b") for each in range(far)))
    assert len(membership.due_peers(1000)) == near + far
    return membership


def test_peers_are_not_checked_until_one_is_due():
    """Checking 79 peers in each tick takes half of an idle node's time."""
    membership = fleet(near=19, far=60)
    membership.peers = None
    assert not membership.due_peers(1300)


def test_new_address_gets_a_message_in_the_next_tick():
    membership = fleet(near=30)
    membership.add_address(("10.0.9.9", 7340))
    assert [peer.address for peer, _ in membership.due_peers(1020)
           ] == [("10.0.9.9", 7340)]


def test_new_planner_sends_heartbeats_more_often():
    membership = fleet(near=30)
    assert not membership.due_peers(1400)
    membership.planned_data_centres(("a",), 1400)
    assert len(membership.due_peers(1400)) == 30


def test_interval_shrinks_when_peers_expire():
    membership = fleet(near=60)
    for now_ms in range(1100, 16_000, 100):
        receive(membership, now_ms,
                *(message(f"a-{2 + each}", "a", now_ms) for each in range(20)))
        membership.due_peers(now_ms)
    assert len(membership.due_peers(16_000)) == 60
    assert not membership.due_peers(16_020)
    assert len(membership.peers) == 20
    assert not membership.due_peers(16_320)
    assert len(membership.due_peers(16_340)) == 20


def test_returning_peer_gets_messages_at_the_usual_interval():
    membership = fleet(near=1)
    assert len(membership.due_peers(4000)) == 1
    assert not membership.due_peers(4300)
    receive(membership, 4300, message("a-2", "a", 2.0))
    assert len(membership.due_peers(4300)) == 1


def test_load_lifetime_follows_the_senders_interval():
    key = model.GroupKey("g", 1)
    membership = node()
    load = inflight.GroupLoad(2, 0, 10)
    receive(membership, 1000, message("a-2", "a", in_flight={key: load}),
            message("b-1", "b", interval_ms=2400.0, in_flight={key: load}))
    assert membership.in_flight(2500)[key] == load.plus(load)
    assert membership.in_flight(2520) == {key: load}
    assert membership.in_flight(7000) == {key: load}
    assert not membership.in_flight(7020)


def test_peers_are_not_checked_for_expired_loads_without_loads():
    membership = fleet(near=19, far=60)
    membership.peers = None
    assert not membership.in_flight(9000)


def cut_off(name, place, **changes):
    return message(name,
                   place,
                   sections={peermessage.CUT_OFF_SECTION: True},
                   **changes)


def test_planner_that_reaches_no_runner_is_replaced():
    """Nobody repaired the groups of its data centre while it was cut off."""
    planner, other = node(), node("a-2")
    receive(planner, 1000, message("a-2", "a"))
    assert "a" in planner.planned_data_centres(PLACES, 1000)
    assert not planner.planned_data_centres(PLACES, 1100, is_cut_off=True)
    assert not planner.planning_age_ms(1100)
    receive(other, 1200, cut_off("a-1", "a"))
    assert "a" in other.planned_data_centres(PLACES, 1200)


def test_data_centre_whose_nodes_reach_no_runner_is_planned_from_elsewhere():
    remote = node("b-1", "b")
    receive(remote, 1000, cut_off("a-1", "a"), cut_off("a-2", "a"))
    assert remote.planned_data_centres(PLACES, 1000) == {"a", "b"}


def test_runners_that_no_node_reaches_keep_their_planner():
    """Then the runners have failed, not all links."""
    planner = node()
    receive(planner, 1000, cut_off("a-2", "a"), cut_off("b-1", "b"))
    assert "a" in planner.planned_data_centres(PLACES, 1000, is_cut_off=True)


def test_nodes_that_their_callers_have_to_leave_are_lost():
    first = node()
    receive(first, 1000, message("a-2", "a"), message("b-1", "b"))
    assert first.last_loss_ms(1100) == float("-inf")
    assert first.last_loss_ms(5000) == 1000
    receive(first, 5000, message("a-2", "a", 2.0), message("b-1", "b", 2.0))
    assert first.last_loss_ms(5100) == float("-inf")
    receive(first, 5200, message("a-2", "a", 3.0, stopping=True))
    assert first.last_loss_ms(5300) == 5200
    receive(first, 5400, message("a-2", "a", 4.0, incarnation=2))
    assert first.last_loss_ms(5500) == 5400
