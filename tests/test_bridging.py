"""Tests of what a data centre does while the table gives no answer."""

import pytest

from cardamommill import fakeworld, fleet, planning, store
from tests import fleets

OUTAGE_MS = 60_000


def settled(**fields):
    """Returns a world in which a replica and its loaded spare stand."""
    document = fleets.document(replicas=1, spares=1, **fields)
    world = fleets.world({"d0": 6},
                         document,
                         nodes=3,
                         checks_fencing=document.engine.checks_fencing)
    world.run(60_000)
    assert len(fleets.serving_now(world)) == 1
    return world


def test_a_spare_takes_over_during_an_outage_and_is_written_down_after():
    """The table is down when a runner dies; a loaded spare stands by.

    The last planner's lease has run out and can't be renewed. All other nodes
    tell it that they have no table either, so it forms the replica with its
    own spare; all nodes serve it. Afterwards the table says the same.
    """
    world = settled()
    (before,) = fleets.replicas(world)
    world.faults.table_down = True
    world.run(OUTAGE_MS)
    world.runners[before.members[1]].up = False
    world.run(OUTAGE_MS)
    for name in world.nodes:
        (found,) = fleets.serving_now(world, name=name)
        assert before.spares[0] in found.row.members
    assert fleets.replicas(world) == [before]
    world.faults.table_down = False
    world.run(2_000)
    for name in world.nodes:
        assert len(fleets.serving_now(world, name=name)) == 1
    world.run(20_000)
    (after,) = fleets.replicas(world)
    assert after.members == found.row.members
    uses = {
        row.vm_id: row.use for row in fleets.rows(world, fleet.VmRow, store.VMS)
    }
    assert uses[before.members[1]] is fleet.VmUse.RELEASING
    assert {uses[vm_id] for vm_id in after.members} == {fleet.VmUse.MEMBER}


@pytest.mark.parametrize(
    "how", ("peer has table", "peer silent", "unfenced", "new life"))
def test_nothing_is_formed_where_another_could_be_planner(how):
    """The last planner is cut off, but somebody else may hold the lease.

    Were it to use the spare, the other could be moving that same spare to
    another replica at this moment, and a VM would belong to two.
    """
    checks = how != "unfenced"
    world = settled(engine={"checks_fencing": checks})
    (before,) = fleets.replicas(world)
    holder = fleets.planner(world)
    others = [name for name in world.nodes if name != holder]
    if how == "peer has table":
        world.faults.cut = {
            frozenset((name, fakeworld.TABLE)) for name in (holder, others[0])
        }
    else:
        world.faults.table_down = True
    if how == "peer silent":
        world.faults.cut |= {frozenset((holder, each)) for each in others}
    world.run(3_000)
    if how == "new life":
        world.nodes[holder].alive = False
        world.add_node(holder, fleets.node(holder, incarnation=2))
    world.run(OUTAGE_MS)
    world.runners[before.members[1]].up = False
    world.run(20_000)
    assert not fleets.board(world, holder).assignments.formed_without_table
    orders = [
        runner.order
        for runner in world.runners.values()
        if runner.up and runner.order and runner.order.members
    ]
    expected = fleets.replicas(world)[0].members
    assert {order.members for order in orders} == {expected}
    if how != "peer has table":
        assert expected == before.members


def test_the_holder_keeps_its_lease_over_an_outage():
    """The table is back after an hour in which its row stood still.

    Counted by that hour every other node would take the lease at once, and
    each outage would end with a change of planner and all its waits. Time
    without an answer does not count.
    """
    world = settled()
    holder = fleets.planner(world)
    world.faults.table_down = True
    world.run(OUTAGE_MS)
    world.faults.table_down = False
    world.run(15_000)
    assert fleets.planner(world) == holder
    assert fleets.board(world, holder).lease.epoch == 1


def test_writes_after_an_outage_stay_within_the_budget(monkeypatch):
    """A domain goes dark during an outage; much is to be done afterwards.

    Every planner of the fleet would write at once when the table is back, and
    take it down again; each keeps to its number of rows a second.
    """
    burst, rows_per_s, seconds = 12, 4, 10
    world = fleets.world({
        "d0": 32,
        "d1": 32
    },
                         fleets.document(replicas=8),
                         load_ms=2_000)
    world.run(60_000)
    assert len(fleets.serving_now(world)) == 8
    monkeypatch.setattr(planning, "WRITE_BURST", burst)
    monkeypatch.setattr(planning, "WRITES_PER_S", rows_per_s)
    world.faults.table_down = True
    world.run(20_000)
    for row in fleets.replicas(world):
        for vm_id in row.members:
            world.runners[vm_id].up = False
    world.run(60_000)
    world.faults.table_down = False
    before = world.table.writes
    while world.table.writes < before + 4:
        world.run(100)
    world.run(seconds * 1000)
    # One transaction may overdraw; renewals of the lease come on top.
    largest, renewals = 7, 8
    allowed = burst + largest + rows_per_s * seconds + renewals
    assert allowed / 2 < world.table.writes - before <= allowed
    world.run(60_000)
    assert len(fleets.serving_now(world)) == 8


def test_a_successor_that_learned_a_formation_from_a_peer_writes_it_down():
    """The last planner forms a replica without the table, and starts again.

    In its new life it has the formation from a peer only. Taken for the row
    of the table, the member that went would stay its member in the table: its
    VM could never be used again, and the replica never be removed.
    """
    world = settled()
    (before,) = fleets.replicas(world)
    holder = fleets.planner(world)
    world.faults.table_down = True
    world.run(15_000)
    world.runners[before.members[1]].up = False
    world.run(10_000)
    assert len(fleets.serving_now(world, name=holder)) == 1
    world.nodes[holder].alive = False
    world.add_node(holder, fleets.node(holder, incarnation=2))
    world.run(5_000)
    for name, node in world.nodes.items():
        node.alive = name == holder
    world.faults.table_down = False
    world.run(40_000)
    (after,) = fleets.replicas(world)
    assert before.members[1] not in after.members
    assert "formed-without-table" in [cause.event for cause in after.causes]
    assert len(fleets.serving_now(world, name=holder)) == 1
    uses = {
        row.vm_id: row.use for row in fleets.rows(world, fleet.VmRow, store.VMS)
    }
    assert uses[before.members[1]] is fleet.VmUse.RELEASING


def test_a_planner_that_reads_the_table_takes_a_newer_formation_from_peers():
    """A node was away while a replica was formed without the table.

    The table is back, and that node becomes the planner. By the table alone
    it would form the old members again; the other nodes would expect the new
    formation, find the old one, and send no work to the replica, for good.
    """
    world = settled()
    (before,) = fleets.replicas(world)
    holder = fleets.planner(world)
    first, second = (name for name in world.nodes if name != holder)
    world.faults.table_down = True
    world.run(15_000)
    world.runners[before.members[1]].up = False
    world.run(10_000)
    world.runners[before.members[1]].restart()
    apart = {frozenset((second, each)) for each in (holder, first)}
    world.faults.cut = apart
    for name, incarnation in ((second, 2), (holder, 2)):
        world.nodes[name].alive = False
        world.add_node(name, fleets.node(name, incarnation=incarnation))
    world.run(1_000)
    world.pause(holder)
    world.pause(first)
    world.faults.table_down = False
    world.run(14_000)
    assert fleets.planner(world) == second
    world.resume(holder)
    world.resume(first)
    world.faults.cut = set()
    world.run(30_000)
    for name in world.nodes:
        assert len(fleets.serving_now(world, name=name)) == 1
