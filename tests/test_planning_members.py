"""Tests of how the planner changes members of a replica, and uses spares."""

import pytest

from cardamommill import fleet, store
from tests import fleets

LOAD_MS = 20_000


def test_a_lost_member_is_replaced_by_a_free_vm():
    """A runner dies; requests to its replica would hang until timeouts.

    Its silence outlasts the wait that costs as much as a load; a free VM of
    the domain loads the weights as a spare, and takes its place when it holds
    them: members and formation change in one transaction.
    """
    world = fleets.world({"d0": 5}, fleets.document(replicas=1))
    world.run(40_000)
    (before,) = fleets.replicas(world)
    fleets.lose(world, before.members[2])
    world.run(60_000)
    (after,) = fleets.replicas(world)
    assert after.replica_id == before.replica_id
    assert after.formation == before.formation + 1
    assert before.members[2] not in after.members
    assert len(fleets.serving_now(world)) == 1
    assert [cause.event for cause in after.causes] == [
        "assigned", "spare-loading", "member-replaced", "serving-again"
    ]
    assert "was silent for" in after.causes[1].detail
    assert "group downtime" in after.causes[-1].detail


def test_a_spare_takes_over_without_loading():
    """A runner dies while a spare holds the weights.

    Only the grace, a transaction and the new formation lie between: far less
    than loading, which the caller would otherwise wait for.
    """
    world = fleets.world({"d0": 6}, fleets.document(replicas=1, spares=1))
    world.run(80_000)
    (before,) = fleets.replicas(world)
    fleets.lose(world, before.members[0])
    assert 0 < fleets.down_ms(world, 40_000) < 8_000 < LOAD_MS
    (after,) = fleets.replicas(world)
    assert set(before.spares) < set(after.members)
    # The last free VM has become the next spare.
    assert len(after.spares) == 1


def test_a_spare_moves_to_another_replica_of_its_service():
    world = fleets.world({"d0": 9}, fleets.document(spares=1))
    world.run(80_000)
    other = next(row for row in fleets.replicas(world) if not row.spares)
    fleets.lose(world, other.members[1])
    assert 0 < fleets.down_ms(world, 20_000) < 8_000


def test_a_member_that_is_back_before_the_spare_is_loaded_is_kept():
    """A member stands still, a spare starts to load, and the member comes back.

    Changing members now would cost another load; callers are served soonest by
    the old set.
    """
    world = fleets.world({"d0": 5}, fleets.document(replicas=1))
    world.run(40_000)
    (before,) = fleets.replicas(world)
    world.runners[before.members[0]].paused = True
    world.run(15_000)
    assert "spare-loading" in fleets.causes(world)
    world.runners[before.members[0]].paused = False
    world.run(30_000)
    (after,) = fleets.replicas(world)
    assert (after.members, after.spares) == (before.members, ())
    assert len(fleets.serving_now(world)) == 1


def test_a_restarted_member_without_a_spare_loads_in_its_place():
    """A member's runner restarts and there is no other VM for its replica.

    It has lost its weights; ordered again, it loads, and the same replica
    serves.
    """
    world = fleets.world({"d0": 4}, fleets.document(replicas=1))
    world.run(40_000)
    (before,) = fleets.replicas(world)
    world.runners[before.members[3]].restart()
    world.run(30_000)
    assert fleets.replicas(world)[0].members == before.members
    assert len(fleets.serving_now(world)) == 1


@pytest.mark.parametrize("how", ("list", "drain"))
def test_a_leaving_member_is_replaced_before_it_goes(how):
    """The platform, or an operator, announces that a VM will go.

    Its replica gets no new work within seconds, so waiting until it has gone
    would be downtime for the whole notice. The spare takes its place at once.
    """
    world = fleets.world({"d0": 5}, fleets.document(replicas=1, spares=1))
    world.run(80_000)
    (before,) = fleets.replicas(world)
    if how == "list":
        fleets.set_state(world, before.members[1], fleet.VmState.LEAVING)
    else:
        key = store.Key(store.DRAINS, f"{fleets.DC}/{before.members[1]}")
        world.table.put(key, "{}")
        world.table.put(store.Key(store.INDEX, store.fleet_index(fleets.DC)),
                        "{}")
    assert fleets.down_ms(world, 20_000) < 4_000
    assert before.members[1] not in fleets.replicas(world)[0].members


def test_streams_finish_before_a_leaving_member_is_replaced():
    """A member is leaving while its replica streams, which cannot resume.

    Forming the others anew would cut the streams, so that they get time; a
    stream that never ends does not hold the replacement up for ever.
    """
    world = fleets.world({"d0": 5}, fleets.document(replicas=1, spares=1))
    world.run(80_000)
    (before,) = fleets.replicas(world)
    world.runners[before.members[0]].running = 1
    world.run(1_000)
    fleets.set_state(world, before.members[1], fleet.VmState.LEAVING)
    world.run(8_000)
    assert fleets.replicas(world)[0].members == before.members
    world.run(8_000)
    assert len(fleets.serving_now(world)) == 1
