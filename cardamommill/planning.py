"""The planner of a data centre: what the documents want, against what is."""

from collections.abc import Iterator
import dataclasses
import functools

from cardamommill import (
    actions,
    changes,
    controller,
    documents,
    events,
    fleet,
    leases,
    orders,
    periods,
    placement,
    releasing,
    repair,
)
from cardamommill import board as board_lib
from cardamommill import facts as facts_lib

PLAN_MS = 200
# The table takes several hundred writes a second from the whole fleet: one
# data centre's planner, of 25, takes this many rows, also after an outage.
WRITES_PER_S = 10.0
WRITE_BURST = 80.0


class Planner(controller.Controller):
    """Compares documents, assignments and evidence while the lease is held."""

    name = "planning"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._flights = changes.Flights(board)
        self._orders = orders.Orders(board.identity.node_id)
        self._releasing = releasing.Releasing()
        self._watching_since_ms: int | None = None
        self._next_ms = 0
        self._writes_left = WRITE_BURST
        self._refilled_ms = 0

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event; other types need nothing."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.Paused, now_ms: int) -> actions.Actions:
        # Nothing could be heard while the node stood still, so that silence
        # in that time says nothing about a runner.
        del event
        self._watching_since_ms = now_ms
        self._releasing.forget()
        return ()

    @step.register
    def _(self, event: events.TransactAnswered, now_ms: int) -> actions.Actions:
        if not self.owns(event.token):
            return ()
        change = self._flights.answered(event.token, event.outcome, now_ms)
        again = actions.Notify(events.FleetChanged())
        return (*self._journal(change), again) if change else (again,)

    @step.register
    def _(self, event: events.OrderAnswered, now_ms: int) -> actions.Actions:
        del now_ms
        return self._orders.answered(event)

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        if self._watching_since_ms is None:
            self._watching_since_ms = now_ms
        if now_ms < self._next_ms:
            return ()
        self._next_ms = now_ms + PLAN_MS
        self._refill(now_ms)
        found = [
            action for change in self._flights.settle()
            for action in self._journal(change)
        ]
        if not self._may_plan(now_ms):
            self._releasing.forget()
            return tuple(found)
        for change in self._changes(now_ms):
            found.append(self._flights.send(change, self.token()))
            self._writes_left -= len(change.names()) + 1
        found += self._orders.due(self._facts(now_ms))
        return tuple(found)

    def _may_plan(self, now_ms: int) -> bool:
        return (leases.may_order(self.board.lease, now_ms) and
                self.board.assignments.known and self.board.documents.complete)

    def _refill(self, now_ms: int) -> None:
        passed_s = (now_ms - self._refilled_ms) / 1000
        self._refilled_ms = now_ms
        self._writes_left = min(WRITE_BURST,
                                self._writes_left + WRITES_PER_S * passed_s)

    def _facts(self, now_ms: int) -> facts_lib.Facts:
        assert self._watching_since_ms is not None
        return facts_lib.Facts(self.board, self.timing, now_ms,
                               self._watching_since_ms, self._flights.locked(),
                               self._flights.pending())

    def _changes(self, now_ms: int) -> Iterator[changes.Change]:
        """Yields changes that touch different VMs, the most urgent first."""
        facts = self._facts(now_ms)
        for propose in (self._repairs, self._releases, self._surplus,
                        self._missing):
            for change in propose(facts):
                if self._writes_left <= 0:
                    return
                if change.names() & facts.locked:
                    continue
                yield change
                facts = dataclasses.replace(
                    facts,
                    locked=facts.locked | change.names(),
                    pending=(*facts.pending, *change.replicas))

    def _repairs(self, facts: facts_lib.Facts) -> Iterator[changes.Change]:
        for document in facts.duties():
            for row in facts.replicas(document.service):
                change = repair.swap(facts, document, row)
                if change:
                    yield change

    def _releases(self, facts: facts_lib.Facts) -> Iterator[changes.Change]:
        change = self._releasing.freed(facts)
        if change:
            yield change

    def _surplus(self, facts: facts_lib.Facts) -> Iterator[changes.Change]:
        for row in self.board.assignments.replicas.values():
            if row.state is not fleet.ReplicaState.ASSIGNED:
                continue
            document = facts.document(row.service)
            if document is None:
                yield release(row, "its service has no document any more")
                continue
            rows = facts.replicas(row.service)
            wanted = facts.capacity(document).replicas
            if len(rows) > wanted:
                worst = min(rows, key=facts.serving)
                yield release(
                    worst, f"{len(rows)} replicas of {row.service} where "
                    f"{wanted} are wanted")

    def _missing(self, facts: facts_lib.Facts) -> Iterator[changes.Change]:
        for document in facts.duties():
            wanted = facts.capacity(document).replicas
            if len(facts.replicas(document.service)) >= wanted:
                continue
            vms = placement.choose(facts.free_vms(document.pool), document)
            if vms:
                yield self._assign(facts, document, vms)

    def _assign(self, facts: facts_lib.Facts, document: documents.Document,
                vms: tuple[fleet.Vm, ...]) -> changes.Change:
        epoch = self.board.lease.epoch
        self._serial += 1
        # The lease's epoch and the serial of this holder's life make the name
        # unique for ever: an answer of a former replica can't be taken for
        # one of this.
        replica_id = (f"{document.service}-{facts.data_centre}-"
                      f"{epoch}-{self._serial}")
        members = tuple(vm.vm_id for vm in vms)
        revision = self.board.documents.in_force[document.service].row.revision
        row = fleet.ReplicaRow(replica_id, document.service, facts.data_centre,
                               epoch, 1, members, (), document.weights,
                               fleet.ReplicaState.ASSIGNED, revision, "")
        return changes.Change(
            "assigned",
            f"{document.service} wants {facts.capacity(document).replicas} "
            f"replicas (revision {revision}); {', '.join(members)} of "
            f"{facts.domain(members)} were free", (row,),
            tuple(
                changes.vm_row(vm_id, fleet.VmUse.MEMBER, replica_id)
                for vm_id in members))

    def _journal(self, change: changes.Change) -> actions.Actions:
        subjects = [f"replica/{row.replica_id}" for row in change.replicas]
        subjects += [f"vm/{row.vm_id}" for row in change.vms]
        return tuple(
            actions.Record(subject, change.event, change.detail)
            for subject in subjects)


def release(row: fleet.ReplicaRow, reason: str) -> changes.Change:
    """Returns the change that begins to release a replica.

    Args:
        row: The replica.
        reason: Why, as a clause.
    """
    return changes.Change(
        "releasing", f"released because {reason}",
        (dataclasses.replace(row, state=fleet.ReplicaState.RELEASING),),
        tuple(
            changes.vm_row(vm_id, fleet.VmUse.RELEASING, row.replica_id)
            for vm_id in (*row.members, *row.spares)))
