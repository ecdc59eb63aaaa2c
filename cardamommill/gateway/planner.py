"""Keeps groups standing in the data centres that this node plans for.

Two planners may act at once (a cut, a node that is thought dead): each join
names the count of orders that its runner must have, so the second one is
refused, and names of groups are never used twice. No lease is needed.
"""

from collections.abc import Iterator

from cardamommill.gateway import (
    consolidation,
    fleetsummary,
    fleetview,
    formations,
    loads,
    model,
    orders,
    planning,
    spares,
    strain,
)

# With this part of all places taken a model gets spares as further groups.
BUSY_PART = 0.6
# Another planner's formation is left alone for this long.
FOREIGN_GRACE_MS = 2500.0
# A group with a leaving member gets no new requests and ends when it has none
# left. The member stays while the head has work, for 10 s at most; ending the
# group after 1.1 s cut streams that could go on nowhere else.
RETIRE_MS = 5000.0
# A runner that doesn't answer is asked again this often while it is listed.
DOWN_RETRY_MS = 1200.0
# A group's members are asked this often while one is back and one is not...
BACK_RETRY_MS = 200.0
# ... and a runner whose count of orders is not known.
COUNT_RETRY_MS = 300.0
# A member that left the list may be cut from the store alone.
ABSENT_RETRY_MS = 1500.0
# Part of a domain that is kept as spares when groups are first formed: two
# runners of nine cover the loss of one member in each of two groups.
SPARE_SHARE = 0.15


