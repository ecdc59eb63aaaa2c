"""Tests of the load sums that data centres exchange."""

from cardamommill.domain import model
from cardamommill.gateway.fleet import inflight, loadsums
from cardamommill.gateway.nodes import peers
from tests.gateway.nodes import test_peers

KEY, OTHER = model.GroupKey("g", 1), model.GroupKey("h", 2)
ONE = inflight.GroupLoad(1, 0, 10)


def load_sums(age_ms=0.0, **loads):
    return loadsums.LoadSums(
        age_ms, {
            model.GroupKey(name, 1).short_id: inflight.GroupLoad(count)
            for name, count in loads.items()
        })


def fleet(own="a-1", near=12, far=12):
    """Returns a node with messages from all nodes of three data centres."""
    membership = test_peers.node(own)
    names = [f"a-{number}" for number in range(1, near + 1)]
    names += [
        f"{place}-{number}" for place in "bc" for number in range(1, far + 1)
    ]
    test_peers.receive(
        membership, 1000,
        *(test_peers.message(name, name[0]) for name in names if name != own))
    membership.choose_reporters(1000)
    membership.due_peers(1000)
    return membership


def names(told):
    return sorted(peer.last_message.node for peer, _ in told)


def test_urgent_update_goes_to_this_data_centre_and_remote_reporters():
    """Otherwise each alarm is sent to 194 nodes, 156 of them remote."""
    told = names(fleet("a-7").urgent_peers(1100, far=True))
    assert [name for name in told if name[0] != "a"
           ] == ["b-1", "b-10", "c-1", "c-10"]
    assert len(told) == 11 + 4
    assert names(fleet("a-7").urgent_peers(
        1100, far=False)) == [name for name in told if name[0] == "a"]


def test_only_reporters_send_loads_to_remote_data_centres():
    reporter, other = fleet("a-1"), fleet("a-7")
    assert reporter.is_reporter and not other.is_reporter

    def update_scopes(membership):
        return {
            each.last_message.node: membership.update_scope(each)
            for each in membership.peers.values()
        }

    assert update_scopes(reporter)["b-1"] is peers.UpdateScope.REPORTER
    assert update_scopes(reporter)["b-2"] is peers.UpdateScope.FAR
    assert update_scopes(reporter)["a-7"] is peers.UpdateScope.NEAR
    assert update_scopes(other)["b-1"] is peers.UpdateScope.FAR


def test_small_fleet_exchanges_full_updates():
    """Its messages are frequent enough for placement; sums would be older."""
    membership = fleet(near=2, far=2)
    assert {
        membership.update_scope(each) for each in membership.peers.values()
    } == {peers.UpdateScope.NEAR}


def test_next_node_becomes_reporter_after_a_failure():
    late = test_peers.node("a-3")
    everyone = [test_peers.message(f"a-{each}", "a") for each in (1, 2)]
    test_peers.receive(late, 1000, *everyone)
    late.choose_reporters(1000)
    assert not late.is_reporter
    test_peers.receive(late, 3000, test_peers.message("a-2", "a", 2.0))
    late.choose_reporters(3000)
    assert late.is_reporter


def test_near_loads_include_only_this_data_centre():
    membership = test_peers.node()
    test_peers.receive(
        membership, 1000, test_peers.message("a-2", "a", in_flight={KEY: ONE}),
        test_peers.message("a-3", "a", in_flight={
            KEY: ONE,
            OTHER: ONE
        }), test_peers.message("b-1", "b", in_flight={KEY: ONE}))
    assert membership.near_loads() == {
        KEY.short_id: ONE.plus(ONE),
        OTHER.short_id: ONE
    }


def test_reporter_relays_total_of_remote_data_centres():
    reporter, other = loadsums.RemoteLoads(), loadsums.RemoteLoads()
    reporter.receive(load_sums(g=2, h=1), "b", 1000)
    reporter.receive(load_sums(g=3), "c", 1200)
    told = reporter.sums_to_relay(1300)
    assert told.age_ms == 300
    assert told.loads == load_sums(g=5, h=1).loads == reporter.loads(1300)
    other.receive(told, None, 1300)
    assert other.loads(1400) == told.loads


def test_newer_report_of_two_reporters_is_used():
    one = loadsums.RemoteLoads()
    one.receive(load_sums(100.0, g=2), None, 1000)
    one.receive(load_sums(900.0, g=7), None, 1010)
    assert one.loads(1020) == load_sums(g=2).loads


def test_load_sums_expire():
    """Their data centre may be cut off, or its reporters have failed."""
    reporter, other = loadsums.RemoteLoads(), loadsums.RemoteLoads()
    reporter.receive(load_sums(g=2), "b", 1000)
    other.receive(load_sums(g=2), None, 1000)
    assert reporter.loads(1000 + loadsums.MAX_SUMS_AGE_MS + 1) == {}
    assert reporter.sums_to_relay(1000 + loadsums.MAX_SUMS_AGE_MS + 1) is None
    assert other.loads(1000 + 2 * loadsums.MAX_SUMS_AGE_MS + 1) == {}


def test_data_centre_whose_reports_cease_is_planned_for_by_another():
    """All its nodes fail, but their liveness timeouts take minutes.

    Until the last of these expired, nobody would replace its broken groups.
    """
    membership = fleet()
    far = [f"b-{number}" for number in range(1, 13)]
    test_peers.receive(
        membership, 2000,
        *(test_peers.message(name,
                             "b",
                             2.0,
                             interval_ms=60_000.0,
                             load_sums=load_sums() if name == "b-1" else None)
          for name in far))
    assert membership.planned_data_centres(("a", "b"), 3000) == {"a"}
    later_ms = 2000 + peers.REPORTS_TIMEOUT_MS + 1
    assert membership.planned_data_centres(("a", "b"), later_ms) == {"a", "b"}


def test_restarted_peer_gets_a_message_in_the_next_tick():
    """It reads the store's tables from the first nodes that send to it.

    Regular heartbeats are up to a second apart.
    """
    membership = fleet("a-1")
    assert not membership.due_peers(1020)
    test_peers.receive(membership, 1030,
                       test_peers.message("a-5", "a", incarnation=2))
    assert "a-5" in names(membership.due_peers(1040))
