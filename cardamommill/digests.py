"""What a node answers to a pull, and what it asks."""

from collections.abc import Iterable
import dataclasses
import hashlib

from cardamommill import board as board_lib
from cardamommill import (
    changelog,
    contacts,
    evidence,
    fleet,
    peering,
    periods,
    store,
    summaries,
)

# Bounds of one answer; what does not fit goes into a later one or, for
# suspicions and replicas, is read from the table.
MAX_NODES = 64
MAX_REPLICAS = 256
MAX_SUSPICIONS = 256
MAX_IN_FLIGHT = 512
MAX_USES = 1024
MAX_DOCUMENT_BYTES = 400_000
MAX_SUMMARIES = 512
REMOTE_NODES = 4
MAX_AGE_MS = 86_400_000


def documents_hash(board: board_lib.Board) -> int:
    """Returns a number that stands for all revisions that a node has."""
    text = ",".join(
        f"{service}={in_force.row.revision}"
        for service, in_force in sorted(board.documents.in_force.items()))
    if board.documents.complete:
        text += "."
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    # One bit less, so that it is no negative number on the wire.
    return int.from_bytes(digest, "big") >> 2


def revisions(board: board_lib.Board) -> tuple[peering.Revision, ...]:
    """Returns the revision that a node has of each service."""
    return tuple(
        peering.Revision(service, in_force.row.revision)
        for service, in_force in board.documents.in_force.items())


class DigestWriter:
    """Assembles answers to pulls from the board and first-hand evidence."""

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 book: evidence.EvidenceBook, known: contacts.Contacts,
                 counter: changelog.Counter) -> None:
        self._board = board
        self._timing = timing
        self._book = book
        self._contacts = known
        self._counter = counter
        self._nodes: changelog.ChangeLog[str, fleet.NodeIdentity] = (
            changelog.ChangeLog(counter))
        self._suspicions: changelog.ChangeLog[str, peering.Suspicion] = (
            changelog.ChangeLog(counter))
        self._summaries: changelog.ChangeLog[tuple[str, str], tuple[
            int, peering.ServiceSummary]] = changelog.ChangeLog(counter)

    def refresh(self, now_ms: int, asked: Iterable[str]) -> None:
        """Looks at what has changed since the last time.

        Args:
            now_ms: The local monotonic time.
            asked: Data centres whose summaries this node fetches itself.
        """
        fresh_ms = now_ms - self._timing.peer_timeout_ms
        self._nodes.note(
            (contact.identity.node_id, contact.identity)
            for contact in self._contacts.by_address.values()
            if contact.identity is not None and contact.heard_ms >= fresh_ms)
        own = frozenset(asked)
        section = self._board.peers
        self._summaries.note((key, (section.summaries_ms[key], summary))
                             for key, summary in section.summaries.items()
                             if key[0] in own)

    def refresh_suspicions(self) -> None:
        """Looks at what is held against requests by now."""
        self._suspicions.note(self._board.suspects.by_digest.items())

    def answer(self, request: peering.PullRequest, held_version: int,
               now_ms: int) -> peering.Digest:
        """Returns the answer to a pull.

        Args:
            request: What was asked.
            held_version: The version of the fleet's index that the rows of
                replicas came with, from the table or a peer.
            now_ms: The local monotonic time.
        """
        board = self._board
        after = (request.after_sequence if request.after_incarnation
                 == board.identity.incarnation else 0)
        near = (request.sender.data_centre == board.identity.data_centre and
                not request.summary_only)
        common = peering.Digest(
            version=peering.PROTOCOL_VERSION,
            sender=board.identity,
            sequence=self._counter.value,
            ready=board.ready(),
            after_sequence=after,
            documents_hash=documents_hash(board),
            documents_complete=board.documents.complete,
            revisions=revisions(board) if request.wants_documents else (),
            documents=(self._documents(request) if request.wants_documents else
                       ()),
            suspicions=self._suspicions.after(after)[:MAX_SUSPICIONS],
            store_age_ms=max(0, min(now_ms - board.store.answered_ms,
                                    MAX_AGE_MS)),
        )
        return (self._near(common, request, after, held_version, now_ms)
                if near else self._far(common, now_ms))

    def _near(self, common: peering.Digest, request: peering.PullRequest,
              after: int, held_version: int, now_ms: int) -> peering.Digest:
        board = self._board
        reports, unchanged = self._book.told(after, now_ms)
        # What was formed without the table has no newer version to go by.
        newer = (held_version > request.assignments_version or
                 bool(board.assignments.formed_without_table))
        return dataclasses.replace(
            common,
            nodes=self._nodes.after(after)[:MAX_NODES],
            reports=reports,
            unchanged=unchanged,
            in_flight=self._in_flight(),
            uses=tuple(use for use in board.limits.uses.values()
                       if use.concurrent or use.requests_per_s > 0)[:MAX_USES],
            assignments_version=held_version,
            replicas=self._replicas() if newer else (),
            summaries=summaries.packed(
                _aged(summary, now_ms - seen_ms) for seen_ms, summary in
                self._summaries.after(after)[:MAX_SUMMARIES]),
            drained=self.drained(),
            vms=tuple(board.vms.listed.values()) if request.wants_vms else ())

    def _far(self, common: peering.Digest, now_ms: int) -> peering.Digest:
        peers = self._board.peers.by_node.values()
        return dataclasses.replace(
            common,
            nodes=tuple(peer.identity for peer in peers)[:REMOTE_NODES],
            summaries=summaries.packed(
                summaries.own(self._board, self._timing,
                              now_ms)[:MAX_SUMMARIES]))

    def drained(self) -> tuple[str, ...]:
        """Returns the VMs that are to go, by first-hand knowledge alone."""
        listed = {
            vm_id for vm_id, vm in self._board.vms.listed.items()
            if vm.state is fleet.VmState.LEAVING
        }
        return tuple(
            sorted(listed | self._book.leaving() |
                   self._board.assignments.drained)[:evidence.MAX_VMS])

    def _in_flight(self) -> tuple[peering.ReplicaInFlight, ...]:
        return tuple(
            peering.ReplicaInFlight(replica_id, load.in_flight)
            for replica_id, load in self._board.load.by_replica.items()
            if load.in_flight)[:MAX_IN_FLIGHT]

    def _replicas(self) -> tuple[peering.ReplicaCopy, ...]:
        section = self._board.assignments
        return tuple(
            peering.ReplicaCopy(
                section.replica_versions.get(replica_id, store.ABSENT),
                dataclasses.replace(row, causes=row.causes[-1:]))
            for replica_id, row in section.replicas.items())[:MAX_REPLICAS]

    def _documents(
            self,
            request: peering.PullRequest) -> tuple[peering.DocumentCopy, ...]:
        has = {each.service: each.revision for each in request.revisions}
        copies: list[peering.DocumentCopy] = []
        room_bytes = MAX_DOCUMENT_BYTES
        for service, in_force in self._board.documents.in_force.items():
            row = in_force.row
            if row.revision <= has.get(service, 0):
                continue
            text = store.encode(row)
            room_bytes -= len(text.encode())
            if copies and room_bytes < 0:
                break
            copies.append(peering.DocumentCopy(service, row.revision, text))
        return tuple(copies)


def _aged(summary: peering.ServiceSummary,
          age_ms: int) -> peering.ServiceSummary:
    return dataclasses.replace(summary, age_ms=age_ms)
