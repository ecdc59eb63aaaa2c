"""Tests of when a VM may be used again."""

from cardamommill import fleet, store
from tests import fleets


def uses(world):
    return {
        row.vm_id: row.use for row in fleets.rows(world, fleet.VmRow, store.VMS)
    }


def shrunk():
    """Returns a world that has just given up one of two replicas."""
    world = fleets.world({"d0": 8}, fleets.document())
    world.run(40_000)
    before = {row.replica_id: row for row in fleets.replicas(world)}
    fleets.apply(world, fleets.document(replicas=1), revision=2)
    while len(fleets.serving_now(world)) == 2:
        world.run(100)
    (kept,) = fleets.serving_now(world)
    del before[kept.row.replica_id]
    (gone,) = before.values()
    return world, gone


def test_a_vm_waits_until_all_evidence_of_its_replica_has_run_out():
    """A replica is released while a node is cut off and still serves it.

    Used again at once, a VM would be in a new replica while that node sends
    work to the old one. It waits, idle, for longer than evidence lives.
    """
    world, gone = shrunk()
    idle_ms = 0
    while fleet.VmUse.RELEASING in uses(world).values():
        world.run(100)
        idle_ms += 100 * all(
            world.runners[vm_id].order is None for vm_id in gone.members)
    assert idle_ms >= fleets.TIMING.evidence_max_age_ms
    assert idle_ms >= fleets.TIMING.releasing_ms - 500
    assert len(fleets.replicas(world)) == 1


def test_a_runner_that_goes_on_believing_is_not_used_again():
    """A runner stands still, and so misses its release.

    However long that takes, a node that hears it may take it for a member:
    the wait begins only when the runner itself says that it is idle.
    """
    world, gone = shrunk()
    deaf = gone.members[2]
    world.runners[deaf].paused = True
    world.runners[deaf].order = world.runners[gone.members[0]].order or (
        fleet.Order("o", fleet.OrderKind.FORM, deaf, 1, gone.replica_id,
                    gone.epoch, gone.formation, gone.members))
    world.run(60_000)
    assert uses(world)[deaf] is fleet.VmUse.RELEASING
    world.runners[deaf].paused = False
    world.run(fleets.TIMING.releasing_ms - 1_000)
    assert uses(world)[deaf] is fleet.VmUse.RELEASING
    world.run(6_000)
    assert uses(world)[deaf] is fleet.VmUse.FREE


def test_a_successor_counts_the_wait_anew():
    """The planner is paused while VMs wait, and another takes over.

    What its predecessor saw, and when, it can't know; counted from the row's
    first sight the wait would be over before the runner is idle.
    """
    world, _ = shrunk()
    world.pause(fleets.planner(world))
    world.run(11_500)
    (successor,) = [
        name for name, node in world.nodes.items()
        if node.decisions.board.lease.held and not node.paused
    ]
    assert fleets.board(world, successor).lease.epoch == 2
    assert fleet.VmUse.RELEASING in uses(world).values()
    world.run(8_000)
    assert fleet.VmUse.RELEASING not in uses(world).values()


def test_rows_of_vms_that_are_gone_do_not_stay():
    world, gone = shrunk()
    for vm_id in gone.members:
        del world.runners[vm_id]
    world.run(15_000)
    assert not set(gone.members) & set(uses(world))


def test_a_vm_that_its_replica_does_not_list_is_released():
    world = fleets.world({"d0": 5}, fleets.document(replicas=1))
    world.run(40_000)
    (free,) = set(world.runners) - set(fleets.replicas(world)[0].members)
    key = store.Key(store.VMS, f"{fleets.DC}/{free}")
    row = fleet.VmRow(free, fleet.VmUse.MEMBER, "no-such-replica", 1, "")
    world.table.put(key, store.encode(row))
    world.table.put(store.Key(store.INDEX, store.fleet_index(fleets.DC)), "{}")
    world.run(10_000)
    assert uses(world)[free] is fleet.VmUse.FREE
