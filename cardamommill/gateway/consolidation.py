"""Slow groups over two domains that are given up for a quick one."""

from collections.abc import Callable, Iterator

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

IsFree = Callable[[fleetview.Known], bool]


class Consolidation:
    """Gives up groups over two domains where a whole one can be made.

    Survivors in two domains make a group that takes some 2.5 times as long
    for everything. Formed in need, such groups stayed for good: in the second
    half of a day of high load all groups of the larger model were of that
    kind, with a first event after 400 to 850 ms. Without any of this a day of
    high load earned 0.23 where it earned 0.45.
    """

    def __init__(self, made: formations.Formations) -> None:
        """Makes it.

        Args:
            made: Orders members to leave.
        """
        self._formations = made
        self._closed_ms: dict[model.GroupKey, float] = {}
        self._sent_ms: dict[model.GroupKey, float] = {}
        # Service and model of each, so that members that come free make no slow
        # group again.
        self._models: dict[model.GroupKey, tuple[str, str]] = {}

    def has(self, key: model.GroupKey) -> bool:
        """Whether a group is being given up."""
        return key in self._closed_ms

    def is_under_way(self, service: str, model_name: str) -> bool:
        """Whether groups of a model are being given up."""
        return (service, model_name) in self._models.values()

    def step(self, service: str, engine: model.Engine,
             groups: dict[model.GroupKey,
                          fleetview.Group], runners: list[fleetview.Known],
             is_free: IsFree, now_ms: float) -> Iterator[planning.Action]:
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
        for key in list(self._closed_ms):
            if self._models[key][0] != service:
                continue
            group = groups.get(key)
            if group is None or now_ms - self._closed_ms[key] > FORGOTTEN_MS:
                self._forget(key)
            elif _all_in(group, ids):
                yield from self._go_on(group, now_ms)
        for served in engine.models:
            if not self.is_under_way(service, served.name):
                yield from self._begin(service, engine, served, groups, runners,
                                       is_free, now_ms)

    def _go_on(self, group: fleetview.Group,
               now_ms: float) -> Iterator[planning.Action]:
        head = group.head
        state = head.membership.state if head and head.membership else None
        since_ms = now_ms - self._closed_ms[group.key]
        if state is model.MemberState.OPEN and since_ms < CLOSE_MS:
            if now_ms - self._sent_ms[group.key] > CLOSE_AGAIN_MS:
                yield self._close(group, now_ms)
            return
        if state is model.MemberState.CLOSING and since_ms < CLOSE_MS:
            return
        yield from self._formations.leave(group.key,
                                          list(group.members.values()),
                                          "given up for a quick group")

    def _begin(self, service: str, engine: model.Engine,
               served: model.ServedModel, groups: dict[model.GroupKey,
                                                       fleetview.Group],
               runners: list[fleetview.Known], is_free: IsFree,
               now_ms: float) -> Iterator[planning.Action]:
        ids = {each.runner.id for each in runners}
        slow = [
            each for each in groups.values()
            if each.model == served.name and each.is_open and len(each.members)
            == served.size and _all_in(each, ids) and len(_domains(each)) > 1
        ]
        if not slow:
            return
        warm: dict[str, int] = {}
        for known in runners:
            if is_free(known) and planning.join_ms(known,
                                                   served) <= served.warm_ms:
                domain = known.standing.domain
                warm[domain] = warm.get(domain, 0) + 1
        for group in _worth_it(slow, warm, served.size, engine.far_factor):
            self._closed_ms[group.key] = now_ms
            self._models[group.key] = (service, served.name)
            yield self._close(group, now_ms)

    def _close(self, group: fleetview.Group, now_ms: float) -> orders.Order:
        head = group.head
        assert head is not None
        self._sent_ms[group.key] = now_ms
        return orders.Order(head.runner.id,
                            orders.Operation.CLOSE,
                            group.key,
                            expected_seq=head.orders_begun,
                            reason="a quick group can be made")

    def _forget(self, key: model.GroupKey) -> None:
        del self._closed_ms[key]
        self._sent_ms.pop(key, None)
        self._models.pop(key, None)


def _all_in(group: fleetview.Group, ids: set[str]) -> bool:
    return all(each.runner.id in ids for each in group.members.values())


def _domains(group: fleetview.Group) -> set[str]:
    return {each.standing.domain for each in group.members.values()}


def _worth_it(slow: list[fleetview.Group], warm: dict[str, int], size: int,
              far_factor: float) -> list[fleetview.Group]:
    """Returns the fewest groups whose members make enough quick ones.

    Args:
        slow: Groups over two domains.
        warm: Free runners that are quick to join, by domain.
        size: Members a group.
        far_factor: How much longer a slow group takes for everything.
    """
    before = sum(count // size for count in warm.values())
    for domain in sorted({name for each in slow for name in _domains(each)}):
        ranked = sorted(slow, key=lambda each: -_count(each, domain))
        for taken in range(1, len(ranked) + 1):
            free = dict(warm)
            for group in ranked[:taken]:
                for name in _domains(group):
                    free[name] = free.get(name, 0) + _count(group, name)
            made = sum(count // size for count in free.values()) - before
            if made - taken / far_factor >= LEAST_GAIN:
                return ranked[:taken]
    return []


def _count(group: fleetview.Group, domain: str) -> int:
    return sum(
        each.standing.domain == domain for each in group.members.values())
