"""What an entry VM knows of runners, groups and configurations."""

import dataclasses
import enum
import functools
import zlib


class MemberState(enum.Enum):
    """What a runner says of its place in a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """One formation of a replica; its list of members never changes."""

    name: str
    epoch: int

    def __str__(self) -> str:
        return f"{self.name}:{self.epoch}"

    @property
    def short_id(self) -> int:
        """A short name, for sums of which a datagram must hold many."""
        return _short_id(self)


@functools.lru_cache(maxsize=4096)
def _short_id(key: GroupKey) -> int:
    return zlib.crc32(str(key).encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """A runner's place in a group; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self) -> GroupKey:
        """The formation."""
        return GroupKey(self.group, self.epoch)


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerStatus:
    """What a runner says of itself, by whichever way.

    Attributes:
        domain: Its fabric domain.
        staged: Models on its host.
        models: Models that it runs.
        membership: Its place in a group.
    """

    domain: str = ""
    staged: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    membership: Membership | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A runner's own answer about itself.

    Attributes:
        status: What the list tells too, later.
        orders_begun: Orders that began something, in this life.
        busy: Whether one is under way.
        waiting: Requests in its queue.
        running: Requests that it runs.
        pace: Over 1 means slow.
    """

    status: RunnerStatus
    orders_begun: int
    busy: bool
    waiting: int
    running: int
    pace: float


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """One life of a runner, as the list of runners tells it.

    Attributes:
        row_version: Of its row, which changes with what the row says.
        row_era: Of the store, in which that version was given out.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    leaving: bool
    slots: int
    row_version: int
    status: RunnerStatus
    row_era: int = 0

    @property
    def row_position(self) -> tuple[int, int]:
        """Orders what rows of this runner say, the newest last."""
        return self.row_era, self.row_version


@dataclasses.dataclass(frozen=True, slots=True)
class ServedModel:
    """A model that a service's groups run.

    Attributes:
        name: Its name in requests.
        size: Runners a group.
        share: Part of the runners that it should have at the start.
        pace: Factor on all times of its groups.
        load_ms: From the weight store onto a host.
        warm_ms: From the host into the runner.
    """

    name: str
    size: int
    share: float
    pace: float
    load_ms: float
    warm_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The published arithmetic of a service's engine.

    Attributes:
        report_lag_ms: A report tells what was true this long ago.
        far_factor: On all times of a group whose members are in more than
            one domain.
    """

    slots: int
    kv_tokens: int
    stride: int
    step_ms: float
    per_sequence_ms: float
    context_per_k_ms: float
    read_tokens_per_ms: float
    pairs_per_m_ms: float
    chunk_tokens: int
    loads_per_s: float
    loads_at_once: int
    form_ms: float
    report_lag_ms: float
    far_factor: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    models: tuple[ServedModel, ...]

    def model(self, name: str) -> ServedModel | None:
        """Returns the model of a name."""
        return next((each for each in self.models if each.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Runners that do the same; with an engine they work in groups."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None


class RouteKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which services, and how.

    Attributes:
        backends: Pairs of service and weight.
        gap_goal_ms: The longest pause between events that is in time.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    goal_ms: int
    gap_goal_ms: int
    priority: int
    backends: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A client account; keys are held as SHA-256 alone."""

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    tenants: tuple[Tenant, ...]
