"""Data types of planning: actions, formations and the planning scope."""

from collections.abc import Iterable
import dataclasses
import functools

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import fleetview, inflight

# Joining a group whose model the runner served last takes this long.
REJOIN_MS = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a runner for its report."""

    runner: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadList:
    """Reads the list of runners now.

    It is newer than a report, which lags behind the runner's state.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class GroupOpened:
    """Announces to all nodes that a group is open.

    `took_ms` is the time since its formation was started or adopted.
    """

    key: model.GroupKey
    service: str
    model: str
    head: str
    took_ms: float


Action = orders.Order | Probe | ReadList | GroupOpened


@dataclasses.dataclass(slots=True)
class Formation:
    """A group that is being formed and does not serve yet.

    Attributes:
        key: The group.
        service: The name of its service.
        model: The model that it will serve.
        members: Runner ids in order of rank.
        started_ms: When it was started, or adopted from another planner.
        due_ms: When all members should be ready.
        loads: How many members load the model from the weight store.
        next_check_ms: The earliest time of the next readiness check.
        open_sent_ms: When the head was last ordered to open; 0 if that order
            has to be sent, or sent again.
        open_accepted_ms: When the head accepted that; 0 before.
        open_attempts: How often the head was ordered to open.
        refused: Why a join was refused for good; empty if none was.
        failed_joins: How many join orders were refused or not answered, by
            member.
    """

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
    failed_joins: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """The data centres that a planner is responsible for, and their load.

    Attributes:
        data_centres: Those whose runners get orders from this planner.
        count: The number of all data centres; they share the load limits.
        is_before_traffic: Whether no request has arrived yet; loading a model
            takes less time then.
        loads: The requests of all nodes at each group.
        all_data_centres: The names of all data centres, whoever plans for them.
        evacuated: The evacuated data centres, which get no orders from any
            planner.
    """

    data_centres: frozenset[str]
    count: int
    is_before_traffic: bool
    loads: dict[model.GroupKey, inflight.GroupLoad]
    all_data_centres: tuple[str, ...] = ()
    evacuated: frozenset[str] = frozenset()

    def without_evacuated(self) -> "Scope":
        """Returns the scope less the data centres that get no orders."""
        if not self.evacuated & self.data_centres:
            return self
        return dataclasses.replace(self,
                                   data_centres=self.data_centres -
                                   self.evacuated)

    def is_evacuated(self, members: Iterable[fleetview.RunnerRecord]) -> bool:
        """Whether any of some runners is in an evacuated data centre."""
        return bool(self.evacuated) and any(
            each.runner.data_centre in self.evacuated for each in members)

    def active_groups(
        self, groups: dict[model.GroupKey, fleetview.Group]
    ) -> dict[model.GroupKey, fleetview.Group]:
        """Returns the groups of which no member is evacuated.

        The others are left as they are, and count as missing capacity.
        """
        if not self.evacuated:
            return groups
        return {
            key: each
            for key, each in groups.items()
            if not self.is_evacuated(each.members.values())
        }

    def load(self, key: model.GroupKey) -> inflight.GroupLoad:
        """Returns the load of a group."""
        return self.loads.get(key, inflight.NO_LOAD)

    def total_load(self,
                   groups: Iterable[fleetview.Group]) -> inflight.GroupLoad:
        """Returns the summed load of several groups."""
        return functools.reduce(inflight.GroupLoad.plus,
                                (self.load(each.key) for each in groups),
                                inflight.NO_LOAD)


def is_ready(known: fleetview.RunnerRecord, key: model.GroupKey) -> bool:
    """Whether a runner reports that it is ready in a group, or open."""
    membership = known.membership
    return (membership is not None and membership.key == key and
            membership.state
            in (model.MemberState.READY, model.MemberState.OPEN))


def is_warm(known: fleetview.RunnerRecord, served: model.ServedModel) -> bool:
    """Whether a runner can join a group of a model without loading it."""
    return join_ms(known, served) <= served.warm_ms


def join_ms(known: fleetview.RunnerRecord, served: model.ServedModel) -> float:
    """Returns how long a runner takes to join a group of a model."""
    if known.last_model == served.name:
        return REJOIN_MS
    if served.name in known.status.staged:
        return served.warm_ms
    return served.load_ms
