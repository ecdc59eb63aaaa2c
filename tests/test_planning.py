"""Tests of the planner with its leases, assignments and orders."""

import dataclasses

import pytest

from cardamommill import fleet, orders, store
from tests import fleets

LOAD_MS = 20_000


def lose(world, vm_id):
    world.runners[vm_id].up = False


def set_state(world, vm_id, state):
    runner = world.runners[vm_id]
    runner.vm = dataclasses.replace(runner.vm, state=state)


def causes(world):
    return [
        cause.event for row in fleets.replicas(world) for cause in row.causes
    ]


def down_ms(world, until_ms, service="assist-llm", name="n0", step_ms=100):
    """Returns for how long some wanted replica did not serve."""
    wanted = len(fleets.serving_now(world, service, name))
    lost_ms = 0
    for _ in range(0, until_ms, step_ms):
        world.run(step_ms)
        if len(fleets.serving_now(world, service, name)) < wanted:
            lost_ms += step_ms
    return lost_ms


def test_replicas_are_placed_in_one_domain_and_serve():
    world = fleets.world({"d0": 5, "d1": 5}, fleets.document())
    world.run(40_000)
    for name in world.nodes:
        found = fleets.serving_now(world, name=name)
        assert len(found) == 2
        for each in found:
            assert len({vm_id[:2] for vm_id in each.row.members}) == 1


@pytest.mark.parametrize("size", (1, 2, 8, 32))
def test_replicas_of_any_size(size):
    world = fleets.world({"d0": size + 1},
                         fleets.document(replicas=1, replica_vms=size))
    world.run(60_000)
    (found,) = fleets.serving_now(world)
    assert len(found.row.members) == size


def test_a_replica_that_only_prefers_one_domain_may_span_two():
    split = {"d0": 2, "d1": 2}
    strict = fleets.world(split, fleets.document(replicas=1))
    loose = fleets.world(split, fleets.document(replicas=1, fabric="prefer"))
    strict.run(40_000)
    loose.run(40_000)
    assert not fleets.replicas(strict)
    assert len(fleets.serving_now(loose)) == 1


def test_a_replica_that_spans_domains_is_united_once_there_is_room():
    """A replica was made of two domains for want of room, and is slow.

    When a domain has room, a new one is made there, and the slow one goes on
    serving until that one does.
    """
    world = fleets.world({
        "d0": 2,
        "d1": 2
    }, fleets.document(replicas=1, fabric="prefer"))
    world.run(40_000)
    assert len(fleets.serving_now(world)) == 1
    world.add_vms(fleets.runners({"d2": 4}))
    assert down_ms(world, 60_000) == 0
    (row,) = fleets.replicas(world)
    assert {vm_id[:2] for vm_id in row.members} == {"d2"}


def test_a_plain_service_takes_the_same_path():
    plain = fleets.document(service="registry-portal",
                            kind="plain",
                            model="",
                            version="",
                            replica_vms=1,
                            replicas=3)
    world = fleets.world({"d0": 4}, plain)
    world.run(20_000)
    assert len(fleets.serving_now(world, "registry-portal")) == 3
    lose(world, fleets.replicas(world)[0].members[0])
    world.run(10_000)
    assert len(fleets.serving_now(world, "registry-portal")) == 3


def test_a_lost_member_is_replaced_by_a_free_vm():
    """A runner dies; requests to its replica would hang until timeouts.

    Its silence outlasts the wait that costs as much as a load; a free VM of
    the domain loads the weights as a spare, and takes its place when it holds
    them: members and formation change in one transaction.
    """
    world = fleets.world({"d0": 5}, fleets.document(replicas=1))
    world.run(40_000)
    (before,) = fleets.replicas(world)
    lose(world, before.members[2])
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
    lose(world, before.members[0])
    assert 0 < down_ms(world, 40_000) < 8_000 < LOAD_MS
    (after,) = fleets.replicas(world)
    assert set(before.spares) < set(after.members)
    # The last free VM has become the next spare.
    assert len(after.spares) == 1


def test_a_spare_moves_to_another_replica_of_its_service():
    world = fleets.world({"d0": 9}, fleets.document(spares=1))
    world.run(80_000)
    other = next(row for row in fleets.replicas(world) if not row.spares)
    lose(world, other.members[1])
    assert 0 < down_ms(world, 20_000) < 8_000


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
    assert "spare-loading" in causes(world)
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
        set_state(world, before.members[1], fleet.VmState.LEAVING)
    else:
        key = store.Key(store.DRAINS, f"{fleets.DC}/{before.members[1]}")
        world.table.put(key, "{}")
        world.table.put(store.Key(store.INDEX, store.fleet_index(fleets.DC)),
                        "{}")
    assert down_ms(world, 20_000) < 4_000
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
    set_state(world, before.members[1], fleet.VmState.LEAVING)
    world.run(8_000)
    assert fleets.replicas(world)[0].members == before.members
    world.run(8_000)
    assert len(fleets.serving_now(world)) == 1


