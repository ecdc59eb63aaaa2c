"""Tests of the planner: what is placed where, and what goes first."""

import pytest

from cardamommill import fleet, orders, store
from tests import fleets


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
    assert fleets.down_ms(world, 60_000) == 0
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
    fleets.lose(world, fleets.replicas(world)[0].members[0])
    world.run(10_000)
    assert len(fleets.serving_now(world, "registry-portal")) == 3


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
        fleets.lose(world, row.members[0])
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
    fleets.lose(world, before.row.members[0])
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


def test_adapters_are_loaded_at_each_head_once():
    wanted = fleets.document(replicas=1, adapters=["legal", "short"])
    world = fleets.world({"d0": 5}, wanted)
    world.run(60_000)
    (row,) = fleets.replicas(world)
    assert world.runners[row.members[0]].adapters == ["legal", "short"]
    fleets.lose(world, row.members[0])
    world.run(60_000)
    (row,) = fleets.replicas(world)
    assert world.runners[row.members[0]].adapters == ["legal", "short"]
