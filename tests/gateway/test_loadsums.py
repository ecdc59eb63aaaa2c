"""Tests of what the nodes of a data centre tell the others as sums."""

from cardamommill.gateway import inflight, loadsums, model, peers
from tests.gateway import test_peers

KEY, OTHER = model.GroupKey("g", 1), model.GroupKey("h", 2)
ONE = inflight.GroupLoad(1, 0, 10)


def load_sums(age_ms=0.0, **loads):
    return loadsums.LoadSums(
        age_ms, {
            model.GroupKey(name, 1).short_id: inflight.GroupLoad(count)
            for name, count in loads.items()
        })


def fleet(own="a-1", near=12, far=12):
    """Returns a node that has heard all nodes of three data centres."""
    who = test_peers.node(own)
    names = [f"a-{number}" for number in range(1, near + 1)]
    names += [
        f"{place}-{number}" for place in "bc" for number in range(1, far + 1)
    ]
    test_peers.receive(
        who, 1000,
        *(test_peers.message(name, name[0]) for name in names if name != own))
    who.choose_reporters(1000)
    who.due_peers(1000)
    return who


def names(told):
    return sorted(peer.last_message.node for peer, _ in told)


def test_news_goes_to_this_data_centre_and_two_nodes_of_each_other():
    """Each group found silent was told to 194 nodes, 156 of them far away."""
    told = names(fleet("a-7").urgent_peers(1100, far=True))
    assert [name for name in told if name[0] != "a"
           ] == ["b-1", "b-10", "c-1", "c-10"]
    assert len(told) == 11 + 4
    assert names(fleet("a-7").urgent_peers(
        1100, far=False)) == [name for name in told if name[0] == "a"]


def test_two_nodes_of_a_data_centre_report_and_others_say_that_they_live():
    reporter, other = fleet("a-1"), fleet("a-7")
    assert reporter.is_reporter and not other.is_reporter

    def audiences(who):
        return {
            each.last_message.node: who.update_scope(each)
            for each in who.peers.values()
        }

    assert audiences(reporter)["b-1"] is peers.UpdateScope.REPORTER
    assert audiences(reporter)["b-2"] is peers.UpdateScope.FAR
    assert audiences(reporter)["a-7"] is peers.UpdateScope.NEAR
    assert audiences(other)["b-1"] is peers.UpdateScope.FAR


def test_few_nodes_tell_each_other_all():
    """Each is heard often enough to place by; sums would be older."""
    who = fleet(near=2, far=2)
    assert {who.update_scope(each) for each in who.peers.values()
           } == {peers.UpdateScope.NEAR}


def test_next_node_reports_where_a_reporter_died():
    late = test_peers.node("a-3")
    everyone = [test_peers.message(f"a-{each}", "a") for each in (1, 2)]
    test_peers.receive(late, 1000, *everyone)
    late.choose_reporters(1000)
    assert not late.is_reporter
    test_peers.receive(late, 3000, test_peers.message("a-2", "a", 2.0))
    late.choose_reporters(3000)
    assert late.is_reporter


def test_sums_are_those_of_near_nodes_alone():
    who = test_peers.node()
    test_peers.receive(
        who, 1000, test_peers.message("a-2", "a", in_flight={KEY: ONE}),
        test_peers.message("a-3", "a", in_flight={
            KEY: ONE,
            OTHER: ONE
        }), test_peers.message("b-1", "b", in_flight={KEY: ONE}))
    assert who.near_loads() == {
        KEY.short_id: ONE.plus(ONE),
        OTHER.short_id: ONE
    }


def test_reporter_adds_up_the_other_data_centres_and_passes_that_on():
    reporter, other = loadsums.RemoteLoads(), loadsums.RemoteLoads()
    reporter.receive(load_sums(g=2, h=1), "b", 1000)
    reporter.receive(load_sums(g=3), "c", 1200)
    told = reporter.sums_to_relay(1300)
    assert told.age_ms == 300
    assert told.loads == load_sums(g=5, h=1).loads == reporter.loads(1300)
    other.receive(told, None, 1300)
    assert other.loads(1400) == told.loads


def test_younger_of_two_reporters_counts_and_not_both():
    one = loadsums.RemoteLoads()
    one.receive(load_sums(100.0, g=2), None, 1000)
    one.receive(load_sums(900.0, g=7), None, 1010)
    assert one.loads(1020) == load_sums(g=2).loads


def test_sums_that_are_not_told_anew_end():
    """Their data centre is cut off, or its reporters died."""
    reporter, other = loadsums.RemoteLoads(), loadsums.RemoteLoads()
    reporter.receive(load_sums(g=2), "b", 1000)
    other.receive(load_sums(g=2), None, 1000)
    assert reporter.loads(1000 + loadsums.SUMS_AGE_MS + 1) == {}
    assert reporter.sums_to_relay(1000 + loadsums.SUMS_AGE_MS + 1) is None
    assert other.loads(1000 + 2 * loadsums.SUMS_AGE_MS + 1) == {}


def test_dark_data_centre_is_planned_for_by_another():
    """All its nodes die. Single ones are not missed for minutes.

    Its groups would not be mended until the last of them is.
    """
    who = fleet()
    far = [f"b-{number}" for number in range(1, 13)]
    test_peers.receive(
        who, 2000,
        *(test_peers.message(name,
                             "b",
                             2.0,
                             interval_ms=60_000.0,
                             load_sums=load_sums() if name == "b-1" else None)
          for name in far))
    assert who.planned_data_centres(("a", "b"), 3000) == {"a"}
    later_ms = 2000 + peers.DARK_MS + 1
    assert who.planned_data_centres(("a", "b"), later_ms) == {"a", "b"}


def test_node_that_has_just_started_is_told_in_the_next_tick():
    """It follows whom it hears first; heartbeats are up to a second apart."""
    who = fleet("a-1")
    assert not who.due_peers(1020)
    test_peers.receive(who, 1030, test_peers.message("a-5", "a", incarnation=2))
    assert "a-5" in names(who.due_peers(1040))
