"""The blackboard: what a node knows, in sections with one writer each.

Controllers read any section and write only their own. All of it lives on the
control thread; other threads get immutable values from it, never the board.
Times are local monotonic milliseconds.
"""

import dataclasses
import enum

from cardamommill import documents, fleet, peering, requesting, store

NEVER_MS = -(10**12)


@dataclasses.dataclass(slots=True)
class StoreSection:
    """Whether the table answers. Writer: `configuration`.

    Attributes:
        answered_ms: When it last answered any read.
    """

    answered_ms: int = NEVER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A document that this node obeys.

    Attributes:
        document: The parsed document.
        row: The row that it came from.
        since_ms: Since when this node has it.
    """

    document: documents.Document
    row: store.DocumentRow
    since_ms: int


@dataclasses.dataclass(slots=True)
class DocumentsSection:
    """Documents in force. Writer: `configuration`.

    Attributes:
        in_force: By service.
        complete: Whether every document of the index has come once.
    """

    in_force: dict[str,
                   DocumentInForce] = dataclasses.field(default_factory=dict)
    complete: bool = False


@dataclasses.dataclass(slots=True)
class VmsSection:
    """The platform's list of this data centre. Writer: `membership`.

    Attributes:
        listed: By VM.
        leaving: VMs that are to go: by the list, the runner or an operator.
        listed_ms: When the list last came.
    """

    listed: dict[str, fleet.Vm] = dataclasses.field(default_factory=dict)
    leaving: set[str] = dataclasses.field(default_factory=set)
    listed_ms: int = NEVER_MS


@dataclasses.dataclass(slots=True)
class EvidenceSection:
    """The freshest evidence on each runner. Writer: `membership`.

    Attributes:
        by_vm: Evidence by VM.
        lost_boots: Boots that are known to have ended, by VM.
    """

    by_vm: dict[str, fleet.Evidence] = dataclasses.field(default_factory=dict)
    lost_boots: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another node.

    Attributes:
        identity: Who it is.
        heard_ms: When it was last known to be alive.
        ready: Whether it takes requests.
        in_flight: Its requests by replica.
        uses: What accounts do at it.
    """

    identity: fleet.NodeIdentity
    heard_ms: int
    ready: bool = True
    in_flight: tuple[peering.ReplicaInFlight, ...] = ()
    uses: tuple[peering.AccountUse, ...] = ()


