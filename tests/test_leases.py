"""Tests of who may plan a data centre."""

import pytest

from cardamommill import events, fakeworld, leases, store
from tests import fleets

KINDS = (leases.Leases,)
LEASE = store.Key(store.LEASES, fleets.DC)


def world_of(nodes, offset_ms=0):
    world = fakeworld.FakeWorld(fleets.TIMING, seed=1)
    for index in range(nodes):
        world.add_node(
            f"n{index}",
            fleets.node(f"n{index}",
                        offset_ms=index * offset_ms,
                        seed=index,
                        kinds=KINDS))
    return world


def holders(world):
    return [
        name for name, node in world.nodes.items() if not node.paused and
        leases.may_order(node.decisions.board.lease, world.local_ms(name))
    ]


def row(world):
    return store.decode(store.LeaseRow, world.table.read(LEASE).value)


@pytest.mark.parametrize("offset_ms", (0, -500_000, 500_000))
def test_one_of_all_takes_it_and_keeps_it(offset_ms):
    world = world_of(5, offset_ms)
    world.run(2_000)
    (first,) = holders(world)
    for _ in range(60):
        world.run(1_000)
        assert holders(world) == [first]
    assert row(world).epoch == 1


@pytest.mark.parametrize("how", ("pause", "cut"))
def test_it_is_taken_only_after_the_holder_stopped(how):
    """The holder is paused, or loses the table, and another takes over.

    The other counts a whole lease from its own last sight of a renewal, the
    holder from the sending of it and less a margin: so the holder, which
    can't know, has stopped giving orders before the other begins.
    """
    world = world_of(3)
    world.run(5_000)
    (first,) = holders(world)
    if how == "pause":
        world.pause(first)
    else:
        world.faults.cut.add(frozenset((first, fakeworld.TABLE)))
    both, nobody = 0, 0
    for _ in range(300):
        world.run(50)
        lease = fleets.board(world, first).lease
        valid = world.local_ms(first) < lease.valid_until_ms
        others = [name for name in holders(world) if name != first]
        both += bool(valid and others)
        nobody += not valid and not others
    assert (both, len(others)) == (0, 1)
    # The margin, and the time that the others take to see the row stand.
    assert nobody > 0
    world.resume(first)
    world.run(1_000)
    assert holders(world) == others
    assert row(world).epoch == 2


def test_a_resumed_holder_gives_no_order_on_what_it_knew_before():
    """A holder stands still for less than its lease, and goes on.

    By its own clock the lease is still valid; whether it was taken meanwhile
    it can't know before a renewal has been answered.
    """
    world = world_of(1)
    world.run(5_000)
    world.pause("n0")
    world.run(2_000)
    node = world.nodes["n0"]
    assert leases.may_order(node.decisions.board.lease, world.local_ms("n0"))
    node.decisions.step(events.Paused(2_000), world.local_ms("n0"))
    assert not leases.may_order(node.decisions.board.lease,
                                world.local_ms("n0"))
    world.resume("n0")
    world.run(1_000)
    assert holders(world) == ["n0"]


def test_a_lost_answer_to_taking_it_is_read_back():
    """The table takes the new holder's row, and its answer is lost.

    Tried again blindly it would meet its own row as a conflict and wait a
    whole lease with nobody planning. It reads the row and knows its token.
    """
    world = world_of(1)
    world.faults.lose_answers = 1.0
    world.run(1_000)
    assert holders(world) == ["n0"]
    assert row(world).epoch == 1


def test_a_node_that_ends_hands_it_over():
    world = world_of(2)
    world.run(5_000)
    (first,) = holders(world)
    fleets.board(world, first).life.leaving = True
    world.run(4_000)
    assert len(holders(world)) == 1
    assert holders(world) != [first]


def test_a_late_renewal_of_a_former_holder_changes_nothing():
    """A renewal is on its way when its sender is paused and succeeded.

    It is conditional on the holder's row, which has changed: were it not, the
    successor's row would seem to be renewed by somebody who does not hold it.
    """
    world = world_of(2)
    world.faults.table_delay_ms = 10
    world.run(4_000)
    (first,) = holders(world)
    late = fleets.board(world, first).lease.version
    world.pause(first)
    world.run(14_000)
    assert holders(world) != [first]
    condition = store.Condition(LEASE, late)
    wanted = fakeworld.actions.Transact(events.Token("late", 1), (condition,),
                                        (store.Write(LEASE, "{}"),))
    assert world.table.transact(wanted)
