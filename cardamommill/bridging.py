"""Whether the last planner may use spares while nobody can reach the table.

Without the table no lease can be renewed, so no planner is certain of itself.
But a lease can only be taken by a node of the same data centre that reaches
the table, and takes it at the earliest a whole lease after it reached it
again. The last holder that hears every other node of its data centre say that
it has had no answer for a whole lease knows that none of them has taken it.

A node that it has never heard of could have. Therefore it only does what such
a planner's orders can undo: it puts spares that are already assigned to a
replica in the place of its lost members, at engines that check the fencing
number. Every such formation has a number that no other planner gives.
"""

from collections.abc import Iterator
import dataclasses

from cardamommill import board as board_lib
from cardamommill import changes, events, fleet, peering, periods, repair
from cardamommill import facts as facts_lib

# A node that was silent for longer counts as gone for good.
FORGET_MS = 600_000
# More than the formations of any replica; keeps the numbers that are given
# without the table, under each epoch, apart from all others.
STEP = 1_000_000


@dataclasses.dataclass(slots=True)
class _Peer:
    known_ms: int
    heard_ms: int = board_lib.NEVER_MS
    # The latest time at which the table may have answered it.
    table_ms: int = 0


class Bridge:
    """Knows which nodes of the data centre could have taken the lease."""

    def __init__(self, board: board_lib.Board, timing: periods.Timing) -> None:
        self._board = board
        self._timing = timing
        self._peers: dict[str, _Peer] = {}

    def heard(self, event: events.PeerPulled, now_ms: int) -> None:
        """Takes what a peer says of the table.

        Args:
            event: Its answer.
            now_ms: The local monotonic time.
        """
        digest = event.digest
        if digest is None or not self._is_near(digest.sender):
            return
        for identity in digest.nodes:
            if self._is_near(identity):
                self._peers.setdefault(identity.node_id, _Peer(now_ms))
        peer = self._peers.setdefault(digest.sender.node_id, _Peer(now_ms))
        peer.known_ms = now_ms
        peer.heard_ms = max(peer.heard_ms, event.sent_ms)
        # Dated from the arrival, later than the truth: the other way round
        # would make its outage look longer than it was.
        peer.table_ms = now_ms - _table_age_ms(digest)

    def open(self, now_ms: int) -> bool:
        """Tells whether this node may use assigned spares without the table.

        Args:
            now_ms: The local monotonic time.
        """
        board = self._board
        row, identity = board.lease.row, board.identity
        if board.lease.held or row is None or (row.holder, row.incarnation) != (
                identity.node_id, identity.incarnation):
            return False
        lease_ms = self._timing.lease_ms
        if now_ms - board.store.answered_ms < lease_ms:
            return False
        self._forget(now_ms)
        return all(
            now_ms - peer.heard_ms < self._timing.peer_timeout_ms and now_ms -
            peer.table_ms >= lease_ms for peer in self._peers.values())

    def _is_near(self, identity: fleet.NodeIdentity) -> bool:
        own = self._board.identity
        return (identity.data_centre == own.data_centre and
                identity.node_id != own.node_id)

    def _forget(self, now_ms: int) -> None:
        self._peers = {
            node_id: peer
            for node_id, peer in self._peers.items()
            if now_ms - peer.known_ms < FORGET_MS
        }


def _table_age_ms(digest: peering.Digest) -> int:
    return max(0, digest.store_age_ms)


def formations(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields changes of members that need no table, from own spares alone.

    Args:
        facts: What is known.
    """
    for document in facts.duties():
        if not document.engine.checks_fencing:
            continue
        for row in facts.replicas(document.service):
            bad = repair.bad_members(facts, row)
            holding = [
                vm_id for vm_id in row.spares
                if facts.usable(vm_id) and facts.holds(vm_id, row.model)
            ]
            # Sets of members that share no VM could both be complete. With
            # fewer spares than members any two sets share one.
            if bad and len(bad) <= len(holding) and (len(row.spares) < len(
                    row.members)):
                yield repair.swapped(facts, row,
                                     dict(zip(bad, holding, strict=False)),
                                     _number(facts, row))


def _number(facts: facts_lib.Facts, row: fleet.ReplicaRow) -> int:
    first = facts.board.lease.epoch * STEP + row.formation % STEP + 1
    return max(first, repair.next_formation(facts, row))


def caught_up(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields changes that write down what was formed without the table.

    Args:
        facts: What is known.
    """
    section = facts.board.assignments
    for replica_id in sorted(section.formed_without_table):
        row = section.replicas.get(replica_id)
        if row is None or row.state is not fleet.ReplicaState.ASSIGNED:
            continue
        held = [
            vm_id for vm_id, vm in section.vms.items()
            if vm.replica_id == replica_id
        ]
        vms = [
            changes.vm_row(vm_id, use, replica_id)
            for vm_id in held
            if (use := _use(row, vm_id)) is not facts.vm_row(vm_id).use
        ]
        yield changes.Change(
            "formed-without-table",
            f"formation {row.formation} of {', '.join(row.members)} was formed "
            "while the table gave no answer", (row,), tuple(vms))


def _use(row: fleet.ReplicaRow, vm_id: str) -> fleet.VmUse:
    if vm_id in row.members:
        return fleet.VmUse.MEMBER
    return (fleet.VmUse.SPARE if vm_id in row.spares else fleet.VmUse.RELEASING)
