"""Tests of who the other nodes are and who plans."""

from cardamommill.gateway import flights, model, peermessage, peers

PLACES = ("a", "b")


def message(node, place, sent_ms=1.0, **changes):
    figures = dict(node=node,
                   incarnation=1,
                   data_centre=place,
                   sent_ms=sent_ms,
                   echo_ms=0.0,
                   interval_ms=200.0,
                   config_version=7,
                   confirmed_age_ms=100.0,
                   in_flight={},
                   alarms=(),
                   opened=(),
                   tries=(),
                   requests_seen=False,
                   stopping=False,
                   plans_ms={})
    return peermessage.PeerMessage(**{**figures, **changes})


def node(name="a-1", place="a"):
    return peers.Peers(name, place, 1, (f"10.0.0.{name}", 7340), 0.0)


def hear(who, now_ms, *messages):
    for each in messages:
        who.take(each, (f"10.0.0.{each.node}", 7340), now_ms)


def test_nothing_is_planned_before_others_could_be_heard():
    assert not node().planned_data_centres(PLACES, 100)


def test_first_node_of_each_data_centre_plans_for_it():
    first = node()
    hear(first, 1000, message("a-2", "a"), message("b-1", "b"))
    assert first.planned_data_centres(PLACES, 1000) == {"a"}


def test_data_centre_without_a_node_is_planned_for_by_another():
    first = node()
    hear(first, 1000, message("b-1", "b"))
    assert first.planned_data_centres(PLACES, 1000) == {"a"}
    assert first.planned_data_centres(PLACES, 5000) == {"a", "b"}


def test_planner_that_comes_back_leaves_planning_to_whoever_has_it():
    # It does not know which groups are being formed.
    back = node()
    hear(back, 1000, message("a-2", "a", plans_ms={"a": 3000.0}))
    assert "a" not in back.planned_data_centres(PLACES, 1000)


def test_of_two_planners_the_longer_goes_on():
    older = node("a-2")
    older.planned_data_centres(("a",), 600)
    hear(older, 9000, message("a-1", "a", plans_ms={"a": 1000.0}))
    assert older.planned_data_centres(("a",), 9000) == {"a"}
    hear(older, 9100, message("a-1", "a", 2.0, plans_ms={"a": 60_000.0}))
    assert not older.planned_data_centres(("a",), 9100)


def test_of_two_that_began_together_the_lower_name_goes_on():
    low, high = node("a-1"), node("a-2")
    low.planned_data_centres(("a",), 600)
    high.planned_data_centres(("a",), 600)
    hear(low, 800, message("a-2", "a", plans_ms={"a": 200.0}))
    hear(high, 800, message("a-1", "a", plans_ms={"a": 200.0}))
    assert low.planned_data_centres(("a",), 800) == {"a"}
    assert not high.planned_data_centres(("a",), 800)


def test_node_that_stops_does_not_count_as_alive():
    first = node("a-2")
    hear(first, 1000, message("a-1", "a", stopping=True))
    assert first.planned_data_centres(("a",), 1000) == {"a"}


def test_limits_are_shared_with_nodes_that_are_out_of_sight():
    # A node that is cut off must not take the others' part of the budget.
    first = node()
    hear(first, 1000, message("a-2", "a"), message("b-1", "b"))
    assert first.nodes(1000) == 3
    assert first.nodes(60_000) == 3


def test_message_that_was_overtaken_is_left():
    first = node()
    hear(first, 1000, message("a-2", "a", 20.0, config_version=8))
    hear(first, 1001, message("a-2", "a", 10.0, config_version=7))
    (peer,) = first.alive(1001)
    assert peer.last.config_version == 8


def test_confirmation_is_dated_by_this_nodes_own_question():
    # A datagram may be late without bound; what it confirms is dated by when
    # this node sent what it echoes, so delay only makes it older.
    first = node()
    hear(first, 9000, message("a-2",
                              "a",
                              echo_ms=5000.0,
                              confirmed_age_ms=300.0))
    assert first.confirmed_ms(7) == 4700.0
    assert first.confirmed_ms(8) == float("-inf")


def test_loads_of_peers_are_added():
    key = model.GroupKey("g", 1)
    first = node()
    hear(first, 1000,
         message("a-2", "a", in_flight={key: flights.GroupLoad(2, 1, 30)}),
         message("b-1", "b", in_flight={key: flights.GroupLoad(3, 0, 5)}))
    assert first.in_flight(1000)[key] == flights.GroupLoad(5, 1, 35)
    assert not first.in_flight(9000)


def test_lost_node_is_forgotten_and_seeds_are_asked_seldom():
    first = node()
    hear(first, 1000, message("a-2", "a"))
    assert len(first.due(1000)) == 1
    assert not first.due(1100)
    assert len(first.due(1200)) == 1
    assert not first.due(30_000)


def spoken(who, seconds):
    """Returns the datagrams of a node in so long, to near peers and others."""
    sent = {True: 0, False: 0}
    for now_ms in range(0, seconds * 1000, 20):
        for peer, _ in who.due(now_ms):
            sent[peer.last.data_centre == "a"] += 1
        for peer in list(who.peers.values()):
            peer.heard_ms = now_ms
    return sent


def test_few_peers_are_told_five_times_a_second():
    who = node()
    hear(who, 0, message("a-2", "a"), message("b-1", "b"))
    assert spoken(who, 4) == {True: 20, False: 20}


def test_datagrams_of_a_node_do_not_grow_with_the_fleet():
    """Seventy nodes, each of which told each other one five times a second.

    Their datagrams took most of their processor time and bytes between data
    centres, and a day took longer to play than it may.
    """
    who = node()
    hear(who, 0, *(message(f"a-{each}", "a") for each in range(2, 25)))
    hear(who, 0, *(message(f"b-{each}", "b") for each in range(1, 48)))
    sent = spoken(who, 10)
    assert sent[True] <= 11 * peers.NEAR_PER_S
    assert sent[False] <= 12 * peers.FAR_PER_S


def test_peer_that_speaks_seldom_is_not_taken_for_dead():
    who = node()
    hear(who, 1000, message("b-1", "b", interval_ms=2400.0))
    hear(who, 1000, message("b-2", "b"))
    assert [each.last.node for each in who.alive(5000)] == ["b-1"]
    assert not who.alive(12_000)


def test_load_of_a_peer_is_counted_once_whatever_it_tells():
    key, other = model.GroupKey("g", 1), model.GroupKey("h", 2)
    who = node()
    for sent_ms, loads in enumerate(({
            key: flights.GroupLoad(2, 1, 30)
    }, {
            key: flights.GroupLoad(1),
            other: flights.GroupLoad(4)
    }, {})):
        hear(who, 1000, message("a-2", "a", 1.0 + sent_ms, in_flight=loads))
        assert who.in_flight(1000) == loads


def test_bytes_between_data_centres_do_not_grow_with_the_square_of_nodes():
    """Each node tells all others; beyond a few, each tells far ones less."""

    def sent_far_per_s(others):
        one = node()
        sent = 0
        for now_ms in range(10, 12_000, 10):
            if now_ms % 1000 == 10:
                hear(
                    one, now_ms,
                    *(message(f"b-{number}",
                              "b",
                              sent_ms=float(now_ms),
                              interval_ms=2000.0) for number in range(others)))
            due = one.due(float(now_ms))
            sent += len(due) if now_ms > 2000 else 0
        return sent / 10

    assert 18 <= sent_far_per_s(4) <= 20.5
    assert sent_far_per_s(80) <= 8.5
