"""Several nodes' decisions on one virtual clock, with a network that fails.

Each node has its own monotonic clock, off by an offset; the oracle alone
knows the true time. Runners keep the history of what they said and when.
"""

import dataclasses
import heapq
import itertools
import random

from cardamommill import (
    actions,
    configuration,
    decisions,
    events,
    fleet,
    membership,
    peerwire,
    periods,
    store,
)
from tests import fake_table

KINDS = (membership.Membership, configuration.Configuration)


def over_the_wire(message):
    """Returns a message as another process reads it."""
    return peerwire.decode(peerwire.encode(message), type(message), "fake")


@dataclasses.dataclass
class FakeRunner:
    """A runner, what it has ever said, and until when each was true."""

    vm: fleet.Vm
    report: fleet.RunnerReport
    alive: bool = True
    until_ms: dict[fleet.RunnerReport,
                   int] = dataclasses.field(default_factory=dict)

    def change(self, now_ms: int, **fields) -> None:
        """Changes its state; no state ever comes back."""
        self.until_ms[self.report] = now_ms
        self.report = dataclasses.replace(
            self.report,
            cache_sequence=self.report.cache_sequence + 1,
            **fields)

    def last_true_ms(self, report: fleet.RunnerReport, now_ms: int) -> int:
        if report == self.report:
            return now_ms
        return self.until_ms[report]


class FakeNode:
    """A node's decisions, its clock, and whether its process runs."""

    def __init__(self, identity, offset_ms: int, known, kinds, timing):
        self.identity = identity
        self.offset_ms = offset_ms
        self.known = known
        self.paused = False
        self.alive = True
        self.held: list = []
        self.last_tick_ms = 0
        self.records: list[actions.Record] = []
        self.decided = decisions.Decisions(identity, timing, 1, kinds)

    @property
    def board(self):
        return self.decided.board

    @property
    def name(self) -> str:
        return self.identity.node_id


