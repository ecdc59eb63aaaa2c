"""Replicas that run requests slowly, and requests as their callers see them.

For tests and benches, on a virtual clock; see `requestfakes`.
"""

import collections
import dataclasses
import itertools
import random

from cardamommill import actions, fleet, requesting

MODEL = "model@1"
# One cache event in twenty is lost, and all come half a second late.
CACHE_GAP = 0.05
CACHE_LAG_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of a replica.

    Attributes:
        tokens: Events of its answer.
        token_ms: Time between two events.
        prefill_ms: Time until the first event, with nothing cached.
        poison: Whether it crashes each replica that runs it.
    """

    tokens: int = 10
    token_ms: int = 20
    prefill_ms: int = 50
    poison: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """A request as its caller sees it, and as the replicas do.

    Attributes:
        head: The request.
        node: The node that it was sent to.
        work: What it asks.
        sent_ms: When it was sent, by the world's clock.
        delivered: Events that the caller has.
        first_ms: When it had the first one; -1 before.
        whole: Whether an attempt gave the caller the whole answer.
        answers: The final answers that the caller got.
        answered_ms: When it got the first of them.
        attempts: Attempts that reached a replica.
        runs: How often a replica began to run it.
        mixed: What is wrong with its answer; empty if nothing.
        end_lost: Whether the word of an attempt's end was lost.
        gone: Whether the caller closed its connection.
        hits: Prefixes that were cached where it first ran.
    """

    head: requesting.RequestHead
    node: str
    work: Work
    sent_ms: int
    delivered: int = 0
    first_ms: int = -1
    whole: bool = False
    answers: list[actions.Action] = dataclasses.field(default_factory=list)
    answered_ms: int = 0
    attempts: int = 0
    runs: int = 0
    mixed: str = ""
    end_lost: bool = False
    gone: bool = False
    hits: int = 0

    @property
    def in_time(self) -> bool:
        """Whether its whole answer came by its deadline."""
        within_ms = self.head.deadline_ms - self.head.received_ms
        return (self.whole and not self.gone and
                self.answered_ms - self.sent_ms <= within_ms)


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt at a replica.

    Attributes:
        call: The request.
        node: The node that sent it.
        dispatch: As it was sent.
        sent_ms: When it reached the replica, by the world's clock.
        began_ms: When the replica began to run it; -1 before.
        first_ms: When its first event is due.
        end_ms: When its last event is due.
        over: Whether its end was told, or it was cancelled.
    """

    call: Call
    node: str
    dispatch: actions.Dispatch
    sent_ms: int = 0
    began_ms: int = -1
    first_ms: int = 0
    end_ms: int = 0
    over: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted; it can be read from a time on."""

    sequence: int
    at_ms: int
    prefix: str
    stored: bool


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica of one VM: slots, a queue, a speed and a cache.

    Attributes:
        replica_id: Its name.
        slots: Requests that it runs at once.
        queue_length: Requests that wait in it before it refuses more.
        speed: 1 is as the work says.
        restart_ms: How long it is away after a crash.
        boots: How often it started.
        up: Whether it runs.
        still_ms: Since when it stands still, its connections open; -1 if not.
        unread: Attempts that reached it while it stood still.
        waiting: Attempts that wait.
        running: Attempts that run.
        cache: Prefixes that it holds, the oldest first.
        cache_size: How many it can hold.
        sequence: The number of its newest cache event.
        told: Cache events that can be read.
    """

    replica_id: str
    slots: int = 4
    queue_length: int = 8
    speed: float = 1.0
    restart_ms: int = 3000
    boots: int = 1
    up: bool = True
    still_ms: int = -1
    unread: list[Run] = dataclasses.field(default_factory=list)
    waiting: "collections.deque[Run]" = dataclasses.field(
        default_factory=collections.deque)
    running: list[Run] = dataclasses.field(default_factory=list)
    cache: dict[str, None] = dataclasses.field(default_factory=dict)
    cache_size: int = 200
    sequence: int = 0
    told: "collections.deque[CacheEvent]" = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=500))

    @property
    def vm_id(self) -> str:
        """Its only VM."""
        return f"vm-{self.replica_id}"

    @property
    def is_still(self) -> bool:
        """Whether it neither works nor answers, and will go on."""
        return self.still_ms >= 0

    def report(self) -> fleet.RunnerReport:
        """Returns what it says of itself now."""
        return fleet.RunnerReport(self.vm_id,
                                  f"{self.vm_id}/{self.boots}",
                                  self.replica_id,
                                  1,
                                  self.boots,
                                  fleet.RunnerRole.MEMBER,
                                  MODEL,
                                  self.up,
                                  self.slots,
                                  len(self.running),
                                  len(self.waiting),
                                  cache_sequence=self.sequence)

    def remember(self, prefixes: tuple[str, ...], now_ms: int,
                 chance: random.Random) -> None:
        """Stores prefixes and evicts the oldest ones.

        Args:
            prefixes: Of a request that runs.
            now_ms: The world's time.
            chance: Decides which events are lost.
        """
        for prefix in prefixes:
            if prefix not in self.cache:
                self._tell(prefix, True, now_ms, chance)
            self.cache.pop(prefix, None)
            self.cache[prefix] = None
        while len(self.cache) > self.cache_size:
            oldest = next(iter(self.cache))
            del self.cache[oldest]
            self._tell(oldest, False, now_ms, chance)

    def told_after(self, sequence: int, now_ms: int) -> list[CacheEvent]:
        """Returns the events after a number that can be read by now."""
        newer = (each for each in self.told if each.sequence > sequence)
        return list(
            itertools.takewhile(lambda each: each.at_ms <= now_ms, newer))

    def _tell(self, prefix: str, stored: bool, now_ms: int,
              chance: random.Random) -> None:
        self.sequence += 1
        if chance.random() >= CACHE_GAP:
            self.told.append(
                CacheEvent(self.sequence, now_ms + CACHE_LAG_MS, prefix,
                           stored))
