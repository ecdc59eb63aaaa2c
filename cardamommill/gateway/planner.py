"""Keeps groups standing in the data centres that this node plans for.

Two planners may act at once (a cut, a node that is thought dead): each join
names the count of orders that its runner must have, so the second one is
refused, and names of groups are never used twice. No lease is needed.
"""

from collections.abc import Iterator
import dataclasses
import math

from cardamommill.gateway import fleetview, model, orders

# A join of the model that the runner's last group had.
REJOIN_MS = 200.0
# Between two questions to a member that should be ready by now.
PROBE_INTERVAL_MS = 120.0
# A formation that takes this many times what it should is given up.
PATIENCE = 3.0
# Loads take this part of their time before the first request.
LEAD_LOAD_FACTOR = 0.1
# With this part of all places taken a model gets spares as further groups.
BUSY_PART = 0.6
# From the end of a join to its word in the list.
DUE_MARGIN_MS = 20.0
PATIENCE_FLOOR_MS = 3000.0
# Another planner's formation is left alone for this long.
FOREIGN_GRACE_MS = 2500.0
# A group with a leaving member gets no new requests and ends when it has none
# left. The member stays while the head has work, for 10 s at most; ending the
# group after 1.1 s cut streams that could go on nowhere else.
RETIRE_MS = 5000.0
# A runner that doesn't answer is asked again this often while it is listed.
DOWN_RETRY_MS = 1200.0
# A member that left the list may be cut from the store alone.
ABSENT_RETRY_MS = 1500.0
# Part of a domain that is kept as spares when groups are first formed: two
# runners of nine cover the loss of one member in each of two groups.
SPARE_SHARE = 0.15
# Part of the permitted rate of loads that the planners use together, so that
# a second planner after a change of hands stays within the bound.
LOAD_SHARE = 0.7
LOAD_WINDOW_MS = 5000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a runner for its report."""

    runner: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadList:
    """Reads the list of runners now: a report would be older."""


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Tells all nodes that a group serves."""

    key: model.GroupKey
    service: str
    model: str
    head: str
    took_ms: float


Action = orders.Order | Probe | ReadList | Opened


@dataclasses.dataclass(slots=True)
class Formation:
    """A group on its way to serving."""

    key: model.GroupKey
    service: str
    model: model.ServedModel
    members: tuple[str, ...]
    begun_ms: float
    due_ms: float
    loads: int = 0
    probe_ms: float = 0.0
    open_sent_ms: float = 0.0
    open_accepted_ms: float = 0.0
    open_tries: int = 0
    refused: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """For whom a planner plans at this moment.

    Attributes:
        data_centres: Those whose runners it orders.
        count: How many data centres there are; they share limits.
        in_lead: Whether no request has come yet: loads are cheap then.
        in_flight: Requests of all nodes per group.
    """

    data_centres: frozenset[str]
    count: int
    in_lead: bool
    in_flight: dict[model.GroupKey, int]


