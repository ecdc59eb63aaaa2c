"""Capacity of the decisions: many nodes in one process, on a virtual clock."""

import dataclasses
import gc
import time
import tracemalloc

from cardamommill import (
    actions,
    applying,
    decisions,
    events,
    peerdatagram,
    peerwire,
)
from tests import fake_fleet, fake_table

SERVICES = 10
SETTLE_MS = 6_000
# A datagram's IP and UDP headers.
HEADERS_BYTES = 28


@dataclasses.dataclass(frozen=True)
class Size:
    """How large a fleet is measured.

    Attributes:
        data_centres: How many.
        nodes: Nodes in each.
        vms: Runners in each.
    """

    data_centres: int
    nodes: int
    vms: int


@dataclasses.dataclass(frozen=True)
class Load:
    """What one node of such a fleet does and holds, on average.

    Attributes:
        cpu_percent: Of a core, for its decisions alone.
        datagram_bytes_per_s: Sent to other nodes, with headers.
        pulls_per_s: Questions to other nodes.
        polls_per_s: Questions to runners.
        table_reads_per_s: Questions to the table.
        state_kb: Memory of its decisions.
    """

    cpu_percent: float
    datagram_bytes_per_s: float
    pulls_per_s: float
    polls_per_s: float
    table_reads_per_s: float
    state_kb: float


def document(number: int, replicas: int, fleet) -> str:
    centres = {
        node.identity.data_centre: {
            "replicas": replicas
        } for node in fleet.nodes.values()
    }
    return (f"{{service: service-{number}, kind: model, pool: pool, model: m, "
            f"version: '1', replica_vms: 4, accounts: [], capacity: "
            f"{str(centres).replace(chr(39), '')}}}")


def apply(fleet, number: int, replicas: int) -> None:
    tables = fake_table.SyncTable(fleet.table)
    change = applying.Change(document(number, replicas, fleet), "operator",
                             "measured", "", f"{number}/{replicas}")
    applying.apply(tables, change).unwrap()


class Measured:
    """A fleet whose nodes' steps and messages are counted."""

    def __init__(self, size: Size) -> None:
        gc.collect()
        tracemalloc.start()
        self.size = size
        self.fleet = fake_fleet.FakeFleet(tuple(
            f"dc-{number:02}" for number in range(size.data_centres)),
                                          size.nodes,
                                          size.vms,
                                          kinds=decisions.node_kinds())
        self.cpu_ns = self.bytes = 0
        self.counts: dict[type, int] = {}
        for node in self.fleet.nodes.values():
            node.decided.step = self._counted(node.decided.step)
        for number in range(SERVICES):
            apply(self.fleet, number, max(1, size.vms // 4 // SERVICES))
        self.fleet.advance(SETTLE_MS)
        gc.collect()
        self.state_kb = (tracemalloc.get_traced_memory()[0] / 1024 /
                         len(self.fleet.nodes))
        tracemalloc.stop()

    def _counted(self, step):

        def counted(event: events.Event, now_ms: int) -> actions.Actions:
            start_ns = time.thread_time_ns()
            done = step(event, now_ms)
            self.cpu_ns += time.thread_time_ns() - start_ns
            for action in done:
                self._count(action)
            return done

        return counted

    def _count(self, action: actions.Action) -> None:
        kind = type(action)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        message = {
            actions.PullPeer: lambda: action.request,
            actions.AnswerPeer: lambda: action.digest
        }.get(kind)
        if message:
            self.bytes += (len(peerwire.encode(message())) + HEADERS_BYTES +
                           peerdatagram.HEAD_BYTES)

    def load(self, for_s: int) -> Load:
        """Returns the mean load of a node over some virtual seconds."""
        self.cpu_ns = self.bytes = 0
        self.counts.clear()
        self.fleet.advance(for_s * 1000)
        per_node_s = for_s * len(self.fleet.nodes)

        def rate(*kinds: type) -> float:
            return sum(self.counts.get(kind, 0) for kind in kinds) / per_node_s

        return Load(self.cpu_ns / 1e9 / per_node_s * 100,
                    self.bytes / per_node_s, rate(actions.PullPeer),
                    rate(actions.PollRunner),
                    rate(actions.ReadRows, actions.ScanRows,
                         actions.ListVms), self.state_kb)

    def in_force_ms(self, changes: int) -> list[int]:
        """Returns how long each change took to be in force on all nodes."""
        took_ms = []
        for number in range(changes):
            apply(self.fleet, number % SERVICES, number + 100)
            service = f"service-{number % SERVICES}"
            revisions = applying.revisions(
                fake_table.SyncTable(self.fleet.table)).unwrap()
            start_ms = self.fleet.now_ms
            while not all(node.board.documents.in_force[service].row.revision ==
                          revisions[service]
                          for node in self.fleet.nodes.values()):
                self.fleet.advance(50)
            took_ms.append(self.fleet.now_ms - start_ms)
        return took_ms
