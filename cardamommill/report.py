"""What a node knows, as plain values for operators; pure.

The functions are handed to `loop.ControlLoop.ask`, so they read the board on
its own thread and return values that nothing else changes.
"""

import dataclasses

from cardamommill import board as board_lib
from cardamommill import decisions as decisions_lib
from cardamommill import fleet, periods, serving, units

# A table that was silent for so many reads counts as out of reach.
SILENT_READS = 5
UNKNOWN_AGE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class NodePart:
    """The node that answers.

    Attributes:
        node: Its name.
        data_centre: Where it stands.
        phase: How far it is in its life.
        ready: Whether it takes requests.
        table_age_ms: Since when the table has been silent; -1 for ever.
        cut_off: Whether that is too long, so that what is shown may be old.
        planner: Who plans this data centre, or empty.
        planner_epoch: The planner's fencing number.
    """

    node: str
    data_centre: str
    phase: str
    ready: bool
    table_age_ms: int
    cut_off: bool
    planner: str
    planner_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePart:
    """A service in this data centre.

    Attributes:
        service: Its name.
        revision: The revision of its document in force here.
        author: Who applied that.
        since_ms: For how long it has been in force here.
        wanted: Replicas that the document wants here.
        serving: Replicas that serve.
        spares: Spare VMs that stand by.
        running: Requests of this node that run.
        queued: Requests that wait in this node.
        wait_ms: What a new request would wait.
    """

    service: str
    revision: int
    author: str
    since_ms: int
    wanted: int
    serving: int
    spares: int
    running: int
    queued: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaPart:
    """A replica in this data centre.

    Attributes:
        replica_id: Its name.
        service: The service that it serves.
        epoch: Its epoch.
        formation: Its formation.
        revision: The document's revision that it was made for.
        members: Its VMs, the head first.
        spares: VMs that stand by for it.
        serving: Whether this node would send it work now.
        faults: Why not, a sentence each.
        running: Requests that its head said to be running.
        slots: Requests that it runs at once.
        in_flight: Requests of this node on it.
    """

    replica_id: str
    service: str
    epoch: int
    formation: int
    revision: int
    members: tuple[str, ...]
    spares: tuple[str, ...]
    serving: bool
    faults: tuple[str, ...]
    running: int
    slots: int
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPart:
    """Another node of the data centre."""

    node: str
    heard_ms_ago: int
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SummaryPart:
    """What another data centre can do for a service."""

    data_centre: str
    service: str
    free_slots: int
    wait_ms: int
    revision: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectPart:
    """A request that crashed backend servers."""

    digest: str
    state: str
    crashes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmsPart:
    """The VMs of the data centre, counted."""

    listed: int
    heard: int
    member: int
    spare: int
    free: int
    releasing: int
    leaving: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """All of it."""

    node: NodePart
    services: tuple[ServicePart, ...]
    replicas: tuple[ReplicaPart, ...]
    vms: VmsPart
    peers: tuple[PeerPart, ...]
    elsewhere: tuple[SummaryPart, ...]
    suspects: tuple[SuspectPart, ...]


def status(decided: decisions_lib.Decisions, now_ms: int) -> Status:
    """Returns what the node knows.

    Args:
        decided: The node's decisions.
        now_ms: The local monotonic time.
    """
    board, timing = decided.board, decided.timing
    replicas = tuple(
        replica(board, row, timing, now_ms)
        for row in sorted(board.assignments.replicas.values(),
                          key=lambda row: (row.service, row.replica_id)))
    return Status(
        _node(board, timing, now_ms),
        tuple(
            _service(board, service, replicas, now_ms)
            for service in sorted(board.documents.in_force)), replicas,
        _vms(board, timing, now_ms),
        tuple(
            PeerPart(name, now_ms - peer.heard_ms, peer.ready)
            for name, peer in sorted(board.peers.by_node.items())),
        tuple(
            SummaryPart(centre, service, each.free_slots, each.wait_ms,
                        each.revision, now_ms -
                        board.peers.summaries_ms[centre, service])
            for (centre,
                 service), each in sorted(board.peers.summaries.items())),
        tuple(
            SuspectPart(digest, each.state, each.crashes)
            for digest, each in sorted(board.suspects.by_digest.items())))


def _age_ms(since_ms: int, now_ms: int) -> int:
    return UNKNOWN_AGE if since_ms <= board_lib.NEVER_MS else now_ms - since_ms


