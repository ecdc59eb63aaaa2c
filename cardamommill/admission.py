"""Queues of requests that wait for a replica, and what waiting takes."""

import bisect
from collections.abc import Callable, Iterator
import dataclasses
import heapq
import itertools

# One finished request in this many replaces the smoothed run time.
_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """A request in a queue; the order is that within an account.

    Attributes:
        deadline_ms: Local monotonic time by which the caller wants it.
        serial: Of its arrival, to tell equal deadlines apart.
        request_id: Which request.
        account: Its client account.
        priority: 1 the most urgent.
    """

    deadline_ms: int
    serial: int
    request_id: str = dataclasses.field(compare=False)
    account: str = dataclasses.field(compare=False)
    priority: int = dataclasses.field(compare=False)


OverShare = Callable[[str], bool]


class Queue:
    """Requests of one service: by priority, fair share, earliest deadline.

    In each priority the accounts that use no more than their share of the
    service go first, so that one that floods it waits behind the others.
    """

    def __init__(self) -> None:
        self._serial = 0
        self._waiting: dict[str, Waiting] = {}
        self._lists: dict[int, dict[str, list[Waiting]]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def add(self, request_id: str, account: str, priority: int,
            deadline_ms: int) -> None:
        """Adds a request; the bound on the length is the caller's to keep."""
        self._serial += 1
        waiting = Waiting(deadline_ms, self._serial, request_id, account,
                          priority)
        self._waiting[request_id] = waiting
        accounts = self._lists.setdefault(priority, {})
        bisect.insort(accounts.setdefault(account, []), waiting)

    def remove(self, request_id: str) -> None:
        """Removes a request that may be there."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return
        accounts = self._lists[waiting.priority]
        requests = accounts[waiting.account]
        del requests[bisect.bisect_left(requests, waiting)]
        if not requests:
            del accounts[waiting.account]
        if not accounts:
            del self._lists[waiting.priority]

    def in_order(self, over_share: OverShare) -> Iterator[Waiting]:
        """Yields the requests, the first to be served first.

        Args:
            over_share: Tells whether an account has more than its share.
        """
        for priority in sorted(self._lists):
            accounts = self._lists[priority]
            over = {name for name in accounts if over_share(name)}
            yield from heapq.merge(
                *(accounts[name] for name in accounts if name not in over))
            yield from heapq.merge(*(accounts[name] for name in over))

    def last(
        self,
        over_share: OverShare,
        kept: Callable[[str],
                       bool] = lambda request_id: False) -> Waiting | None:
        """Returns the one to give up first, or None.

        Of the least urgent, of accounts over their share if there are any,
        of the account that has the most waiting, the latest deadline.

        Args:
            over_share: Tells whether an account has more than its share.
            kept: Tells whether a request is not to be given up.
        """
        for _, accounts in sorted(self._lists.items(), reverse=True):
            names = sorted(accounts,
                           key=lambda each:
                           (over_share(each), len(accounts[each])),
                           reverse=True)
            for waiting in itertools.chain.from_iterable(
                    reversed(accounts[name]) for name in names):
                if not kept(waiting.request_id):
                    return waiting
        return None

    def ahead(self, account: str, priority: int, deadline_ms: int,
              over_share: OverShare) -> int:
        """Returns how many would be served before a new request."""
        count = sum(
            sum(map(len, accounts.values()))
            for each, accounts in self._lists.items()
            if each < priority)
        own_over = over_share(account)
        limit = Waiting(deadline_ms, self._serial + 1, "", "", priority)
        for name, requests in self._lists.get(priority, {}).items():
            over = over_share(name)
            if over == own_over:
                count += bisect.bisect(requests, limit)
            elif own_over:
                count += len(requests)
        return count


class Pace:
    """How fast a service works through this node's requests.

    Attributes:
        run_ms: The smoothed time of a run; 0 while nothing is known.
    """

    def __init__(self) -> None:
        self.run_ms = 0.0

    def finished(self, took_ms: int) -> None:
        """Counts a request that ran whole."""
        if not self.run_ms:
            self.run_ms = float(took_ms)
        self.run_ms += _SMOOTHING * (took_ms - self.run_ms)

    def wait_ms(self, ahead: int, slots: float) -> float:
        """Returns how long it takes until those ahead have been started.

        Args:
            ahead: Requests that wait.
            slots: Requests that this node may have running at once.
        """
        return ahead * self.run_ms / max(slots, 1.0)
