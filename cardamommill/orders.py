"""Orders to runners: what each should be told, and when to tell it again."""

import dataclasses

from cardamommill import actions, events, fleet, leases
from cardamommill import facts as facts_lib

# A runner that does not report what it was ordered is told again after this.
RESEND_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    order: fleet.Order
    sent_ms: int


class Orders:
    """Tells runners what the table says until they report it themselves."""

    def __init__(self, node_id: str) -> None:
        self._prefix = node_id
        self._serial = 0
        self._sent: dict[str, _Sent] = {}

    def due(self, facts: facts_lib.Facts) -> actions.Actions:
        """Returns the orders to give now; only while the lease is held.

        Args:
            facts: What is known.
        """
        return tuple(
            self._send(facts, order)
            for order in wanted(facts)
            if self._unsaid(order, facts.now_ms))

    def answered(self, event: events.OrderAnswered) -> actions.Actions:
        """Records a refusal; taking an order shows in the runner's report."""
        if event.outcome == "not-run":
            return (actions.Record(
                f"vm/{event.order.vm_id}", "order-refused",
                f"{event.order.kind} with fence {event.order.fence}: "
                f"{event.detail}"),)
        return ()

    def _unsaid(self, order: fleet.Order, now_ms: int) -> bool:
        sent = self._sent.get(order.vm_id)
        if sent is None or now_ms - sent.sent_ms >= RESEND_MS:
            return True
        return dataclasses.replace(sent.order, order_id="") != order

    def _send(self, facts: facts_lib.Facts,
              order: fleet.Order) -> actions.SendOrder:
        self._sent[order.vm_id] = _Sent(order, facts.now_ms)
        self._serial += 1
        numbered = dataclasses.replace(
            order, order_id=f"{self._prefix}/{order.fence}/{self._serial}")
        return actions.SendOrder(
            facts.board.vms.listed[order.vm_id].address, numbered,
            min(facts.board.lease.valid_until_ms,
                facts.now_ms + facts.timing.order_timeout_ms))


def wanted(facts: facts_lib.Facts) -> list[fleet.Order]:
    """Returns an order for each runner that does not report what it should.

    Args:
        facts: What is known.
    """
    found: list[fleet.Order] = []
    for row in facts.board.assignments.replicas.values():
        document = facts.document(row.service)
        checks = document is not None and document.engine.checks_fencing
        if not leases.engine_ready(facts.board.lease, checks, facts.now_ms):
            continue
        if row.state is fleet.ReplicaState.ASSIGNED and (row.replica_id
                                                         not in facts.locked):
            found += _of_replica(facts, row)
    found += [
        fleet.Order("", fleet.OrderKind.RELEASE, vm_id, facts.board.lease.epoch)
        for vm_id in facts.board.vms.listed
        if _to_be_idle(facts, vm_id)
    ]
    return found


def _of_replica(facts: facts_lib.Facts,
                row: fleet.ReplicaRow) -> list[fleet.Order]:
    listed = facts.board.vms.listed
    if not all(vm_id in listed for vm_id in row.members):
        return []
    orders = []
    for vm_id in row.members:
        report = facts.report(vm_id)
        if report and not facts_lib.formed(report, row):
            orders.append(_order(facts, row, vm_id, fleet.OrderKind.FORM))
    for vm_id in row.spares:
        report = facts.report(vm_id)
        if report and vm_id in listed and (
                report.replica_id, report.role,
                report.model) != (row.replica_id, fleet.RunnerRole.SPARE,
                                  row.model):
            orders.append(_order(facts, row, vm_id, fleet.OrderKind.PRELOAD))
    return orders


def _order(facts: facts_lib.Facts, row: fleet.ReplicaRow, vm_id: str,
           kind: fleet.OrderKind) -> fleet.Order:
    forming = kind is fleet.OrderKind.FORM
    role = fleet.RunnerRole.MEMBER if forming else fleet.RunnerRole.SPARE
    listed = facts.board.vms.listed
    return fleet.Order(
        "",
        kind,
        vm_id,
        facts.board.lease.epoch,
        row.replica_id,
        row.epoch,
        row.formation if forming else 0,
        row.members if forming else (),
        tuple(listed[member].address for member in row.members) if forming else
        (),
        row.model,
        role,
    )


def _to_be_idle(facts: facts_lib.Facts, vm_id: str) -> bool:
    report = facts.report(vm_id)
    return (report is not None and report.replica_id != "" and
            vm_id not in facts.locked and facts.vm_row(vm_id).use
            in (fleet.VmUse.FREE, fleet.VmUse.RELEASING))