def _node(board: board_lib.Board, timing: periods.Timing,
          now_ms: int) -> NodePart:
    age_ms = _age_ms(board.store.answered_ms, now_ms)
    silent_ms = SILENT_READS * timing.index_read_ms
    lease = board.lease.row
    return NodePart(board.identity.node_id, board.identity.data_centre,
                    board.life.phase, board.ready(), age_ms,
                    age_ms == UNKNOWN_AGE or age_ms > silent_ms,
                    lease.holder if lease else "", lease.epoch if lease else 0)


def _service(board: board_lib.Board, service: str,
             replicas: tuple[ReplicaPart, ...], now_ms: int) -> ServicePart:
    in_force = board.documents.in_force[service]
    wanted = in_force.document.capacity.get(board.identity.data_centre)
    own = [each for each in replicas if each.service == service]
    return ServicePart(service, in_force.row.revision, in_force.row.author,
                       now_ms - in_force.since_ms,
                       wanted.replicas if wanted else 0,
                       sum(each.serving for each in own),
                       sum(len(each.spares) for each in own),
                       board.requests.running.get(service, 0),
                       board.requests.queued.get(service, 0),
                       board.requests.wait_ms.get(service, 0))


def replica(board: board_lib.Board, row: fleet.ReplicaRow,
            timing: periods.Timing, now_ms: int) -> ReplicaPart:
    """Returns what is known of one replica.

    Args:
        board: What the node knows.
        row: The replica.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    served = serving.serving_replica(board, row, timing, now_ms)
    head = board.evidence.by_vm.get(row.members[0]) if row.members else None
    load = board.load.by_replica.get(row.replica_id)
    return ReplicaPart(row.replica_id, row.service, row.epoch, row.formation,
                       row.revision, row.members, row.spares, served
                       is not None,
                       () if served else faults(board, row, timing, now_ms),
                       head.report.running if head else 0,
                       head.report.slots if head else 0,
                       load.in_flight if load else 0)


def _vms(board: board_lib.Board, timing: periods.Timing,
         now_ms: int) -> VmsPart:
    uses = [row.use for row in board.assignments.vms.values()]
    heard = [
        each for each in board.evidence.by_vm.values()
        if now_ms - each.seen_ms <= timing.evidence_max_age_ms
    ]
    held = {
        vm_id for vm_id, row in board.assignments.vms.items()
        if row.use is not fleet.VmUse.FREE
    }
    return VmsPart(len(board.vms.listed), len(heard),
                   uses.count(fleet.VmUse.MEMBER),
                   uses.count(fleet.VmUse.SPARE),
                   len(set(board.vms.listed) - held),
                   uses.count(fleet.VmUse.RELEASING),
                   tuple(sorted(board.vms.leaving)))


def faults(board: board_lib.Board, row: fleet.ReplicaRow,
           timing: periods.Timing, now_ms: int) -> tuple[str, ...]:
    """Returns why a replica does not serve, a sentence for each cause.

    Args:
        board: What the node knows.
        row: The replica.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    if row.state is fleet.ReplicaState.RELEASING:
        return ("it is being released",)
    found = [
        f"{vm_id} {fault}" for vm_id in row.members
        if (fault := member_fault(board, row, vm_id, timing, now_ms))
    ]
    return tuple(found) or ("it has no members",)


def member_fault(board: board_lib.Board, row: fleet.ReplicaRow, vm_id: str,
                 timing: periods.Timing, now_ms: int) -> str:
    """Returns what keeps a member from counting as present, or "".

    Args:
        board: What the node knows.
        row: The replica's row.
        vm_id: The member.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    evidence = board.evidence.by_vm.get(vm_id)
    if evidence is None:
        return "has not been heard"
    report = evidence.report
    age_ms = now_ms - evidence.seen_ms
    checks = (
        (board.evidence.lost_boots.get(vm_id) == report.boot_id,
         "broke its connection"),
        (age_ms >= timing.evidence_max_age_ms,
         f"was last heard {age_ms / units.MS_PER_S:.1f} s ago"),
        (evidence.seen_ms < board.life.not_before_ms,
         "was not heard since this node stood still"),
        (report.leaving or vm_id in board.vms.leaving, "is leaving"),
        (report.replica_id != row.replica_id,
         f"says that it belongs to {report.replica_id or 'no replica'}"),
        ((report.epoch, report.formation) != (row.epoch, row.formation),
         f"is at epoch {report.epoch}, formation {report.formation}"),
        (report.role
         is not fleet.RunnerRole.MEMBER, f"has the role {report.role}"),
        (not report.ready, "is still loading or lacks a member"),
    )
    return next((text for failed, text in checks if failed), "")
