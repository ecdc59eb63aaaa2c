"""Moves whole groups from an idle model to a busier one."""

import collections
from collections.abc import Iterator
import dataclasses
import math

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import consolidation, demand, loads, planning

# A model whose slot utilisation is below this needs no more groups.
MIN_BUSY_UTILISATION = 0.3
# After a move, the utilisation of the idle model times this must not exceed
# that of the busy model.
UTILISATION_MARGIN = 1.25
# Time between two moves, so that the effect of one shows before the next.
COOLDOWN_MS = 4000.0
# Time from the refusal of a load order until it is repeated.
REFUSAL_BACKOFF_MS = 2000.0
# A load order is repeated after this many times the usual load time.
RETRY_FACTOR = 3.0
# A move is abandoned after this many times the usual load time.
MOVE_TIMEOUT_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class _Move:
    """A move of groups to another model.

    Attributes:
        keys: The groups.
        served: The model that they will serve.
        started_ms: When the move was started.
        retry_ms: When the load order to a member is repeated, by runner id.
    """

    keys: tuple[model.GroupKey, ...]
    served: model.ServedModel
    started_ms: float
    retry_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """The models and the number of groups of a possible move.

    Attributes:
        idle: The model that gives up groups.
        busy: The model that gets groups.
        given: How many groups the idle model gives up.
    """

    idle: model.ServedModel
    busy: model.ServedModel
    given: int


class Rebalancing:
    """Decides which groups change their model.

    There is at most one move at a time in each data centre. The members load
    the other model while they still serve. The group is closed only when all of
    them hold it. It then finishes its requests, and new groups are formed of
    its members, which takes a second or two.
    """

    def __init__(self, demand_estimator: demand.DemandEstimator,
                 load_limiter: loads.LoadRateLimiter,
                 consolidator: consolidation.Consolidation) -> None:
        """Creates a rebalancing.

        Args:
            demand_estimator: Estimates how many requests each model gets.
            load_limiter: Limits and records loads.
            consolidator: Closes groups and has their members leave.
        """
        self._demand = demand_estimator
        self._load_limiter = load_limiter
        self._consolidation = consolidator
        self._moves: dict[tuple[str, str], _Move] = {}
        self._cooldown_until_ms: dict[tuple[str, str], float] = {}

    def step(self, service: str, engine: model.Engine, scope: planning.Scope,
             groups: dict[model.GroupKey, fleetview.Group], place: str,
             now_ms: float) -> Iterator[planning.Action]:
        """Yields the actions for one data centre.

        Args:
            service: The name of the service.
            engine: The engine of the service.
            scope: The data centres to plan for.
            groups: All known groups of the service.
            place: The data centre.
            now_ms: The current time.
        """
        if not self._demand.has_enough_data(service, now_ms):
            return
        move = self._moves.get((service, place))
        if move is None:
            move = self._start(service, engine, scope, groups, place, now_ms)
            if move is None:
                return
            self._moves[service, place] = move
        if (now_ms - move.started_ms > MOVE_TIMEOUT_FACTOR * move.served.load_ms
                or not _can_continue(move, groups, place)):
            self._finish(service, place, now_ms)
            return
        unloaded = [
            known for key in move.keys
            for known in groups[key].members.values()
            if move.served.name not in known.status.staged
        ]
        if unloaded:
            yield from self._load(move, engine, scope, unloaded, now_ms)
            return
        for key in move.keys:
            yield from self._consolidation.retire(
                service, groups[key], f"{move.served.name} is busier", now_ms)
        self._finish(service, place, now_ms)

    def _finish(self, service: str, place: str, now_ms: float) -> None:
        del self._moves[service, place]
        self._cooldown_until_ms[service, place] = now_ms + COOLDOWN_MS

    def refused(self, runner: str, now_ms: float) -> None:
        """Records that an order to load was refused; it is repeated later."""
        for move in self._moves.values():
            if runner in move.retry_ms:
                move.retry_ms[runner] = now_ms + REFUSAL_BACKOFF_MS

    def _load(self, move: _Move, engine: model.Engine, scope: planning.Scope,
              unloaded: list[fleetview.RunnerRecord],
              now_ms: float) -> Iterator[planning.Action]:
        for known in unloaded:
            runner = known.runner.id
            if now_ms < move.retry_ms.get(runner, -math.inf):
                continue
            if not known.has_exact_order_count:
                continue
            if not self._load_limiter.may_load(engine, scope, now_ms):
                return
            move.retry_ms[runner] = now_ms + RETRY_FACTOR * move.served.load_ms
            self._load_limiter.note(1, now_ms)
            yield orders.Order(runner,
                               orders.Operation.STAGE,
                               model=move.served.name,
                               expected_seq=known.orders_begun,
                               reason="its group is being moved to this model")

    def _start(self, service: str, engine: model.Engine, scope: planning.Scope,
               groups: dict[model.GroupKey, fleetview.Group], place: str,
               now_ms: float) -> _Move | None:
        if now_ms < self._cooldown_until_ms.get((service, place), -math.inf):
            return None
        open_groups = {
            each.name: fleetview.serving(groups.values(), each.name)
            for each in engine.models
        }
        plan = self._plan(service, engine, scope, open_groups, place)
        if plan is None:
            return None
        given = _groups_to_move(plan, open_groups[plan.idle.name], scope, place)
        if not given:
            return None
        return _Move(tuple(each.key for each in given), plan.busy, now_ms)

    def _plan(self, service: str, engine: model.Engine, scope: planning.Scope,
              open_groups: dict[str, list[fleetview.Group]],
              place: str) -> _Plan | None:

        def utilisation(served: model.ServedModel, more: int = 0) -> float:
            count = len(open_groups[served.name]) + more
            requests = self._demand.requests(service, served.name)
            return requests / (count * engine.slots) if count > 0 else math.inf

        ranked = sorted(engine.models, key=utilisation)
        idle, busy = ranked[0], ranked[-1]
        if utilisation(busy) < MIN_BUSY_UTILISATION or idle is busy or (
                not open_groups[busy.name]):
            return None
        given = math.ceil(busy.size / idle.size)
        gained = given * idle.size // busy.size
        position = _position(open_groups[idle.name], given, scope, place)
        after = utilisation(idle, -position * given)
        if after * UTILISATION_MARGIN > utilisation(busy, position * gained):
            return None
        return _Plan(idle, busy, given)


