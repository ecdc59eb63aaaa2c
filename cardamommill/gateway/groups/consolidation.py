"""Replaces groups across fabric domains by single-domain groups."""

import collections
from collections.abc import Callable, Iterator
import dataclasses

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import formations, planning

# Time for a closed head to finish its requests, after which its members leave
# anyway. A long answer of a group across domains takes about 9 s.
CLOSE_TIMEOUT_MS = 10_000.0
# After this a retired group is no longer tracked, so another planner may adopt
# it.
RETIRING_EXPIRY_MS = 2 * CLOSE_TIMEOUT_MS
# Minimum gain, in single-domain groups. A smaller one is not worth the
# interruption: the retired groups serve nothing for about 3 s, and two groups
# across domains do four fifths of the work of one in a single domain.
MIN_GAIN = 0.5
# A close that may have been lost is repeated after this.
CLOSE_RETRY_MS = 1500.0
RETIRE_REASON = "a single-domain group can be formed"

IsFree = Callable[[fleetview.RunnerRecord], bool]


@dataclasses.dataclass(slots=True)
class _RetiringGroup:
    """A group that is being retired.

    Attributes:
        service: The name of its service.
        model: The name of its model.
        since_ms: When it was first ordered to close.
        sent_ms: When it was last ordered to close.
    """

    service: str
    model: str
    since_ms: float
    sent_ms: float


class Consolidation:
    """Retires groups across domains where single-domain ones can be formed.

    A group of survivors from two domains takes about 2.5 times as long for
    everything. Without consolidation such groups stayed for good: after a
    period of high load all groups of the larger model spanned domains, and the
    first events of their streams came too late for most callers.
    """

    def __init__(self, active_formations: formations.Formations) -> None:
        """Creates a consolidation.

        Args:
            active_formations: Creates the orders to leave.
        """
        self._formations = active_formations
        self._retiring: dict[model.GroupKey, _RetiringGroup] = {}

    def retire(self, service: str, group: fleetview.Group, reason: str,
               now_ms: float) -> Iterator[planning.Action]:
        """Closes a group; its members leave once it has drained."""
        self._retiring[group.key] = _RetiringGroup(service, group.model, now_ms,
                                                   now_ms)
        yield _close_order(group, reason)

    def is_retiring(self, key: model.GroupKey) -> bool:
        """Whether a group is being retired."""
        return key in self._retiring

    def is_retiring_model(self, service: str, model_name: str) -> bool:
        """Whether groups of a model are being retired.

        Their members become free one after the other, and must not form a group
        across domains again.
        """
        return any(each.service == service and each.model == model_name
                   for each in self._retiring.values())

    def step(self, service: str, engine: model.Engine,
             groups: dict[model.GroupKey, fleetview.Group],
             runners: list[fleetview.RunnerRecord], is_free: IsFree,
             now_ms: float) -> Iterator[planning.Action]:
        """Yields the actions for the groups of one data centre.

        Args:
            service: The name of the service.
            engine: The engine of the service.
            groups: All known groups of the service.
            runners: The runners of the data centre.
            is_free: Whether a runner may join a group.
            now_ms: The current time.
        """
        ids = {each.runner.id for each in runners}
        for key, retiring in list(self._retiring.items()):
            if retiring.service != service:
                continue
            group = groups.get(key)
            if group is None or now_ms - retiring.since_ms > RETIRING_EXPIRY_MS:
                del self._retiring[key]
            elif _is_within(group, ids):
                yield from self._continue_retiring(group, retiring, now_ms)
        for served in engine.models:
            if not self.is_retiring_model(service, served.name):
                yield from self._start(service, engine, served, groups, runners,
                                       is_free, now_ms)

    def _continue_retiring(self, group: fleetview.Group,
                           retiring: "_RetiringGroup",
                           now_ms: float) -> Iterator[planning.Action]:
        head = group.head
        state = head.membership.state if head and head.membership else None
        is_draining = state in (model.MemberState.OPEN,
                                model.MemberState.CLOSING)
        if is_draining and now_ms - retiring.since_ms < CLOSE_TIMEOUT_MS:
            is_closing = state is model.MemberState.CLOSING
            if not is_closing and now_ms - retiring.sent_ms > CLOSE_RETRY_MS:
                retiring.sent_ms = now_ms
                yield _close_order(group, "previous close not confirmed")
            return
        yield from self._formations.leave(group.key,
                                          list(group.members.values()),
                                          "retired group is dissolved")

    def _start(self, service: str, engine: model.Engine,
               served: model.ServedModel, groups: dict[model.GroupKey,
                                                       fleetview.Group],
               runners: list[fleetview.RunnerRecord], is_free: IsFree,
               now_ms: float) -> Iterator[planning.Action]:
        ids = {each.runner.id for each in runners}
        spanning = [
            each for each in groups.values()
            if each.model == served.name and each.is_open and len(each.members)
            == served.size and _is_within(each, ids) and len(each.domains) > 1
        ]
        if not spanning:
            return
        warm = collections.Counter(
            known.status.domain
            for known in runners
            if is_free(known) and planning.is_warm(known, served))
        for group in _groups_to_retire(spanning, warm, served.size,
                                       engine.far_factor):
            yield from self.retire(service, group, RETIRE_REASON, now_ms)


def _close_order(group: fleetview.Group, reason: str) -> orders.Order:
    head = group.head
    assert head is not None
    return orders.Order(head.runner.id,
                        orders.Operation.CLOSE,
                        group.key,
                        expected_seq=head.orders_begun,
                        reason=reason)


def _is_within(group: fleetview.Group, ids: set[str]) -> bool:
    return all(each.runner.id in ids for each in group.members.values())


def _groups_to_retire(spanning: list[fleetview.Group],
                      warm: "collections.Counter[str]", size: int,
                      far_factor: float) -> list[fleetview.Group]:
    """Returns groups to retire, or none if that would gain too little.

    The gain is the number of single-domain groups that could be formed in
    addition, less the work of the retired groups. For each domain in turn,
    groups are added, those with the most members in it first, until the gain is
    sufficient.

    Args:
        spanning: Groups across domains.
        warm: Free runners that hold the model, by domain.
        size: Members per group.
        far_factor: How much longer a group across domains takes for everything.
    """
    before = sum(count // size for count in warm.values())
    for domain in sorted({name for each in spanning for name in each.domains}):
        ranked = sorted(spanning, key=lambda each: -each.domains[domain])
        free = collections.Counter(warm)
        for retired_count, group in enumerate(ranked, start=1):
            free += group.domains
            gained = sum(count // size for count in free.values()) - before
            if gained - retired_count / far_factor >= MIN_GAIN:
                return ranked[:retired_count]
    return []
