"""Which other nodes this one asks what they know, and when."""

from collections.abc import Collection, Iterable
import random as random_lib

from cardamommill import (
    actions,
    assignments,
    contacts,
    digests,
    peering,
    periods,
    store,
    summaries,
    watching,
)
from cardamommill import board as board_lib

# Of a far data centre the second reporter asks when the first one's summary
# is this many periods old.
SECOND_REPORTER_PERIODS = 1.5


class PullSchedule:
    """Asks all nodes of the data centre, and one of some others.

    Attributes:
        reports_on: This node's place among the two reporters of each other
            data centre that it is a reporter of.
        assignments_version: The fleet's index that a peer's copy came with.
    """

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 random: random_lib.Random, known: contacts.Contacts) -> None:
        self.reports_on: dict[str, int] = {}
        self.assignments_version = store.ABSENT
        self._board = board
        self._timing = timing
        self._random = random
        self._contacts = known
        self._round_ms = board_lib.NEVER_MS
        self._summary_due_ms: dict[str, int] = {}
        self._basis: object = None

    def share_out(self, alive: Collection[str]) -> None:
        """Reckons anew which data centres this node fetches summaries of.

        Args:
            alive: The nodes that share them, with this one.
        """
        basis = (alive, frozenset(self._contacts.data_centres()))
        if basis != self._basis:
            self._basis = basis
            self.reports_on = watching.reported(self._board.identity.node_id,
                                                *basis)

    def pulls(self, now_ms: int) -> Iterable[actions.Action]:
        """Yields the questions to nodes of this data centre that are due."""
        here = self._board.identity.data_centre
        near = self._contacts.of_data_centre(here) + self._contacts.unmet()
        # All in one go, as with the runners. A little uneven, so that nodes
        # which started together drift apart.
        if now_ms >= self._round_ms:
            self._round_ms = now_ms + self._uneven(self._timing.pull_ms)
        for contact in near:
            if now_ms >= contact.due_ms:
                contact.due_ms = self._round_ms
                yield self._pull(contact, now_ms)

    def summary_pulls(self, now_ms: int) -> Iterable[actions.Action]:
        """Yields the questions to other data centres that are due."""
        regions = self._contacts.data_centres()
        for data_centre, place in self.reports_on.items():
            near = regions.get(data_centre) == self._board.identity.region
            period_ms = summaries.period_ms(self._timing, near)
            if now_ms < self._summary_due_ms.get(data_centre,
                                                 board_lib.NEVER_MS):
                continue
            if not near and place and self._age_ms(
                    data_centre, now_ms) < SECOND_REPORTER_PERIODS * period_ms:
                continue
            self._summary_due_ms[data_centre] = now_ms + self._uneven(period_ms)
            contact = self._reporter_of(data_centre)
            if contact is not None:
                yield self._pull(contact, now_ms, summary_only=True)

    def _uneven(self, period_ms: int) -> int:
        return int(period_ms * self._random.uniform(0.9, 1.0))

    def _reporter_of(self, data_centre: str) -> contacts.Contact | None:
        """Returns whom to ask: the same one as long as it answers."""
        there = self._contacts.of_data_centre(data_centre)
        fewest = min((each.failures for each in there), default=0)
        usable = {
            each.address: each for each in there if each.failures == fewest
        }
        first = watching.chosen(f"ask/{self._board.identity.node_id}", usable,
                                1)
        return usable[first[0]] if first else None

    def _age_ms(self, data_centre: str, now_ms: int) -> int:
        seen_ms = (each for key, each in self._board.peers.summaries_ms.items()
                   if key[0] == data_centre)
        return now_ms - max(seen_ms, default=board_lib.NEVER_MS)

    def _pull(self,
              contact: contacts.Contact,
              now_ms: int,
              summary_only: bool = False) -> actions.PullPeer:
        board = self._board
        identity = contact.identity
        wants = contact.wants_documents
        return actions.PullPeer(
            contact.address,
            peering.PullRequest(
                peering.PROTOCOL_VERSION,
                board.identity,
                summary_only=summary_only,
                after_sequence=contact.sequence,
                revisions=digests.revisions(board) if wants else (),
                after_incarnation=identity.incarnation if identity else 0,
                wants_documents=wants,
                documents_hash=digests.documents_hash(board),
                assignments_version=self._after_version(now_ms),
                wants_vms=not board.vms.listed))

    def _after_version(self, now_ms: int) -> int:
        # While the table answers, rows come from there. Without this each
        # change would go to every node once more from each of its peers that
        # read the table a moment earlier.
        return (peering.NO_REPLICAS
                if self._table_answers(now_ms) else self.held_version())

    def _table_answers(self, now_ms: int) -> bool:
        # The measure by which `assignments` takes a peer's rows or not.
        return now_ms - self._board.assignments.read_ms <= (
            assignments.STALE_READS * self._timing.fleet_read_ms)

    def took(self, digest: peering.Digest, now_ms: int) -> None:
        """Notes that a peer's rows of replicas came, if they are used."""
        if digest.replicas and not self._table_answers(now_ms):
            self.assignments_version = max(self.assignments_version,
                                           digest.assignments_version)

    def held_version(self) -> int:
        """Returns the version of the fleet's index that is held here.

        With rows of a peer the board names none, since not all of them were
        read; they are still as new as the index that they came with.
        """
        return max(self.assignments_version,
                   self._board.assignments.index_version)

    def ask_all(self, now_ms: int) -> None:
        """Makes all nodes due."""
        for contact in self._contacts.by_address.values():
            contact.due_ms = min(contact.due_ms, now_ms)
