"""Nodes whose boards are fed with what other controllers would know.

For tests and benches, on a virtual clock; see `requestfakes`. Evidence and
peers' news come as late as in a data centre.
"""

import random

from cardamommill import board as board_lib
from cardamommill import (
    controller,
    decisions,
    documents,
    fakeworld,
    fleet,
    peering,
    periods,
    replicafakes,
    store,
)

DATA_CENTRE = "dc-1"
EVIDENCE_MS = 700


class FedWorld(fakeworld.FakeWorld):
    """Nodes and replicas of one service in one data centre.

    Attributes:
        document: The service's.
        replicas: By name.
    """

    def __init__(self,
                 document: documents.Document,
                 kinds: tuple[type[controller.Controller], ...],
                 nodes: int = 2,
                 replicas: int = 4,
                 seed: int = 1) -> None:
        """Makes a world in which all is well.

        Args:
            document: The service's.
            kinds: The controllers of each node.
            nodes: How many nodes there are.
            replicas: How many replicas serve.
            seed: For all chance in it.
        """
        super().__init__(periods.Timing(), seed)
        self.document = document
        self.replicas = {
            f"r{number}": replicafakes.Replica(f"r{number}")
            for number in range(replicas)
        }
        self._chance = random.Random(f"requests/{seed}")
        for number in range(nodes):
            name = f"n{number}"
            node = decisions.Decisions(
                fleet.NodeIdentity(name, DATA_CENTRE, "region", 1,
                                   f"10.1.0.{number}:1", f"10.1.0.{number}:2"),
                self.timing, seed + number, kinds)
            self.add_node(name, fakeworld.FakeNode(node, 1000 * number))
            self._start(name)

    def _start(self, name: str) -> None:
        board = self.nodes[name].decisions.board
        board.life.phase = board_lib.NodePhase.SERVING
        row = store.DocumentRow(self.document.service, 1, "", "", "", "")
        board.documents.in_force[self.document.service] = (
            board_lib.DocumentInForce(self.document, row, 0))
        for replica in self.replicas.values():
            board.vms.listed[replica.vm_id] = fleet.Vm(
                replica.vm_id, f"10.2.0.1:{len(board.vms.listed)}", DATA_CENTRE,
                "domain", self.document.pool)
            self._look(name, replica)
        self._pull(name)

    def _look(self, name: str, replica: replicafakes.Replica) -> None:
        """Lets a node see a replica as it was some time ago."""
        board = self.nodes[name].decisions.board
        answers = replica.up and not replica.is_still
        if answers and not self.nodes[name].paused:
            seen_ms = self.local_ms(name)
            report = replica.report()
            late_ms = self._chance.randrange(EVIDENCE_MS)
            self.later(late_ms,
                       lambda: self._see(board, replica, report, seen_ms))
        self.later(EVIDENCE_MS, lambda: self._look(name, replica))

    def _see(self, board: board_lib.Board, replica: replicafakes.Replica,
             report: fleet.RunnerReport, seen_ms: int) -> None:
        board.evidence.by_vm[report.vm_id] = fleet.Evidence(
            report, seen_ms, "watcher")
        board.assignments.replicas[replica.replica_id] = fleet.ReplicaRow(
            replica.replica_id, self.document.service, DATA_CENTRE, 1,
            report.formation, (replica.vm_id,), (), replicafakes.MODEL,
            fleet.ReplicaState.ASSIGNED, 1, "")

    def _pull(self, name: str) -> None:
        """Lets a node hear its peers."""
        board = self.nodes[name].decisions.board
        for other, node in self.nodes.items():
            if other == name or not node.alive or not self.reachable(
                    name, other):
                continue
            theirs = node.decisions.board
            counts = tuple(
                peering.ReplicaInFlight(replica_id, load.in_flight)
                for replica_id, load in theirs.load.by_replica.items())
            board.peers.by_node[other] = board_lib.Peer(
                theirs.identity,
                self.local_ms(name),
                in_flight=counts,
                uses=tuple(theirs.limits.uses.values()))
        self.later(self.timing.pull_ms, lambda: self._pull(name))
