"""What a node has to do for one service: waiting, running, room and pace."""

import collections
import dataclasses
import random

from cardamommill import (
    admission,
    answers,
    choice,
    documents,
    periods,
    requesting,
    retries,
)
from cardamommill import board as board_lib


@dataclasses.dataclass(slots=True)
class Workload:
    """One service's work on this node.

    Attributes:
        service: Which service.
        queue: Requests that wait.
        budget: Its retries.
        pace: How fast it is done.
        running: This node's running requests by account.
    """

    service: str
    queue: admission.Queue = dataclasses.field(default_factory=admission.Queue)
    budget: retries.Budget = dataclasses.field(default_factory=retries.Budget)
    pace: admission.Pace = dataclasses.field(default_factory=admission.Pace)
    running: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter)
    _waiting: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter)
    _candidates: choice.Candidates | None = None

    def candidates(self, board: board_lib.Board, timing: periods.Timing,
                   now_ms: int) -> choice.Candidates:
        """Returns the service's replicas, at most `CANDIDATES_MS` old."""
        known = self._candidates
        if (known is None or not known.each or
                now_ms - known.made_ms >= choice.CANDIDATES_MS):
            known = choice.candidates(board, self.service, timing, now_ms)
            self._candidates = known
        return known

    def wait(self, head: requesting.RequestHead) -> None:
        """Adds a request to the queue."""
        self.queue.add(head.request_id, head.account, head.priority,
                       head.deadline_ms)
        self._waiting[head.account] += 1

    def leave(self, head: requesting.RequestHead) -> None:
        """Takes a request out of the queue, if it is there."""
        if head.request_id in self.queue:
            self.queue.remove(head.request_id)
            self._count(self._waiting, head.account)

    def started(self, head: requesting.RequestHead) -> None:
        """Counts a request as running."""
        self.running[head.account] += 1

    def stopped(self, head: requesting.RequestHead) -> None:
        """Counts a request as no longer running."""
        self._count(self.running, head.account)

    def over_share(self, document: documents.Document,
                   own_slots: float) -> admission.OverShare:
        """Returns what tells whether an account has more than its share.

        An account's share is by its weight among those that run or wait here.

        Args:
            document: The service's, with the weights.
            own_slots: Slots that this node may count on.
        """
        weights = {each.name: each.weight for each in document.accounts}
        active = self.running.keys() | self._waiting.keys()
        total = sum(weights.get(name, 1.0) for name in active) or 1.0
        slots = max(own_slots, float(self.running.total()))

        def over(account: str) -> bool:
            share = slots * weights.get(account, 1.0) / total
            return self.running[account] >= max(1.0, share)

        return over

    def too_late(self, head: requesting.RequestHead, ahead: int,
                 own_slots: float, chance: random.Random,
                 now_ms: int) -> requesting.Problem | None:
        """Returns why a request can't be done in time, or None.

        To refuse at once is better than to let it wait in vain: the caller
        can go elsewhere, and no slot is spent on an answer that is too late.

        Args:
            head: The request.
            ahead: Requests that go before it.
            own_slots: Slots that this node may count on.
            chance: Spreads the advice when to come again.
            now_ms: The local monotonic time.
        """
        wait_ms = self.pace.wait_ms(ahead, own_slots)
        late_ms = now_ms + wait_ms + self.pace.run_ms - head.deadline_ms
        if late_ms <= 0:
            return None
        return answers.problem(
            answers.Reason.OVERLOADED,
            f"{ahead} requests go before it; it would be done "
            f"{late_ms:.0f} ms after its deadline",
            retry_after_s=answers.retry_after_s(late_ms, chance))

    def crowded_out(self, own_slots: float,
                    chance: random.Random) -> requesting.Problem:
        """Returns what to tell the last one in a queue that is too long.

        Args:
            own_slots: Slots that this node may count on.
            chance: Spreads the advice when to come again.
        """
        return answers.problem(
            answers.Reason.OVERLOADED,
            f"{len(self.queue)} requests wait and go before it",
            retry_after_s=answers.retry_after_s(self.drained_ms(own_slots),
                                                chance))

    def drained_ms(self, own_slots: float) -> float:
        """Returns in how long all that wait now will have been started.

        Args:
            own_slots: Slots that this node may count on.
        """
        return self.pace.wait_ms(len(self.queue), own_slots)

    @staticmethod
    def _count(counter: "collections.Counter[str]", account: str) -> None:
        counter[account] -= 1
        if counter[account] <= 0:
            del counter[account]