def test_a_dark_domain_is_rebuilt_elsewhere_and_taken_back_without_surplus():
    """A whole fabric domain goes dark, and later comes back.

    Its replica is built anew in another domain once the wait has cost as much
    as that; when the domain is back, one replica too many is released.
    """
    world = fleets.world({"d0": 4, "d1": 4}, fleets.document(replicas=1))
    world.run(40_000)
    (before,) = fleets.replicas(world)
    for vm_id in before.members:
        world.runners[vm_id].paused = True
    world.run(80_000)
    (found,) = fleets.serving_now(world)
    assert found.row.replica_id != before.replica_id
    for vm_id in before.members:
        world.runners[vm_id].paused = False
    world.run(30_000)
    (after,) = fleets.replicas(world)
    assert after.replica_id == found.row.replica_id
    uses = [row.use for row in fleets.rows(world, fleet.VmRow, store.VMS)]
    assert sorted(uses) == [fleet.VmUse.FREE] * 4 + [fleet.VmUse.MEMBER] * 4


def test_two_broken_replicas_of_a_domain_are_made_one():
    world = fleets.world({"d0": 8}, fleets.document())
    world.run(50_000)
    for row in fleets.replicas(world):
        lose(world, row.members[0])
    world.run(120_000)
    assert len(fleets.serving_now(world)) == 1


def test_the_more_urgent_duty_takes_from_the_less_urgent_one():
    """The urgent duty loses a VM, and every other one is in use.

    A replica of the less urgent duty is released, the least number of them,
    and its VMs complete the urgent one.
    """
    urgent = fleets.document(service="drafts", priority=1, replicas=1)
    lesser = fleets.document(service="batch", priority=7, replicas=2)
    world = fleets.world({"d0": 4, "d1": 8}, urgent, lesser)
    world.run(60_000)
    assert len(fleets.serving_now(world, "batch")) == 2
    (before,) = fleets.serving_now(world, "drafts")
    lose(world, before.row.members[0])
    world.run(120_000)
    assert len(fleets.serving_now(world, "drafts")) == 1
    assert len(fleets.serving_now(world, "batch")) == 1


def test_fewer_wanted_replicas_free_their_vms():
    world = fleets.world({"d0": 8}, fleets.document())
    world.run(40_000)
    fleets.apply(world, fleets.document(replicas=1), revision=2)
    world.run(20_000)
    assert len(fleets.replicas(world)) == 1
    uses = [row.use for row in fleets.rows(world, fleet.VmRow, store.VMS)]
    assert uses.count(fleet.VmUse.FREE) == 4
    assert uses.count(fleet.VmUse.MEMBER) == 4


@pytest.mark.parametrize(("vms", "most_down_ms"), ((8, 60_000), (12, 0)))
def test_a_new_version_loads_one_replica_at_a_time(vms, most_down_ms):
    """A document asks for another version.

    With room for one more replica nothing is down at any moment; without, one
    replica at a time loads in place and the other goes on serving.
    """
    world = fleets.world({"d0": vms}, fleets.document())
    world.run(50_000)
    fleets.apply(world, fleets.document(version="2"), revision=2)
    fewest = 2
    lost_ms = 0
    for _ in range(1200):
        world.run(100)
        count = len(fleets.serving_now(world))
        fewest = min(fewest, count)
        lost_ms += 100 * (count < 2)
    assert {row.model for row in fleets.replicas(world)} == {"llm@2"}
    assert len(fleets.serving_now(world)) == 2
    assert fewest >= 1
    assert lost_ms <= most_down_ms


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


def test_loads_at_once_are_limited_and_the_urgent_duty_goes_first():
    """A large domain comes back with all its weights lost.

    All VMs would load at once, and the rate-limited store would make none of
    the replicas complete for long. The urgent duty's VMs load first.
    """
    high = fleets.document(service="high", priority=1, replicas=5)
    low = fleets.document(service="low", priority=9, replicas=5)
    world = fleets.world({"d0": 40}, high, low)
    world.run(100_000)
    assert len(fleets.serving_now(world, "low")) == 5
    for runner in world.runners.values():
        runner.restart()
    most = 0
    for _ in range(150):
        world.run(200)
        most = max(
            most,
            sum(world.now_ms < runner.loaded_ms
                for runner in world.runners.values()))
    assert 20 <= most <= orders.LOADS_AT_ONCE
    assert len(fleets.serving_now(world, "high")) == 5
    assert len(fleets.serving_now(world, "low")) < 5
    world.run(30_000)
    assert len(fleets.serving_now(world, "low")) == 5


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
    lose(world, row.members[1])
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


def test_adapters_are_loaded_at_each_head_once():
    wanted = fleets.document(replicas=1, adapters=["legal", "short"])
    world = fleets.world({"d0": 5}, wanted)
    world.run(60_000)
    (row,) = fleets.replicas(world)
    assert world.runners[row.members[0]].adapters == ["legal", "short"]
    lose(world, row.members[0])
    world.run(60_000)
    (row,) = fleets.replicas(world)
    assert world.runners[row.members[0]].adapters == ["legal", "short"]
