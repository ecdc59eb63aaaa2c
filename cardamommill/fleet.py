"""Types for what the fleet is made of: VMs, replicas, runners, orders."""

import dataclasses
import enum

# The replica of a VM whose row can't be read, as one of a newer version.
UNREADABLE = "(unreadable)"


class VmState(enum.StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmUse(enum.StrEnum):
    """What the table says that a VM is used for."""

    FREE = "free"
    MEMBER = "member"
    SPARE = "spare"
    RELEASING = "releasing"


class ReplicaState(enum.StrEnum):
    """What the table says of a replica; whether it serves is evidence."""

    ASSIGNED = "assigned"
    RELEASING = "releasing"


class RunnerRole(enum.StrEnum):
    """What a runner was last ordered to be."""

    IDLE = "idle"
    MEMBER = "member"
    SPARE = "spare"


class OrderKind(enum.StrEnum):
    """What a runner can be ordered to do."""

    FORM = "form"
    PRELOAD = "preload"
    RELEASE = "release"
    LOAD_ADAPTER = "load-adapter"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM with a runner, as the platform lists it (late).

    Attributes:
        vm_id: The platform's name of the VM.
        address: IP number and port of its runner, as ``ip:port``.
        data_centre: Where it stands.
        fabric_domain: The fast network that it shares with others.
        pool: The kind of VM; a document says which pool it uses.
        state: Whether it is live or leaving.
    """

    vm_id: str
    address: str
    data_centre: str
    fabric_domain: str
    pool: str
    state: VmState = VmState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """What a runner says of itself.

    Attributes:
        vm_id: The VM that it runs on.
        boot_id: Differs after each start of the runner.
        replica_id: The replica that it believes it belongs to, or empty.
        epoch: The epoch of that replica.
        formation: Which set of members of that epoch it was formed with.
        role: What it was ordered to be.
        model: The model and version that it has loaded, ``name@version``.
        ready: Whether it has loaded its weights and joined its members.
        slots: How many requests it runs at once.
        running: How many it runs now.
        queued: How many wait in it.
        tokens_per_s: How many tokens it generated in the last second.
        leaving: Whether it has been told that its VM will go.
        highest_fence: The highest fencing number that it has taken.
        cache_sequence: The number of its newest cache event.
    """

    vm_id: str
    boot_id: str
    replica_id: str = ""
    epoch: int = 0
    formation: int = 0
    role: RunnerRole = RunnerRole.IDLE
    model: str = ""
    ready: bool = False
    slots: int = 0
    running: int = 0
    queued: int = 0
    tokens_per_s: float = 0.0
    leaving: bool = False
    highest_fence: int = 0
    cache_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """A runner's report and when it was true.

    Attributes:
        report: What the runner said.
        seen_ms: A local monotonic time at or before which the report was
            true. It is the time at which the question was sent, never the
            time at which the answer came, so that delay makes evidence older
            and never fresher.
        watcher: The node that asked the runner.
    """

    report: RunnerReport
    seen_ms: int
    watcher: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """Why a replica or VM changed; kept in the row that changed.

    Attributes:
        at: Wall time in ISO 8601, for people only.
        event: What happened, such as ``member-lost``.
        by: The node that decided.
        detail: What was seen and what was decided, as a sentence.
    """

    at: str
    event: str
    by: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRow:
    """A replica's row of the table ``replicas``.

    Attributes:
        replica_id: Unique in the fleet, never used again.
        service: The service that it serves.
        data_centre: Where all its VMs stand.
        epoch: The fencing number of the planner that assigned it; grows.
        formation: Grows by one whenever the set of members changes.
        members: The VMs that must all be present; the first is the head.
        spares: VMs assigned to it that hold its weights but do not serve.
        model: What it runs, ``name@version``; empty for a plain service.
        state: Whether it is assigned or being released.
        revision: The document's revision that it was made for.
        attempt: The token of the transaction that wrote the row last.
        causes: The last changes, oldest first.
    """

    replica_id: str
    service: str
    data_centre: str
    epoch: int
    formation: int
    members: tuple[str, ...]
    spares: tuple[str, ...]
    model: str
    state: ReplicaState
    revision: int
    attempt: str
    causes: tuple[Cause, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class VmRow:
    """A VM's row of the table ``vms``: it names one replica at most.

    Attributes:
        vm_id: The VM.
        use: What it is used for.
        replica_id: The replica that holds it, or empty where it is free.
        epoch: The planner's epoch when the row was written.
        attempt: The token of the transaction that wrote the row last.
        drained: Whether an operator keeps it from being used.
    """

    vm_id: str
    use: VmUse
    replica_id: str
    epoch: int
    attempt: str
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a runner; it always carries a fencing number.

    Attributes:
        order_id: Unique, for whoever reads a runner's log.
        kind: What to do.
        vm_id: The runner's VM.
        fence: The lease epoch of the planner that gives the order.
        replica_id: The replica that the runner is to belong to.
        epoch: That replica's epoch.
        formation: That replica's formation.
        members: VM ids of the formation, the head first.
        member_addresses: The runners' addresses, in the order of `members`.
        model: What to load, ``name@version``.
        role: What the runner is to be.
        adapter: The adapter to load, for LOAD_ADAPTER.
    """

    order_id: str
    kind: OrderKind
    vm_id: str
    fence: int
    replica_id: str = ""
    epoch: int = 0
    formation: int = 0
    members: tuple[str, ...] = ()
    member_addresses: tuple[str, ...] = ()
    model: str = ""
    role: RunnerRole = RunnerRole.IDLE
    adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Who a node is, in this life of its process.

    Attributes:
        node_id: The name from its settings.
        data_centre: Where it stands.
        region: The region of that data centre.
        incarnation: Grows with each start of the process.
        peer_address: Where peers reach it, ``ip:port``.
        caller_address: Where callers reach it, ``ip:port``.
    """

    node_id: str
    data_centre: str
    region: str
    incarnation: int
    peer_address: str
    caller_address: str
