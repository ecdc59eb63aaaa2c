"""Which models the hosts of free runners load ahead of need."""

from collections.abc import Iterator
import math

from cardamommill.gateway import (
    fleetview,
    loads,
    model,
    orders,
    overload,
    planning,
)

# A host that refuses is loading for another planner, or one that died: asked
# each 250 ms it refused twelve times in a row.
REFUSED_MS = 2000.0


class Spares:
    """Free runners and what is staged on their hosts."""

    def __init__(self, view: fleetview.FleetView,
                 ledger: loads.LoadRateLimiter) -> None:
        self._view = view
        self._ledger = ledger
        self._staging: dict[str, tuple[str, float]] = {}
        self._refused_ms: dict[str, float] = {}

    def is_staging(self, runner: str) -> bool:
        """Whether its host is loading."""
        return runner in self._staging

    def load_refused(self, runner: str, now_ms: float) -> None:
        """Notes that an order to load was refused."""
        self._staging.pop(runner, None)
        self._refused_ms[runner] = now_ms

    def stage(self, engine: model.Engine, scope: planning.Scope,
              free: list[fleetview.RunnerRecord], need: overload.CapacityState,
              now_ms: float) -> Iterator[planning.Action]:
        """Returns orders to load for the free runners of one domain.

        Args:
            engine: Of the service.
            scope: For whom is planned.
            free: The runners.
            need: Of the data centre; is kept up to date.
            now_ms: The time.
        """
        held: dict[str, int] = {each.name: 0 for each in engine.models}
        for known in free:
            name = self.warm_model(known)
            if name in held:
                held[name] += 1
        for known in self._idle(engine, free, held, need):
            if now_ms - self._refused_ms.get(known.runner.id, -math.inf) < (
                    REFUSED_MS):
                continue
            if not self._ledger.may_load(engine, scope, now_ms):
                return
            before = self.warm_model(known)
            served = self._wanted(engine, held, len(free), need)
            if served.name == before:
                continue
            if before in held:
                held[before] -= 1
            held[served.name] += 1
            need.reassign(before, served.name)
            self._staging[known.runner.id] = (served.name,
                                              now_ms + 2 * served.load_ms)
            self._ledger.note(1, now_ms)
            yield orders.Order(known.runner.id,
                               orders.Operation.STAGE,
                               model=served.name,
                               expected_seq=known.orders_begun,
                               reason=f"held in the domain: {held}")

    def _idle(self, engine: model.Engine, free: list[fleetview.RunnerRecord],
              held: dict[str, int],
              need: overload.CapacityState) -> list[fleetview.RunnerRecord]:
        """Returns runners whose host may load something else, blank ones first.

        One that holds a model may load a busier one that lacks few to a group,
        or has no spare here: the survivors of its next death would wait for a
        whole load. And it may load an overloaded one where enough runners are
        free for a group of either and no whole group can be made: it would wait
        for ever for partners. Else it is worth more as the spare that it is.
        """
        blank = [each for each in free if not self.warm_model(each)]
        sizes = {each.name: each.size for each in engine.models}
        stuck = len(free) >= min(sizes.values()) and all(
            count < sizes[name] for name, count in held.items())
        first = [
            each.name for each in engine.models if need.has_load_priority(each)
        ]
        if blank or any(each.runner.id in self._staging for each in free):
            return blank
        for served in engine.models:
            lent = self._lent(served, free, held, need)
            if lent:
                return lent
        if not stuck or not first:
            return []
        best = max(first, key=lambda name: (held[name] / sizes[name], name))
        missing = sizes[best] - held[best]
        others = [each for each in free if self.warm_model(each) != best]
        return others[:missing] if len(others) >= missing else []

    def _lent(self, served: model.ServedModel,
              free: list[fleetview.RunnerRecord], held: dict[str, int],
              need: overload.CapacityState) -> list[fleetview.RunnerRecord]:
        """Returns spares of idler models that would make a group, or a spare.

        Each model that has any keeps one.
        """
        missing = served.size - held[served.name] if held[served.name] else 1
        if missing <= 0 or not need.runner_counts.get(served.name):
            return []
        kept = {name for name, count in held.items() if count}
        found = []
        for known in free:
            name = self.warm_model(known)
            if not need.is_busier(served.name, name):
                continue
            if name in kept:
                kept.discard(name)
                continue
            found.append(known)
        return found[:missing] if len(found) >= missing else []

    def _wanted(self, engine: model.Engine, held: dict[str, int], free: int,
                need: overload.CapacityState) -> model.ServedModel:
        # A model whose requests wait comes first: by the fewest runners alone
        # the smaller one got most loads of a day, while it had eight groups
        # and the larger one four. Then what lacks the fewest runners to a whole
        # group, where there are enough; else the model with the fewest spares.
        def key(served: model.ServedModel) -> tuple[bool, float, float]:
            count = held[served.name]
            missing = served.size - count
            reachable = 0 < missing < served.size and free >= served.size
            return (not need.has_load_priority(served),
                    missing if reachable else math.inf,
                    count / max(served.share, 1e-6))

        return min(engine.models, key=key)

    def warm_model(self, known: fleetview.RunnerRecord) -> str:
        """Returns the model that a runner is quick to serve, if any."""
        if known.runner.id in self._staging:
            return self._staging[known.runner.id][0]
        if known.status.staged:
            return known.status.staged[-1]
        return known.last_model

    def prune_staging(self, now_ms: float) -> None:
        """Forgets orders to load that are done, or were lost."""
        for runner_id, (name, until_ms) in list(self._staging.items()):
            known = self._view.known.get(runner_id)
            done = known is not None and name in known.status.staged
            if known is None or done or now_ms > until_ms:
                del self._staging[runner_id]
        for runner_id, at_ms in list(self._refused_ms.items()):
            if now_ms - at_ms > REFUSED_MS:
                del self._refused_ms[runner_id]
