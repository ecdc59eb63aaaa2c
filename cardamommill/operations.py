"""What operators may ask of a node and have done by it."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import os
import pathlib
import platform
import threading
from typing import TypeVar
import uuid

from returns import result

from cardamommill import (
    applying,
    asking,
    counted,
    decisions,
    events,
    exceptions,
    explaining,
    loop,
    metrics,
    peering,
    report,
    statusfigures,
    store,
    units,
    walltime,
)
from cardamommill import board as board_lib
from cardamommill import journal as journal_lib

T = TypeVar("T")

ASK_TIMEOUT_S = 5.0
MAX_MENTIONS = 50

Failure = exceptions.CardamommillError


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """Who wants something done, and why.

    Attributes:
        author: The operator.
        reason: Why, in the operator's words.
    """

    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the process itself, for `cardamommill debug`.

    Attributes:
        python: The interpreter's version.
        pid: The process's id.
        resident_bytes: Its memory.
        threads: The names of its threads.
        control_cpu_ms: Processor time of the control thread.
        control_events: Events that it has handled.
        journal_entries: Entries that are kept.
    """

    python: str
    pid: int
    resident_bytes: int
    threads: tuple[str, ...]
    control_cpu_ms: int
    control_events: int
    journal_entries: int


class Operations:
    """Reads the board through the control thread, changes the tables itself."""

    def __init__(self, control: loop.ControlLoop, journal: journal_lib.Journal,
                 tables: applying.SyncStore, peers: asking.PeerAsker) -> None:
        """Makes it.

        Args:
            control: Where the board is read.
            journal: What happened on this node.
            tables: The platform's tables; calls on them wait.
            peers: Asks the other nodes.
        """
        self._control = control
        self._journal = journal
        self._tables = tables
        self._peers = peers

    # --- What is ---

    def status(self) -> report.Status:
        """Returns what this node knows."""
        return self._ask(report.status)

    def samples(self) -> tuple[metrics.Sample, ...]:
        """Returns the status as figures; none if it takes too long."""
        try:
            return tuple(statusfigures.samples(self.status()))
        except futures.TimeoutError:
            return ()

    def explain(self, kind: str, name: str) -> explaining.Explanation:
        """Returns what all nodes of the data centre know of a subject.

        Args:
            kind: ``replica``, ``request``, ``vm`` or ``service``.
            name: Its id.
        """
        own = self.explain_alone(kind, name)
        addresses = self._read(
            lambda board: {
                node: peer.identity.peer_address
                for node, peer in board.peers.by_node.items()
            })
        question = asking.Question(kind=kind, name=name)
        return asking.merged(own, self._peers.ask(addresses, question))

    def explain_alone(self, kind: str, name: str) -> explaining.Explanation:
        """Returns what this node alone knows of a subject."""
        own = self._ask(lambda decided, now_ms: explaining.explain(
            kind, name, decided, now_ms))
        node = self._read(lambda board: board.identity.node_id)
        about = self._journal.about(own.subject)
        told = {(entry.event, entry.detail) for entry in about}
        lines = [
            explaining.Line(entry.at, node, entry.event, entry.detail)
            for entry in about
        ]
        for entry in self._journal.mentioning(name, MAX_MENTIONS):
            # One change is noted once for each VM and replica that it is on.
            if (entry.event, entry.detail) not in told:
                told.add((entry.event, entry.detail))
                lines.append(
                    explaining.Line(entry.at, node, entry.event,
                                    f"{entry.subject}: {entry.detail}"))
        return dataclasses.replace(own,
                                   known=own.known or bool(lines),
                                   history=(*own.history, *lines))

    def answer_peer(self, data: bytes) -> bytes:
        """Answers another node's question; raises ValueError for no question.

        Args:
            data: A `asking.Question`.
        """
        return asking.answer(data, self.explain_alone)

    def figures(self) -> Figures:
        """Returns figures of the process itself."""
        return Figures(platform.python_version(), os.getpid(),
                       _resident_bytes(),
                       tuple(sorted(t.name for t in threading.enumerate())),
                       self._control.cpu_ns // units.NS_PER_MS,
                       self._control.events, len(self._journal))

    def _read(self, value: Callable[[board_lib.Board], T]) -> T:
        return self._ask(lambda decided, now_ms: value(decided.board))

    def _ask(self, question: Callable[[decisions.Decisions, int], T]) -> T:
        return self._control.ask(question).result(ASK_TIMEOUT_S)

    # --- Documents ---

    def apply(self, body: str, base_revision: int | None,
              wish: Wish) -> applying.Applied:
        """Makes a document the accepted one of its service.

        Args:
            body: Its text.
            base_revision: The revision that it was made from; None for
                whichever is accepted at this moment.
            wish: Who wants it, and why.
        """
        return applying.apply(self._tables, _change(body, base_revision, wish))

    def roll_back(self, service: str, revision: int,
                  wish: Wish) -> applying.Applied:
        """Makes an old document a new revision.

        Args:
            service: Whose.
            revision: The old one's.
            wish: Who wants it, and why.
        """
        return applying.roll_back(self._tables, service, revision,
                                  _change("", None, wish))

    def document(self, service: str, revision: int) -> applying.Applied:
        """Returns a revision of a document, 0 for the accepted one."""
        return applying.get(self._tables, service, revision)

    def revisions(self) -> result.Result[dict[str, int], Failure]:
        """Returns the accepted revision of each service."""
        return applying.revisions(self._tables)

    def history(
            self, service: str
    ) -> result.Result[tuple[store.DocumentRow, ...], Failure]:
        """Returns all revisions of a document, oldest first."""
        return applying.history(self._tables, service)

    def diff(self, service: str, old: int,
             new: int) -> result.Result[str, Failure]:
        """Returns how two revisions differ, as a unified diff.

        Args:
            service: Whose.
            old: The former; 0 for the accepted one.
            new: The later; 0 for the accepted one.
        """
        return applying.diff(self._tables, service, old, new)

    # --- VMs and requests ---

    def drain(self, vm_id: str, wish: Wish) -> counted.Changed:
        """Has a VM of this data centre emptied and kept so."""
        row = store.DrainRow(vm_id, wish.author, wish.reason, walltime.now())
        return self._set_drain(vm_id, store.encode(row))

    def undrain(self, vm_id: str) -> counted.Changed:
        """Lets a VM of this data centre be used again."""
        return self._set_drain(vm_id, None)

    def _set_drain(self, vm_id: str, value: str | None) -> counted.Changed:
        data_centre = self._read(lambda board: board.identity.data_centre)
        known = self._read(lambda board: vm_id in board.vms.listed or vm_id in
                           board.assignments.vms)
        if value is not None and not known:
            return result.Failure(
                exceptions.CommandError(
                    f"no VM {vm_id!r} in {data_centre}; ask a node of the "
                    "VM's own data centre",
                    step="drain"))
        return counted.set_row(
            self._tables, store.Key(store.DRAINS, f"{data_centre}/{vm_id}"),
            value, store.fleet_index(data_centre))

    def lift(self, digest: str, wish: Wish) -> bool:
        """Lets a request run again; returns whether anything was held to it.

        The node tells its peers and the table, which may be down just now.
        """
        held = self._read(lambda board: board.suspects.by_digest.get(digest))
        if held is None or held.state is peering.SuspectState.CLEARED:
            return False
        by = f"{wish.author}: {wish.reason}" if wish.reason else wish.author
        self._control.post(events.QuarantineLifted(digest, by))
        return True


def _change(body: str, base_revision: int | None,
            wish: Wish) -> applying.Change:
    return applying.Change(body, wish.author, wish.reason, walltime.now(),
                           uuid.uuid4().hex, base_revision)


def _resident_bytes() -> int:
    try:
        pages = pathlib.Path("/proc/self/statm").read_text("ascii").split()[1]
    except OSError:
        return 0
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
