"""The planner of a data centre: what the documents want, against what is."""

from collections.abc import Callable, Iterator
import dataclasses
import functools

from cardamommill import (
    actions,
    bridging,
    changes,
    controller,
    downtime,
    events,
    leases,
    orders,
    periods,
    releasing,
    repair,
    sizing,
    sparing,
    units,
)
from cardamommill import board as board_lib
from cardamommill import facts as facts_lib

PLAN_MS = 200
# The table takes several hundred writes a second from the whole fleet: one
# data centre's planner, of 25, takes this many rows, also after an outage.
WRITES_PER_S = 10.0
WRITE_BURST = 80.0

Proposal = Callable[[facts_lib.Facts], Iterator[changes.Change]]


def releases(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields the change that frees VMs whose wait is over.

    Args:
        facts: What is known.
    """
    change = releasing.freed(facts)
    if change:
        yield change


class Planner(controller.Controller):
    """Compares documents, assignments and evidence while the lease is held.

    Attributes:
        proposals: What it may want to change, the most urgent first.
        heeds_leaving: Whether it replaces a leaving VM before it goes.
    """

    name = "planning"
    proposals: tuple[Proposal,
                     ...] = (bridging.caught_up, repair.repairs, sizing.surplus,
                             releases, releasing.strays, sizing.missing,
                             sizing.outdated, sizing.united, sparing.spares)
    heeds_leaving = True

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._flights = changes.Flights(board)
        self._orders = orders.Orders(board.identity.node_id)
        self._bridge = bridging.Bridge(board, timing)
        self._idle = releasing.IdleWatch()
        self._downtime = downtime.Downtime()
        self._recoveries: list[downtime.Recovery] = []
        self._leaving_since_ms: dict[str, int] = {}
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
        self._idle.forget()
        return ()

    @step.register
    def _(self, event: events.TransactAnswered, now_ms: int) -> actions.Actions:
        if not self.owns(event.token):
            return ()
        change = self._flights.answered(event.token, event.outcome, now_ms)
        again = actions.Notify(events.FleetChanged())
        return (*_journal(change), again) if change else (again,)

    @step.register
    def _(self, event: events.PeerPulled, now_ms: int) -> actions.Actions:
        self._bridge.heard(event, now_ms)
        return ()

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
            for action in _journal(change)
        ]
        if not self._may_plan(now_ms):
            self._idle.forget()
            return (*found, *self._without_table(now_ms))
        facts = self._facts(now_ms)
        for change in self._changes(facts):
            found.append(self._flights.send(change, self.token()))
            self._writes_left -= len(change.names()) + 1
        facts = dataclasses.replace(facts, locked=self._flights.locked())
        return (*found, *self._orders.due(facts))

    def _without_table(self, now_ms: int) -> actions.Actions:
        if not self._bridge.open(now_ms):
            return ()
        facts = dataclasses.replace(self._facts(now_ms), bridging=True)
        formed = [
            action for change in bridging.formations(facts) for action in (
                actions.Notify(events.FormedWithoutTable(change.replicas[0])),
                *_journal(change))
        ]
        # Orders follow in the next round, when the row is on the board.
        return (*formed, *self._orders.due(facts))

    def _may_plan(self, now_ms: int) -> bool:
        return (leases.may_order(self.board.lease, now_ms) and
                self.board.assignments.known and self.board.documents.complete)

    def _refill(self, now_ms: int) -> None:
        passed_s = (now_ms - self._refilled_ms) / units.MS_PER_S
        self._refilled_ms = now_ms
        self._writes_left = min(WRITE_BURST,
                                self._writes_left + WRITES_PER_S * passed_s)

    def _facts(self, now_ms: int) -> facts_lib.Facts:
        """Returns what is known, and brings what this planner watches forth."""
        assert self._watching_since_ms is not None
        facts = facts_lib.Facts(self.board,
                                self.timing,
                                now_ms,
                                self._watching_since_ms,
                                facts_lib.fresh_reports(self.board, self.timing,
                                                        now_ms),
                                locked=self._flights.locked(),
                                pending=self._flights.pending(),
                                heeds_leaving=self.heeds_leaving)
        self._leaving_since_ms = {
            vm_id: self._leaving_since_ms.get(vm_id, now_ms)
            for vm_id in self.board.vms.leaving | self.board.assignments.drained
        }
        self._recoveries += self._downtime.look(facts)
        return dataclasses.replace(facts,
                                   idle_since_ms=self._idle.look(facts),
                                   leaving_since_ms=self._leaving_since_ms,
                                   served=self._downtime.served)

    def _changes(self, facts: facts_lib.Facts) -> Iterator[changes.Change]:
        """Yields changes that touch different VMs, the most urgent first."""
        for propose in (*self.proposals, self._recovered):
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

    def _recovered(self, facts: facts_lib.Facts) -> Iterator[changes.Change]:
        left = []
        for each in self._recoveries:
            row = self.board.assignments.replicas.get(each.row.replica_id)
            if each.down_ms < downtime.WORTH_A_WRITE_MS or row is None:
                continue
            if row.replica_id in facts.locked:
                left.append(each)
            else:
                yield dataclasses.replace(each, row=row).change()
        self._recoveries = left


def _journal(change: changes.Change) -> actions.Actions:
    subjects = [f"replica/{row.replica_id}" for row in change.replicas]
    subjects += [f"vm/{row.vm_id}" for row in change.vms]
    return tuple(
        actions.Record(subject, change.event, change.detail)
        for subject in subjects)
