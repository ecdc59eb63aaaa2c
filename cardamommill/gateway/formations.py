"""Groups on their way to serving: joined, seen ready, opened, or given up."""

from collections.abc import Iterator

from cardamommill.gateway import fleetview, loads, model, orders, planning

# Between two looks at members that should be ready by now, and between two once
# they are long overdue: such a group mostly waits for an order that was lost or
# a member that died, and no look hastens that.
LOOK_AGAIN_MS = 120.0
LATE_LOOK_AGAIN_MS = 480.0
OVERDUE_MS = 600.0
# The first look is so long before they are due: loads that share the store with
# fewer others than was thought are done sooner.
SOON_MS = 100.0
# A formation that takes this many times what it should is given up.
PATIENCE = 3.0
PATIENCE_FLOOR_MS = 3000.0
# Loads take this part of their time before the first request.
LEAD_LOAD_FACTOR = 0.1
# A member's join is ordered so often at most. Given up for the first that was
# not answered, no group of many members was formed while one order in three is
# lost; with this nearly all are.
MAX_JOIN_ATTEMPTS = 6
# From the end of a join to its word in the list.
DUE_MARGIN_MS = 20.0


class Formations:
    """All formations of one planner."""

    def __init__(self, view: fleetview.FleetView, name: str, pending: set[str],
                 ledger: loads.LoadRateLimiter) -> None:
        """Makes it.

        Args:
            view: What is believed.
            name: Begins all names of groups.
            pending: Runners with an order under way.
            ledger: Counts loads.
        """
        self._view = view
        self._name = name
        self._pending = pending
        self._ledger = ledger
        self._count = 0
        self._epoch = 0
        self.by_key: dict[model.GroupKey, planning.Formation] = {}

    def observe_epoch(self, epoch: int) -> None:
        """Has all later groups come after an epoch that was seen."""
        self._epoch = max(self._epoch, epoch)

    def has_member(self, runner: str) -> bool:
        """Whether a runner is in any of them."""
        return any(runner in each.members for each in self.by_key.values())

    def for_order(self, order: orders.Order) -> planning.Formation | None:
        """Returns the formation that an order belongs to."""
        return self.by_key.get(order.group) if order.group else None

    def advance(self, service: str, engine: model.Engine,
                now_ms: float) -> Iterator[planning.Action]:
        """Returns what to do now for those of a service."""
        for formation in list(self.by_key.values()):
            if formation.service == service:
                yield from self._advance_one(formation, engine, now_ms)

    def _advance_one(self, formation: planning.Formation, engine: model.Engine,
                     now_ms: float) -> Iterator[planning.Action]:
        members = [self._view.known.get(each) for each in formation.members]
        fault = self._fault(formation, members, now_ms)
        if fault:
            del self.by_key[formation.key]
            yield from self.leave(formation.key, members, fault)
            return
        unready = [
            each for each in members
            if each is not None and not planning.is_ready(each, formation.key)
        ]
        head = members[0]
        assert head is not None and head.membership is not None or unready
        yield from self._join_again(formation)
        if unready:
            if now_ms >= max(formation.due_ms - SOON_MS,
                             formation.next_check_ms):
                is_late = now_ms > formation.due_ms + OVERDUE_MS
                formation.next_check_ms = now_ms + (LATE_LOOK_AGAIN_MS if
                                                    is_late else LOOK_AGAIN_MS)
                yield from self._look(unready, now_ms)
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
            # The head serves this long after it accepted; were it not so, it
            # would refuse what is sent, as not run.
            if now_ms >= formation.open_accepted_ms + engine.form_ms + 10:
                self._view.record_open_group(head.runner.id, formation.key,
                                             formation.model.name)
        elif head.runner.id not in self._pending:
            formation.open_sent_ms = 0.0
            yield planning.ReadList()

    def _look(self, unready: list[fleetview.RunnerRecord],
              now_ms: float) -> Iterator[planning.Action]:
        # The list is told at once and reports are old, but a node that is cut
        # off from the store would wait for the list for as long as that lasts:
        # a group stood ready and unopened for 8 s.
        if now_ms - self._view.list_as_of_ms < self._view.list_stale_ms:
            yield planning.ReadList()
            return
        for each in unready:
            yield planning.Probe(each.runner.id, "should be ready")

    def _fault(self, formation: planning.Formation,
               members: list[fleetview.RunnerRecord | None],
               now_ms: float) -> str:
        if formation.refused:
            return formation.refused
        for runner_id, known in zip(formation.members, members, strict=True):
            if known is None or not known.is_usable:
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
                    runner_id not in formation.unanswered_joins and
                    now_ms > formation.due_ms and
                    known.report_ms > formation.started_ms):
                return f"{runner_id} did not join"
        took_ms = now_ms - formation.started_ms
        planned_ms = formation.due_ms - formation.started_ms
        if took_ms > max(PATIENCE_FLOOR_MS, PATIENCE * planned_ms):
            return f"not ready after {took_ms:.0f} ms"
        if formation.open_attempts > 4:
            return "head does not open"
        return ""

    def adopt(self, group: fleetview.Group, service: str,
              served: model.ServedModel, now_ms: float) -> None:
        """Goes on with a formation that another planner began."""
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
        """Begins a group with these members, the head first."""
        self._count += 1
        self._epoch += 1
        key = model.GroupKey(f"{self._name}-{self._count}", self._epoch)
        cold = sum(not planning.is_warm(each, served) for each in picked)
        # All planners load at the same time.
        at_once = cold * scope.count / max(1, len(scope.data_centres))
        slowed = max(1.0, at_once / engine.loads_at_once)
        longest_ms = max(planning.join_ms(each, served) for each in picked)
        if scope.is_before_traffic and cold:
            longest_ms *= slowed * LEAD_LOAD_FACTOR
        if not scope.is_before_traffic:
            self._ledger.note(cold, now_ms)
        members = tuple(each.runner.id for each in picked)
        formation = planning.Formation(key, service, served, members, now_ms,
                                       now_ms + longest_ms + DUE_MARGIN_MS,
                                       cold)
        self.by_key[key] = formation
        yield from self._joins(formation)

    def _joins(self,
               formation: planning.Formation) -> Iterator[planning.Action]:
        for member in formation.members:
            yield self._join(formation, member, "new group")

    def _join(self, formation: planning.Formation, member: str,
              reason: str) -> orders.Order:
        return orders.Order(member,
                            orders.Operation.JOIN,
                            formation.key,
                            formation.model.name,
                            formation.members,
                            expected_seq=self._view.known[member].orders_begun,
                            reason=reason)

    def _join_again(self,
                    formation: planning.Formation) -> Iterator[planning.Action]:
        """Orders members again whose join may not have come through.

        The runner takes the same join twice for one, and names the count that
        it has by now: one that is carried out late is refused.
        """
        for member in list(formation.unanswered_joins):
            known = self._view.known[member]
            place = known.membership
            if place is not None and place.key == formation.key:
                # The answer was lost, or the order carried out late.
                del formation.unanswered_joins[member]
            elif member not in self._pending and place is None:
                yield self._join(formation, member, "no answer to the last")

    def join_refused(self, formation: planning.Formation, runner: str,
                     reason: str, may_retry: bool) -> None:
        """Notes that a member did not answer, or refused.

        Args:
            formation: Its group.
            runner: The member.
            reason: What it said.
            may_retry: Whether it may accept the same order later.
        """
        tries = formation.unanswered_joins.get(runner, 0) + 1
        formation.unanswered_joins[runner] = tries
        if not may_retry or tries >= MAX_JOIN_ATTEMPTS:
            formation.refused = f"{runner} refused: {reason}"

    def join_accepted(self, formation: planning.Formation, runner: str,
                      now_ms: float) -> None:
        """Notes that a member joins; the group is due later if it is late."""
        if formation.unanswered_joins.pop(runner, 0):
            known = self._view.known[runner]
            takes_ms = planning.join_ms(known, formation.model)
            formation.due_ms = max(formation.due_ms,
                                   now_ms + takes_ms + DUE_MARGIN_MS)

    def leave(self, key: model.GroupKey, members: list[fleetview.RunnerRecord] |
              list[fleetview.RunnerRecord | None],
              reason: str) -> Iterator[planning.Action]:
        """Has all members that can be reached leave a group."""
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
            # A runner that is in another group by now has nothing to leave and
            # answers as if it were done. Taken for an order that counted, two
            # of them made up for what another planner had ordered, and the
            # next join took it out of an open group.
            count = known.orders_begun if known.has_exact_order_count else None
            yield orders.Order(known.runner.id,
                               orders.Operation.LEAVE,
                               key,
                               expected_seq=count,
                               reason=reason)
