"""What a stand-in of a backend server knows and obeys, without any HTTP."""

import collections
import dataclasses
import hashlib
import heapq
import itertools
import random
import threading
import time
import uuid

from cardamommill import fleet, units

RECENT_CACHE_EVENTS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """How a stand-in behaves.

    Attributes:
        vm_id: The VM that it runs on.
        kind: ``model`` or ``plain``.
        load_ms: How long it takes to load weights.
        token_ms: The time between two events of a stream.
        prefill_ms: The time for a prefix block that is not cached.
        slots: How many requests run at once.
        queue: How many more may wait.
        checks_fencing: Whether it refuses an order with an old number.
        checks_dispatch: Whether it refuses a request meant for another
            replica, epoch or formation.
        can_resume: Whether it goes on with a stream from an offset.
        cache_blocks: How many prefix blocks its cache holds.
        cache_lag_ms: How late a cache event can be read.
        cache_gap: The part of cache events that are never told.
        report_lag_ms: How old the load in its report may be.
        seed: For all chance in it.
    """

    vm_id: str
    kind: str = "model"
    load_ms: int = 300
    token_ms: int = 5
    prefill_ms: int = 1
    slots: int = 16
    queue: int = 32
    checks_fencing: bool = True
    checks_dispatch: bool = True
    can_resume: bool = False
    cache_blocks: int = 1024
    cache_lag_ms: int = 500
    cache_gap: float = 0.0
    report_lag_ms: int = 200
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Formation:
    """Which set of VMs a runner believes that it belongs to.

    Attributes:
        replica_id: The replica.
        epoch: Its epoch.
        formation: Its formation.
        members: VM ids, the head first.
        addresses: The members' runners, in the same order.
    """

    replica_id: str = ""
    epoch: int = 0
    formation: int = 0
    members: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()

    def key(self) -> tuple[str, int, int]:
        """Returns what a request or a report must name."""
        return (self.replica_id, self.epoch, self.formation)


def _form(engine: "Engine", order: fleet.Order) -> None:
    engine.load(order.model)
    engine.formation = Formation(order.replica_id, order.epoch, order.formation,
                                 order.members, order.member_addresses)
    engine.role = fleet.RunnerRole.MEMBER
    engine.model = order.model
    engine.members_present = len(order.members) <= 1


def _preload(engine: "Engine", order: fleet.Order) -> None:
    engine.load(order.model)
    engine.formation = Formation(order.replica_id, order.epoch, order.formation)
    engine.role = fleet.RunnerRole.SPARE
    engine.model = order.model


def _release(engine: "Engine", order: fleet.Order) -> None:
    del order
    engine.formation = Formation()
    engine.role = fleet.RunnerRole.IDLE


def _load_adapter(engine: "Engine", order: fleet.Order) -> None:
    engine.load(order.adapter)


_ORDERS = {
    fleet.OrderKind.FORM: _form,
    fleet.OrderKind.PRELOAD: _preload,
    fleet.OrderKind.RELEASE: _release,
    fleet.OrderKind.LOAD_ADAPTER: _load_adapter,
}


