"""Changes of the fleet, each one transaction, and those still in flight."""

import dataclasses
import enum

from cardamommill import actions, events, fleet, store
from cardamommill import board as board_lib

MAX_CAUSES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Something that a planner wants to be so, and why.

    Attributes:
        event: A short name, such as ``member-lost``.
        detail: What was seen and decided, as a sentence.
        replicas: Replica rows as they are to be.
        vms: VM rows as they are to be.
        removed: Replicas and VMs whose rows go.
    """

    event: str
    detail: str
    replicas: tuple[fleet.ReplicaRow, ...] = ()
    vms: tuple[fleet.VmRow, ...] = ()
    removed: tuple[store.Key, ...] = ()

    def names(self) -> frozenset[str]:
        """Returns the replicas and VMs that it touches."""
        return frozenset((*(row.replica_id for row in self.replicas),
                          *(row.vm_id for row in self.vms),
                          *(_name(key) for key in self.removed)))


class _State(enum.Enum):
    SENT = "sent"
    COMMITTED = "committed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class _Flight:
    change: Change
    attempt: str
    conditions: tuple[store.Condition, ...]
    state: _State = _State.SENT
    answered_ms: int = 0


class Flights:
    """Transactions in flight; what they touch is locked until it is known.

    A transaction is never repeated because its answer was lost: it may have
    taken effect, and the repeat would then take a second set of VMs. The rows
    are read again and tell, by their attempt token and version, what happened.
    """

    def __init__(self, board: board_lib.Board) -> None:
        self._board = board
        self._flights: dict[events.Token, _Flight] = {}

    def locked(self) -> frozenset[str]:
        """Returns the replicas and VMs that may be changing."""
        return frozenset().union(
            *(flight.change.names() for flight in self._flights.values()))

    def pending(self) -> tuple[fleet.ReplicaRow, ...]:
        """Returns the replica rows that transactions in flight would make."""
        return tuple(row for flight in self._flights.values()
                     for row in flight.change.replicas)

    def send(self, change: Change, token: events.Token) -> actions.Transact:
        """Returns the transaction that makes a change.

        Args:
            change: What is to be so.
            token: Of the transaction.
        """
        board = self._board
        identity = board.identity
        attempt = (f"{identity.node_id}/{identity.incarnation}/{token.owner}/"
                   f"{token.serial}")
        dc = identity.data_centre
        writes = [
            store.Write(replica_key(dc, row.replica_id),
                        store.encode(self._caused(row, change, attempt)))
            for row in change.replicas
        ]
        writes += [
            store.Write(
                vm_key(dc, row.vm_id),
                store.encode(
                    dataclasses.replace(row,
                                        epoch=board.lease.epoch,
                                        attempt=attempt))) for row in change.vms
        ]
        writes += [store.Write(key, None) for key in change.removed]
        conditions = tuple(
            store.Condition(write.key, self._version(write.key))
            for write in writes)
        self._flights[token] = _Flight(change, attempt, conditions)
        lease = store.Condition(store.Key(store.LEASES, dc),
                                board.lease.version)
        index = store.Write(
            store.Key(store.INDEX, store.fleet_index(dc)),
            store.encode(store.ChangeCount(board.assignments.index_version +
                                           1)))
        return actions.Transact(token, (lease, *conditions), (*writes, index))

    def answered(self, token: events.Token, outcome: store.TransactOutcome,
                 now_ms: int) -> Change | None:
        """Takes an answer, and returns the change if it was committed."""
        flight = self._flights.get(token)
        if flight is None:
            return None
        flight.answered_ms = now_ms
        if outcome is store.TransactOutcome.COMMITTED:
            flight.state = _State.COMMITTED
            return flight.change
        if outcome is store.TransactOutcome.UNKNOWN:
            flight.state = _State.UNKNOWN
        else:
            del self._flights[token]
        return None

    def settle(self) -> list[Change]:
        """Unlocks what the rows have told, as read since.

        Returns:
            The changes whose answer was lost and that were found committed.
        """
        found = []
        for token, flight in list(self._flights.items()):
            if flight.state is _State.COMMITTED and self._seen(flight):
                del self._flights[token]
            elif (flight.state is _State.UNKNOWN and
                  self._board.assignments.read_ms > flight.answered_ms):
                del self._flights[token]
                if self._seen(flight):
                    found.append(flight.change)
        return found

    def _seen(self, flight: _Flight) -> bool:
        return all(
            self._version(condition.key) != condition.version
            for condition in flight.conditions)

    def _version(self, key: store.Key) -> int:
        section = self._board.assignments
        versions = (section.vm_versions
                    if key.table == store.VMS else section.replica_versions)
        return versions.get(_name(key), store.ABSENT)

    def _caused(self, row: fleet.ReplicaRow, change: Change,
                attempt: str) -> fleet.ReplicaRow:
        cause = fleet.Cause(self._board.life.at, change.event,
                            self._board.identity.node_id, change.detail)
        return dataclasses.replace(row,
                                   attempt=attempt,
                                   causes=(*row.causes, cause)[-MAX_CAUSES:])


def replica_key(data_centre: str, replica_id: str) -> store.Key:
    """Returns the key of a replica's row."""
    return store.Key(store.REPLICAS, f"{data_centre}/{replica_id}")


def vm_key(data_centre: str, vm_id: str) -> store.Key:
    """Returns the key of a VM's row."""
    return store.Key(store.VMS, f"{data_centre}/{vm_id}")


def vm_row(vm_id: str, use: fleet.VmUse, replica_id: str = "") -> fleet.VmRow:
    """Returns a VM's row; epoch and attempt come with the transaction."""
    return fleet.VmRow(vm_id, use, replica_id, 0, "")


def _name(key: store.Key) -> str:
    return key.row.split("/", 1)[1]
