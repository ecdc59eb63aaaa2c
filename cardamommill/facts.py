"""What a planner may take for true at one moment, read off the blackboard."""

from collections.abc import Iterable, Iterator, Mapping
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
        reports: What runners said lately, by VM.
        idle_since_ms: Since when a VM's runner has said, without a break,
            that it belongs to no replica.
        leaving_since_ms: Since when a VM is known to be leaving.
        served: Replicas that this planner has seen serving.
        locked: VMs and replicas that a transaction in flight may change.
        pending: Replica rows as transactions in flight would make them.
        heeds_leaving: Whether a leaving VM is replaced before it goes.
        bridging: Whether the planner goes on without the table.
    """

    board: board_lib.Board
    timing: periods.Timing
    now_ms: int
    watching_since_ms: int
    reports: Mapping[str, fleet.RunnerReport]
    idle_since_ms: Mapping[str, int] = dataclasses.field(default_factory=dict)
    leaving_since_ms: Mapping[str,
                              int] = dataclasses.field(default_factory=dict)
    served: frozenset[str] = frozenset()
    locked: frozenset[str] = frozenset()
    pending: tuple[fleet.ReplicaRow, ...] = ()
    heeds_leaving: bool = True
    bridging: bool = False

    @property
    def data_centre(self) -> str:
        """The data centre that is planned."""
        return self.board.identity.data_centre

    # --- What is wanted ---

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

    def revision(self, service: str) -> int:
        """Returns the revision in force of a service's document."""
        return self.board.documents.in_force[service].row.revision

    # --- What the table says ---

    def replicas(self, service: str) -> list[fleet.ReplicaRow]:
        """Returns the assigned replicas of a service, by id.

        A replica that a transaction in flight may have made counts, or else a
        lost answer would have the planner make it twice.
        """
        rows = self.board.assignments.replicas
        if self.pending:
            rows = {**rows, **{row.replica_id: row for row in self.pending}}
        return sorted(
            (row for row in rows.values() if row.service == service and
             row.state is fleet.ReplicaState.ASSIGNED),
            key=lambda row: row.replica_id)

    def vm_row(self, vm_id: str) -> fleet.VmRow:
        """Returns the row of a VM; one without a row is free."""
        return self.board.assignments.vms.get(
            vm_id, fleet.VmRow(vm_id, fleet.VmUse.FREE, "", 0, ""))

    # --- What the platform and the runners say ---

    def report(self, vm_id: str) -> fleet.RunnerReport | None:
        """Returns what a runner says, if it said so lately."""
        return self.reports.get(vm_id)

    def silent_ms(self, vm_id: str) -> int:
        """Returns for how long nothing was heard of a VM's runner."""
        evidence = self.board.evidence.by_vm.get(vm_id)
        seen_ms = evidence.seen_ms if evidence else board_lib.NEVER_MS
        return self.now_ms - max(seen_ms, self.watching_since_ms)

    def gone(self, vm_id: str) -> bool:
        """Tells whether the platform lists the VM no more and it is silent."""
        vms = self.board.vms
        return (vms.listed_ms > self.watching_since_ms and
                vm_id not in vms.listed and vm_id not in self.reports)

    def leaving(self, vm_id: str) -> bool:
        """Tells whether a VM is to be emptied."""
        return self.heeds_leaving and (vm_id in self.board.vms.leaving or
                                       vm_id in self.board.assignments.drained)

    def lost(self, vm_id: str) -> bool:
        """Tells whether a member is given up."""
        if vm_id in self.reports:
            return False
        return self.gone(vm_id) or (self.silent_ms(vm_id)
                                    > self.timing.member_grace_ms)

    def domain(self, vm_ids: Iterable[str]) -> str:
        """Returns the fabric domain that most of the VMs stand in."""
        listed = self.board.vms.listed
        domains = [
            listed[vm_id].fabric_domain for vm_id in vm_ids if vm_id in listed
        ]
        return max(sorted(set(domains)), key=domains.count, default="")

    # --- What follows ---

    def usable(self, vm_id: str) -> bool:
        """Tells whether a VM is here, to stay, and nobody is changing it."""
        vm = self.board.vms.listed.get(vm_id)
        report = self.report(vm_id)
        return (vm is not None and vm.state is fleet.VmState.LIVE and
                report is not None and not report.leaving and
                vm_id not in self.locked and not self.leaving(vm_id) and
                vm_id not in self.board.assignments.drained)

    def free_vms(self, pool: str) -> list[fleet.Vm]:
        """Returns the VMs of a pool that could be assigned now.

        A free VM whose runner was lately in a replica may still be taken for
        its member by a node that is cut off: see `releasing`.
        """
        return [
            vm for vm in self.board.vms.listed.values()
            if vm.pool == pool and self.vm_row(vm.vm_id).use is fleet.VmUse.FREE
            and self.idle_long(vm.vm_id) and self.usable(vm.vm_id)
        ]

    def idle_long(self, vm_id: str) -> bool:
        """Tells whether no node can take a VM for a replica's member."""
        since_ms = self.idle_since_ms.get(vm_id, self.now_ms)
        return self.now_ms - since_ms >= self.timing.releasing_ms

    def holds(self, vm_id: str, weights: str) -> bool:
        """Tells whether a VM could join a replica without loading."""
        report = self.report(vm_id)
        if report is None or report.model != weights:
            return False
        return report.ready or report.role is fleet.RunnerRole.IDLE

    def movable(self, vm_id: str, document: documents.Document) -> bool:
        """Tells whether a spare may go to another replica.

        Without the table its former planner could make it a member of the
        replica that it is assigned to (see `bridging`). Once the runner has
        taken an order of this planner it refuses that one's.
        """
        report = self.report(vm_id)
        return report is not None and self.usable(vm_id) and (
            not document.engine.checks_fencing or
            (report.role is fleet.RunnerRole.SPARE and
             report.highest_fence >= self.board.lease.epoch))

    def serving(self, row: fleet.ReplicaRow) -> bool:
        """Tells whether every member says that it is formed and ready."""
        return all(self._present(row, vm_id) for vm_id in row.members)

    def _present(self, row: fleet.ReplicaRow, vm_id: str) -> bool:
        report = self.report(vm_id)
        return (report is not None and report.ready and formed(report, row) and
                not report.leaving and vm_id not in self.board.vms.leaving)


def fresh_reports(board: board_lib.Board, timing: periods.Timing,
                  now_ms: int) -> dict[str, fleet.RunnerReport]:
    """Returns what runners said lately, by VM.

    Args:
        board: What the node knows.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    after_ms = max(now_ms - timing.evidence_max_age_ms + 1,
                   board.life.not_before_ms)
    lost_boots = board.evidence.lost_boots
    return {
        vm_id: evidence.report
        for vm_id, evidence in board.evidence.by_vm.items()
        if evidence.seen_ms >= after_ms and
        lost_boots.get(vm_id) != evidence.report.boot_id
    }


def formed(report: fleet.RunnerReport, row: fleet.ReplicaRow) -> bool:
    """Tells whether a runner believes to be the member that the row says."""
    believes = (report.replica_id, report.epoch, report.formation, report.role)
    return believes == (row.replica_id, row.epoch, row.formation,
                        fleet.RunnerRole.MEMBER)


def spare(report: fleet.RunnerReport, row: fleet.ReplicaRow) -> bool:
    """Tells whether a runner is, or is about to be, a spare of the row's."""
    believes = (report.replica_id, report.role)
    return believes == (row.replica_id,
                        fleet.RunnerRole.SPARE) and (not report.ready or
                                                     report.model == row.model)
