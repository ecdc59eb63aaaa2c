"""Tests of the planner with its leases, assignments and orders."""

from cardamommill import fleet, store
from tests import fleets


def test_replicas_are_placed_in_one_domain_and_serve():
    world = fleets.world({"d0": 5, "d1": 5}, fleets.document())
    world.run(40_000)
    for name in world.nodes:
        found = fleets.serving_now(world, name=name)
        assert len(found) == 2
        for each in found:
            assert len({vm_id[:2] for vm_id in each.row.members}) == 1


def test_a_lost_member_is_replaced_by_a_free_vm():
    """A runner dies; requests to its replica would hang until timeouts.

    Its silence outlasts the grace, the planner puts a free VM of the domain in
    its place in one transaction, and orders the new formation.
    """
    world = fleets.world({"d0": 5}, fleets.document(replicas=1))
    world.run(40_000)
    (before,) = fleets.replicas(world)
    world.runners[before.members[2]].up = False
    world.run(60_000)
    (after,) = fleets.replicas(world)
    assert after.replica_id == before.replica_id
    assert after.formation == before.formation + 1
    assert before.members[2] not in after.members
    assert len(fleets.serving_now(world)) == 1
    assert "silent" in after.causes[-1].detail


def test_fewer_wanted_replicas_free_their_vms():
    world = fleets.world({"d0": 8}, fleets.document())
    world.run(40_000)
    for node in world.nodes.values():
        fleets.put_in_force(node.decisions.board,
                            fleets.document(replicas=1),
                            revision=2)
    world.run(20_000)
    assert len(fleets.replicas(world)) == 1
    uses = [row.use for row in fleets.rows(world, fleet.VmRow, store.VMS)]
    assert uses.count(fleet.VmUse.FREE) == 4
    assert uses.count(fleet.VmUse.MEMBER) == 4
