"""Allocates free runners to new groups and loads models onto spares."""

from collections.abc import Iterator

from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import (
    consolidation,
    demand,
    formations,
    overload,
    planning,
    rebalancing,
    spares,
)

# A model is busy when more than this ratio of its groups' slots is in use. It
# then gets a further group across domains, even of spares.
BUSY_THRESHOLD = 0.6
# Ratio of a domain's runners that is kept as spares when groups are first
# formed. A domain of nine runners then has two groups and two spares, which can
# replace one lost member in each group.
SPARE_RATIO = 0.15
# Used for models without a declared share, to avoid division by zero.
MIN_SHARE = 1e-6


class Allocation:
    """Allocates the runners of one planner to groups and as spares."""

    def __init__(self, view: fleetview.FleetView,
                 active_formations: formations.Formations, pending: set[str],
                 overload_detector: overload.OverloadDetector,
                 staged: spares.Spares,
                 consolidator: consolidation.Consolidation,
                 rebalancer: rebalancing.Rebalancing,
                 demand_estimator: demand.DemandEstimator) -> None:
        """Creates an allocation.

        Args:
            view: The known state of all runners.
            active_formations: Groups that are being formed; new ones are added.
            pending: Runners that get no order now: one is in flight, or was
                refused and they were not probed since.
            overload_detector: Tells which models are overloaded.
            staged: The spares and the models that they hold.
            consolidator: Replaces groups across domains by single-domain
                groups.
            rebalancer: Moves groups to another model.
            demand_estimator: Estimates how many requests each model gets.
        """
        self._view = view
        self._formations = active_formations
        self._pending = pending
        self._overload = overload_detector
        self._spares = staged
        self._consolidation = consolidator
        self._rebalancing = rebalancer
        self._demand = demand_estimator

    def step(self, service: str, engine: model.Engine, scope: planning.Scope,
             now_ms: float) -> Iterator[planning.Action]:
        """Yields the orders that form groups and load models onto spares.

        Args:
            service: The name of the service.
            engine: The engine of the service.
            scope: The data centres to plan for.
            now_ms: The current time.
        """
        self._spares.prune_staging(now_ms)
        places = self._by_data_centre(service, scope)
        for place in sorted(places):
            domains = places[place]
            for domain in sorted(domains):
                yield from self._form_in_domain(service, engine, scope,
                                                domains[domain], now_ms)
            all_runners = [
                each for runners in domains.values() for each in runners
            ]
            yield from self._consolidation.step(service, engine,
                                                self._groups(service, scope),
                                                all_runners, self.is_free,
                                                now_ms)
            if len(domains) > 1:
                largest = max(map(len, domains.values()))
                yield from self._form_across_domains(service, engine, scope,
                                                     all_runners, largest,
                                                     now_ms)
            yield from self._rebalancing.step(service, engine, scope,
                                              self._groups(service, scope),
                                              place, now_ms)
            capacity_state = self._capacity_state(service, engine, scope,
                                                  all_runners)
            for domain in sorted(domains):
                yield from self._stage(engine, scope, domains[domain],
                                       capacity_state, now_ms)

    def is_free(self, known: fleetview.RunnerRecord) -> bool:
        """Whether a runner may join a group or load a model for one."""
        runner_id = known.runner.id
        if not known.may_join or known.membership is not None:
            return False
        if not known.has_exact_order_count:
            return False
        return (runner_id not in self._pending and
                not self._formations.has_member(runner_id))

    def _by_data_centre(
        self, service: str, scope: planning.Scope
    ) -> dict[str, dict[str, list[fleetview.RunnerRecord]]]:
        """Returns the planner's runners by data centre and fabric domain."""
        places: dict[str, dict[str, list[fleetview.RunnerRecord]]] = {}
        for known in self._view.runners_of(service):
            place = known.runner.data_centre
            if place in scope.data_centres:
                places.setdefault(place, {}).setdefault(known.status.domain,
                                                        []).append(known)
        return places

    def _stage(self, engine: model.Engine, scope: planning.Scope,
               runners: list[fleetview.RunnerRecord],
               capacity_state: overload.CapacityState,
               now_ms: float) -> Iterator[planning.Action]:
        if scope.is_before_traffic and self._loading_count(now_ms):
            # Groups take precedence, since staging shares the store's
            # bandwidth. Staging does not wait until they are open: a load that
            # starts just after the first request takes ten times as long.
            return
        free = [each for each in runners if self.is_free(each)]
        yield from self._spares.stage(engine, scope, free, capacity_state,
                                      now_ms)

    def _groups(self, service: str,
                scope: planning.Scope) -> dict[model.GroupKey, fleetview.Group]:
        return scope.active_groups(self._view.groups(service))

    def _capacity_state(
            self, service: str, engine: model.Engine, scope: planning.Scope,
            runners: list[fleetview.RunnerRecord]) -> overload.CapacityState:
        ids = {each.runner.id for each in runners}
        counts: dict[str, int] = {}
        for name, members in self._members_by_model(service, scope):
            counts[name] = counts.get(name, 0) + len(members & ids)
        for known in runners:
            if self.is_free(known):
                name = self._spares.warm_model(known)
                counts[name] = counts.get(name, 0) + 1
        overloaded = frozenset(each.name
                               for each in engine.models
                               if self._overload.is_overloaded(each.name))
        return overload.CapacityState(overloaded, counts,
                                      sum(each.is_usable for each in runners),
                                      self._utilisation(service, engine, scope))

    def _utilisation(self, service: str, engine: model.Engine,
                     scope: planning.Scope) -> dict[str, float]:
        groups = self._groups(service, scope).values()
        found = {}
        for served in engine.models:
            places = engine.slots * len(fleetview.serving(groups, served.name))
            requests = self._demand.requests(service, served.name)
            found[served.name] = requests / max(1, places)
        return found

    def _form_in_domain(self, service: str, engine: model.Engine,
                        scope: planning.Scope,
                        runners: list[fleetview.RunnerRecord],
                        now_ms: float) -> Iterator[planning.Action]:
        while True:
            free = [each for each in runners if self.is_free(each)]
            for served in self._by_shortage(service, engine, scope, runners,
                                            now_ms):
                picked = self._pick_members(engine, served, scope, runners,
                                            free, now_ms)
                if picked is not None:
                    break
            else:
                return
            yield from self._formations.begin(service, engine, served, scope,
                                              picked, now_ms)

    def _form_across_domains(self, service: str, engine: model.Engine,
                             scope: planning.Scope,
                             runners: list[fleetview.RunnerRecord],
                             largest_domain: int,
                             now_ms: float) -> Iterator[planning.Action]:
        # A group across domains is slower but serves. It may use up the spares
        # only while its model has fewer groups than its share, or is busy.
        for served in self._by_shortage(service, engine, scope, runners,
                                        now_ms):
            if self._consolidation.is_retiring_model(service, served.name):
                continue
            if not self._needs_group(service, engine, served, scope, runners):
                continue
            fits_domain = served.size <= largest_domain
            if fits_domain and scope.is_before_traffic:
                continue
            warm = [
                each for each in runners if self.is_free(each) and
                (not fits_domain or planning.is_warm(each, served))
            ]
            if len(warm) < served.size:
                continue
            warm.sort(key=lambda each: planning.join_ms(each, served))
            yield from self._formations.begin(service, engine, served, scope,
                                              warm[:served.size], now_ms)

    def _needs_group(self, service: str, engine: model.Engine,
                     served: model.ServedModel, scope: planning.Scope,
                     runners: list[fleetview.RunnerRecord]) -> bool:
        usable_count = sum(each.is_usable for each in runners)
        ids = {each.runner.id for each in runners}
        wanted = max(
            1,
            round(served.share * usable_count * (1 - SPARE_RATIO) /
                  served.size))
        open_count = sum(group.model == served.name and group.is_open and
                         group.head is not None and group.head.runner.id in ids
                         for group in self._view.groups(service).values())
        forming_count = sum(
            each.model.name == served.name and each.members[0] in ids
            for each in self._formations.by_key.values())
        return open_count + forming_count < wanted or self._is_busy(
            service, engine, served, scope)

    def _is_busy(self, service: str, engine: model.Engine,
                 served: model.ServedModel, scope: planning.Scope) -> bool:
        if self._overload.has_evacuated_groups(served.name):
            return True
        serving = fleetview.serving(
            self._groups(service, scope).values(), served.name)
        load = scope.total_load(serving).total_requests
        return load > BUSY_THRESHOLD * engine.slots * len(serving)

    def _by_shortage(self, service: str, engine: model.Engine,
                     scope: planning.Scope,
                     runners: list[fleetview.RunnerRecord],
                     now_ms: float) -> list[model.ServedModel]:
        # The model with the fewest runners for its share of the work comes
        # first, within the domain and then overall. Once demand is known, a
        # model that would exceed its share with a further group comes last:
        # otherwise, after a group was closed to give its members to another
        # model, they would form a group of the old model again.
        ids = {each.runner.id for each in runners}
        local_counts: dict[str, int] = {}
        total_counts: dict[str, int] = {}
        for name, members in self._members_by_model(service, scope):
            total_counts[name] = total_counts.get(name, 0) + len(members)
            local_counts[name] = local_counts.get(name, 0) + len(members & ids)
        total = sum(total_counts.values())
        shares = {
            each.name: max(each.share, MIN_SHARE) for each in engine.models
        }
        all_shares = sum(shares.values())
        has_data = self._demand.has_enough_data(service, now_ms)

        def sort_key(served: model.ServedModel) -> tuple[bool, float, float]:
            share = shares[served.name]
            held = total_counts.get(served.name, 0)
            fair_share = share / all_shares * (total + served.size)
            is_over_share = has_data and held + served.size / 2 > fair_share
            return (is_over_share, local_counts.get(served.name, 0) / share,
                    held / share)

        return sorted(engine.models, key=sort_key)

    def _members_by_model(
            self, service: str,
            scope: planning.Scope) -> Iterator[tuple[str, set[str]]]:
        """Yields the model and the member ids of each group, open or forming.

        Formations are included since a joining runner does not report its
        model. When only reports were counted, a group that had just started
        counted for no model, and two groups of the same model were started in a
        domain that should have had one of each.
        """
        for formation in self._formations.by_key.values():
            yield formation.model.name, set(formation.members)
        for group in self._groups(service, scope).values():
            if group.key not in self._formations.by_key:
                yield group.model, {
                    each.runner.id for each in group.members.values()
                }

    def _pick_members(self, engine: model.Engine, served: model.ServedModel,
                      scope: planning.Scope,
                      runners: list[fleetview.RunnerRecord],
                      free: list[fleetview.RunnerRecord],
                      now_ms: float) -> list[fleetview.RunnerRecord] | None:
        if len(free) < served.size:
            return None
        ranked = sorted(free, key=lambda each: planning.join_ms(each, served))
        picked = ranked[:served.size]
        cold = sum(not planning.is_warm(each, served) for each in picked)
        # Members of a group that stand still are in use; others may not be.
        has_group = any(
            each.may_join or (each.is_usable and each.membership is not None)
            for each in runners
            if not self.is_free(each))
        if has_group and not any(each.last_model for each in picked):
            reserve = round(SPARE_RATIO * len(runners))
            # While requests wait, serving them is worth more than spares. A
            # large domain also depends less on spares: the survivors of two
            # failed groups can form a group without any.
            if (not self._overload.is_overloaded(served.name) and
                    len(free) - served.size < reserve):
                return None
        if cold and not scope.is_before_traffic:
            # Loading takes about ten times as long as all other steps, so free
            # runners load the model as spares first and the group is formed
            # once they hold it.
            return None
        if cold and not self._may_load_before_traffic(engine, scope, now_ms):
            return None
        return picked

    def _may_load_before_traffic(self, engine: model.Engine,
                                 scope: planning.Scope, now_ms: float) -> bool:
        # Loads share the store's bandwidth. Beyond `loads_at_once` each takes
        # longer, and all groups would become ready only at the very end.
        share = engine.loads_at_once * len(scope.data_centres) / scope.count
        return self._loading_count(now_ms) < max(1.0, share)

    def _loading_count(self, now_ms: float) -> int:
        """Returns how many runners are loading for formations."""
        return sum(each.loads
                   for each in self._formations.by_key.values()
                   if now_ms < each.due_ms)