class Engine:
    """A runner's state; thread-safe by `lock` where it says so.

    Attributes:
        options: How it behaves.
        boot_id: Differs after each start.
        formation: What it believes to belong to.
        role: What it was ordered to be.
        model: What it was ordered to load.
        leaving: Whether it says that its VM will go.
        members_present: Whether the head has heard all its members lately.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.boot_id = uuid.uuid4().hex[:12]
        self.formation = Formation()
        self.role = fleet.RunnerRole.IDLE
        self.model = ""
        self.leaving = False
        self.members_present = False
        self.lock = threading.RLock()
        self.slots = Slots(options.slots, options.queue)
        self.cache = PrefixCache(options)
        self.tokens = TokenMeter()
        self._highest_fence = 0
        self._loaded_at_s: dict[str, float] = {}
        self._load_shown = (0.0, 0, 0)

    def obey(self, order: fleet.Order) -> str:
        """Takes an order; returns why not, or nothing if it was taken."""
        with self.lock:
            if self.options.checks_fencing:
                if order.fence < self._highest_fence:
                    return (f"fence {order.fence} is below "
                            f"{self._highest_fence}")
                self._highest_fence = order.fence
            _ORDERS[order.kind](self, order)
            return ""

    def load(self, weights: str) -> None:
        """Starts to load weights, unless they are there."""
        done_s = time.monotonic() + self.options.load_ms / units.MS_PER_S
        if weights:
            self._loaded_at_s.setdefault(weights, done_s)

    def loaded(self) -> list[str]:
        """Returns the weights that have been loaded."""
        now_s = time.monotonic()
        return sorted(name for name, done_s in self._loaded_at_s.items()
                      if done_s <= now_s)

    def is_head(self) -> bool:
        """Tells whether requests are to come here."""
        members = self.formation.members
        return bool(members) and members[0] == self.options.vm_id

    def ready(self) -> bool:
        """Tells whether weights are loaded and, at a head, members there."""
        if self.role is fleet.RunnerRole.IDLE:
            return False
        if self.model and self.model not in self.loaded():
            return False
        return self.members_present or not self.is_head()

    def report(self) -> fleet.RunnerReport:
        """Returns what the runner says of itself, with load that lags."""
        with self.lock:
            running, queued = self._lagging_load()
            return fleet.RunnerReport(vm_id=self.options.vm_id,
                                      boot_id=self.boot_id,
                                      replica_id=self.formation.replica_id,
                                      epoch=self.formation.epoch,
                                      formation=self.formation.formation,
                                      role=self.role,
                                      model=self.model,
                                      ready=self.ready(),
                                      slots=self.options.slots,
                                      running=running,
                                      queued=queued,
                                      tokens_per_s=self.tokens.per_s(),
                                      leaving=self.leaving,
                                      highest_fence=self._highest_fence,
                                      cache_sequence=self.cache.sequence)

    def _lagging_load(self) -> tuple[int, int]:
        now_s = time.monotonic()
        taken_s, running, queued = self._load_shown
        if now_s - taken_s >= self.options.report_lag_ms / units.MS_PER_S:
            running, queued = self.slots.load()
            self._load_shown = (now_s, running, queued)
        return running, queued


class Slots:
    """Places for requests that run at once; waiting ones go by priority."""

    def __init__(self, slots: int, queue: int) -> None:
        self._free = slots
        self._slots = slots
        self._queue = queue
        self._waiting: list[tuple[int, int, threading.Event]] = []
        self._serial = itertools.count()
        self._lock = threading.Lock()

    def take(self, priority: int) -> bool:
        """Waits for a place; False if too many wait already."""
        with self._lock:
            if self._free:
                self._free -= 1
                return True
            if len(self._waiting) >= self._queue:
                return False
            turn = threading.Event()
            heapq.heappush(self._waiting, (priority, next(self._serial), turn))
        turn.wait()
        return True

    def give_back(self) -> None:
        """Hands the place to the most urgent that waits."""
        with self._lock:
            if self._waiting:
                heapq.heappop(self._waiting)[-1].set()
            else:
                self._free += 1

    def load(self) -> tuple[int, int]:
        """Returns how many run and how many wait."""
        with self._lock:
            return self._slots - self._free, len(self._waiting)


class TokenMeter:
    """Counts tokens by the second."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0
        self._last_count = 0

    def add(self) -> None:
        """Counts a token."""
        self._turn()
        self._count += 1

    def per_s(self) -> float:
        """Returns the tokens of the last whole second."""
        self._turn()
        return float(self._last_count)

    def _turn(self) -> None:
        second = int(time.monotonic())
        if second == self._second:
            return
        self._last_count = self._count if second == self._second + 1 else 0
        self._second, self._count = second, 0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted; readable from `at_s` on."""

    sequence: int
    at_s: float
    prefix: str
    stored: bool


class PrefixCache:
    """A bounded cache of prompt prefixes that tells of itself late.

    Attributes:
        sequence: The number of the newest event.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.sequence = 0
        self._options = options
        self._random = random.Random(options.seed)
        self._blocks: collections.OrderedDict[str,
                                              None] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=RECENT_CACHE_EVENTS)
        self._lock = threading.Lock()

    def use(self, prefixes: list[str]) -> int:
        """Stores prefixes, and returns how many were not there."""
        with self._lock:
            missing = [each for each in prefixes if each not in self._blocks]
            for prefix in prefixes:
                self._blocks[prefix] = None
                self._blocks.move_to_end(prefix)
            for prefix in missing:
                self._tell(prefix, stored=True)
            while len(self._blocks) > self._options.cache_blocks:
                self._tell(self._blocks.popitem(last=False)[0], stored=False)
            return len(missing)

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Returns the events that can be read by now, up to the next gap."""
        now_s = time.monotonic()
        found: list[CacheEvent] = []
        with self._lock:
            for event in self._events:
                if event.sequence <= sequence or event.at_s > now_s:
                    continue
                if found and event.sequence != found[-1].sequence + 1:
                    break
                found.append(event)
        return found

    def _tell(self, prefix: str, *, stored: bool) -> None:
        self.sequence += 1
        if self._random.random() >= self._options.cache_gap:
            lag_s = self._options.cache_lag_ms / units.MS_PER_S
            at_s = time.monotonic() + lag_s
            self._events.append(CacheEvent(self.sequence, at_s, prefix, stored))


def token_text(prompt: str, index: int) -> str:
    """Returns the text of a stream's event; the same on every replica."""
    seed = hashlib.sha256(f"{index}/{prompt}".encode()).hexdigest()
    return f"{seed[:6]} "