@dataclasses.dataclass(slots=True)
class PeersSection:
    """Other nodes of this data centre, and summaries of the other ones.

    Writer: `membership`.

    Attributes:
        by_node: Nodes of this data centre by name, without this node.
        summaries: By data centre and service, with ``age_ms`` dated back to
            `summaries_ms`.
        summaries_ms: When each summary was true, by the same key.
    """

    by_node: dict[str, Peer] = dataclasses.field(default_factory=dict)
    summaries: dict[tuple[str, str],
                    peering.ServiceSummary] = (dataclasses.field(
                        default_factory=dict))
    summaries_ms: dict[tuple[str, str],
                       int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class LeaseSection:
    """The planner's lease of this data centre. Writer: `leases`.

    Attributes:
        row: The row as last read, or None.
        version: Its version.
        held: Whether this node holds it, by its own reckoning.
        epoch: The fencing number while held.
        valid_until_ms: When this node stops giving orders.
        first_order_ms: When this holder may first give an order that engines
            without fencing would confuse with its predecessor's.
    """

    row: store.LeaseRow | None = None
    version: int = store.ABSENT
    held: bool = False
    epoch: int = 0
    valid_until_ms: int = NEVER_MS
    first_order_ms: int = 0


@dataclasses.dataclass(slots=True)
class AssignmentsSection:
    """The table's rows of this data centre. Writer: `assignments`.

    Attributes:
        replicas: By replica id.
        replica_versions: The version of each row.
        vms: By VM id.
        vm_versions: The version of each row.
        drained: VMs that operators want emptied.
        index_version: The version of the fleet's index when all was read.
        read_ms: When all was last known to be current.
        known: Whether it was read once.
        formed_without_table: Replicas whose row here is newer than in the
            table, which gave no answer.
    """

    replicas: dict[str,
                   fleet.ReplicaRow] = dataclasses.field(default_factory=dict)
    replica_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    vms: dict[str, fleet.VmRow] = dataclasses.field(default_factory=dict)
    vm_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    drained: set[str] = dataclasses.field(default_factory=set)
    index_version: int = store.ABSENT
    read_ms: int = NEVER_MS
    known: bool = False
    formed_without_table: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class ReplicaLoad:
    """What is known of a replica's load and speed on this node.

    Attributes:
        in_flight: This node's requests running on it.
        first_byte_ms: Smoothed time to the first byte.
        ejected_until_ms: Until when it gets nothing for being slow.
        samples: How many times to the first byte were seen.
        slowness: Its time to the first byte as a multiple of the median of
            its service, 1 at least.
        ejections: How often in a row it was ejected.
        probing: Whether it is back from an ejection on trial.
        failed_ms: When a request last did not get through to it.
        alone: Attempts of suspects that run on it; nothing else is sent.
        peers_in_flight: Requests of this data centre's other nodes on it.
        unexplained: Reported requests that no node of this data centre knows.
        unexplained_ms: When that was reported.
    """

    in_flight: int = 0
    first_byte_ms: float = 0.0
    ejected_until_ms: int = NEVER_MS
    samples: int = 0
    slowness: float = 1.0
    ejections: int = 0
    probing: bool = False
    failed_ms: int = NEVER_MS
    alone: int = 0
    peers_in_flight: int = 0
    unexplained: float = 0.0
    unexplained_ms: int = NEVER_MS


@dataclasses.dataclass(slots=True)
class LoadSection:
    """Loads and prefix caches by replica. Writer: `routing`.

    Attributes:
        by_replica: Load by replica id.
        prefixes: Replica ids that hold a prefix, by its hash.
    """

    by_replica: dict[str, ReplicaLoad] = dataclasses.field(default_factory=dict)
    prefixes: dict[str, set[str]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class LimitsSection:
    """What client accounts do at this node. Writer: `limits`.

    Attributes:
        uses: By service and account.
        refused: Requests over a limit, with what to tell their callers.
    """

    uses: dict[tuple[str, str],
               peering.AccountUse] = dataclasses.field(default_factory=dict)
    refused: dict[str,
                  requesting.Problem] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class RequestsSection:
    """Requests in this node. Writer: `requests`.

    Attributes:
        stages: Stage by request id, of those not done.
        queued: Waiting requests by service.
        running: Running requests by service.
        wait_ms: What a new request would wait, by service.
    """

    stages: dict[str,
                 requesting.Stage] = dataclasses.field(default_factory=dict)
    queued: dict[str, int] = dataclasses.field(default_factory=dict)
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    wait_ms: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class SuspectsSection:
    """What is held against requests. Writer: `suspects`.

    Attributes:
        by_digest: Suspicion by digest.
    """

    by_digest: dict[str,
                    peering.Suspicion] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ClaimsSection:
    """Claims of requests that may run once only. Writer: `claims`.

    Attributes:
        held: Keys that requests of this node hold now.
        unrecorded: Ends of requests that are not in the table yet.
    """

    held: int = 0
    unrecorded: int = 0


class NodePhase(enum.StrEnum):
    """How far a node is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class LifeSection:
    """The node itself. Writer: `lifecycle`.

    Attributes:
        phase: How far it is.
        not_before_ms: After a pause, evidence older than this is not used.
        leaving: Whether it was asked to end; the balancer is told at once.
        at: Wall time of the last tick in ISO 8601, for people only.
    """

    leaving: bool = False
    phase: NodePhase = NodePhase.STARTING
    not_before_ms: int = NEVER_MS
    at: str = ""


@dataclasses.dataclass(slots=True)
class Board:
    """All that a node knows.

    Attributes:
        identity: Who this node is.
    """

    identity: fleet.NodeIdentity
    store: StoreSection = dataclasses.field(default_factory=StoreSection)
    documents: DocumentsSection = dataclasses.field(
        default_factory=DocumentsSection)
    vms: VmsSection = dataclasses.field(default_factory=VmsSection)
    evidence: EvidenceSection = dataclasses.field(
        default_factory=EvidenceSection)
    peers: PeersSection = dataclasses.field(default_factory=PeersSection)
    lease: LeaseSection = dataclasses.field(default_factory=LeaseSection)
    assignments: AssignmentsSection = dataclasses.field(
        default_factory=AssignmentsSection)
    load: LoadSection = dataclasses.field(default_factory=LoadSection)
    limits: LimitsSection = dataclasses.field(default_factory=LimitsSection)
    requests: RequestsSection = dataclasses.field(
        default_factory=RequestsSection)
    suspects: SuspectsSection = dataclasses.field(
        default_factory=SuspectsSection)
    claims: ClaimsSection = dataclasses.field(default_factory=ClaimsSection)
    life: LifeSection = dataclasses.field(default_factory=LifeSection)

    def ready(self) -> bool:
        """Tells whether the balancer is to send requests to this node."""
        return (self.life.phase is NodePhase.SERVING and
                not self.life.leaving and self.documents.complete)
