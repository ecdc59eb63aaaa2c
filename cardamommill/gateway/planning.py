"""Types of planning: actions, formations, and for whom it is done."""

from collections.abc import Iterable
import dataclasses
import functools

from cardamommill.gateway import fleetview, inflight, model, orders

# A join of the model that the runner's last group had.
REJOIN_MS = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a runner for its report."""

    runner: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadList:
    """Reads the list of runners now: a report would be older."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupOpened:
    """Tells all nodes that a group serves."""

    key: model.GroupKey
    service: str
    model: str
    head: str
    took_ms: float


Action = orders.Order | Probe | ReadList | GroupOpened


@dataclasses.dataclass(slots=True)
class Formation:
    """A group on its way to serving."""

    key: model.GroupKey
    service: str
    model: model.ServedModel
    members: tuple[str, ...]
    started_ms: float
    due_ms: float
    loads: int = 0
    next_check_ms: float = 0.0
    open_sent_ms: float = 0.0
    open_accepted_ms: float = 0.0
    open_attempts: int = 0
    refused: str = ""
    # Members that did not answer their join, and how often.
    unanswered_joins: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """For whom a planner plans at this moment.

    Attributes:
        data_centres: Those whose runners it orders.
        count: How many data centres there are; they share limits.
        is_before_traffic: Whether no request has arrived yet: loads are cheap
            then.
        loads: Requests of all nodes per group.
        places: All data centres.
    """

    data_centres: frozenset[str]
    count: int
    is_before_traffic: bool
    loads: dict[model.GroupKey, inflight.GroupLoad]
    places: tuple[str, ...] = ()

    def load(self, key: model.GroupKey) -> inflight.GroupLoad:
        """Returns what is at a group."""
        return self.loads.get(key, inflight.NO_LOAD)

    def total_load(self,
                   groups: Iterable[fleetview.Group]) -> inflight.GroupLoad:
        """Returns what is at some groups together."""
        return functools.reduce(inflight.GroupLoad.plus,
                                (self.load(each.key) for each in groups),
                                inflight.NO_LOAD)


def is_ready(known: fleetview.RunnerRecord, key: model.GroupKey) -> bool:
    """Whether a runner says that it is ready in a group, or serves."""
    membership = known.membership
    return (membership is not None and membership.key == key and
            membership.state
            in (model.MemberState.READY, model.MemberState.OPEN))


def is_warm(known: fleetview.RunnerRecord, served: model.ServedModel) -> bool:
    """Whether a runner joins a group of a model without a load."""
    return join_ms(known, served) <= served.warm_ms


def join_ms(known: fleetview.RunnerRecord, served: model.ServedModel) -> float:
    """Returns what it takes a runner to join a group of a model."""
    if known.last_model == served.name:
        return REJOIN_MS
    if served.name in known.status.staged:
        return served.warm_ms
    return served.load_ms
