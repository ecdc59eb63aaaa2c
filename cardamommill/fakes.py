"""Small fakes of what nodes talk to, under a virtual clock, with faults.

For tests and benches of decisions: a table, runners and links between them and
any number of nodes, in one thread. It is no simulator of a cluster: nothing
here has a capacity, a queue or a cost but the time to load weights.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from cardamommill import (
    actions,
    decisions,
    events,
    fleet,
    periods,
    requesting,
    store,
)

TABLE = "table"


class FakeTable:
    """Rows with versions; transactions are atomic.

    Attributes:
        rows: Value and version by key.
        writes: Rows written so far.
        transactions: Transactions committed so far.
    """

    def __init__(self) -> None:
        self.rows: dict[store.Key, store.Row] = {}
        self.writes = 0
        self.transactions = 0
        self._versions = itertools.count(1)

    def read(self, key: store.Key) -> store.Row:
        """Returns a row, with `store.ABSENT` where there is none."""
        return self.rows.get(key, store.Row(key))

    def scan(self, table: str, prefix: str) -> tuple[store.Row, ...]:
        """Returns the rows of a table whose key has a prefix."""
        return tuple(row for key, row in sorted(self.rows.items(),
                                                key=lambda item: item[0].row)
                     if key.table == table and key.row.startswith(prefix))

    def put(self, key: store.Key, value: str | None) -> None:
        """Writes a row, or deletes it where the value is None."""
        version = next(self._versions)
        self.writes += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = store.Row(key, version, value)

    def transact(self, wanted: actions.Transact) -> tuple[store.Row, ...]:
        """Commits, or returns the rows whose condition failed."""
        failed = tuple(
            self.read(each.key)
            for each in wanted.conditions
            if self.read(each.key).version != each.version)
        if not failed:
            self.transactions += 1
            for write in wanted.writes:
                self.put(write.key, write.value)
        return failed


@dataclasses.dataclass(slots=True)
class FakeRunner:
    """A runner: what it believes, and how long its orders take.

    Attributes:
        vm: Its VM.
        load_ms: How long it takes to load weights.
        form_ms: How long it takes to join its members.
        checks_fencing: Whether it refuses an order with an old number.
        up: Whether it runs; one that went down comes back with a new boot.
        paused: Whether it stands still.
        boots: How often it started.
        order: The last order that it took.
        loaded: The weights that it holds or is loading.
        loaded_ms: When it holds them.
        ready_ms: When it has done what it was ordered.
        fence: The highest fencing number that it took.
        leaving: Whether it says that its VM will go.
        running: How many requests it says that it runs.
    """

    vm: fleet.Vm
    load_ms: int = 20_000
    form_ms: int = 500
    checks_fencing: bool = True
    up: bool = True
    paused: bool = False
    boots: int = 1
    order: fleet.Order | None = None
    loaded: str = ""
    loaded_ms: int = 0
    ready_ms: int = 0
    fence: int = 0
    leaving: bool = False
    running: int = 0

    def take(self, order: fleet.Order, now_ms: int) -> bool:
        """Tells whether it takes an order, and takes it."""
        if self.checks_fencing and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        if order.kind is fleet.OrderKind.LOAD_ADAPTER:
            return True
        if self._same(order):
            return True
        if order.kind is fleet.OrderKind.RELEASE:
            self.order = None
            if now_ms < self.loaded_ms:
                self.loaded = ""
            return True
        if order.model != self.loaded:
            self.loaded = order.model
            self.loaded_ms = now_ms + (self.load_ms if order.model else 0)
        self.ready_ms = max(now_ms, self.loaded_ms) + self.form_ms
        self.order = order
        return True

    def restart(self) -> None:
        """Starts again with nothing loaded and nothing believed."""
        self.boots += 1
        self.up = True
        self.order = None
        self.loaded = ""
        self.loaded_ms = 0
        self.fence = 0

    def report(self, now_ms: int) -> fleet.RunnerReport:
        """Returns what it says of itself."""
        order = self.order or fleet.Order("", fleet.OrderKind.RELEASE,
                                          self.vm.vm_id, 0)
        return fleet.RunnerReport(
            self.vm.vm_id,
            f"{self.vm.vm_id}/{self.boots}",
            order.replica_id,
            order.epoch,
            order.formation,
            order.role,
            self.loaded if now_ms >= self.loaded_ms else "",
            self.order is not None and now_ms >= self.ready_ms,
            8,
            self.running,
            leaving=self.leaving,
            highest_fence=self.fence)

    def _same(self, order: fleet.Order) -> bool:
        return self.order is not None and dataclasses.replace(
            order, order_id="", fence=0) == dataclasses.replace(
                self.order, order_id="", fence=0)


@dataclasses.dataclass(slots=True)
class FakeNode:
    """A node's decisions and how the world treats them.

    Attributes:
        decisions: The decisions.
        offset_ms: Its monotonic clock, ahead of the world's.
        paused: Whether it stands still.
        waiting: What came while it stood still.
        paused_ms: When it began to stand still.
        alive: Whether its process runs.
    """

    decisions: decisions.Decisions
    offset_ms: int = 0
    paused: bool = False
    waiting: list[events.Event] = dataclasses.field(default_factory=list)
    paused_ms: int = 0
    alive: bool = True


@dataclasses.dataclass(slots=True)
class Faults:
    """How the world treats what nodes do.

    Attributes:
        table_down: Whether the table refuses every call.
        table_delay_ms: How long the table takes.
        lose_answers: Chance that a committed transaction's answer is lost.
        late_transactions: Chance that a transaction takes effect after its
            sender has given it up.
        late_orders: Chance that an order arrives as late as it may.
        cut: Pairs of names that can't reach each other.
    """

    table_down: bool = False
    table_delay_ms: int = 10
    lose_answers: float = 0.0
    late_transactions: float = 0.0
    late_orders: float = 0.0
    cut: set[frozenset[str]] = dataclasses.field(default_factory=set)


class FakeWorld:
    """Runs nodes, a table and runners by one virtual clock.

    Attributes:
        now_ms: The world's time.
        table: The platform's table.
        runners: By VM.
        nodes: By name.
        faults: How the world treats what nodes do.
        journal: What nodes recorded, as (time, node, record).
        orders: Orders that runners were handed.
        others: Performs an action that this world does not know.
    """

    LINK_MS = 2

    def __init__(self, timing: periods.Timing, seed: int) -> None:
        self.timing = timing
        self.now_ms = 1_000_000
        self.table = FakeTable()
        self.runners: dict[str, FakeRunner] = {}
        self.nodes: dict[str, FakeNode] = {}
        self.faults = Faults()
        self.journal: list[tuple[int, str, actions.Record]] = []
        self.orders = 0
        self._random = random.Random(seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._serials = itertools.count()

    def add_node(self, name: str, node: FakeNode) -> None:
        """Adds a node; its first tick comes within one period."""
        self.nodes[name] = node
        self.later(self._random.randrange(self.timing.tick_ms),
                   functools.partial(self._tick, name))

    def add_vms(self, runners: list[FakeRunner]) -> None:
        """Adds VMs with their runners."""
        self.runners.update({each.vm.vm_id: each for each in runners})

    def later(self, delay_ms: int, act: Callable[[], None]) -> None:
        """Acts after a delay."""
        heapq.heappush(self._queue,
                       (self.now_ms + delay_ms, next(self._serials), act))

    def run(self, for_ms: int) -> None:
        """Lets time pass."""
        end_ms = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, act = heapq.heappop(self._queue)
            act()
        self.now_ms = end_ms

    def reachable(self, first: str, second: str) -> bool:
        """Tells whether two parties can reach each other."""
        return frozenset((first, second)) not in self.faults.cut

    def local_ms(self, name: str) -> int:
        """Returns a node's monotonic time."""
        return self.now_ms + self.nodes[name].offset_ms

    def pause(self, name: str) -> None:
        """Makes a node stand still."""
        node = self.nodes[name]
        if not node.paused:
            node.paused, node.paused_ms = True, self.now_ms

    def resume(self, name: str) -> None:
        """Lets a node go on; like the control loop it first sees its pause."""
        node = self.nodes[name]
        if not node.paused:
            return
        node.paused = False
        waiting, node.waiting = node.waiting, []
        stood_ms = self.now_ms - node.paused_ms
        if stood_ms > self.timing.pause_ms:
            self.hand(name, events.Paused(stood_ms))
        for event in (events.Tick(), *waiting):
            self.hand(name, event)

    def hand(self, name: str, event: events.Event) -> None:
        """Hands an event to a node and performs what it decides."""
        node = self.nodes[name]
        if not node.alive:
            return
        if node.paused:
            node.waiting.append(event)
            return
        for action in node.decisions.step(event, self.local_ms(name)):
            self.perform(action, name)

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        if not node.alive:
            return
        if not node.paused:
            self.hand(name, events.Tick())
        self.later(self.timing.tick_ms, functools.partial(self._tick, name))

    @functools.singledispatchmethod
    def perform(self, action: actions.Action, name: str) -> None:
        """Performs a node's action; unknown types are left out."""

    @perform.register
    def _(self, action: actions.Record, name: str) -> None:
        self.journal.append((self.now_ms, name, action))

    @perform.register
    def _(self, action: actions.Transact, name: str) -> None:
        delay_ms = self.faults.table_delay_ms
        if self.faults.table_down or not self.reachable(name, TABLE):
            self._answer(name, action, store.TransactOutcome.NOT_RUN, delay_ms)
        elif self._random.random() < self.faults.late_transactions:
            # Its sender gives it up first, and then it takes effect.
            self._answer(name, action, store.TransactOutcome.UNKNOWN,
                         self.timing.store_timeout_ms)
            late_ms = self._random.randrange(2 * self.timing.store_timeout_ms)
            self.later(self.timing.store_timeout_ms + late_ms,
                       lambda: void(self.table.transact(action)))
        else:
            self.later(delay_ms, lambda: self._commit(name, action))

    def _commit(self, name: str, action: actions.Transact) -> None:
        failed = self.table.transact(action)
        outcome = store.TransactOutcome.COMMITTED
        if failed:
            outcome = store.TransactOutcome.CONFLICT
        if self._random.random() < self.faults.lose_answers:
            outcome, failed = store.TransactOutcome.UNKNOWN, ()
        self.hand(name, events.TransactAnswered(action.token, outcome, failed))

    def _answer(self, name: str, action: actions.Transact,
                outcome: store.TransactOutcome, delay_ms: int) -> None:
        answer = events.TransactAnswered(action.token, outcome)
        self.later(delay_ms, lambda: self.hand(name, answer))

    @perform.register
    def _(self, action: actions.ReadRows, name: str) -> None:
        self._read(name, action.token,
                   lambda: tuple(self.table.read(key) for key in action.keys))

    @perform.register
    def _(self, action: actions.ScanRows, name: str) -> None:
        self._read(name, action.token,
                   lambda: self.table.scan(action.table, action.prefix))

    def _read(self, name: str, token: events.Token,
              read: Callable[[], tuple[store.Row, ...]]) -> None:

        def answer() -> None:
            up = not self.faults.table_down and self.reachable(name, TABLE)
            self.hand(name, events.RowsRead(token, read() if up else None))

        self.later(self.faults.table_delay_ms, answer)

    @perform.register
    def _(self, action: actions.ListVms, name: str) -> None:
        dc = self.nodes[name].decisions.board.identity.data_centre
        up = not self.faults.table_down and self.reachable(name, TABLE)
        vms = tuple(each.vm
                    for each in self.runners.values()
                    if each.vm.data_centre == dc)
        self.later(
            self.LINK_MS,
            lambda: self.hand(name, events.VmsListed(vms if up else None)))

    @perform.register
    def _(self, action: actions.PollRunner, name: str) -> None:
        sent_ms = self.local_ms(name)

        def ask() -> None:
            runner = self._runner(name, action.vm_id)
            report = runner.report(self.now_ms) if runner else None
            self.hand(name, events.RunnerPolled(action.vm_id, report, sent_ms))

        self.later(self.LINK_MS, ask)

    def _runner(self, name: str, vm_id: str) -> FakeRunner | None:
        runner = self.runners.get(vm_id)
        if (runner is None or not runner.up or runner.paused or
                not self.reachable(name, vm_id)):
            return None
        return runner

    @perform.register
    def _(self, action: actions.SendOrder, name: str) -> None:
        if self.local_ms(name) > action.valid_until_ms:
            return
        delay_ms = self.LINK_MS
        if self._random.random() < self.faults.late_orders:
            delay_ms = self._random.randrange(self.timing.order_max_age_ms)
        self.later(delay_ms, lambda: self._order(name, action.order))

    def _order(self, name: str, order: fleet.Order) -> None:
        runner = self._runner(name, order.vm_id)
        outcome = requesting.Outcome.UNKNOWN
        if runner is not None:
            self.orders += 1
            taken = runner.take(order, self.now_ms)
            outcome = (requesting.Outcome.RAN
                       if taken else requesting.Outcome.NOT_RUN)
        self.hand(name, events.OrderAnswered(order, outcome, ""))


def void(value: object) -> None:
    """Drops a value, where a call is wanted for what it does."""
    del value
