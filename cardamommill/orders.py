"""Orders to runners: what each should be told, and when to tell it again."""

from collections.abc import Iterator
import dataclasses

from cardamommill import actions, documents, events, fleet, requesting
from cardamommill import facts as facts_lib

# A runner that does not report what it was ordered is told again after this.
RESEND_MS = 2000
# The weight store is rate limited: when a dark domain comes back, its VMs
# would all load at once, each so slowly that no replica is complete for long.
# One of the largest replicas can load whole.
LOADS_AT_ONCE = documents.MAX_REPLICA_VMS


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """An order that a runner should be given.

    Attributes:
        order: The order, without a number.
        loads: Whether the runner will load weights for it.
        urgency: Smaller goes first to the weight store.
    """

    order: fleet.Order
    loads: bool = False
    urgency: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    wanted: Wanted
    sent_ms: int


class Orders:
    """Tells runners what the table says until they report it themselves."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._serial = 0
        self._sent: dict[str, _Sent] = {}
        self._adapters: set[tuple[str, str, int, str]] = set()

    def due(self, facts: facts_lib.Facts) -> actions.Actions:
        """Returns the orders to give now; only while the lease is held.

        Args:
            facts: What is known.
        """
        self._forget(facts)
        found: list[actions.Action] = []
        every = sorted(wanted(facts), key=lambda each: each.urgency)
        loads = LOADS_AT_ONCE - self._loading(facts)
        for each in every:
            if not self._unsaid(each, facts.now_ms):
                continue
            if each.loads:
                if loads <= 0:
                    continue
                loads -= 1
            found.append(self._send(facts, each))
        found += [self._send(facts, each) for each in self._adapter(facts)]
        return tuple(found)

    def answered(self, event: events.OrderAnswered) -> actions.Actions:
        """Takes an answer; what an order did shows in the runner's report.

        Args:
            event: The answer.
        """
        order = event.order
        if event.outcome is requesting.Outcome.RAN:
            if order.kind is fleet.OrderKind.LOAD_ADAPTER:
                self._adapters.add(_adapter_key(order))
            return ()
        if event.outcome is requesting.Outcome.UNKNOWN:
            return ()
        return (actions.Record(
            f"vm/{order.vm_id}", "order-refused",
            f"{order.kind} with fence {order.fence}: {event.detail}"),)

    def _forget(self, facts: facts_lib.Facts) -> None:
        """Drops what concerns VMs and replicas that are no more."""
        listed = facts.board.vms.listed
        if len(self._sent) > len(listed):
            self._sent = {
                vm_id: sent
                for vm_id, sent in self._sent.items()
                if vm_id in listed
            }
        replicas = facts.board.assignments.replicas
        self._adapters = {key for key in self._adapters if key[1] in replicas}

    def _loading(self, facts: facts_lib.Facts) -> int:
        """Returns how many VMs are loading, or were just told to."""
        loading = {
            vm_id for row in facts.board.assignments.replicas.values()
            for vm_id in (*row.members, *row.spares)
            if _loads_now(facts.report(vm_id), row)
        }
        loading |= {
            vm_id for vm_id, sent in self._sent.items()
            if sent.wanted.loads and facts.now_ms - sent.sent_ms < RESEND_MS
        }
        return len(loading)

    def _unsaid(self, each: Wanted, now_ms: int) -> bool:
        sent = self._sent.get(each.order.vm_id)
        return (sent is None or now_ms - sent.sent_ms >= RESEND_MS or
                sent.wanted.order != each.order)

    def _send(self, facts: facts_lib.Facts, each: Wanted) -> actions.SendOrder:
        order = each.order
        self._sent[order.vm_id] = _Sent(each, facts.now_ms)
        self._serial += 1
        order_id = f"{self._node_id}/{order.fence}/{self._serial}"
        return actions.SendOrder(facts.board.vms.listed[order.vm_id].address,
                                 dataclasses.replace(order, order_id=order_id),
                                 self._valid_until_ms(facts))

    def _valid_until_ms(self, facts: facts_lib.Facts) -> int:
        soon_ms = facts.now_ms + facts.timing.order_timeout_ms
        if facts.bridging:
            return soon_ms
        return min(facts.board.lease.valid_until_ms, soon_ms)

    def _adapter(self, facts: facts_lib.Facts) -> Iterator[Wanted]:
        for row in facts.board.assignments.replicas.values():
            document = facts.document(row.service)
            if document is None or not document.adapters or (
                    not facts.serving(row) or not _in_time(facts, (document,))):
                continue
            for adapter in document.adapters:
                order = dataclasses.replace(_order(
                    facts, row, row.members[0], fleet.OrderKind.LOAD_ADAPTER),
                                            adapter=adapter)
                each = Wanted(order)
                if _adapter_key(order) not in self._adapters and (self._unsaid(
                        each, facts.now_ms)):
                    yield each
                    break


def _adapter_key(order: fleet.Order) -> tuple[str, str, int, str]:
    return order.vm_id, order.replica_id, order.formation, order.adapter


def wanted(facts: facts_lib.Facts) -> Iterator[Wanted]:
    """Yields an order for each runner that does not report what it should.

    Args:
        facts: What is known.
    """
    for row in facts.board.assignments.replicas.values():
        document = facts.document(row.service)
        if (row.state is fleet.ReplicaState.ASSIGNED and document and
                row.replica_id not in facts.locked and
                _in_time(facts, (document,))):
            yield from _of_replica(facts, row, document)
    documents_here = tuple(facts.duties())
    for vm in facts.board.vms.listed.values():
        if _to_be_idle(facts, vm.vm_id) and _in_time(
                facts,
                tuple(each for each in documents_here if each.pool == vm.pool)):
            yield Wanted(
                fleet.Order("", fleet.OrderKind.RELEASE, vm.vm_id,
                            facts.board.lease.epoch))


def _in_time(facts: facts_lib.Facts, concerned: tuple[documents.Document,
                                                      ...]) -> bool:
    """Tells whether no order of a former planner can undo one given now.

    Engines that check refuse the former planner's number themselves. For the
    others the new planner waits until its predecessor's last order must have
    arrived, and then reads the runners' own reports.
    """
    checks = all(each.engine.checks_fencing for each in concerned)
    if facts.bridging:
        return checks
    return checks or facts.now_ms >= facts.board.lease.first_order_ms


def _of_replica(facts: facts_lib.Facts, row: fleet.ReplicaRow,
                document: documents.Document) -> Iterator[Wanted]:
    priority = document.priority
    if not all(vm_id in facts.board.vms.listed for vm_id in row.members):
        return
    # A replica that lacks little goes before one that lacks much, so that one
    # after the other is complete and not all of them late.
    lacking = sum(not facts.holds(vm_id, row.model) for vm_id in row.members)
    for vm_id in row.members:
        report = facts.report(vm_id)
        if report and not facts_lib.formed(report, row):
            yield Wanted(_order(facts, row, vm_id, fleet.OrderKind.FORM),
                         report.model != row.model, (priority, 0, lacking))
    for vm_id in row.spares:
        report = facts.report(vm_id)
        if report and vm_id in facts.board.vms.listed and not (facts_lib.spare(
                report, row) and _knows_planner(facts, report, document)):
            yield Wanted(_order(facts, row, vm_id, fleet.OrderKind.PRELOAD),
                         report.model != row.model, (priority, 1, 0))


def _knows_planner(facts: facts_lib.Facts, report: fleet.RunnerReport,
                   document: documents.Document) -> bool:
    """Tells whether a spare would refuse an order of a former planner."""
    return (not document.engine.checks_fencing or
            report.highest_fence >= facts.board.lease.epoch)


def _loads_now(report: fleet.RunnerReport | None,
               row: fleet.ReplicaRow) -> bool:
    return (report is not None and report.replica_id == row.replica_id and
            not report.ready)


def _order(facts: facts_lib.Facts, row: fleet.ReplicaRow, vm_id: str,
           kind: fleet.OrderKind) -> fleet.Order:
    spare = kind is fleet.OrderKind.PRELOAD
    listed = facts.board.vms.listed
    members = () if spare else row.members
    return fleet.Order(
        "",
        kind,
        vm_id,
        facts.board.lease.epoch,
        row.replica_id,
        row.epoch,
        formation=0 if spare else row.formation,
        members=members,
        member_addresses=tuple(listed[member].address for member in members),
        model=row.model,
        role=fleet.RunnerRole.SPARE if spare else fleet.RunnerRole.MEMBER)


def _to_be_idle(facts: facts_lib.Facts, vm_id: str) -> bool:
    report = facts.report(vm_id)
    return (report is not None and report.replica_id != "" and
            vm_id not in facts.locked and facts.vm_row(vm_id).use
            in (fleet.VmUse.FREE, fleet.VmUse.RELEASING))
