"""Types for what nodes tell each other.

A node pulls; the answer gives the age of each piece of evidence at the moment
of answering. The puller dates it from the time at which it sent its question,
which is earlier, so delay can only make evidence older.
"""

import dataclasses
import enum

from cardamommill import fleet

# Peers of another major number are refused.
PROTOCOL_VERSION = 1

# As `PullRequest.assignments_version`: the asker reads the table itself.
NO_REPLICAS = 1 << 61


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """What a node asks of another.

    Attributes:
        version: The protocol's version.
        sender: Who asks.
        summary_only: Whether it stands in another data centre.
        after_sequence: Evidence that changed after this number of the asked
            node's incarnation; 0 for all.
        revisions: The revision that the asker has of each service; only
            with `wants_documents`.
        after_incarnation: The life of the asked node that `after_sequence`
            counts in; in another life it asks for all.
        wants_documents: Whether the asker's documents differ from those that
            the asked node had last time.
        documents_hash: Stands for all revisions that the asker has.
        assignments_version: The version of the fleet's index that the asker
            has, from the table or a peer.
        wants_vms: Whether the asker has no list of VMs yet.
    """

    version: int
    sender: fleet.NodeIdentity
    summary_only: bool = False
    after_sequence: int = 0
    revisions: tuple["Revision", ...] = ()
    after_incarnation: int = 0
    wants_documents: bool = False
    documents_hash: int = 0
    assignments_version: int = 0
    wants_vms: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """How far somebody's copy of a document is."""

    service: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgedReport:
    """A runner's report and its age at the moment of answering.

    Attributes:
        report: What the runner said.
        age_ms: How old it is at least, in milliseconds.
        watcher: The node that asked the runner.
        sequence: Names the report for later `Unchanged` messages.
    """

    report: fleet.RunnerReport
    age_ms: int
    watcher: str
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """A runner said again what the asker already has, but for its load.

    Attributes:
        sequence: Of the `AgedReport` that it repeats.
        age_ms: How old the repetition is at least, in milliseconds.
        running: As in `fleet.RunnerReport`.
        queued: As in `fleet.RunnerReport`.
        tokens_per_s: As in `fleet.RunnerReport`.
        cache_sequence: As in `fleet.RunnerReport`.
    """

    sequence: int
    age_ms: int
    running: int = 0
    queued: int = 0
    tokens_per_s: float = 0.0
    cache_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaInFlight:
    """Requests that a node has running on a replica."""

    replica_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """What a client account does at a node.

    Attributes:
        service: The service.
        account: The account.
        requests_per_s: Its demand here, smoothed.
        concurrent: Its requests in progress here.
    """

    service: str
    account: str
    requests_per_s: float
    concurrent: int


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCopy:
    """A document that the asker has not got.

    Attributes:
        service: Whose.
        revision: Its revision.
        row: JSON of the `store.DocumentRow`.
    """

    service: str
    revision: int
    row: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaCopy:
    """A replica's row and its version in the table."""

    version: int
    row: fleet.ReplicaRow


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSummary:
    """What a data centre can do for a service.

    Attributes:
        service: The service.
        data_centre: Where.
        free_slots: Requests that its replicas could take at once.
        wait_ms: What a new request would wait.
        revision: The document's revision in force there.
        age_ms: How old this is at the moment of answering.
        entry_addresses: Where its nodes take requests.
    """

    service: str
    data_centre: str
    free_slots: int
    wait_ms: int
    revision: int
    age_ms: int
    entry_addresses: tuple[str, ...]


class SuspectState(enum.StrEnum):
    """What is held against a request's digest."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What is held against a request's digest.

    Attributes:
        digest: Of the request.
        state: How far it has gone.
        crashes: Distinct crashes (replica, epoch, formation) that it was in.
    """

    digest: str
    state: SuspectState
    crashes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What a node knows, as answered to a pull.

    Attributes:
        version: The protocol's version.
        sender: Who answers.
        sequence: What to ask after next time.
        ready: Whether it takes requests.
        nodes: The nodes that it has heard from itself, lately.
        reports: Evidence on runners that it watches.
        in_flight: Requests that it has running.
        uses: What accounts do at it.
        documents: Documents that the asker has not got.
        replicas: Rows of replicas, for when the table can't be read.
        summaries: Of its own data centre, or of others for its peers.
        suspicions: What is held against requests.
        drained: VMs that operators or the platform want emptied, and those
            whose runner told this node so; never what a peer told it, or
            else a drain that was taken back would go round for ever.
        unchanged: Evidence that repeats what the asker has.
        after_sequence: The `PullRequest.after_sequence` that it answers.
        documents_hash: Stands for all revisions that the answerer has.
        documents_complete: Whether the answerer has all documents.
        revisions: The answerer's revisions, with `wants_documents`.
        assignments_version: The version of the fleet's index that `replicas`
            came with.
        vms: The platform's list, with `wants_vms`.
        store_age_ms: How long ago the table last answered the answerer.
    """

    version: int
    sender: fleet.NodeIdentity
    sequence: int = 0
    ready: bool = True
    nodes: tuple[fleet.NodeIdentity, ...] = ()
    reports: tuple[AgedReport, ...] = ()
    in_flight: tuple[ReplicaInFlight, ...] = ()
    uses: tuple[AccountUse, ...] = ()
    documents: tuple[DocumentCopy, ...] = ()
    replicas: tuple[ReplicaCopy, ...] = ()
    summaries: tuple[ServiceSummary, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    drained: tuple[str, ...] = ()
    unchanged: tuple[Unchanged, ...] = ()
    after_sequence: int = 0
    documents_hash: int = 0
    documents_complete: bool = False
    revisions: tuple[Revision, ...] = ()
    assignments_version: int = 0
    vms: tuple[fleet.Vm, ...] = ()
    store_age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LostVm:
    """A life of a runner that has ended, as somebody saw.

    Attributes:
        vm_id: Its VM.
        boot_id: Which life.
    """

    vm_id: str
    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """News that takes trust away and so may come late, twice or never.

    Attributes:
        version: The protocol's version.
        sender: Who says so.
        suspicions: Requests that crashed a runner.
        lost_vms: VMs whose connection broke.
    """

    version: int
    sender: fleet.NodeIdentity
    suspicions: tuple[Suspicion, ...] = ()
    lost_vms: tuple[LostVm, ...] = ()