def _position(idle: list[fleetview.Group], given: int, scope: planning.Scope,
              place: str) -> int:
    """Returns the position of a data centre among those that can give groups.

    The planners of all data centres see the same load at the same time. Each
    counts the moves of those before it as done, so that they don't all move
    groups for the same need.
    """
    counts: dict[str, int] = collections.Counter()
    for group in idle:
        assert group.head is not None
        counts[group.head.runner.data_centre] += 1
    before = [each for each in scope.all_data_centres if each < place]
    return 1 + sum(counts[each] > given for each in before)


def _can_continue(move: _Move, groups: dict[model.GroupKey, fleetview.Group],
                  place: str) -> bool:
    """Whether all groups of a move can still be moved."""
    return all(
        key in groups and _can_move(groups[key], place) for key in move.keys)


def _can_move(group: fleetview.Group, place: str) -> bool:
    """Whether a group is open and usable, in one domain of a data centre."""
    return (group.is_open_and_reachable and len(group.domains) == 1 and
            all(each.is_usable and each.runner.data_centre == place
                for each in group.members.values()))


def _groups_to_move(plan: _Plan, idle: list[fleetview.Group],
                    scope: planning.Scope, place: str) -> list[fleetview.Group]:
    """Returns the groups with the fewest requests, all of one domain.

    Returns none if the idle model would keep no group in the data centre.
    """
    movable = [
        each for each in idle
        if _can_move(each, place) and len(each.members) == plan.idle.size
    ]
    if len(movable) <= plan.given:
        return []
    by_domain: dict[str, list[fleetview.Group]] = {}
    for group in movable:
        by_domain.setdefault(next(iter(group.domains)), []).append(group)
    eligible = [each for each in by_domain.values() if len(each) >= plan.given]
    if not eligible:
        return []

    def requests(group: fleetview.Group) -> int:
        return scope.load(group.key).total_requests

    chosen = [sorted(each, key=requests)[:plan.given] for each in eligible]
    return min(chosen, key=lambda each: sum(map(requests, each)))
