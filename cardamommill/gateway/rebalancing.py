"""Moves whole groups from an idle model to one whose groups are busier."""

import collections
from collections.abc import Iterator
import dataclasses
import math

from cardamommill.gateway import (
    consolidation,
    demand,
    fleetview,
    loads,
    model,
    orders,
    planning,
)

# Below this part of its places a model needs no more groups.
BUSY_PART = 0.3
# The idle model's groups stay emptier than the busy one's by this factor.
MARGIN = 1.25
# What comes of a move is seen before the next one.
REST_MS = 4000.0
REFUSED_MS = 2000.0
# A load that takes this many times as long as it should is ordered again...
OVERDUE = 3.0
# ... and a move is left whose loads take this many times as long as one does.
PATIENCE = 4.0


@dataclasses.dataclass(slots=True)
class _Move:
    """Groups that will serve another model.

    Attributes:
        keys: The groups.
        served: The other model.
        began_ms: When the first load was ordered.
        due_ms: Until when each member loads it, as was ordered.
    """

    keys: tuple[model.GroupKey, ...]
    served: model.ServedModel
    began_ms: float
    due_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """What a move would change.

    Attributes:
        idle: The model that gives groups.
        busy: The one that gets some.
        given: How many groups the one gives.
    """

    idle: model.ServedModel
    busy: model.ServedModel
    given: int


class Rebalancing:
    """Decides which groups change their model; one move a data centre.

    Their members load the other model while they serve. Only once all hold it
    the group is closed, finishes what it runs, and new ones are formed of its
    members, which takes a second or two.
    """

    def __init__(self, seen: demand.DemandEstimator,
                 ledger: loads.LoadRateLimiter,
                 given_up: consolidation.Consolidation) -> None:
        """Makes it.

        Args:
            seen: How the work divides.
            ledger: Counts loads.
            given_up: Closes groups and has their members leave.
        """
        self._demand = seen
        self._ledger = ledger
        self._consolidation = given_up
        self._moves: dict[tuple[str, str], _Move] = {}
        self._rests_ms: dict[tuple[str, str], float] = {}

    def step(self, service: str, engine: model.Engine, scope: planning.Scope,
             groups: dict[model.GroupKey, fleetview.Group], place: str,
             now_ms: float) -> Iterator[planning.Action]:
        """Returns what to do in one data centre.

        Args:
            service: Whose groups.
            engine: Of the service.
            scope: For whom is planned.
            groups: All that are known.
            place: The data centre.
            now_ms: The time.
        """
        if not self._demand.has_enough_data(service, now_ms):
            return
        move = self._moves.get((service, place))
        if move is None:
            move = self._begin(service, engine, scope, groups, place, now_ms)
            if move is None:
                return
            self._moves[service, place] = move
        if (now_ms - move.began_ms > PATIENCE * move.served.load_ms or
                not _may_go_on(move, groups, place)):
            self._end(service, place, now_ms)
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
        self._end(service, place, now_ms)

    def _end(self, service: str, place: str, now_ms: float) -> None:
        del self._moves[service, place]
        self._rests_ms[service, place] = now_ms + REST_MS

    def refused(self, runner: str, now_ms: float) -> None:
        """Notes that an order to load was refused; it is given again later."""
        for move in self._moves.values():
            if runner in move.due_ms:
                move.due_ms[runner] = now_ms + REFUSED_MS

    def _load(self, move: _Move, engine: model.Engine, scope: planning.Scope,
              unloaded: list[fleetview.RunnerRecord],
              now_ms: float) -> Iterator[planning.Action]:
        for known in unloaded:
            runner = known.runner.id
            if now_ms < move.due_ms.get(runner, -math.inf):
                continue
            if not known.has_exact_order_count:
                continue
            if not self._ledger.may_load(engine, scope, now_ms):
                return
            move.due_ms[runner] = now_ms + OVERDUE * move.served.load_ms
            self._ledger.note(1, now_ms)
            yield orders.Order(runner,
                               orders.Operation.STAGE,
                               model=move.served.name,
                               expected_seq=known.orders_begun,
                               reason="its group will serve this model")

    def _begin(self, service: str, engine: model.Engine, scope: planning.Scope,
               groups: dict[model.GroupKey, fleetview.Group], place: str,
               now_ms: float) -> _Move | None:
        if now_ms < self._rests_ms.get((service, place), -math.inf):
            return None
        open_groups = {
            each.name: fleetview.serving(groups.values(), each.name)
            for each in engine.models
        }
        plan = self._plan(service, engine, scope, open_groups, place)
        if plan is None:
            return None
        given = _givers(plan, open_groups[plan.idle.name], scope, place)
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
        if utilisation(busy) < BUSY_PART or idle is busy or (
                not open_groups[busy.name]):
            return None
        given = math.ceil(busy.size / idle.size)
        made = given * idle.size // busy.size
        turn = _turn(open_groups[idle.name], given, scope, place)
        after = utilisation(idle, -turn * given)
        if after * MARGIN > utilisation(busy, turn * made):
            return None
        return _Plan(idle, busy, given)


def _turn(idle: list[fleetview.Group], given: int, scope: planning.Scope,
          place: str) -> int:
    """Returns which of the data centres that can give groups one is.

    Planners of all of them see the same need. Each takes the moves of those
    before it for done.
    """
    counts: dict[str, int] = collections.Counter()
    for group in idle:
        assert group.head is not None
        counts[group.head.runner.data_centre] += 1
    before = [each for each in scope.places if each < place]
    return 1 + sum(counts[each] > given for each in before)


def _may_go_on(move: _Move, groups: dict[model.GroupKey, fleetview.Group],
               place: str) -> bool:
    """Whether the groups of a move still are what they were."""
    return all(
        key in groups and _can_move(groups[key], place) for key in move.keys)


def _can_move(group: fleetview.Group, place: str) -> bool:
    """Whether a group serves, whole and in one domain of a data centre."""
    return (group.is_open_and_reachable and len(group.domains) == 1 and
            all(each.is_usable and each.runner.data_centre == place
                for each in group.members.values()))


def _givers(plan: _Plan, idle: list[fleetview.Group], scope: planning.Scope,
            place: str) -> list[fleetview.Group]:
    """Returns the emptiest groups of a domain; none where too few stay."""
    here = [
        each for each in idle
        if _can_move(each, place) and len(each.members) == plan.idle.size
    ]
    if len(here) <= plan.given:
        return []
    by_domain: dict[str, list[fleetview.Group]] = {}
    for group in here:
        by_domain.setdefault(next(iter(group.domains)), []).append(group)
    able = [each for each in by_domain.values() if len(each) >= plan.given]
    if not able:
        return []

    def requests(group: fleetview.Group) -> int:
        return scope.load(group.key).total_requests

    chosen = [sorted(each, key=requests)[:plan.given] for each in able]
    return min(chosen, key=lambda each: sum(map(requests, each)))
