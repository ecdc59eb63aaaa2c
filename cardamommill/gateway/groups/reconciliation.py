"""Reconciles existing groups: ends, adopts and probes them."""

from collections.abc import Iterator

from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import consolidation, formations, planning

# An incomplete or unopened group of another planner is left alone for this
# long.
FOREIGN_GRACE_MS = 2500.0
# A group with a leaving member gets no new requests and ends when it has none
# left, or after this. The member stays while the head has work, for 10 s at
# most. Ending the group after 1.1 s cut streams that no other group could
# continue.
DRAIN_TIMEOUT_MS = 5000.0
# Interval between probes of a listed runner that does not answer.
DOWN_RETRY_MS = 1200.0
# Interval between probes of a group's members while one answers again and
# another does not.
RECOVERY_RETRY_MS = 200.0
# Interval between probes of a runner whose order count is not known.
COUNT_RETRY_MS = 300.0
# Interval between probes of a member that left the list, or that neither a
# current list nor a request observes. One that left the list may have lost only
# its connection to the store.
ABSENT_RETRY_MS = 1500.0


class Reconciliation:
    """Ends or adopts the groups of one planner and probes their runners."""

    def __init__(self, view: fleetview.FleetView,
                 active_formations: formations.Formations,
                 consolidator: consolidation.Consolidation) -> None:
        """Creates a reconciliation.

        Args:
            view: The known state of all runners.
            active_formations: Groups that are being formed, which are left
                alone; also creates the orders to leave.
            consolidator: Knows the groups that are being retired; it ends
                these, so they are left alone here.
        """
        self._view = view
        self._formations = active_formations
        self._consolidation = consolidator
        self._probed_ms: dict[str, float] = {}
        # Since when each group is known to be incomplete or not open.
        self._unfinished_since_ms: dict[model.GroupKey, float] = {}
        # Since when the head of each group is not listed.
        self._unlisted_since_ms: dict[model.GroupKey, float] = {}

    def step(self, groups: dict[model.GroupKey, fleetview.Group], service: str,
             engine: model.Engine, scope: planning.Scope,
             now_ms: float) -> Iterator[planning.Action]:
        """Yields the actions for the groups and runners of a service.

        Args:
            groups: All groups of the service at the start of this step.
            service: The name of the service.
            engine: The engine of the service.
            scope: The data centres to plan for.
            now_ms: The current time.
        """
        for group in groups.values():
            if group.key not in self._formations.by_key:
                yield from self._reconcile_group(group, service, engine, scope,
                                                 now_ms)
        yield from self._probe_down_runners(service, scope, now_ms)
        yield from self._probe_order_counts(service, scope, now_ms)

    def _reconcile_group(self, group: fleetview.Group, service: str,
                         engine: model.Engine, scope: planning.Scope,
                         now_ms: float) -> Iterator[planning.Action]:
        if not is_in_scope(group, scope):
            return
        served = engine.model(group.model)
        members = list(group.members.values())
        to_recheck = _members_to_recheck(members)
        if to_recheck:
            yield from self._probe_again(to_recheck, now_ms)
            return
        reason = self._end_reason(group, served, scope, now_ms)
        if reason:
            yield from self._formations.leave(group.key, members, reason)
            return
        if served is None or self._consolidation.is_retiring(group.key):
            return
        complete = len(group.members) == served.size
        if complete and not group.is_open:
            if self._is_overdue(group.key, now_ms):
                self._formations.adopt(group, service, served, now_ms)
            return
        if group.is_open:
            self._unfinished_since_ms.pop(group.key, None)
            yield from self._probe_unobserved(group, scope, now_ms)

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
            # Its entry may only have expired during an outage of the store. If
            # the head is dead, it does not answer the probe.
            since_ms = self._unlisted_since_ms.setdefault(group.key, now_ms)
            idle = not scope.load(group.key).total_requests
            if now_ms - since_ms > (FOREIGN_GRACE_MS
                                    if idle else DRAIN_TIMEOUT_MS):
                return "its head left the list"
            return ""
        self._unlisted_since_ms.pop(group.key, None)
        leaving = [each for each in group.members.values() if each.is_leaving]
        if leaving:
            since_ms = min(each.leaving_ms for each in leaving)
            idle = not scope.load(group.key).total_requests
            if idle or now_ms - since_ms > DRAIN_TIMEOUT_MS:
                return f"{leaving[0].runner.id} is leaving"
            return ""
        if served is not None and len(group.members) == served.size:
            return ""
        if not self._is_overdue(group.key, now_ms):
            return ""
        # This node may never have seen one of the members. If the group is
        # open, some planner must have seen all of them ready, and the group
        # serves as long as that member answers.
        is_serving = group.is_open and served is not None
        return "a member is missing" if is_serving else "never complete"

    def _is_overdue(self, key: model.GroupKey, now_ms: float) -> bool:
        since_ms = self._unfinished_since_ms.setdefault(key, now_ms)
        return now_ms - since_ms > FOREIGN_GRACE_MS

    def _probe_unobserved(self, group: fleetview.Group, scope: planning.Scope,
                          now_ms: float) -> Iterator[planning.Action]:
        """Probes members whose death nothing else would reveal.

        While the store is unavailable the list is not updated. Once the keys of
        callers can't be confirmed, no requests are admitted, so no stream runs
        whose silence could be noticed. Without these probes, groups that died
        in an outage of the store were found and formed again only after it,
        while callers waited.
        """
        is_stale = (now_ms - self._view.list_as_of_ms
                    > self._view.list_stale_ms)
        is_unobserved = is_stale and not scope.load(group.key).total_requests
        for known in group.members.values():
            if known.down_ms or (known.listed and not is_unobserved):
                continue
            reason = ("list stale and no requests in flight"
                      if known.listed else "left the list")
            yield from self._probe(known, reason, ABSENT_RETRY_MS, now_ms)

    def _probe_down_runners(self, service: str, scope: planning.Scope,
                            now_ms: float) -> Iterator[planning.Action]:
        for known in self._view.runners_of(service):
            if not known.down_ms or known.is_leaving:
                continue
            if known.runner.data_centre not in scope.data_centres:
                continue
            yield from self._probe(known, "did not answer", DOWN_RETRY_MS,
                                   now_ms)

    def _probe_again(self, to_recheck: list[fleetview.RunnerRecord],
                     now_ms: float) -> Iterator[planning.Action]:
        for known in to_recheck:
            yield from self._probe(known, "another member answers again",
                                   RECOVERY_RETRY_MS, now_ms)

    def _probe_order_counts(self, service: str, scope: planning.Scope,
                            now_ms: float) -> Iterator[planning.Action]:
        """Probes runners whose order count is not known, before it is needed.

        A planner that has just started guesses the counts. The runner refuses
        an order with a wrong guess, which ends the formation of a whole group:
        three such refusals in a row took 1.3 s after a restart of all nodes.
        """
        for known in self._view.runners_of(service):
            if known.has_exact_order_count or not known.is_usable:
                continue
            if known.runner.data_centre not in scope.data_centres:
                continue
            yield from self._probe(known, "order count unknown", COUNT_RETRY_MS,
                                   now_ms)

    def _probe(self, known: fleetview.RunnerRecord, reason: str,
               interval_ms: float, now_ms: float) -> Iterator[planning.Action]:
        runner = known.runner.id
        if now_ms - self._probed_ms.get(runner, float("-inf")) >= interval_ms:
            self._probed_ms[runner] = now_ms
            yield planning.Probe(runner, reason)


def is_in_scope(group: fleetview.Group, scope: planning.Scope) -> bool:
    """Whether the planner of these data centres plans for a group."""
    # The member of the lowest known rank decides, so that a group across two
    # data centres has one planner.
    lowest_rank = group.members[min(group.members)]
    return lowest_rank.runner.data_centre in scope.data_centres


def _members_to_recheck(
        members: list[fleetview.RunnerRecord]) -> list[fleetview.RunnerRecord]:
    """Returns the members that have to be probed again before the group ends.

    Their last unanswered probe is older than another member's recovery. When a
    data centre is reachable again, one member answers while the others were
    last probed during the partition. Ending groups on that evidence dissolved
    healthy groups in the second after the link was restored.
    """
    recovered_ms = max((each.recovered_ms for each in members), default=0.0)
    return [
        each for each in members
        if each.down_ms and each.unanswered_ms < recovered_ms
    ]
