"""A small fake world of nodes, a table and runners, under a virtual clock.

For tests and benches of decisions, in one thread and with faults. It is no
simulator of a cluster: nothing here has a capacity, a queue or a cost but the
time to load weights.
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
    fakes,
    fleet,
    periods,
    requesting,
    store,
)

TABLE = "table"


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
        self.table = fakes.FakeTable()
        self.runners: dict[str, fakes.FakeRunner] = {}
        self.nodes: dict[str, FakeNode] = {}
        self.faults = Faults()
        self.journal: list[tuple[int, str, actions.Record]] = []
        self.orders = 0
        self._random = random.Random(seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._serials = itertools.count()
        self._pulls: dict[events.Token, int] = {}

    def add_node(self, name: str, node: FakeNode) -> None:
        """Adds a node; its first tick comes within one period."""
        self.nodes[name] = node
        self.later(self._random.randrange(self.timing.tick_ms),
                   functools.partial(self._tick, name))

    def add_vms(self, runners: list[fakes.FakeRunner]) -> None:
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

    def _runner(self, name: str, vm_id: str) -> fakes.FakeRunner | None:
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

    @perform.register
    def _(self, action: actions.PullPeer, name: str) -> None:
        sent_ms = self.local_ms(name)
        other = self._node_at(action.address)
        if other is None or not self.reachable(name, other):
            self.later(
                self.timing.pull_timeout_ms, lambda: self.hand(
                    name, events.PeerPulled(action.address, None, sent_ms)))
            return
        token = events.Token(name, next(self._serials), action.address)
        self._pulls[token] = sent_ms
        self.later(
            self.LINK_MS,
            lambda: self.hand(other, events.PeerAsked(token, action.request)))

    @perform.register
    def _(self, action: actions.AnswerPeer, name: str) -> None:
        asker, address = action.token.owner, action.token.subject
        sent_ms = self._pulls.pop(action.token, None)
        if sent_ms is None or not self.reachable(name, asker):
            return
        self.later(
            self.LINK_MS, lambda: self.hand(
                asker, events.PeerPulled(address, action.digest, sent_ms)))

    @perform.register
    def _(self, action: actions.NotifyPeer, name: str) -> None:
        other = self._node_at(action.address)
        if other is not None and self.reachable(name, other):
            self.later(
                self.LINK_MS,
                lambda: self.hand(other, events.PeerNotified(action.notice)))

    def _node_at(self, address: str) -> str | None:
        for name, node in self.nodes.items():
            identity = node.decisions.board.identity
            if identity.peer_address == address and node.alive:
                return name
        return None


def void(value: object) -> None:
    """Drops a value, where a call is wanted for what it does."""
    del value