class FakeFleet:
    """Nodes, runners and the table, joined by a network with faults."""

    def __init__(self,
                 data_centres=("dc-a",),
                 nodes: int = 3,
                 vms: int = 4,
                 seed: int = 0,
                 kinds=KINDS,
                 timing: periods.Timing | None = None):
        self.now_ms = 0
        self.timing = timing or periods.Timing()
        self.random = random.Random(seed)
        self.table = fake_table.FakeTable()
        self.cuts: set[frozenset[str]] = set()
        self.table_cuts: set[str] = set()
        self.max_delay_ms = 5
        self.loss = 0.0
        self.repeats = 0.0
        self.started_ms: dict[str, int] = {}
        self.nodes: dict[str, FakeNode] = {}
        self.runners: dict[str, FakeRunner] = {}
        self._by_address: dict[str, FakeNode] = {}
        self._kinds = kinds
        self._queue: list = []
        self._serial = itertools.count()
        for place, data_centre in enumerate(data_centres):
            for number in range(nodes):
                self.start_node(f"{data_centre}-{number}", data_centre, place,
                                number)
            for number in range(vms):
                self._add_runner(f"{data_centre}-vm-{number}", data_centre)

    def _add_runner(self, vm_id: str, data_centre: str) -> None:
        vm = fleet.Vm(vm_id, f"10.1.0.1:{len(self.runners) + 1}", data_centre,
                      "fabric", "pool")
        self.runners[vm_id] = FakeRunner(
            vm, fleet.RunnerReport(vm_id, "boot-1", ready=True, slots=8))

    def start_node(self, name, data_centre, place, number, incarnation=1):
        identity = fleet.NodeIdentity(name, data_centre, f"region-{place // 3}",
                                      incarnation,
                                      f"10.0.{place}.{number + 1}:1",
                                      f"10.0.{place}.{number + 1}:2")
        # Everybody knows the first node of each data centre from settings.
        known = ("10.0.0.1:1", "10.0.1.1:1")
        node = FakeNode(identity, self.random.randrange(10**6), known,
                        self._kinds, self.timing)
        node.last_tick_ms = self.now_ms
        self.nodes[name] = node
        self._by_address[identity.peer_address] = node
        self.started_ms[name] = self.now_ms
        self._hand(node, events.Started(known))

    def restart_node(self, name: str) -> None:
        before = self.nodes[name]
        identity = before.identity
        place, number = identity.peer_address.split(":")[0].split(".")[2:]
        before.alive = False
        self.start_node(name, identity.data_centre, int(place),
                        int(number) - 1, identity.incarnation + 1)

    # --- Time ---

    def advance(self, for_ms: int) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += 50
            while self._queue and self._queue[0][0] <= self.now_ms:
                heapq.heappop(self._queue)[2]()
            for node in self.nodes.values():
                self._tick(node)

    def _tick(self, node: FakeNode) -> None:
        stood_ms = self.now_ms - node.last_tick_ms
        if node.paused or stood_ms < self.timing.tick_ms:
            return
        node.last_tick_ms = self.now_ms
        if stood_ms > self.timing.pause_ms:
            self._hand(node, events.Paused(stood_ms))
        self._hand(node, events.Tick())
        for event in node.held:
            self._hand(node, event)
        node.held.clear()

    def _later(self, call, at_least_ms: int = 0) -> None:
        delay_ms = max(at_least_ms,
                       self.random.randint(1, max(1, self.max_delay_ms)))
        heapq.heappush(self._queue,
                       (self.now_ms + delay_ms, next(self._serial), call))

    def _hand(self, node: FakeNode, event: events.Event) -> None:
        if not node.alive:
            return
        if node.paused:
            node.held.append(event)
            return
        for action in node.decided.step(event, self.now_ms + node.offset_ms):
            self._perform(node, action)

    # --- What the shell does ---

    def _perform(self, node: FakeNode, action: actions.Action) -> None:
        match action:
            case actions.PollRunner():
                self._poll(node, action)
            case actions.PullPeer():
                self._pull(node, action)
            case actions.NotifyPeer():
                peer = self._at(action.address)
                if peer and self.joined(node, peer) and self._arrives():
                    self._later(lambda: self._hand(
                        peer, events.PeerNotified(action.notice)))
            case actions.ListVms():
                vms = tuple(runner.vm for runner in self.runners.values())
                self._from_table(
                    node, lambda up: events.VmsListed(vms if up else None))
            case actions.ReadRows():
                self._from_table(
                    node, lambda up: events.RowsRead(
                        action.token,
                        tuple(self.table.read(key) for key in action.keys)
                        if up else None))
            case actions.ScanRows():
                self._from_table(
                    node, lambda up: events.RowsRead(
                        action.token,
                        self.table.scan(action.table, action.prefix)
                        if up else None))
            case actions.Transact():
                self._from_table(
                    node, lambda up: dataclasses.replace(self.table.answer(
                        action.conditions, action.writes),
                                                         token=action.token)
                    if up else events.TransactAnswered(
                        action.token, store.TransactOutcome.NOT_RUN))
            case actions.Record():
                node.records.append(action)

    def _arrives(self) -> bool:
        return self.random.random() >= self.loss

    def _at(self, address: str) -> FakeNode | None:
        return self._by_address.get(address)

    def joined(self, node: FakeNode, peer: FakeNode) -> bool:
        return frozenset((node.name, peer.name)) not in self.cuts

    def table_answers(self, node: FakeNode) -> bool:
        return not self.table.down and node.name not in self.table_cuts

    def _from_table(self, node: FakeNode, make) -> None:
        self._later(lambda: self._later(
            self._answer(node, make(self.table_answers(node)))))

    def _answer(self, node: FakeNode, event: events.Event):
        return lambda: self._hand(node, event)

    def _poll(self, node: FakeNode, action: actions.PollRunner) -> None:
        sent_ms = self.now_ms + node.offset_ms
        runner = self.runners[action.vm_id]

        def ask() -> None:
            answers = runner.alive and self._arrives()
            event = events.RunnerPolled(action.vm_id,
                                        runner.report if answers else None,
                                        sent_ms)
            self._later(lambda: self._hand(node, event),
                        0 if answers else self.timing.poll_timeout_ms)

        self._later(ask)

    def _pull(self, node: FakeNode, action: actions.PullPeer) -> None:
        sent_ms = self.now_ms + node.offset_ms
        peer = self._at(action.address)

        def ended(digest):
            return lambda: self._hand(
                node, events.PeerPulled(action.address, digest, sent_ms))

        if (peer is None or not self.joined(node, peer) or not self._arrives()):
            self._later(ended(None), self.timing.pull_timeout_ms)
            return

        def ask() -> None:
            if not peer.alive:
                return
            if peer.paused:
                peer.held.append(
                    events.PeerAsked(events.Token("net", 0), action.request))
                self._later(ended(None), self.timing.pull_timeout_ms)
                return
            asked = events.PeerAsked(events.Token("net", 0),
                                     over_the_wire(action.request))
            for answer in peer.decided.step(asked,
                                            self.now_ms + peer.offset_ms):
                if isinstance(answer, actions.AnswerPeer) and self._arrives():
                    digest = over_the_wire(answer.digest)
                    self._later(ended(digest))
                    if self.random.random() < self.repeats:
                        self._later(ended(digest))

        self._later(ask)
