"""Data types for runners, groups, services and the configuration."""

import dataclasses
import enum
import functools
import zlib

from cardamommill.domain import incarnations


class MemberState(enum.Enum):
    """State of a runner as a member of a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Identifies one formation of a group, whose list of members is fixed."""

    name: str
    epoch: int

    def __str__(self) -> str:
        return f"{self.name}:{self.epoch}"

    @property
    def short_id(self) -> int:
        """A 32-bit hash of the key, so that many fit into one datagram."""
        return _short_id(self)


@functools.lru_cache(maxsize=4096)
def _short_id(key: GroupKey) -> int:
    return zlib.crc32(str(key).encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """A runner's membership of a group; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self) -> GroupKey:
        """The group's name and epoch."""
        return GroupKey(self.group, self.epoch)


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerStatus:
    """What a runner publishes about itself in the runner list and in reports.

    Attributes:
        domain: Its fabric domain.
        staged: Models that are stored on its host.
        models: Models that it runs.
        membership: Its membership of a group, if any.
    """

    domain: str = ""
    staged: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    membership: Membership | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A runner's answer to a status query.

    Attributes:
        status: What its entry in the runner list also contains, but later.
        orders_begun: Number of orders that had an effect since its start.
        busy: Whether it is carrying out an order.
        waiting: Requests in its queue.
        running: Requests in progress.
        pace: Slowness factor; over 1 is slower than normal.
        cold_left_ms: For how much longer it is cold.
        born_ms: The start of the incarnation that answered, if it states it.
    """

    status: RunnerStatus
    orders_begun: int
    busy: bool
    waiting: int
    running: int
    pace: float
    cold_left_ms: float = 0.0
    born_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """A runner's entry in the runner list.

    Attributes:
        id: The id of this incarnation of the runner; see `incarnations`.
        slots: Number of requests that it executes at once.
        row_version: Version of its row, which changes with the row's content.
        row_era: Era of the store in which that version was assigned.
        cold_left_ms: For how much longer it is cold, as of that version of the
            row.
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
    cold_left_ms: float = 0.0

    @property
    def instance(self) -> str:
        """The id on the wire, which its next incarnation may have too."""
        return incarnations.parse(self.id).instance

    @property
    def born_ms(self) -> int | None:
        """Unix time of its start; None if it doesn't state it."""
        return incarnations.parse(self.id).born_ms

    @property
    def row_position(self) -> tuple[int, int]:
        """Sort key for rows of this runner, from oldest to newest."""
        return self.row_era, self.row_version

    def is_former_of(self, other: "Runner") -> bool:
        """Whether this is an earlier incarnation of the same instance.

        Without both times of birth, the order of the rows decides.
        """
        if self.id == other.id or self.instance != other.instance:
            return False
        if self.born_ms is None or other.born_ms is None:
            return self.row_position < other.row_position
        return self.born_ms < other.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class ServedModel:
    """A model that a service's groups run.

    Attributes:
        name: Its name in requests.
        size: Number of runners in a group.
        share: Fraction of the runners that it gets initially.
        pace: Factor applied to all execution times of its groups.
        load_ms: Time to load it from the weight store onto a host.
        warm_ms: Time to load it from the host into a runner.
    """

    name: str
    size: int
    share: float
    pace: float
    load_ms: float
    warm_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Published performance parameters of a service's inference engine.

    Attributes:
        slots: Number of requests that a group executes at once.
        kv_tokens: Capacity of a group's key-value cache.
        stride: Number of steps in a pass. A step generates one token for each
            request that is being executed.
        step_ms: Time for a step without requests.
        per_sequence_ms: Additional time for a step per request.
        context_per_k_ms: Additional time for a step per 1000 tokens of each
            request's context.
        read_tokens_per_ms: Rate at which prompts are processed.
        pairs_per_m_ms: Additional time to process a prompt, per million pairs
            of its tokens.
        chunk_tokens: Maximum number of prompt tokens processed in a step.
        loads_per_s: Limit on the rate of model loads in all data centres.
        loads_at_once: Number of concurrent loads beyond which each takes
            longer.
        form_ms: Time from the accepted order to open a group until it serves.
        report_lag_ms: Age of the state that a runner's report describes.
        far_factor: Factor applied to all execution times of a group whose
            members are in more than one fabric domain.
        usual_prompt_tokens: Typical length of a prompt.
        usual_answer_tokens: Typical length of an answer.
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
        """Returns the model with the given name, or None."""
        return next((each for each in self.models if each.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable runners; those with an engine form groups.

    Attributes:
        cold_s: For how long a runner is cold after its start.
        cold_per_s: Requests per second that a cold runner takes from all nodes
            together; 0 for no limit.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class RouteKind(enum.Enum):
    """Determines whether requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to services, with time limits and a retry policy.

    Attributes:
        timeout_ms: Maximum time for a request; a request may set a lower one.
        goal_ms: Latency objective for the start of an answer; 0 for none.
        gap_goal_ms: Longest pause between stream events that still meets the
            latency objective.
        backends: Pairs of service and weight.
        public: Whether requests need no API key.
        resumable: Whether requests for streams may be executed more than once.
        allowed_regions: Regions in which its requests may run; empty for all.
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
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of requests and on slow or idle clients."""

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A client account; only SHA-256 digests of its keys are stored.

    Attributes:
        priority: Takes precedence over that of a route; None for the route's.
        allowed_regions: Regions in which its requests may run; empty for all.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None
    allowed_regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccounts:
    """The client accounts of one version of the configuration.

    Attributes:
        needs_keys: Whether requests need an API key, unless their route is
            public. Also true if there is no client account left.
    """

    version: int
    tenants: tuple[Tenant, ...]
    needs_keys: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A version of the configuration as it is in force.

    Attributes:
        version: The version of its client accounts.
        needs_keys: See `ClientAccounts`.
        older_version: The version of all other parts, if they are of an older
            one because the newest can't take effect as a whole.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    tenants: tuple[Tenant, ...]
    needs_keys: bool = True
    older_version: int | None = None

    @property
    def is_partial(self) -> bool:
        """Whether only the client accounts of its version are in force."""
        return self.older_version is not None

    @property
    def routes_version(self) -> int:
        """The version of its routes, services and limits."""
        return (self.version
                if self.older_version is None else self.older_version)

    @property
    def order(self) -> tuple[int, int]:
        """Sort key, from the oldest to the newest."""
        return self.version, self.routes_version

    @property
    def accounts(self) -> ClientAccounts:
        """Its client accounts."""
        return ClientAccounts(self.version, self.tenants, self.needs_keys)

    def with_accounts(self, accounts: ClientAccounts) -> "Configuration":
        """Returns this configuration with the accounts of another version."""
        return dataclasses.replace(self,
                                   version=accounts.version,
                                   tenants=accounts.tenants,
                                   needs_keys=accounts.needs_keys,
                                   older_version=self.routes_version)

    @property
    def group_services(self) -> frozenset[str]:
        """The names of the services whose runners form groups."""
        return frozenset(name for name, service in self.services.items()
                         if service.engine is not None)
