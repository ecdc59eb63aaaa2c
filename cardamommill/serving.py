"""Which replicas may be sent work, by positive evidence alone."""

import dataclasses

from cardamommill import board as board_lib
from cardamommill import fleet, periods


@dataclasses.dataclass(frozen=True, slots=True)
class ServingReplica:
    """A replica all of whose VMs are known to be present.

    Attributes:
        row: Its row.
        head: The evidence on its head.
        valid_until_ms: When the oldest evidence that this rests on runs out.
    """

    row: fleet.ReplicaRow
    head: fleet.Evidence
    valid_until_ms: int


def serving_replica(board: board_lib.Board, row: fleet.ReplicaRow,
                    timing: periods.Timing,
                    now_ms: int) -> ServingReplica | None:
    """Returns the replica if each member's own word is fresh and agrees.

    That nothing bad was heard is no evidence: a node that was paused or cut
    off hears nothing at all, and would go on sending work to a replica that
    lost a VM.

    Args:
        board: What the node knows.
        row: The replica.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    if row.state is not fleet.ReplicaState.ASSIGNED or not row.members:
        return None
    seen_ms = []
    for vm_id in row.members:
        evidence = board.evidence.by_vm.get(vm_id)
        if evidence is None or not _present(board, evidence, row):
            return None
        seen_ms.append(evidence.seen_ms)
    valid_until_ms = min(seen_ms) + timing.evidence_max_age_ms
    if now_ms >= valid_until_ms or min(seen_ms) < board.life.not_before_ms:
        return None
    return ServingReplica(row, board.evidence.by_vm[row.members[0]],
                          valid_until_ms)


def heard_ms(board: board_lib.Board, row: fleet.ReplicaRow) -> int:
    """Returns when the member was heard that has been silent for longest.

    Args:
        board: What the node knows.
        row: The replica.
    """
    known = (board.evidence.by_vm.get(vm_id) for vm_id in row.members)
    return min((each.seen_ms if each else board_lib.NEVER_MS for each in known),
               default=board_lib.NEVER_MS)


def _present(board: board_lib.Board, evidence: fleet.Evidence,
             row: fleet.ReplicaRow) -> bool:
    report = evidence.report
    believes = (report.replica_id, report.epoch, report.formation, report.role)
    ordered = (row.replica_id, row.epoch, row.formation,
               fleet.RunnerRole.MEMBER)
    return (believes == ordered and report.ready and not report.leaving and
            report.vm_id not in board.vms.leaving and
            board.evidence.lost_boots.get(report.vm_id) != report.boot_id)


def serving_replicas(board: board_lib.Board, service: str,
                     timing: periods.Timing,
                     now_ms: int) -> tuple[ServingReplica, ...]:
    """Returns the replicas of a service that may be sent work now.

    Args:
        board: What the node knows.
        service: Whose.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    found = (serving_replica(board, row, timing, now_ms)
             for row in board.assignments.replicas.values()
             if row.service == service)
    return tuple(each for each in found if each is not None)
