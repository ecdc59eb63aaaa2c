"""Tests of transactions in flight, and of what is read from the table."""

import pytest

from cardamommill import board as board_lib
from cardamommill import changes, events, fleet, peering, store
from tests import fleets


@pytest.mark.parametrize(("fault", "most_replicas"),
                         (("lose_answers", 1), ("late_transactions", 2)))
def test_a_lost_answer_makes_no_replica_too_many_for_long(fault, most_replicas):
    """The table assigns a replica, or will, and the planner isn't told.

    Repeated blindly, the assignment would take other VMs for a second replica
    and strand them. The rows are read back, and are what counts. One that
    takes effect only after that is found as surplus, and released.
    """
    world = fleets.world({"d0": 8, "d1": 8}, fleets.document(replicas=1))
    world.run(4_000)
    setattr(world.faults, fault, 1.0)
    most = 0
    for _ in range(30):
        world.run(500)
        most = max(most, len(fleets.replicas(world)))
    setattr(world.faults, fault, 0.0)
    world.run(40_000)
    assert most <= most_replicas
    assert len(fleets.replicas(world)) == len(fleets.serving_now(world)) == 1


def test_what_is_in_flight_is_locked_until_the_rows_tell():
    identity = fleet.NodeIdentity("n0", fleets.DC, "r", 1, "", "")
    board = board_lib.Board(identity)
    flights = changes.Flights(board)
    row = fleet.ReplicaRow("r1", "s", fleets.DC, 1, 1, ("a",), (), "",
                           fleet.ReplicaState.ASSIGNED, 1, "")
    change = changes.Change("assigned", "", (row,),
                            (changes.vm_row("a", fleet.VmUse.MEMBER, "r1"),))
    token = events.Token("planning", 1)
    wanted = flights.send(change, token)
    lease = store.Key(store.LEASES, fleets.DC)
    assert {condition.key for condition in wanted.conditions} == {
        lease,
        changes.replica_key(fleets.DC, "r1"),
        changes.vm_key(fleets.DC, "a")
    }
    assert flights.locked() == {"r1", "a"}
    flights.answered(token, store.TransactOutcome.COMMITTED, 10)
    board.assignments.replica_versions["r1"] = 7
    # The VM's row was read before the commit: the two do not agree yet.
    assert not flights.settle() and flights.locked() == {"r1", "a"}
    board.assignments.vm_versions["a"] = 7
    flights.settle()
    assert not flights.locked()
    # Without an answer it may take effect any moment: rows read before tell
    # nothing.
    flights.send(change, token)
    board.assignments.read_ms = 20
    flights.answered(token, store.TransactOutcome.UNKNOWN, 20)
    assert not flights.settle() and flights.locked() == {"r1", "a"}
    board.assignments.read_ms = 21
    assert not flights.settle() and not flights.locked()


def test_causes_are_bounded_and_tell_what_by_whom(monkeypatch):
    monkeypatch.setattr(changes, "MAX_CAUSES", 5)
    world = fleets.world({"d0": 2}, fleets.document(replicas=1, replica_vms=1))
    world.run(40_000)
    for _ in range(3):
        (row,) = fleets.replicas(world)
        world.runners[row.members[0]].up = False
        world.run(40_000)
        world.runners[row.members[0]].restart()
        world.run(20_000)
    (row,) = fleets.replicas(world)
    assert len(row.causes) == changes.MAX_CAUSES
    for cause in row.causes:
        assert cause.by in world.nodes and cause.detail


def test_copies_of_peers_count_only_without_the_table():
    world = fleets.world({"d0": 4}, fleets.document(replicas=1), nodes=1)
    world.run(40_000)
    (row,) = fleets.replicas(world)
    board = fleets.board(world)
    version = board.assignments.replica_versions[row.replica_id]
    newer = fleet.ReplicaRow(row.replica_id, row.service, fleets.DC, row.epoch,
                             9, row.members, (), row.model, row.state, 1, "x")
    digest = peering.Digest(1,
                            fleet.NodeIdentity("n9", fleets.DC, "r", 1,
                                               "127.0.0.9:1", ""),
                            replicas=(peering.ReplicaCopy(version + 50,
                                                          newer),))
    told = events.PeerPulled("127.0.0.9:1", digest, world.local_ms("n0"))
    world.hand("n0", told)
    assert board.assignments.replicas[row.replica_id].formation == 1
    world.faults.table_down = True
    world.run(5_000)
    world.hand("n0", told)
    assert board.assignments.replicas[row.replica_id].formation == 9
    world.faults.table_down = False
    world.run(3_000)
    assert board.assignments.replicas[row.replica_id].formation == 1


def test_a_row_that_cannot_be_read_is_not_taken_for_a_free_vm():
    """A newer version of the program has written a VM's row.

    Skipped, the VM would look free and would be claimed for a second replica.
    """
    world = fleets.world({"d0": 4}, fleets.document(replicas=1))
    world.table.put(store.Key(store.VMS, f"{fleets.DC}/d0-00"), '{"new": 1}')
    world.run(40_000)
    assert not fleets.replicas(world)
