"""Forms groups: orders joins, checks readiness, opens or gives up."""

from collections.abc import Iterator

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import loads, planning

# Intervals between readiness checks of members that should be ready by now, and
# of members that are long overdue. The latter mostly wait for a lost order or a
# dead member, which checking more often does not speed up.
CHECK_INTERVAL_MS = 120.0
OVERDUE_CHECK_INTERVAL_MS = 480.0
OVERDUE_AFTER_MS = 600.0
# The first check comes this long before the members are due: loads that share
# the store with fewer others than estimated finish sooner.
EARLY_CHECK_MS = 100.0
# A formation is given up after this many times its planned duration, but not
# before the minimum.
TIMEOUT_FACTOR = 3.0
MIN_TIMEOUT_MS = 3000.0
# Before the first request, a load takes this fraction of its usual time.
LOAD_FACTOR_BEFORE_TRAFFIC = 0.1
# Join orders per member without success before the group is given up. With a
# single one, no large group was formed while one order in three was lost; with
# this many, nearly all are formed.
MAX_JOIN_ATTEMPTS = 6
# Margin from the end of a join until the list of runners shows it.
DUE_MARGIN_MS = 20.0


class Formations:
    """All groups that one planner is forming."""

    def __init__(self, view: fleetview.FleetView, name: str, pending: set[str],
                 load_limiter: loads.LoadRateLimiter) -> None:
        """Creates an empty set of formations.

        Args:
            view: The known state of all runners.
            name: Prefix of all group names.
            pending: Runners that get no order now: one is in flight, or was
                refused and they were not probed since.
            load_limiter: Records the loads that are started.
        """
        self._view = view
        self._name = name
        self._pending = pending
        self._load_limiter = load_limiter
        self._count = 0
        self._epoch = 0
        self.by_key: dict[model.GroupKey, planning.Formation] = {}

    def observe_epoch(self, epoch: int) -> None:
        """Ensures that later groups get a higher epoch than this one."""
        self._epoch = max(self._epoch, epoch)

    def has_member(self, runner: str) -> bool:
        """Whether a runner is a member of a group that is being formed."""
        return any(runner in each.members for each in self.by_key.values())

    def drop_evacuated(self, scope: planning.Scope) -> None:
        """Drops the formations in evacuated data centres, without any order.

        When a data centre is back, reconciliation adopts or ends them as it
        does with the groups of a planner that has died.
        """
        for formation in list(self.by_key.values()):
            known = (self._view.known.get(each) for each in formation.members)
            if scope.is_evacuated(each for each in known if each is not None):
                del self.by_key[formation.key]

    def for_order(self, order: orders.Order) -> planning.Formation | None:
        """Returns the formation that an order belongs to, if any."""
        return self.by_key.get(order.group) if order.group else None

    def advance(self, service: str, engine: model.Engine,
                now_ms: float) -> Iterator[planning.Action]:
        """Yields the next actions for the formations of a service."""
        for formation in list(self.by_key.values()):
            if formation.service == service:
                yield from self._advance_one(formation, engine, now_ms)

    def _advance_one(self, formation: planning.Formation, engine: model.Engine,
                     now_ms: float) -> Iterator[planning.Action]:
        members = [self._view.known.get(each) for each in formation.members]
        failure = self._failure_reason(formation, members, now_ms)
        if failure:
            del self.by_key[formation.key]
            yield from self.leave(formation.key, members, failure)
            return
        unready = [
            each for each in members
            if each is not None and not planning.is_ready(each, formation.key)
        ]
        head = members[0]
        assert head is not None and head.membership is not None or unready
        yield from self._retry_joins(formation)
        if unready:
            if now_ms >= max(formation.due_ms - EARLY_CHECK_MS,
                             formation.next_check_ms):
                is_overdue = now_ms > formation.due_ms + OVERDUE_AFTER_MS
                formation.next_check_ms = now_ms + (OVERDUE_CHECK_INTERVAL_MS
                                                    if is_overdue else
                                                    CHECK_INTERVAL_MS)
                yield from self._check_members(unready, now_ms)
            return
        assert head is not None and head.membership is not None
        if head.membership.state is model.MemberState.OPEN:
            del self.by_key[formation.key]
            yield planning.GroupOpened(formation.key, formation.service,
                                       formation.model.name, head.runner.id,
                                       now_ms - formation.started_ms)
            return
        if not formation.open_sent_ms:
            formation.open_sent_ms = now_ms
            formation.open_attempts += 1
            formation.next_check_ms = now_ms + engine.form_ms + 20
            yield orders.Order(head.runner.id,
                               orders.Operation.OPEN,
                               formation.key,
                               expected_seq=head.orders_begun,
                               reason="all members ready")
        elif formation.open_accepted_ms:
            # The head serves this long after it accepted. If it is not ready
            # even so, no harm is done: it refuses requests without running
            # them.
            if now_ms >= formation.open_accepted_ms + engine.form_ms + 10:
                self._view.record_open_group(head.runner.id, formation.key,
                                             formation.model.name)
        elif head.runner.id not in self._pending:
            # The order was not accepted and the head was probed since, so the
            # order is sent again in the next step.
            formation.open_sent_ms = 0.0
            yield planning.ReadList()

    def _check_members(self, unready: list[fleetview.RunnerRecord],
                       now_ms: float) -> Iterator[planning.Action]:
        # The list is updated at once while reports lag behind. A node that is
        # cut off from the store can't read the list, though: a group waited for
        # 8 s, ready but not opened, until the store could be reached again.
        if now_ms - self._view.list_as_of_ms < self._view.list_stale_ms:
            yield planning.ReadList()
            return
        for each in unready:
            yield planning.Probe(each.runner.id, "join should be complete")

    def _failure_reason(self, formation: planning.Formation,
                        members: list[fleetview.RunnerRecord | None],
                        now_ms: float) -> str:
        if formation.refused:
            return formation.refused
        for runner_id, known in zip(formation.members, members, strict=True):
            if known is None or not known.may_join:
                return f"{runner_id} is gone, down, leaving or stands still"
            membership = known.membership
            elsewhere = (membership is not None and
                         membership.key != formation.key)
            if elsewhere and runner_id not in self._pending:
                return f"{runner_id} is in another group"
            if (membership is not None and membership.key == formation.key and
                    membership.state is model.MemberState.BROKEN):
                return "broken"
            if (membership is None and runner_id not in self._pending and
                    runner_id not in formation.failed_joins and
                    now_ms > formation.due_ms and
                    known.report_ms > formation.started_ms):
                return f"{runner_id} did not join"
        took_ms = now_ms - formation.started_ms
        planned_ms = formation.due_ms - formation.started_ms
        if took_ms > max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * planned_ms):
            return f"not ready after {took_ms:.0f} ms"
        if formation.open_attempts > 4:
            return "head did not open after repeated orders"
        return ""

    def adopt(self, group: fleetview.Group, service: str,
              served: model.ServedModel, now_ms: float) -> None:
        """Takes over a formation that another planner started."""
        members = tuple(
            group.members[rank].runner.id for rank in sorted(group.members))
        if sorted(group.members) != list(range(served.size)):
            return
        self.by_key[group.key] = planning.Formation(group.key, service, served,
                                                    members, now_ms,
                                                    now_ms + served.warm_ms)

    def begin(self, service: str, engine: model.Engine,
              served: model.ServedModel, scope: planning.Scope,
              picked: list[fleetview.RunnerRecord],
              now_ms: float) -> Iterator[planning.Action]:
        """Starts a group with these members, the head first."""
        self._count += 1
        self._epoch += 1
        key = model.GroupKey(f"{self._name}-{self._count}", self._epoch)
        cold = sum(not planning.is_warm(each, served) for each in picked)
        # The planners of all data centres load at the same time.
        concurrent_loads = cold * scope.count / max(1, len(scope.data_centres))
        slowdown = max(1.0, concurrent_loads / engine.loads_at_once)
        longest_ms = max(planning.join_ms(each, served) for each in picked)
        if scope.is_before_traffic and cold:
            longest_ms *= slowdown * LOAD_FACTOR_BEFORE_TRAFFIC
        if not scope.is_before_traffic:
            self._load_limiter.note(cold, now_ms)
        members = tuple(each.runner.id for each in picked)
        formation = planning.Formation(key, service, served, members, now_ms,
                                       now_ms + longest_ms + DUE_MARGIN_MS,
                                       cold)
        self.by_key[key] = formation
        yield from self._join_all(formation)

    def _join_all(self,
                  formation: planning.Formation) -> Iterator[planning.Action]:
        for member in formation.members:
            yield self._join_order(formation, member, "new group")

    def _join_order(self, formation: planning.Formation, member: str,
                    reason: str) -> orders.Order:
        return orders.Order(member,
                            orders.Operation.JOIN,
                            formation.key,
                            formation.model.name,
                            formation.members,
                            expected_seq=self._view.known[member].orders_begun,
                            reason=reason)

    def _retry_joins(
            self, formation: planning.Formation) -> Iterator[planning.Action]:
        """Repeats join orders that may not have arrived.

        A runner ignores a join that it has already carried out. The repeated
        order carries the runner's current order count, so a delayed older one
        is refused.
        """
        for member in list(formation.failed_joins):
            known = self._view.known[member]
            place = known.membership
            if place is not None and place.key == formation.key:
                # The answer was lost, or the order was carried out late.
                del formation.failed_joins[member]
            elif member not in self._pending and place is None:
                yield self._join_order(formation, member,
                                       "no answer to the previous join")

    def join_refused(self, formation: planning.Formation, runner: str,
                     reason: str, may_retry: bool) -> None:
        """Records that a member refused its join or did not answer.

        Args:
            formation: The group that it should join.
            runner: The id of the member.
            reason: What it answered.
            may_retry: Whether it may accept the same order later.
        """
        attempts = formation.failed_joins.get(runner, 0) + 1
        formation.failed_joins[runner] = attempts
        if not may_retry or attempts >= MAX_JOIN_ATTEMPTS:
            formation.refused = f"{runner} refused: {reason}"

    def join_accepted(self, formation: planning.Formation, runner: str,
                      now_ms: float) -> None:
        """Records that a member joins; extends the due time after a retry."""
        if formation.failed_joins.pop(runner, 0):
            known = self._view.known[runner]
            expected_ms = planning.join_ms(known, formation.model)
            formation.due_ms = max(formation.due_ms,
                                   now_ms + expected_ms + DUE_MARGIN_MS)

    def leave(self, key: model.GroupKey, members: list[fleetview.RunnerRecord] |
              list[fleetview.RunnerRecord | None],
              reason: str) -> Iterator[planning.Action]:
        """Yields orders to leave a group for all reachable members."""
        # Each member gets its own order to leave before it joins another group:
        # its old head may still be open and out of reach.
        for known in members:
            if known is None or known.runner.id in self._pending:
                continue
            if known.down_ms or not known.listed:
                continue
            membership = known.membership
            if membership is None or membership.key != key:
                continue
            # The order carries the order count, if it is known. Without it, a
            # runner that another planner has moved to another group has nothing
            # to leave and answers as if it had left. The runner does not count
            # this order, but this node did: after two such answers its count
            # included as many orders as the other planner had sent, and its
            # next join took the runner out of an open group. With the count,
            # the runner can refuse the order.
            count = known.orders_begun if known.has_exact_order_count else None
            yield orders.Order(known.runner.id,
                               orders.Operation.LEAVE,
                               key,
                               expected_seq=count,
                               reason=reason)
