"""Tests of who plans: leases that are taken over, handed over, given up."""

import pytest

from tests import fleets


@pytest.mark.parametrize("checks", (True, False))
def test_a_successor_waits_where_engines_take_any_order(checks):
    """The planner is paused, another takes over, and a runner needs an order.

    An order of the paused one may still be on its way. Engines that check
    refuse it; with the others the successor first waits until it must have
    arrived, or else it would undo what was ordered after it.
    """
    engine = {"checks_fencing": checks}
    world = fleets.world({"d0": 4},
                         fleets.document(replicas=1, engine=engine),
                         checks_fencing=checks)
    world.run(40_000)
    first = fleets.planner(world)
    (row,) = fleets.replicas(world)
    world.pause(first)
    world.run(5_000)
    runner = world.runners[row.members[0]]
    runner.restart()
    (successor,) = set(world.nodes) - {first}
    lease = fleets.board(world, successor).lease
    while not lease.held:
        world.run(100)
    held_ms = world.now_ms
    while runner.order is None:
        world.run(100)
    waited_ms = world.now_ms - held_ms
    assert (waited_ms >= fleets.TIMING.order_max_age_ms - 200) is not checks


def test_a_planner_that_hears_no_runner_hands_over():
    """The planner is cut off from runners and nodes, but reaches the table.

    It would renew its lease for ever while every replica looks lost to it and
    no VM usable. Another node that hears the runners repairs instead.
    """
    world = fleets.world({"d0": 5}, fleets.document(replicas=1, spares=1))
    world.run(80_000)
    first = fleets.planner(world)
    (row,) = fleets.replicas(world)
    world.faults.cut = {
        frozenset((first, other))
        for other in (*world.runners, *world.nodes)
        if other != first
    }
    fleets.lose(world, row.members[1])
    world.run(30_000)
    (other,) = set(world.nodes) - {first}
    assert fleets.planner(world) == other
    assert len(fleets.serving_now(world, name=other)) == 1


@pytest.mark.parametrize("seed", range(8))
def test_lease_that_was_given_up_late_is_never_renewed(seed):
    """All runners are silent for a lease; the planner gives the lease up.

    The answer is lost and the write takes effect seconds later. Meanwhile the
    runners are back. A planner that renewed then would plan beside the node
    that finds the lease free: both could order the same VMs about.
    """
    world = fleets.world({"d0": 5},
                         fleets.document(replicas=1, spares=1),
                         seed=seed)
    world.run(60_000)
    for runner in world.runners.values():
        runner.paused = True
    world.run(fleets.TIMING.lease_ms - 1_000)
    world.faults.late_transactions = 1.0
    world.run(3_500)
    world.faults.late_transactions = 0.0
    for runner in world.runners.values():
        runner.paused = False
    for _ in range(300):
        world.run(100)
        assert len(fleets.holders(world)) <= 1
    assert fleets.holders(world)
