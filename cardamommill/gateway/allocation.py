"""Which groups are formed of which free runners, and when spares are staged."""

from collections.abc import Iterator

from cardamommill.gateway import (
    consolidation,
    demand,
    fleetview,
    formations,
    model,
    overload,
    planning,
    rebalancing,
    spares,
)

# With this part of all places taken a model gets spares as further groups.
BUSY_PART = 0.6
# Part of a domain that is kept as spares when groups are first formed: two
# runners of nine cover the loss of one member in each of two groups.
SPARE_SHARE = 0.15
# For models whose share is not declared.
LEAST_SHARE = 1e-6


class Allocation:
    """Chooses for one planner; pure but for what its parts remember."""

    def __init__(self, view: fleetview.FleetView, made: formations.Formations,
                 pending: set[str], seen: overload.OverloadDetector,
                 staged: spares.Spares, given_up: consolidation.Consolidation,
                 moves: rebalancing.Rebalancing,
                 work: demand.DemandEstimator) -> None:
        """Makes it.

        Args:
            view: What is believed.
            made: Groups on their way to serving; it begins more.
            pending: Runners with an order under way.
            seen: Which models have too much work.
            staged: Which spares hold which model.
            given_up: Slow groups that quick ones take the place of.
            moves: Groups that change their model.
            work: How the work divides between models.
        """
        self._view = view
        self._formations = made
        self._pending = pending
        self._overload = seen
        self._spares = staged
        self._consolidation = given_up
        self._rebalancing = moves
        self._demand = work

    def step(self, service: str, engine: model.Engine, scope: planning.Scope,
             now_ms: float) -> Iterator[planning.Action]:
        """Returns the orders that begin groups, and those that stage spares.

        Args:
            service: Whose groups.
            engine: Of the service.
            scope: For whom it is done.
            now_ms: The time.
        """
        self._spares.prune_staging(now_ms)
        places = self._by_place(service, scope)
        for place in sorted(places):
            domains = places[place]
            for domain in sorted(domains):
                yield from self._form(service, engine, scope, domains[domain],
                                      now_ms)
            whole = [each for runners in domains.values() for each in runners]
            yield from self._consolidation.step(service, engine,
                                                self._view.groups(service),
                                                whole, self.is_free, now_ms)
            if len(domains) > 1:
                largest = max(map(len, domains.values()))
                yield from self._form_far(service, engine, scope, whole,
                                          largest, now_ms)
            yield from self._rebalancing.step(service, engine, scope,
                                              self._view.groups(service), place,
                                              now_ms)
            need = self._need(service, engine, whole)
            for domain in sorted(domains):
                yield from self._stage(engine, scope, domains[domain], need,
                                       now_ms)

    def is_free(self, known: fleetview.RunnerRecord) -> bool:
        """Whether a runner may join a group or load for one."""
        runner_id = known.runner.id
        if not known.is_usable or known.membership is not None:
            return False
        if not known.has_exact_order_count:
            return False
        return (runner_id not in self._pending and
                not self._formations.has_member(runner_id))

    def _by_place(
        self, service: str, scope: planning.Scope
    ) -> dict[str, dict[str, list[fleetview.RunnerRecord]]]:
        """Returns its runners by data centre and by domain."""
        places: dict[str, dict[str, list[fleetview.RunnerRecord]]] = {}
        for known in self._view.runners_of(service):
            place = known.runner.data_centre
            if place in scope.data_centres:
                places.setdefault(place, {}).setdefault(known.status.domain,
                                                        []).append(known)
        return places

    def _stage(self, engine: model.Engine, scope: planning.Scope,
               runners: list[fleetview.RunnerRecord],
               need: overload.CapacityState,
               now_ms: float) -> Iterator[planning.Action]:
        if scope.is_before_traffic and self._loading(now_ms):
            # Groups first: staging shares the store's bandwidth. Not until they
            # are open: a spare whose load begins just after the first request
            # takes ten times as long.
            return
        free = [each for each in runners if self.is_free(each)]
        yield from self._spares.stage(engine, scope, free, need, now_ms)

    def _need(self, service: str, engine: model.Engine,
              runners: list[fleetview.RunnerRecord]) -> overload.CapacityState:
        ids = {each.runner.id for each in runners}
        runner_counts: dict[str, int] = {}
        for name, members in self._members_by_model(service):
            runner_counts[name] = runner_counts.get(name,
                                                    0) + len(members & ids)
        for known in runners:
            if self.is_free(known):
                name = self._spares.warm_model(known)
                runner_counts[name] = runner_counts.get(name, 0) + 1
        overloaded = frozenset(each.name
                               for each in engine.models
                               if self._overload.is_overloaded(each.name))
        return overload.CapacityState(overloaded, runner_counts,
                                      sum(each.is_usable for each in runners),
                                      self._utilisation(service, engine))

    def _utilisation(self, service: str,
                     engine: model.Engine) -> dict[str, float]:
        groups = self._view.groups(service).values()
        found = {}
        for served in engine.models:
            places = engine.slots * len(fleetview.serving(groups, served.name))
            requests = self._demand.requests(service, served.name)
            found[served.name] = requests / max(1, places)
        return found

    def _form(self, service: str, engine: model.Engine, scope: planning.Scope,
              runners: list[fleetview.RunnerRecord],
              now_ms: float) -> Iterator[planning.Action]:
        while True:
            free = [each for each in runners if self.is_free(each)]
            for served in self._by_need(service, engine, runners, now_ms):
                picked = self._pick(engine, served, scope, runners, free,
                                    now_ms)
                if picked is not None:
                    break
            else:
                return
            yield from self._formations.begin(service, engine, served, scope,
                                              picked, now_ms)

    def _form_far(self, service: str, engine: model.Engine,
                  scope: planning.Scope, runners: list[fleetview.RunnerRecord],
                  largest_domain: int,
                  now_ms: float) -> Iterator[planning.Action]:
        # A group over two domains is slower, but it serves; it may use up
        # spares only while its model has fewer groups than its share.
        for served in self._by_need(service, engine, runners, now_ms):
            if self._consolidation.is_retiring_model(service, served.name):
                continue
            if not self._is_short(service, engine, served, scope, runners):
                continue
            fits = served.size <= largest_domain
            if fits and scope.is_before_traffic:
                continue
            warm = [
                each for each in runners if self.is_free(each) and
                (not fits or planning.is_warm(each, served))
            ]
            if len(warm) < served.size:
                continue
            warm.sort(key=lambda each: planning.join_ms(each, served))
            yield from self._formations.begin(service, engine, served, scope,
                                              warm[:served.size], now_ms)

    def _is_short(self, service: str, engine: model.Engine,
                  served: model.ServedModel, scope: planning.Scope,
                  runners: list[fleetview.RunnerRecord]) -> bool:
        usable = sum(each.is_usable for each in runners)
        ids = {each.runner.id for each in runners}
        wanted = max(
            1, round(served.share * usable * (1 - SPARE_SHARE) / served.size))
        standing = sum(group.model == served.name and group.is_open and
                       group.head is not None and group.head.runner.id in ids
                       for group in self._view.groups(service).values())
        forming = sum(each.model.name == served.name and each.members[0] in ids
                      for each in self._formations.by_key.values())
        return standing + forming < wanted or self._is_busy(
            service, engine, served, scope)

    def _is_busy(self, service: str, engine: model.Engine,
                 served: model.ServedModel, scope: planning.Scope) -> bool:
        serving = fleetview.serving(
            self._view.groups(service).values(), served.name)
        load = scope.total_load(serving).total_requests
        return load > BUSY_PART * engine.slots * len(serving)

    def _by_need(self, service: str, engine: model.Engine,
                 runners: list[fleetview.RunnerRecord],
                 now_ms: float) -> list[model.ServedModel]:
        # The model with the fewest runners for its share of the work first,
        # in the domain and then over all. Once work was seen, one that a
        # further group would leave with more than its share comes last: the
        # members of a group that was closed for it would form it again.
        in_domain = {each.runner.id for each in runners}
        here: dict[str, int] = {}
        overall: dict[str, int] = {}
        for name, members in self._members_by_model(service):
            overall[name] = overall.get(name, 0) + len(members)
            here[name] = here.get(name, 0) + len(members & in_domain)
        total = sum(overall.values())
        shares = {
            each.name: max(each.share, LEAST_SHARE) for each in engine.models
        }
        all_shares = sum(shares.values())
        is_seen = self._demand.has_enough_data(service, now_ms)

        def need(served: model.ServedModel) -> tuple[bool, float, float]:
            share = shares[served.name]
            held = overall.get(served.name, 0)
            due = share / all_shares * (total + served.size)
            is_ahead = is_seen and held + served.size / 2 > due
            return (is_ahead, here.get(served.name, 0) / share, held / share)

        return sorted(engine.models, key=need)

    def _members_by_model(self, service: str) -> Iterator[tuple[str, set[str]]]:
        """Yields the model and the members of each group, formed or forming.

        A runner that is joining does not say of which model. Counted by its
        word alone, groups that were just begun counted for none, and two of
        the same model were begun in one domain, where one of each should be.
        """
        for formation in self._formations.by_key.values():
            yield formation.model.name, set(formation.members)
        for group in self._view.groups(service).values():
            if group.key not in self._formations.by_key:
                yield group.model, {
                    each.runner.id for each in group.members.values()
                }

    def _pick(self, engine: model.Engine, served: model.ServedModel,
              scope: planning.Scope, runners: list[fleetview.RunnerRecord],
              free: list[fleetview.RunnerRecord],
              now_ms: float) -> list[fleetview.RunnerRecord] | None:
        if len(free) < served.size:
            return None
        ranked = sorted(free, key=lambda each: planning.join_ms(each, served))
        picked = ranked[:served.size]
        cold = sum(not planning.is_warm(each, served) for each in picked)
        has_group = any(
            not self.is_free(each) and each.is_usable for each in runners)
        if has_group and not any(each.last_model for each in picked):
            reserve = round(SPARE_SHARE * len(runners))
            # Spares are of no use to callers who wait, and in a large domain
            # the survivors of two deaths make a group without any.
            if (not self._overload.is_overloaded(served.name) and
                    len(free) - served.size < reserve):
                return None
        if cold and not scope.is_before_traffic:
            # Loading takes some ten times as long as all else: spares are
            # staged, and the group is formed once its members are warm.
            return None
        if cold and not self._may_load_in_lead(engine, scope, now_ms):
            return None
        return picked

    def _may_load_in_lead(self, engine: model.Engine, scope: planning.Scope,
                          now_ms: float) -> bool:
        # Loads share the store's bandwidth: beyond `loads_at_once` each takes
        # longer, and all groups would be ready only at the very end.
        share = engine.loads_at_once * len(scope.data_centres) / scope.count
        return self._loading(now_ms) < max(1.0, share)

    def _loading(self, now_ms: float) -> int:
        """Returns how many runners load for groups on their way."""
        return sum(each.loads
                   for each in self._formations.by_key.values()
                   if now_ms < each.due_ms)
