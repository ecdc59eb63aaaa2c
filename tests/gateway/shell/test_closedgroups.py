"""Tests of the announcements of closed groups."""

import pytest

from cardamommill.domain import model, orders
from cardamommill.experiment import virtualloop
from cardamommill.gateway.fleet import availablegroups, fleetview
from cardamommill.gateway.shell import alarms, closedgroups, groupcontroller
from cardamommill.platform import ordercalls
from cardamommill.transport import upstream
from tests.gateway import builders
from tests.gateway.nodes import test_peers

KEY = model.GroupKey("g", 3)
DRAIN_MS = 3000.0
STATE = model.MemberState


def node():
    groups = availablegroups.AvailableGroups(fleetview.FleetView())
    return groups, closedgroups.ClosedGroups(groups, DRAIN_MS)


def message(sections):
    return test_peers.message("n", "a", sections=sections)


def test_peers_stop_sending_to_a_closed_group_at_once():
    """Until the list shows it, its empty head attracts and refuses requests."""
    _, planner = node()
    groups, other = node()
    assert planner.note(KEY, 100.0)
    assert not planner.note(KEY, 120.0)
    assert other.receive(message(planner.section(120.0)), False, 130.0)
    assert groups.is_down(KEY, 130.0 + DRAIN_MS - 1)
    assert not groups.is_down(KEY, 130.0 + DRAIN_MS)


def test_announcement_is_new_once_and_then_expires():
    """An announcement that is always new is relayed without end."""
    _, planner = node()
    _, other = node()
    planner.note(KEY, 0.0)
    assert other.receive(message(planner.section(0.0)), False, 10.0)
    assert not other.receive(message(planner.section(0.0)), False, 20.0)
    assert not planner.section(alarms.ANNOUNCE_MS)


def test_only_announcements_of_remote_peers_are_relayed():
    _, near = node()
    _, far = node()
    section = {closedgroups.SECTION: [["g", 3]]}
    near.receive(message(section), False, 10.0)
    far.receive(message(section), True, 10.0)
    assert not near.section(20.0)
    assert far.section(20.0) == section


@pytest.mark.parametrize(
    "told", [7, "g", [["g"]], [[3, "g"]], [7], [["g", 1, 2]], None])
def test_malformed_section_closes_no_group(told):
    groups, other = node()
    assert not other.receive(message({closedgroups.SECTION: told}), False, 0.0)
    assert not groups.is_down(model.GroupKey("g", 1), 0.0)


def give_order(monkeypatch, rank, operation, reply):
    """Sends an order to a group's member; returns the announced groups."""
    view = builders.view(
        builders.runner(1,
                        membership=builders.member(KEY, rank, STATE.OPEN),
                        served="large"))
    found = []
    controller = groupcontroller.GroupController(view, upstream.Pool(), "n",
                                                 lambda *opened: None,
                                                 lambda: None,
                                                 lambda work: work.close())
    controller.on_closed = found.append

    async def answer(*_):
        return reply, ""

    async def probe(*_):
        return True

    monkeypatch.setattr(ordercalls, "send_order", answer)
    monkeypatch.setattr(controller, "probe", probe)
    order = orders.Order("i-1", operation, KEY)
    with virtualloop.running(1) as loop:
        loop.run_until_complete(controller.send_order(order))
    return found


@pytest.mark.parametrize("rank,operation,announced",
                         [(0, orders.Operation.CLOSE, True),
                          (0, orders.Operation.LEAVE, True),
                          (1, orders.Operation.LEAVE, False),
                          (0, orders.Operation.OPEN, False)])
def test_group_is_announced_when_its_head_stops(monkeypatch, rank, operation,
                                                announced):
    found = give_order(monkeypatch, rank, operation,
                       ordercalls.OrderReply.BEGUN)
    assert found == ([KEY] if announced else [])


@pytest.mark.parametrize("reply", [
    ordercalls.OrderReply.UNFIT, ordercalls.OrderReply.REFUSED,
    ordercalls.OrderReply.UNKNOWN
])
def test_group_whose_head_did_not_accept_the_order_is_not_announced(
        monkeypatch, reply):
    """All nodes would leave out a group that goes on serving."""
    assert not give_order(monkeypatch, 0, orders.Operation.CLOSE, reply)


def test_announcement_by_way_of_another_data_centre_survives_one_lost_path():
    """The planner's datagrams to one node are lost; a reporter relays them."""
    _, planner = node()
    _, reporter = node()
    groups, other = node()
    planner.note(KEY, 0.0)
    assert reporter.receive(message(planner.section(10.0)), True, 20.0)
    assert other.receive(message(reporter.section(30.0)), False, 40.0)
    assert groups.is_down(KEY, 50.0)