class Planner:
    """Decides orders; pure but for its own memory of what it began."""

    def __init__(self, view: fleetview.FleetView, name: str) -> None:
        """Makes it.

        Args:
            view: What is believed; the shell updates it.
            name: Unique to this life of this node; begins all group names.
        """
        self._view = view
        self._pending: set[str] = set()
        self._ledger = loads.LoadLedger()
        self._formations = formations.Formations(view, name, self._pending,
                                                 self._ledger)
        self._strain = strain.Strain()
        self._spares = spares.Spares(view, self._ledger)
        self._consolidation = consolidation.Consolidation(self._formations)
        self._asked_ms: dict[str, float] = {}
        self._foreign_ms: dict[model.GroupKey, float] = {}

    @property
    def formations(self) -> dict[model.GroupKey, planning.Formation]:
        """Groups on their way to serving."""
        return self._formations.by_key

    def step(self, service: model.Service, scope: planning.Scope,
             now_ms: float) -> list[planning.Action]:
        """Returns what to do now for one service."""
        engine = service.engine
        if engine is None:
            return []
        groups = self._view.groups(service.name)
        for key in groups:
            self._formations.see_epoch(key.epoch)
        self._strain.see(service.name, engine, groups, scope, now_ms)
        actions: list[planning.Action] = []
        actions += self._formations.advance(service.name, engine, now_ms)
        for group in groups.values():
            if group.key not in self.formations:
                actions += self._tend(group, service.name, engine, scope,
                                      now_ms)
        actions += self._ask_the_silent(service.name, scope, now_ms)
        actions += self._count_orders(service.name, scope, now_ms)
        actions += self._form_and_stage(service.name, engine, scope, now_ms)
        return actions

    # What the shell tells.

    def sent(self, runner: str) -> None:
        """Notes that an order to a runner is under way."""
        self._pending.add(runner)

    def accepted(self, order: orders.Order, now_ms: float) -> None:
        """Notes that an order was accepted."""
        self._pending.discard(order.runner)
        formation = self._formations.of(order)
        if formation is not None and order.operation is orders.Operation.OPEN:
            formation.open_accepted_ms = now_ms

    def refused(self, order: orders.Order, reason: str, now_ms: float) -> None:
        """Notes that an order was not accepted, or perhaps not.

        The runner gets no other order until `settled`: what is believed of it
        is wrong, and its report tells only later what is true.
        """
        if order.operation is orders.Operation.STAGE:
            self._spares.give_up(order.runner, now_ms)
        formation = self._formations.of(order)
        if formation is not None and order.operation is orders.Operation.JOIN:
            formation.refused = f"{order.runner} refused: {reason}"

    def settled(self, order: orders.Order) -> None:
        """Notes that a runner was asked after an order that it refused."""
        self._pending.discard(order.runner)

    def summary(self, service: str, scope: planning.Scope) -> dict[str, str]:
        """Returns how the runners of this planner are used, for the log."""
        return fleetsummary.summary(
            self._view.groups(service).values(), self.formations.values(),
            self._view.of_service(service), service,
            fleetsummary.Judges(lambda group: self._is_ours(group, scope),
                                self._is_free, self._spares), scope)

    # Groups that stand, or did.

    def _tend(self, group: fleetview.Group, service: str, engine: model.Engine,
              scope: planning.Scope,
              now_ms: float) -> Iterator[planning.Action]:
        if not self._is_ours(group, scope):
            return
        served = engine.model(group.model)
        members = list(group.members.values())
        doubted = _doubted(members)
        if doubted:
            yield from self._ask_anew(doubted, now_ms)
            return
        reason = self._end_reason(group, served, scope, now_ms)
        if reason:
            yield from self._formations.leave(group.key, members, reason)
            return
        if served is None or self._consolidation.has(group.key):
            return
        complete = len(group.members) == served.size
        if complete and not group.is_open:
            first_ms = self._foreign_ms.setdefault(group.key, now_ms)
            if now_ms - first_ms > FOREIGN_GRACE_MS:
                self._formations.adopt(group, service, served, now_ms)
            return
        if group.is_open:
            self._foreign_ms.pop(group.key, None)
            yield from self._ask_absent(group, scope, now_ms)

    def _end_reason(self, group: fleetview.Group,
                    served: model.ServedModel | None, scope: planning.Scope,
                    now_ms: float) -> str:
        head = group.head
        states = {
            each.membership.state
            for each in group.members.values()
            if each.membership is not None
        }
        down = [
            each.runner.id for each in group.members.values() if each.down_ms
        ]
        if model.MemberState.BROKEN in states:
            return "broken"
        if down:
            return f"{down[0]} does not answer"
        if head is not None and not head.listed:
            return "its head left the list"
        leaving = [
            each for each in group.members.values() if each.runner.leaving
        ]
        if leaving:
            since_ms = min(each.leaving_ms for each in leaving)
            idle = not scope.load(group.key).all_requests
            if idle or now_ms - since_ms > RETIRE_MS:
                return f"{leaving[0].runner.id} is leaving"
            return ""
        if served is not None and len(group.members) == served.size:
            return ""
        if group.is_open and served is not None:
            # A member never named itself here; the head serves all the same
            # while it answers, so somebody must have seen it ready.
            return self._overdue(group.key, now_ms, "a member is missing")
        return self._overdue(group.key, now_ms, "never whole")

    def _overdue(self, key: model.GroupKey, now_ms: float, reason: str) -> str:
        first_ms = self._foreign_ms.setdefault(key, now_ms)
        return reason if now_ms - first_ms > FOREIGN_GRACE_MS else ""

    def _ask_absent(self, group: fleetview.Group, scope: planning.Scope,
                    now_ms: float) -> Iterator[planning.Action]:
        """Asks members of whom nothing else would tell that they died.

        While the store is away the list is silent, and once keys can't be
        confirmed no stream is there to fall silent: groups that died in an
        outage of eight seconds were found and formed anew only after it, and
        four windows of two seconds earned 0.24 to 0.74.
        """
        is_stale = (now_ms - self._view.list_as_of_ms
                    > self._view.list_stale_ms)
        is_unseen = is_stale and not scope.load(group.key).all_requests
        for known in group.members.values():
            if known.down_ms or (known.listed and not is_unseen):
                continue
            if self._may_ask(known.runner.id, ABSENT_RETRY_MS, now_ms):
                yield planning.Probe(
                    known.runner.id,
                    "no word of it" if known.listed else "left the list")

    def _ask_the_silent(self, service: str, scope: planning.Scope,
                        now_ms: float) -> Iterator[planning.Action]:
        for known in self._view.of_service(service):
            if not known.down_ms or known.runner.leaving:
                continue
            if known.runner.data_centre not in scope.data_centres:
                continue
            if self._may_ask(known.runner.id, DOWN_RETRY_MS, now_ms):
                yield planning.Probe(known.runner.id, "did not answer")

    def _ask_anew(self, doubted: list[fleetview.Known],
                  now_ms: float) -> Iterator[planning.Action]:
        for known in doubted:
            if self._may_ask(known.runner.id, BACK_RETRY_MS, now_ms):
                yield planning.Probe(known.runner.id, "another member is back")

    def _count_orders(self, service: str, scope: planning.Scope,
                      now_ms: float) -> Iterator[planning.Action]:
        """Asks for counts of orders before they are needed.

        A planner that has just started guesses them. Each wrong guess is
        refused, and ends the forming of a whole group: three in a row took
        1.3 s after a restart of all nodes.
        """
        for known in self._view.of_service(service):
            if known.is_counted or not known.usable:
                continue
            if known.runner.data_centre not in scope.data_centres:
                continue
            if self._may_ask(known.runner.id, COUNT_RETRY_MS, now_ms):
                yield planning.Probe(known.runner.id, "count of orders unknown")

    def _may_ask(self, runner: str, interval_ms: float, now_ms: float) -> bool:
        if now_ms - self._asked_ms.get(runner, float("-inf")) < interval_ms:
            return False
        self._asked_ms[runner] = now_ms
        return True

    def _is_ours(self, group: fleetview.Group, scope: planning.Scope) -> bool:
        # The lowest rank decides, so that a group over two data centres has
        # one planner.
        first = group.members[min(group.members)]
        return first.runner.data_centre in scope.data_centres

    # New groups and spares.

    def _form_and_stage(self, service: str, engine: model.Engine,
                        scope: planning.Scope,
                        now_ms: float) -> Iterator[planning.Action]:
        self._spares.forget_staged(now_ms)
        places: dict[str, dict[str, list[fleetview.Known]]] = {}
        for known in self._view.of_service(service):
            place = known.runner.data_centre
            if place in scope.data_centres:
                places.setdefault(place, {}).setdefault(known.standing.domain,
                                                        []).append(known)
        for place in sorted(places):
            domains = places[place]
            for domain in sorted(domains):
                yield from self._form(service, engine, scope, domains[domain],
                                      now_ms)
            whole = [each for runners in domains.values() for each in runners]
            if len(domains) > 1:
                yield from self._consolidation.step(service, engine,
                                                    self._view.groups(service),
                                                    whole, self._is_free,
                                                    now_ms)
                largest = max(map(len, domains.values()))
                yield from self._form_far(service, engine, scope, whole,
                                          largest, now_ms)
            need = self._need(service, engine, whole)
            for domain in sorted(domains):
                if scope.in_lead and any(
                        each.loads for each in self.formations.values()):
                    # Groups first: staging shares the store's bandwidth.
                    continue
                free = [each for each in domains[domain] if self._is_free(each)]
                yield from self._spares.stage(engine, scope, free, need, now_ms)

    def _need(self, service: str, engine: model.Engine,
              runners: list[fleetview.Known]) -> strain.Need:
        ids = {each.runner.id for each in runners}
        holds: dict[str, int] = {}
        for name, members in self._members_by_model(service):
            holds[name] = holds.get(name, 0) + len(members & ids)
        for known in runners:
            if self._is_free(known):
                name = self._spares.warm_model(known)
                holds[name] = holds.get(name, 0) + 1
        strained = frozenset(each.name
                             for each in engine.models
                             if self._strain.is_strained(each.name))
        return strain.Need(strained, holds,
                           sum(each.usable for each in runners))

    def _form(self, service: str, engine: model.Engine, scope: planning.Scope,
              runners: list[fleetview.Known],
              now_ms: float) -> Iterator[planning.Action]:
        while True:
            free = [each for each in runners if self._is_free(each)]
            for served in self._by_need(service, engine, runners):
                picked = self._pick(engine, served, scope, runners, free,
                                    now_ms)
                if picked is not None:
                    break
            else:
                return
            yield from self._formations.begin(service, engine, served, scope,
                                              picked, now_ms)

    def _form_far(self, service: str, engine: model.Engine,
                  scope: planning.Scope, runners: list[fleetview.Known],
                  largest_domain: int,
                  now_ms: float) -> Iterator[planning.Action]:
        # A group over two domains is slower, but it serves; it may use up
        # spares only while its model has fewer groups than its share.
        for served in self._by_need(service, engine, runners):
            if self._consolidation.is_under_way(service, served.name):
                continue
            if not self._is_short(service, engine, served, scope, runners):
                continue
            fits = served.size <= largest_domain
            if fits and scope.in_lead:
                continue
            warm = [
                each for each in runners if self._is_free(each) and
                (not fits or planning.is_warm(each, served))
            ]
            if len(warm) < served.size:
                continue
            warm.sort(key=lambda each: planning.join_ms(each, served))
            yield from self._formations.begin(service, engine, served, scope,
                                              warm[:served.size], now_ms)

    def _is_short(self, service: str, engine: model.Engine,
                  served: model.ServedModel, scope: planning.Scope,
                  runners: list[fleetview.Known]) -> bool:
        usable = sum(each.usable for each in runners)
        ids = {each.runner.id for each in runners}
        wanted = max(
            1, round(served.share * usable * (1 - SPARE_SHARE) / served.size))
        standing = sum(group.model == served.name and group.is_open and
                       group.head is not None and group.head.runner.id in ids
                       for group in self._view.groups(service).values())
        forming = sum(each.model.name == served.name and each.members[0] in ids
                      for each in self.formations.values())
        return standing + forming < wanted or self._is_busy(
            service, engine, served, scope)

    def _is_busy(self, service: str, engine: model.Engine,
                 served: model.ServedModel, scope: planning.Scope) -> bool:
        open_keys = [
            group.key
            for group in self._view.groups(service).values()
            if group.model == served.name and group.serves_here
        ]
        load = sum(scope.load(key).all_requests for key in open_keys)
        return load > BUSY_PART * engine.slots * len(open_keys)

    def _is_free(self, known: fleetview.Known) -> bool:
        runner_id = known.runner.id
        if not known.usable or known.membership is not None:
            return False
        if not known.is_counted:
            return False
        return (runner_id not in self._pending and
                not self._formations.has_member(runner_id))

    def _by_need(self, service: str, engine: model.Engine,
                 runners: list[fleetview.Known]) -> list[model.ServedModel]:
        # The model with the fewest runners for its share of the work first,
        # in the domain and then over all.
        in_domain = {each.runner.id for each in runners}
        here: dict[str, int] = {}
        overall: dict[str, int] = {}
        for name, members in self._members_by_model(service):
            overall[name] = overall.get(name, 0) + len(members)
            here[name] = here.get(name, 0) + len(members & in_domain)

        def need(served: model.ServedModel) -> tuple[float, float]:
            share = max(served.share, 1e-6)
            return (here.get(served.name, 0) / share,
                    overall.get(served.name, 0) / share)

        return sorted(engine.models, key=need)

    def _members_by_model(self, service: str) -> Iterator[tuple[str, set[str]]]:
        """Yields the model and the members of each group, formed or forming.

        A runner that is joining does not say of which model. Counted by its
        word alone, groups that were just begun counted for none, and two of
        the same model were begun in one domain, where one of each should be.
        """
        for formation in self.formations.values():
            yield formation.model.name, set(formation.members)
        for group in self._view.groups(service).values():
            if group.key not in self.formations:
                yield group.model, {
                    each.runner.id for each in group.members.values()
                }

    def _pick(self, engine: model.Engine, served: model.ServedModel,
              scope: planning.Scope, runners: list[fleetview.Known],
              free: list[fleetview.Known],
              now_ms: float) -> list[fleetview.Known] | None:
        if len(free) < served.size:
            return None
        ranked = sorted(free, key=lambda each: planning.join_ms(each, served))
        picked = ranked[:served.size]
        cold = sum(not planning.is_warm(each, served) for each in picked)
        has_group = any(
            not self._is_free(each) and each.usable for each in runners)
        if has_group and not any(each.last_model for each in picked):
            reserve = round(SPARE_SHARE * len(runners))
            # Spares are of no use to callers who wait, and in a large domain
            # the survivors of two deaths make a group without any.
            if (not self._strain.is_strained(served.name) and
                    len(free) - served.size < reserve):
                return None
        if cold and not scope.in_lead:
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
        loading = sum(each.loads
                      for each in self.formations.values()
                      if each.loads and now_ms < each.due_ms)
        share = engine.loads_at_once * len(scope.data_centres) / scope.count
        return loading < max(1.0, share)


def _doubted(members: list[fleetview.Known]) -> list[fleetview.Known]:
    """Returns members whose silence is older than another's return.

    A data centre that was cut off comes back: one member answers, the next was
    asked last while the link was still cut. Ended by that, groups that were
    well were taken apart in the second after the link was mended.
    """
    back_ms = max((each.back_ms for each in members), default=0.0)
    return [
        each for each in members if each.down_ms and each.silent_ms < back_ms
    ]
