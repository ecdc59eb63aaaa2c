"""Slow groups over two domains that are given up for a quick one."""

import collections
from collections.abc import Callable, Iterator
import dataclasses

from cardamommill.gateway import (
    fleetview,
    formations,
    model,
    orders,
    planning,
)

# A head that was told to close finishes what it runs: a long answer of a slow
# group takes some 9 s. After this its members leave all the same.
CLOSE_MS = 10_000.0
# Another planner may go on with it after that.
FORGOTTEN_MS = 2 * CLOSE_MS
# What must be gained, in quick groups: nothing serves for some 3 s meanwhile,
# and two slow groups do four fifths of what a quick one does.
LEAST_GAIN = 0.5
# A close that was lost on its way is sent again.
CLOSE_AGAIN_MS = 1500.0
QUICKER = "a quick group can be made"

IsFree = Callable[[fleetview.RunnerRecord], bool]


@dataclasses.dataclass(slots=True)
class _GivenUp:
    """A group that is being given up, since when, and when it was last told."""

    service: str
    model: str
    since_ms: float
    sent_ms: float


class Consolidation:
    """Gives up groups over two domains where a whole one can be made.

    Survivors in two domains make a group that takes some 2.5 times as long
    for everything. Formed in need, such groups stayed for good: after some
    time of high load all groups of the larger model were of that kind, and
    their first events came too late for most callers.
    """

    def __init__(self, made: formations.Formations) -> None:
        """Makes it.

        Args:
            made: Orders members to leave.
        """
        self._formations = made
        self._given_up: dict[model.GroupKey, _GivenUp] = {}

    def retire(self, service: str, group: fleetview.Group, reason: str,
               now_ms: float) -> Iterator[planning.Action]:
        """Closes a group; its members leave once it has finished."""
        self._given_up[group.key] = _GivenUp(service, group.model, now_ms,
                                             now_ms)
        yield _close(group, reason)

    def is_retiring(self, key: model.GroupKey) -> bool:
        """Whether a group is being given up."""
        return key in self._given_up

    def is_retiring_model(self, service: str, model_name: str) -> bool:
        """Whether groups of a model are being given up.

        Their members come free one after the other, and would make a slow
        group again.
        """
        return any(each.service == service and each.model == model_name
                   for each in self._given_up.values())

    def step(self, service: str, engine: model.Engine,
             groups: dict[model.GroupKey, fleetview.Group],
             runners: list[fleetview.RunnerRecord], is_free: IsFree,
             now_ms: float) -> Iterator[planning.Action]:
        """Returns what to do for the groups of one data centre.

        Args:
            service: Whose groups.
            engine: Of the service.
            groups: All that are known.
            runners: Those of the data centre.
            is_free: Whether a runner may join a group.
            now_ms: The time.
        """
        ids = {each.runner.id for each in runners}
        for key, given_up in list(self._given_up.items()):
            if given_up.service != service:
                continue
            group = groups.get(key)
            if group is None or now_ms - given_up.since_ms > FORGOTTEN_MS:
                del self._given_up[key]
            elif _all_in(group, ids):
                yield from self._go_on(group, given_up, now_ms)
        for served in engine.models:
            if not self.is_retiring_model(service, served.name):
                yield from self._begin(service, engine, served, groups, runners,
                                       is_free, now_ms)

    def _go_on(self, group: fleetview.Group, given_up: "_GivenUp",
               now_ms: float) -> Iterator[planning.Action]:
        head = group.head
        state = head.membership.state if head and head.membership else None
        finishes = state in (model.MemberState.OPEN, model.MemberState.CLOSING)
        if finishes and now_ms - given_up.since_ms < CLOSE_MS:
            is_told = state is model.MemberState.CLOSING
            if not is_told and now_ms - given_up.sent_ms > CLOSE_AGAIN_MS:
                given_up.sent_ms = now_ms
                yield _close(group, "not closed yet")
            return
        yield from self._formations.leave(group.key,
                                          list(group.members.values()),
                                          "given up for a quick group")

    def _begin(self, service: str, engine: model.Engine,
               served: model.ServedModel, groups: dict[model.GroupKey,
                                                       fleetview.Group],
               runners: list[fleetview.RunnerRecord], is_free: IsFree,
               now_ms: float) -> Iterator[planning.Action]:
        ids = {each.runner.id for each in runners}
        slow = [
            each for each in groups.values()
            if each.model == served.name and each.is_open and len(each.members)
            == served.size and _all_in(each, ids) and len(each.domains) > 1
        ]
        if not slow:
            return
        warm = collections.Counter(
            known.status.domain
            for known in runners
            if is_free(known) and planning.is_warm(known, served))
        for group in _worth_it(slow, warm, served.size, engine.far_factor):
            yield from self.retire(service, group, QUICKER, now_ms)


def _close(group: fleetview.Group, reason: str) -> orders.Order:
    head = group.head
    assert head is not None
    return orders.Order(head.runner.id,
                        orders.Operation.CLOSE,
                        group.key,
                        expected_seq=head.orders_begun,
                        reason=reason)


def _all_in(group: fleetview.Group, ids: set[str]) -> bool:
    return all(each.runner.id in ids for each in group.members.values())


def _worth_it(slow: list[fleetview.Group], warm: "collections.Counter[str]",
              size: int, far_factor: float) -> list[fleetview.Group]:
    """Returns the fewest groups whose members make enough quick ones.

    Args:
        slow: Groups over two domains.
        warm: Free runners that are quick to join, by domain.
        size: Members a group.
        far_factor: How much longer a slow group takes for everything.
    """
    before = sum(count // size for count in warm.values())
    for domain in sorted({name for each in slow for name in each.domains}):
        ranked = sorted(slow, key=lambda each: -each.domains[domain])
        free = collections.Counter(warm)
        for taken, group in enumerate(ranked, start=1):
            free += group.domains
            made = sum(count // size for count in free.values()) - before
            if made - taken / far_factor >= LEAST_GAIN:
                return ranked[:taken]
    return []