class Planner:
    """Decides orders; pure but for its own memory of what it began."""

    def __init__(self, view: fleetview.FleetView, name: str) -> None:
        """Makes it.

        Args:
            view: What is believed; the shell updates it.
            name: Unique to this life of this node; begins all group names.
        """
        self._view = view
        self._name = name
        self._count = 0
        self.formations: dict[model.GroupKey, Formation] = {}
        self._pending: set[str] = set()
        self._staging: dict[str, tuple[str, float]] = {}
        self._asked_ms: dict[str, float] = {}
        self._foreign_ms: dict[model.GroupKey, float] = {}
        self._loads_ms: list[float] = []
        self._epoch = 0

    def step(self, service: model.Service, scope: Scope,
             now_ms: float) -> list[Action]:
        """Returns what to do now for one service."""
        engine = service.engine
        if engine is None:
            return []
        groups = self._view.groups(service.name)
        for key in groups:
            self._epoch = max(self._epoch, key.epoch)
        actions: list[Action] = []
        actions += self._advance(service.name, engine, now_ms)
        for group in groups.values():
            if group.key not in self.formations:
                actions += self._tend(group, service.name, engine, scope,
                                      now_ms)
        actions += self._ask_the_silent(service.name, scope, now_ms)
        actions += self._form_and_stage(service.name, engine, scope, now_ms)
        return actions

    # What the shell tells.

    def sent(self, runner: str) -> None:
        """Notes that an order to a runner is under way."""
        self._pending.add(runner)

    def accepted(self, order: orders.Order, now_ms: float) -> None:
        """Notes that an order was accepted."""
        self._pending.discard(order.runner)
        formation = self.formations.get(order.group) if order.group else None
        if formation is not None and order.operation is orders.Operation.OPEN:
            formation.open_accepted_ms = now_ms

    def refused(self, order: orders.Order, reason: str) -> None:
        """Notes that an order was not accepted, or perhaps not.

        The runner gets no other order until `settled`: what is believed of it
        is wrong, and its report tells only later what is true.
        """
        if order.operation is orders.Operation.STAGE:
            self._staging.pop(order.runner, None)
        formation = self.formations.get(order.group) if order.group else None
        if formation is not None and order.operation is orders.Operation.JOIN:
            formation.refused = f"{order.runner} refused: {reason}"

    def settled(self, order: orders.Order) -> None:
        """Notes that a runner was asked after an order that it refused."""
        self._pending.discard(order.runner)

    def summary(self, service: str, scope: Scope,
                now_ms: float) -> dict[str, str]:
        """Returns how the runners of this planner are used, for the log."""
        counts: dict[str, dict[str, int]] = {}

        def add(kind: str, name: str) -> None:
            of_kind = counts.setdefault(kind, {})
            of_kind[name] = of_kind.get(name, 0) + 1

        for group in self._view.groups(service).values():
            if group.is_open and self._is_ours(group, scope):
                add("open", group.model)
        for formation in self.formations.values():
            if formation.service == service:
                add("forming", formation.model.name)
        for known in self._view.of_service(service):
            if known.runner.data_centre not in scope.data_centres:
                continue
            if known.down_ms:
                add("down", "runners")
            elif known.runner.leaving:
                add("leaving", "runners")
            elif self._is_free(known):
                staging = known.runner.id in self._staging
                name = self._warm_model(known) or known.last_model or "blank"
                add("staging" if staging else "free", name)
        return {
            kind:
                ",".join(f"{name}:{count}"
                         for name, count in sorted(names.items()))
            for kind, names in counts.items()
        }

    # Formations.

    def _advance(self, service: str, engine: model.Engine,
                 now_ms: float) -> Iterator[Action]:
        for formation in list(self.formations.values()):
            if formation.service == service:
                yield from self._advance_one(formation, engine, now_ms)

    def _advance_one(self, formation: Formation, engine: model.Engine,
                     now_ms: float) -> Iterator[Action]:
        members = [self._view.known.get(each) for each in formation.members]
        fault = self._fault(formation, members, now_ms)
        if fault:
            del self.formations[formation.key]
            yield from self._leave(formation.key, members, fault)
            return
        unready = [
            each for each in members
            if each is not None and not _is_ready(each, formation.key)
        ]
        head = members[0]
        assert head is not None and head.membership is not None or unready
        if unready:
            if now_ms >= max(formation.due_ms, formation.probe_ms):
                formation.probe_ms = now_ms + PROBE_INTERVAL_MS
                yield ReadList()
            return
        assert head is not None and head.membership is not None
        if head.membership.state is model.MemberState.OPEN:
            del self.formations[formation.key]
            yield Opened(formation.key, formation.service, formation.model.name,
                         head.runner.id, now_ms - formation.begun_ms)
            return
        if not formation.open_sent_ms:
            formation.open_sent_ms = now_ms
            formation.open_tries += 1
            formation.probe_ms = now_ms + engine.form_ms + 20
            yield orders.Order(head.runner.id,
                               orders.Operation.OPEN,
                               formation.key,
                               expected_seq=head.orders_begun,
                               reason="all members ready")
        elif formation.open_accepted_ms:
            # The head serves this long after it accepted; were it not so, it
            # would refuse what is sent, as not run.
            if now_ms >= formation.open_accepted_ms + engine.form_ms + 10:
                self._view.take_open(head.runner.id, formation.key,
                                     formation.model.name)
        elif head.runner.id not in self._pending:
            formation.open_sent_ms = 0.0
            yield ReadList()

    def _fault(self, formation: Formation,
               members: list[fleetview.Known | None], now_ms: float) -> str:
        if formation.refused:
            return formation.refused
        for runner_id, known in zip(formation.members, members, strict=True):
            if known is None or not known.usable:
                return f"{runner_id} is gone, down or leaving"
            membership = known.membership
            elsewhere = (membership is not None and
                         membership.key != formation.key)
            if elsewhere and runner_id not in self._pending:
                return f"{runner_id} is in another group"
            if (membership is not None and membership.key == formation.key and
                    membership.state is model.MemberState.BROKEN):
                return "broken"
            if (membership is None and runner_id not in self._pending and
                    now_ms > formation.due_ms and
                    known.report_ms > formation.begun_ms):
                return f"{runner_id} did not join"
        took_ms = now_ms - formation.begun_ms
        planned_ms = formation.due_ms - formation.begun_ms
        if took_ms > max(PATIENCE_FLOOR_MS, PATIENCE * planned_ms):
            return f"not ready after {took_ms:.0f} ms"
        if formation.open_tries > 4:
            return "head does not open"
        return ""

    # Groups that stand, or did.

    def _tend(self, group: fleetview.Group, service: str, engine: model.Engine,
              scope: Scope, now_ms: float) -> Iterator[Action]:
        if not self._is_ours(group, scope):
            return
        served = engine.model(group.model)
        members = list(group.members.values())
        reason = self._end_reason(group, served, scope, now_ms)
        if reason:
            yield from self._leave(group.key, members, reason)
            return
        if served is None:
            return
        complete = len(group.members) == served.size
        if complete and not group.is_open:
            first_ms = self._foreign_ms.setdefault(group.key, now_ms)
            if now_ms - first_ms > FOREIGN_GRACE_MS:
                self._adopt(group, service, served, now_ms)
            return
        if group.is_open:
            self._foreign_ms.pop(group.key, None)
            yield from self._ask_absent(group, now_ms)

    def _end_reason(self, group: fleetview.Group,
                    served: model.ServedModel | None, scope: Scope,
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
            idle = not scope.in_flight.get(group.key)
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

    def _adopt(self, group: fleetview.Group, service: str,
               served: model.ServedModel, now_ms: float) -> None:
        members = tuple(
            group.members[rank].runner.id for rank in sorted(group.members))
        if sorted(group.members) != list(range(served.size)):
            return
        self.formations[group.key] = Formation(group.key, service, served,
                                               members, now_ms,
                                               now_ms + served.warm_ms)

    def _ask_absent(self, group: fleetview.Group,
                    now_ms: float) -> Iterator[Action]:
        for known in group.members.values():
            if known.listed or known.down_ms:
                continue
            if self._may_ask(known.runner.id, ABSENT_RETRY_MS, now_ms):
                yield Probe(known.runner.id, "left the list")

    def _ask_the_silent(self, service: str, scope: Scope,
                        now_ms: float) -> Iterator[Action]:
        for known in self._view.of_service(service):
            if not known.down_ms or known.runner.leaving:
                continue
            if known.runner.data_centre not in scope.data_centres:
                continue
            if self._may_ask(known.runner.id, DOWN_RETRY_MS, now_ms):
                yield Probe(known.runner.id, "did not answer")

    def _may_ask(self, runner: str, interval_ms: float, now_ms: float) -> bool:
        if now_ms - self._asked_ms.get(runner, float("-inf")) < interval_ms:
            return False
        self._asked_ms[runner] = now_ms
        return True

    def _is_ours(self, group: fleetview.Group, scope: Scope) -> bool:
        # The lowest rank decides, so that a group over two data centres has
        # one planner.
        first = group.members[min(group.members)]
        return first.runner.data_centre in scope.data_centres

    def _leave(self, key: model.GroupKey,
               members: list[fleetview.Known] | list[fleetview.Known | None],
               reason: str) -> Iterator[Action]:
        # A member leaves itself before it joins anything else: its old head
        # may still be open and out of reach.
        for known in members:
            if known is None or known.runner.id in self._pending:
                continue
            if known.down_ms or not known.listed:
                continue
            membership = known.membership
            if membership is None or membership.key != key:
                continue
            yield orders.Order(known.runner.id,
                               orders.Operation.LEAVE,
                               key,
                               reason=reason)

    # New groups and spares.

    def _form_and_stage(self, service: str, engine: model.Engine, scope: Scope,
                        now_ms: float) -> Iterator[Action]:
        self._forget_staged(now_ms)
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
                largest = max(map(len, domains.values()))
                yield from self._form_far(service, engine, scope, whole,
                                          largest, now_ms)
            for domain in sorted(domains):
                yield from self._stage(engine, scope, domains[domain], now_ms)

    def _form(self, service: str, engine: model.Engine, scope: Scope,
              runners: list[fleetview.Known],
              now_ms: float) -> Iterator[Action]:
        while True:
            free = [each for each in runners if self._is_free(each)]
            for served in self._by_need(service, engine, runners):
                picked = self._pick(engine, served, scope, runners, free,
                                    now_ms)
                if picked is not None:
                    break
            else:
                return
            yield from self._begin(service, engine, served, scope, picked,
                                   now_ms)

    def _form_far(self, service: str, engine: model.Engine, scope: Scope,
                  runners: list[fleetview.Known], largest_domain: int,
                  now_ms: float) -> Iterator[Action]:
        # A group over two domains is slower, but it serves; it may use up
        # spares only while its model has fewer groups than its share.
        for served in self._by_need(service, engine, runners):
            if not self._is_short(service, engine, served, scope, runners):
                continue
            fits = served.size <= largest_domain
            if fits and scope.in_lead:
                continue
            warm = [
                each for each in runners if self._is_free(each) and
                (not fits or _join_ms(each, served) <= served.warm_ms)
            ]
            if len(warm) < served.size:
                continue
            warm.sort(key=lambda each: _join_ms(each, served))
            yield from self._begin(service, engine, served, scope,
                                   warm[:served.size], now_ms)

    def _is_short(self, service: str, engine: model.Engine,
                  served: model.ServedModel, scope: Scope,
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
                 served: model.ServedModel, scope: Scope) -> bool:
        open_keys = [
            group.key
            for group in self._view.groups(service).values()
            if group.model == served.name and group.is_open
        ]
        load = sum(scope.in_flight.get(key, 0) for key in open_keys)
        return load > BUSY_PART * engine.slots * len(open_keys)

    def _begin(self, service: str, engine: model.Engine,
               served: model.ServedModel, scope: Scope,
               picked: list[fleetview.Known],
               now_ms: float) -> Iterator[Action]:
        self._count += 1
        self._epoch += 1
        key = model.GroupKey(f"{self._name}-{self._count}", self._epoch)
        cold = sum(_join_ms(each, served) > served.warm_ms for each in picked)
        # All planners load at the same time.
        at_once = cold * scope.count / max(1, len(scope.data_centres))
        slowed = max(1.0, at_once / engine.loads_at_once)
        longest_ms = max(_join_ms(each, served) for each in picked)
        if scope.in_lead and cold:
            longest_ms *= slowed * LEAD_LOAD_FACTOR
        self._loads_ms += [now_ms] * (0 if scope.in_lead else cold)
        members = tuple(each.runner.id for each in picked)
        formation = Formation(key, service, served, members, now_ms,
                              now_ms + longest_ms + DUE_MARGIN_MS, cold)
        self.formations[key] = formation
        yield from self._joins(formation)

    def _is_free(self, known: fleetview.Known) -> bool:
        runner_id = known.runner.id
        if not known.usable or known.membership is not None:
            return False
        return runner_id not in self._pending and not any(
            runner_id in each.members for each in self.formations.values())

    def _by_need(self, service: str, engine: model.Engine,
                 runners: list[fleetview.Known]) -> list[model.ServedModel]:
        # The model with the fewest runners for its share of the work first,
        # in the domain and then over all.
        in_domain = {each.runner.id for each in runners}
        here: dict[str, int] = {}
        overall: dict[str, int] = {}
        for group in self._view.groups(service).values():
            for known in group.members.values():
                overall[group.model] = overall.get(group.model, 0) + 1
                if known.runner.id in in_domain:
                    here[group.model] = here.get(group.model, 0) + 1
        for formation in self.formations.values():
            name = formation.model.name
            for member in formation.members:
                joined = self._view.known.get(member)
                if joined is None or joined.membership is not None:
                    continue
                overall[name] = overall.get(name, 0) + 1
                if member in in_domain:
                    here[name] = here.get(name, 0) + 1

        def need(served: model.ServedModel) -> tuple[float, float]:
            share = max(served.share, 1e-6)
            return (here.get(served.name, 0) / share,
                    overall.get(served.name, 0) / share)

        return sorted(engine.models, key=need)

    def _pick(self, engine: model.Engine, served: model.ServedModel,
              scope: Scope, runners: list[fleetview.Known],
              free: list[fleetview.Known],
              now_ms: float) -> list[fleetview.Known] | None:
        if len(free) < served.size:
            return None
        ranked = sorted(free, key=lambda each: _join_ms(each, served))
        picked = ranked[:served.size]
        cold = sum(_join_ms(each, served) > served.warm_ms for each in picked)
        has_group = any(
            not self._is_free(each) and each.usable for each in runners)
        if has_group and not any(each.last_model for each in picked):
            reserve = round(SPARE_SHARE * len(runners))
            if len(free) - served.size < reserve:
                return None
        if cold and not scope.in_lead:
            # Loading takes some ten times as long as all else: spares are
            # staged, and the group is formed once its members are warm.
            return None
        if cold and not self._may_load_in_lead(engine, scope, now_ms):
            return None
        return picked

    def _may_load_in_lead(self, engine: model.Engine, scope: Scope,
                          now_ms: float) -> bool:
        # Loads share the store's bandwidth: beyond `loads_at_once` each takes
        # longer, and all groups would be ready only at the very end.
        loading = sum(each.loads
                      for each in self.formations.values()
                      if each.loads and now_ms < each.due_ms)
        share = engine.loads_at_once * len(scope.data_centres) / scope.count
        return loading < max(1.0, share)

    def _joins(self, formation: Formation) -> Iterator[Action]:
        for member in formation.members:
            known = self._view.known[member]
            yield orders.Order(member,
                               orders.Operation.JOIN,
                               formation.key,
                               formation.model.name,
                               formation.members,
                               expected_seq=known.orders_begun,
                               reason="new group")

    def _stage(self, engine: model.Engine, scope: Scope,
               runners: list[fleetview.Known],
               now_ms: float) -> Iterator[Action]:
        if scope.in_lead and any(
                each.loads for each in self.formations.values()):
            return
        free = [each for each in runners if self._is_free(each)]
        held: dict[str, int] = {each.name: 0 for each in engine.models}
        for known in free:
            name = self._warm_model(known)
            if name in held:
                held[name] += 1
        for known in self._idle(engine, free, held):
            if not self._may_load(engine, scope, now_ms):
                return
            before = self._warm_model(known)
            served = self._wanted(engine, held, len(free))
            if served.name == before:
                continue
            if before in held:
                held[before] -= 1
            held[served.name] += 1
            self._staging[known.runner.id] = (served.name,
                                              now_ms + 2 * served.load_ms)
            self._loads_ms.append(now_ms)
            yield orders.Order(known.runner.id,
                               orders.Operation.STAGE,
                               model=served.name,
                               expected_seq=known.orders_begun,
                               reason=f"held in the domain: {held}")

    def _idle(self, engine: model.Engine, free: list[fleetview.Known],
              held: dict[str, int]) -> list[fleetview.Known]:
        """Returns runners whose host may load something else, blank ones first.

        One that holds a model may load another only where enough runners are
        free for a group of either and no whole group can be made: it would
        wait for ever for partners.
        """
        blank = [each for each in free if not self._warm_model(each)]
        sizes = {each.name: each.size for each in engine.models}
        stuck = len(free) >= min(sizes.values()) and all(
            count < sizes[name] for name, count in held.items())
        if blank or not stuck or any(
                each.runner.id in self._staging for each in free):
            return blank
        best = max(held, key=lambda name: (held[name] / sizes[name], name))
        missing = sizes[best] - held[best]
        others = [each for each in free if self._warm_model(each) != best]
        return others[:missing] if len(others) >= missing else []

    def _wanted(self, engine: model.Engine, held: dict[str, int],
                free: int) -> model.ServedModel:
        # What lacks the fewest runners to a whole group comes first, where
        # there are enough of them; else the model with the fewest spares.
        def key(served: model.ServedModel) -> tuple[float, float]:
            count = held[served.name]
            missing = served.size - count
            reachable = 0 < missing < served.size and free >= served.size
            return (missing if reachable else math.inf,
                    count / max(served.share, 1e-6))

        return min(engine.models, key=key)

    def _warm_model(self, known: fleetview.Known) -> str:
        if known.runner.id in self._staging:
            return self._staging[known.runner.id][0]
        if known.standing.staged:
            return known.standing.staged[-1]
        return known.last_model

    def _forget_staged(self, now_ms: float) -> None:
        for runner_id, (name, until_ms) in list(self._staging.items()):
            known = self._view.known.get(runner_id)
            done = known is not None and name in known.standing.staged
            if known is None or done or now_ms > until_ms:
                del self._staging[runner_id]

    def _may_load(self, engine: model.Engine, scope: Scope,
                  now_ms: float) -> bool:
        if scope.in_lead:
            return True
        self._loads_ms = [
            each for each in self._loads_ms if now_ms - each < LOAD_WINDOW_MS
        ]
        limit = (LOAD_SHARE * engine.loads_per_s * LOAD_WINDOW_MS / 1000 *
                 len(scope.data_centres) / scope.count)
        return len(self._loads_ms) + 1 <= limit


def _is_ready(known: fleetview.Known, key: model.GroupKey) -> bool:
    membership = known.membership
    return (membership is not None and membership.key == key and
            membership.state
            in (model.MemberState.READY, model.MemberState.OPEN))


def _join_ms(known: fleetview.Known, served: model.ServedModel) -> float:
    if known.last_model == served.name:
        return REJOIN_MS
    if served.name in known.standing.staged:
        return served.warm_ms
    return served.load_ms
