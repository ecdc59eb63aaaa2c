"""Groups that stand, or did: ended, adopted, and asked where nothing tells."""

from collections.abc import Iterator

from cardamommill.gateway import (
    consolidation,
    fleetview,
    formations,
    model,
    planning,
)

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


class Reconciliation:
    """Decides what becomes of the groups of one planner, and whom to ask."""

    def __init__(self, view: fleetview.FleetView, made: formations.Formations,
                 given_up: consolidation.Consolidation) -> None:
        """Makes it.

        Args:
            view: What is believed.
            made: Groups on their way to serving, which it leaves alone; it
                has members leave.
            given_up: Ends slow groups itself.
        """
        self._view = view
        self._formations = made
        self._consolidation = given_up
        self._asked_ms: dict[str, float] = {}
        self._foreign_ms: dict[model.GroupKey, float] = {}

    def step(self, groups: dict[model.GroupKey, fleetview.Group], service: str,
             engine: model.Engine, scope: planning.Scope,
             now_ms: float) -> Iterator[planning.Action]:
        """Returns what to do for the groups and runners of a service.

        Args:
            groups: All that were known when this look began.
            service: Whose groups.
            engine: Of the service.
            scope: For whom it is done.
            now_ms: The time.
        """
        for group in groups.values():
            if group.key not in self._formations.by_key:
                yield from self._keep_up(group, service, engine, scope, now_ms)
        yield from self._ask_the_silent(service, scope, now_ms)
        yield from self._count_orders(service, scope, now_ms)

    def _keep_up(self, group: fleetview.Group, service: str,
                 engine: model.Engine, scope: planning.Scope,
                 now_ms: float) -> Iterator[planning.Action]:
        if not is_in_scope(group, scope):
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
        if served is None or self._consolidation.is_retiring(group.key):
            return
        complete = len(group.members) == served.size
        if complete and not group.is_open:
            if self._is_overdue(group.key, now_ms):
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
        leaving = [each for each in group.members.values() if each.is_leaving]
        if leaving:
            since_ms = min(each.leaving_ms for each in leaving)
            idle = not scope.load(group.key).total_requests
            if idle or now_ms - since_ms > RETIRE_MS:
                return f"{leaving[0].runner.id} is leaving"
            return ""
        if served is not None and len(group.members) == served.size:
            return ""
        if not self._is_overdue(group.key, now_ms):
            return ""
        # Where a member never named itself here, the head serves all the same
        # while it answers, so somebody must have seen it ready.
        is_serving = group.is_open and served is not None
        return "a member is missing" if is_serving else "never whole"

    def _is_overdue(self, key: model.GroupKey, now_ms: float) -> bool:
        first_ms = self._foreign_ms.setdefault(key, now_ms)
        return now_ms - first_ms > FOREIGN_GRACE_MS

    def _ask_absent(self, group: fleetview.Group, scope: planning.Scope,
                    now_ms: float) -> Iterator[planning.Action]:
        """Asks members of whom nothing else would tell that they died.

        While the store is away the list is silent, and once keys can't be
        confirmed no stream is there to fall silent: groups that died in an
        outage were found and formed anew only after it, while callers waited.
        """
        is_stale = (now_ms - self._view.list_as_of_ms
                    > self._view.list_stale_ms)
        is_unseen = is_stale and not scope.load(group.key).total_requests
        for known in group.members.values():
            if known.down_ms or (known.listed and not is_unseen):
                continue
            reason = "no word of it" if known.listed else "left the list"
            yield from self._ask(known, reason, ABSENT_RETRY_MS, now_ms)

    def _ask_the_silent(self, service: str, scope: planning.Scope,
                        now_ms: float) -> Iterator[planning.Action]:
        for known in self._view.runners_of(service):
            if not known.down_ms or known.is_leaving:
                continue
            if known.runner.data_centre not in scope.data_centres:
                continue
            yield from self._ask(known, "did not answer", DOWN_RETRY_MS, now_ms)

    def _ask_anew(self, doubted: list[fleetview.RunnerRecord],
                  now_ms: float) -> Iterator[planning.Action]:
        for known in doubted:
            yield from self._ask(known, "another member is back", BACK_RETRY_MS,
                                 now_ms)

    def _count_orders(self, service: str, scope: planning.Scope,
                      now_ms: float) -> Iterator[planning.Action]:
        """Asks for counts of orders before they are needed.

        A planner that has just started guesses them. Each wrong guess is
        refused, and ends the forming of a whole group: three in a row took
        1.3 s after a restart of all nodes.
        """
        for known in self._view.runners_of(service):
            if known.has_exact_order_count or not known.is_usable:
                continue
            if known.runner.data_centre not in scope.data_centres:
                continue
            yield from self._ask(known, "count of orders unknown",
                                 COUNT_RETRY_MS, now_ms)

    def _ask(self, known: fleetview.RunnerRecord, reason: str,
             interval_ms: float, now_ms: float) -> Iterator[planning.Action]:
        runner = known.runner.id
        if now_ms - self._asked_ms.get(runner, float("-inf")) >= interval_ms:
            self._asked_ms[runner] = now_ms
            yield planning.Probe(runner, reason)


def is_in_scope(group: fleetview.Group, scope: planning.Scope) -> bool:
    """Whether the planner of these data centres plans for a group."""
    # The lowest rank decides, so that a group over two data centres has one
    # planner.
    first = group.members[min(group.members)]
    return first.runner.data_centre in scope.data_centres


def _doubted(
        members: list[fleetview.RunnerRecord]) -> list[fleetview.RunnerRecord]:
    """Returns members whose silence is older than another's return.

    A data centre that was cut off comes back: one member answers, the next was
    asked last while the link was still cut. Ended by that, groups that were
    well were taken apart in the second after the link was mended.
    """
    recovered_ms = max((each.recovered_ms for each in members), default=0.0)
    return [
        each for each in members
        if each.down_ms and each.unanswered_ms < recovered_ms
    ]
