"""Why a replica, a VM or a request is as it is; pure, as `report`.

Each explainer takes the subject's id, the node's decisions and the local
monotonic time, and `explain` chooses one by the subject's kind.
"""

from collections.abc import Callable
import dataclasses

from cardamommill import decisions as decisions_lib
from cardamommill import fleet, report, requesting, units


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Something that happened, in an explanation.

    Attributes:
        at: Wall time in ISO 8601; may be empty.
        node: Who says so.
        event: A short name.
        detail: A sentence.
    """

    at: str
    node: str
    event: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What is known of one subject, and how it came to be.

    Attributes:
        subject: Such as ``replica/ID``.
        known: Whether anything is known.
        now: How it is, a sentence each.
        history: What happened, oldest first.
    """

    subject: str
    known: bool
    now: tuple[str, ...] = ()
    history: tuple[Line, ...] = ()


def explain_replica(replica_id: str, decided: decisions_lib.Decisions,
                    now_ms: int) -> Explanation:
    """Returns what the board says of a replica."""
    board = decided.board
    row = board.assignments.replicas.get(replica_id)
    if row is None:
        return Explanation(f"replica/{replica_id}", False)
    part = report.replica(board, row, decided.timing, now_ms)
    now = [
        f"It is {row.state} to {row.service} by revision {row.revision} of its "
        f"document, in {row.data_centre}, at epoch {row.epoch}, formation "
        f"{row.formation}.",
        f"Its members are {', '.join(row.members) or 'none'}; its spares are "
        f"{', '.join(row.spares) or 'none'}.",
        "It serves." if part.serving else "It does not serve: " +
        "; ".join(part.faults) + ".",
        f"Its head said that {part.running} of {part.slots} slots are taken; "
        f"{part.in_flight} requests of this node run on it.",
    ]
    return Explanation(f"replica/{replica_id}", True, tuple(now), causes(row))


def causes(row: fleet.ReplicaRow) -> tuple[Line, ...]:
    """Returns the changes that the replica's own row tells of."""
    return tuple(
        Line(each.at, each.by, each.event, each.detail) for each in row.causes)


def explain_vm(vm_id: str, decided: decisions_lib.Decisions,
               now_ms: int) -> Explanation:
    """Returns what the board says of a VM."""
    board = decided.board
    listed = board.vms.listed.get(vm_id)
    row = board.assignments.vms.get(vm_id)
    evidence = board.evidence.by_vm.get(vm_id)
    if listed is None and row is None and evidence is None:
        return Explanation(f"vm/{vm_id}", False)
    now = [
        f"The platform lists it as {listed.state}, in {listed.fabric_domain}, "
        f"at {listed.address}."
        if listed else "The platform does not list it (any more).",
        f"The table holds it as {row.use} of {row.replica_id} at epoch "
        f"{row.epoch}." if row and row.replica_id else "The table has it free.",
    ]
    if evidence:
        said = evidence.report
        age_s = (now_ms - evidence.seen_ms) / units.MS_PER_S
        now.append(f"{age_s:.1f} s ago its runner said "
                   f"to {evidence.watcher} that it is {said.role} of "
                   f"{said.replica_id or 'no replica'}, "
                   f"{'ready' if said.ready else 'not ready'}, with "
                   f"{said.running} of {said.slots} slots taken.")
    else:
        now.append("Its runner has not been heard.")
    if vm_id in board.assignments.drained:
        now.append("Operators drain it.")
    elif vm_id in board.vms.leaving:
        now.append("It is leaving: it gets no new work.")
    replica = board.assignments.replicas.get(row.replica_id) if row else None
    if replica and vm_id in replica.members:
        fault = report.member_fault(board, replica, vm_id, decided.timing,
                                    now_ms)
        now.append(f"As a member it {fault}."
                   if fault else "As a member it counts as present.")
    history = causes(replica) if replica else ()
    return Explanation(f"vm/{vm_id}", True, tuple(now), history)


def explain_request(request_id: str, decided: decisions_lib.Decisions,
                    now_ms: int) -> Explanation:
    """Returns what the board says of a request; the journal tells the rest."""
    del now_ms
    stage = decided.board.requests.stages.get(request_id)
    known = stage is not None and stage is not requesting.Stage.DONE
    return Explanation(
        f"request/{request_id}", known,
        (f"It is {stage} on {decided.board.identity.node_id}.",) if known else
        ())


def explain_service(service: str, decided: decisions_lib.Decisions,
                    now_ms: int) -> Explanation:
    """Returns what the board says of a service's document."""
    board = decided.board
    in_force = board.documents.in_force.get(service)
    if in_force is None:
        return Explanation(f"service/{service}", False)
    row = in_force.row
    in_force_s = (now_ms - in_force.since_ms) // units.MS_PER_S
    now = [
        f"Revision {row.revision} of its document, from {row.author}"
        f"{f' ({row.reason})' if row.reason else ''}, has been in force on "
        f"{board.identity.node_id} for {in_force_s} "
        "s.",
    ]
    for centre, wanted in sorted(in_force.document.capacity.items()):
        now.append(f"It wants {wanted.replicas} replicas and {wanted.spares} "
                   f"spares in {centre}.")
    for part in report.status(decided, now_ms).replicas:
        if part.service == service:
            now.append(f"{part.replica_id} " +
                       ("serves." if part.serving else
                        f"does not serve: {'; '.join(part.faults)}."))
    return Explanation(f"service/{service}", True, tuple(now))


Explainer = Callable[[str, decisions_lib.Decisions, int], Explanation]

EXPLAINERS: dict[str, Explainer] = {
    "replica": explain_replica,
    "vm": explain_vm,
    "request": explain_request,
    "service": explain_service,
}


def explain(kind: str, name: str, decided: decisions_lib.Decisions,
            now_ms: int) -> Explanation:
    """Returns what the board says of a subject.

    Args:
        kind: A key of `EXPLAINERS`.
        name: The subject's id.
        decided: The node's decisions.
        now_ms: The local monotonic time.
    """
    return EXPLAINERS[kind](name, decided, now_ms)
