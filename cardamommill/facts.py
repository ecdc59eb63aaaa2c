"""What a planner may take for true at one moment, read off the blackboard."""

from collections.abc import Iterable, Iterator
import dataclasses

from cardamommill import board as board_lib
from cardamommill import documents, fleet, periods


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """The blackboard as a planner reads it in one round.

    Attributes:
        board: What the node knows.
        timing: The periods in force.
        now_ms: The local monotonic time of the round.
        watching_since_ms: Since when this node could have heard of runners
            without a break; silence counts from here at the earliest.
        locked: VMs and replicas that a transaction in flight may change.
        pending: Replica rows as transactions in flight would make them.
    """

    board: board_lib.Board
    timing: periods.Timing
    now_ms: int
    watching_since_ms: int
    locked: frozenset[str] = frozenset()
    pending: tuple[fleet.ReplicaRow, ...] = ()

    @property
    def data_centre(self) -> str:
        """The data centre that is planned."""
        return self.board.identity.data_centre

    def document(self, service: str) -> documents.Document | None:
        """Returns the document in force of a service, if there is one."""
        in_force = self.board.documents.in_force.get(service)
        return in_force.document if in_force else None

    def duties(self) -> Iterator[documents.Document]:
        """Yields the documents in force, the most urgent duty first."""
        every = (
            each.document for each in self.board.documents.in_force.values())
        yield from sorted(every, key=lambda each: (each.priority, each.service))

    def capacity(self, document: documents.Document) -> documents.Capacity:
        """Returns what a service gets in this data centre."""
        return document.capacity.get(self.data_centre,
                                     documents.Capacity(replicas=0))

    def replicas(self, service: str) -> list[fleet.ReplicaRow]:
        """Returns the assigned replicas of a service, by id.

        A replica that a transaction in flight may have made counts, or else a
        lost answer would have the planner make it twice.
        """
        rows = dict(self.board.assignments.replicas)
        rows.update({row.replica_id: row for row in self.pending})
        return sorted(
            (row for row in rows.values() if row.service == service and
             row.state is fleet.ReplicaState.ASSIGNED),
            key=lambda row: row.replica_id)

    def vm_row(self, vm_id: str) -> fleet.VmRow:
        """Returns the row of a VM; one without a row is free."""
        return self.board.assignments.vms.get(
            vm_id, fleet.VmRow(vm_id, fleet.VmUse.FREE, "", 0, ""))

    def report(self, vm_id: str) -> fleet.RunnerReport | None:
        """Returns what a runner says, if it said so lately."""
        evidence = self.board.evidence.by_vm.get(vm_id)
        if evidence is None:
            return None
        report = evidence.report
        age_ms = self.now_ms - evidence.seen_ms
        if (age_ms >= self.timing.evidence_max_age_ms or
                evidence.seen_ms < self.board.life.not_before_ms or
                self.board.evidence.lost_boots.get(vm_id) == report.boot_id):
            return None
        return report

    def silent_ms(self, vm_id: str) -> int:
        """Returns for how long nothing was heard of a VM's runner."""
        evidence = self.board.evidence.by_vm.get(vm_id)
        seen_ms = evidence.seen_ms if evidence else board_lib.NEVER_MS
        return self.now_ms - max(seen_ms, self.watching_since_ms)

    def gone(self, vm_id: str) -> bool:
        """Tells whether the platform's list, once read, lacks the VM."""
        vms = self.board.vms
        return vms.listed_ms > self.watching_since_ms and (vm_id
                                                           not in vms.listed)

    def leaving(self, vm_id: str) -> bool:
        """Tells whether a VM is to be emptied."""
        return (vm_id in self.board.vms.leaving or
                vm_id in self.board.assignments.drained)

    def lost(self, vm_id: str) -> bool:
        """Tells whether a member is given up."""
        return self.gone(vm_id) or (self.silent_ms(vm_id)
                                    > self.timing.member_grace_ms)

    def free_vms(self, pool: str) -> list[fleet.Vm]:
        """Returns the VMs of a pool that could be assigned now."""
        return [
            vm for vm in self.board.vms.listed.values()
            if vm.pool == pool and self._assignable(vm)
        ]

    def _assignable(self, vm: fleet.Vm) -> bool:
        report = self.report(vm.vm_id)
        return (vm.state is fleet.VmState.LIVE and
                self.vm_row(vm.vm_id).use is fleet.VmUse.FREE and
                not self.leaving(vm.vm_id) and vm.vm_id not in self.locked and
                report is not None and not report.leaving and
                not report.replica_id)

    def domain(self, vm_ids: Iterable[str]) -> str:
        """Returns the fabric domain that most of the VMs stand in."""
        domains = [
            self.board.vms.listed[vm_id].fabric_domain
            for vm_id in vm_ids
            if vm_id in self.board.vms.listed
        ]
        return max(sorted(set(domains)), key=domains.count, default="")

    def loaded(self, vm_id: str, replica_id: str, weights: str) -> bool:
        """Tells whether a spare of a replica holds the weights."""
        report = self.report(vm_id)
        return report is not None and (
            (report.replica_id, report.role, report.model, report.ready)
            == (replica_id, fleet.RunnerRole.SPARE, weights, True))

    def member_present(self, row: fleet.ReplicaRow, vm_id: str) -> bool:
        """Tells whether a member says that it is formed and ready."""
        report = self.report(vm_id)
        return report is not None and report.ready and formed(report, row)

    def serving(self, row: fleet.ReplicaRow) -> bool:
        """Tells whether every member says that it is formed and ready."""
        return all(
            self.member_present(row, vm_id) and not self.leaving(vm_id)
            for vm_id in row.members)


def formed(report: fleet.RunnerReport, row: fleet.ReplicaRow) -> bool:
    """Tells whether a runner believes to be the member that the row says."""
    return ((report.replica_id, report.epoch, report.formation, report.role,
             report.model) == (row.replica_id, row.epoch, row.formation,
                               fleet.RunnerRole.MEMBER, row.model))
