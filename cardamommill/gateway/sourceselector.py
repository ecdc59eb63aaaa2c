"""Decides whether a node asks the store or a peer for the store's tables.

The store has a bound for all nodes together, and each call is paid for. So a
few nodes of a data centre read the list and the configuration, and the others
ask these, which answer with the age of what they tell. Whoever is turned away
by the store asks a peer that has confirmed the configuration of late.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import zlib

from cardamommill.gateway import peers

# One may die while the other still reads.
READERS_PER_DATA_CENTRE = 2
# The store is left after this many failures in a row and asked again so long
# after the last, later where many have lost it; a peer is left after one.
STORE_FAILURE_LIMIT = 2
STORE_RETRY_MS = 1500.0
PEER_RETRY_MS = 3000.0
# Whoever lost the store reads for nobody for so long, unless all have lost it.
STORE_LOST_MS = 30_000.0
# Of peers that confirmed the configuration within this the nearest is asked, as
# bytes between data centres are dear; others know no more than this node does.
MAX_CONFIRMATION_AGE_MS = 1500.0

# Whether a node lost the store, its name, and where it is.
_Near = tuple[bool, str, peers.Address]


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Whom to ask.

    Attributes:
        peer: The address of a node; None for the store.
    """

    peer: peers.Address | None = None


STORE = Source()


@dataclasses.dataclass(slots=True)
class _Failures:
    """How often a source gave no answer in a row, and when it last did."""

    count: int = 0
    last_ms: float = float("-inf")


class SourceSelector:
    """Keeps who failed of late, for one table."""

    def __init__(self, node: str, others: peers.Peers) -> None:
        self._node = node
        self._peers = others
        self._failures: dict[Source, _Failures] = {}

    def failed(self, source: Source, now_ms: float) -> None:
        """Notes that a source gave no answer that can be used."""
        failures = self._failures.setdefault(source, _Failures())
        failures.count += 1
        failures.last_ms = now_ms

    def succeeded(self, source: Source) -> None:
        """Notes an answer."""
        self._failures.pop(source, None)

    @property
    def has_store_failed(self) -> bool:
        """Whether the store's last answer to this node was none."""
        return STORE in self._failures

    @property
    def is_store_lost(self) -> bool:
        """Whether the store failed more than once in a row.

        One lost answer of a feed says little: asked again, the store answers
        in some ms. Left at once for peers, which had lost theirs as well, all
        nodes refused all keys for 0.6 s.
        """
        failures = self._failures.get(STORE)
        return failures is not None and failures.count >= STORE_FAILURE_LIMIT

    def has_lost_store(self, now_ms: float) -> bool:
        """Whether the store failed this node of late, more than once."""
        return self.is_store_lost and self._failed_lately(
            STORE, now_ms, STORE_LOST_MS)

    def choose(self, now_ms: float) -> Source:
        """Returns whom to ask now."""
        near = self._near(now_ms)
        reader = self._reader(near, now_ms)
        if self.is_store_lost and self._failed_lately(
                STORE, now_ms, self._store_again_ms(near)):
            # A reader that is cut off too has nothing new, but asking it costs
            # nothing: of eighty nodes each would call the store all the while.
            return self._young(now_ms) or reader or STORE
        if reader is None or self._failed_lately(reader, now_ms, PEER_RETRY_MS):
            return STORE
        return reader

    def _failed_lately(self, source: Source, now_ms: float,
                       for_ms: float) -> bool:
        failures = self._failures.get(source)
        return failures is not None and now_ms - failures.last_ms < for_ms

    def _near(self, now_ms: float) -> list[_Near]:
        """Returns the living nodes of this data centre."""
        return [(each.last_message.has_lost_store, each.last_message.node,
                 each.address)
                for each in self._peers.live_peers(now_ms)
                if each.last_message and each.is_near]

    def _store_again_ms(self, near: list[_Near]) -> float:
        """Returns when a node that lost the store asks it again.

        Where all of a data centre have lost it, each asks so seldom that all
        together ask little more than its readers: eighty nodes called the
        store fifty times a second for as long as it was away.
        """
        if sum(name < self._node
               for _, name, _ in near) < READERS_PER_DATA_CENTRE:
            return STORE_RETRY_MS
        return STORE_RETRY_MS * max(1.0, (1 + len(near)) /
                                    (1 + READERS_PER_DATA_CENTRE))

    def _reader(self, near: list[_Near], now_ms: float) -> Source | None:
        """Returns the reader that this node follows; None for a reader.

        The first by name read, of those that have not lost the store: the
        followers of one that had heard too late that runners leave, or asked
        the store each for itself. Each follows only nodes before it in that
        order, so that no two follow each other for longer than it takes to
        hear who lost the store. A planner reads for itself: it waits for news
        of its members.
        """
        if self._peers.is_planner:
            return None
        own = (self.has_lost_store(now_ms), self._node)
        readers = heapq.nsmallest(READERS_PER_DATA_CENTRE, near)
        if len(readers) < READERS_PER_DATA_CENTRE or own < readers[-1][:2]:
            return None
        mine = zlib.crc32(self._node.encode()) % READERS_PER_DATA_CENTRE
        return Source(readers[mine][-1])

    def peer_with_newer(self, version: int, now_ms: float) -> Source | None:
        """Returns the nearest peer with a newer configuration in force."""
        return self._nearest(
            ((each, now_ms - each.heard_ms)
             for each in self._peers.live_peers(now_ms)
             if each.last_message and each.last_message.config_version > version
            ), now_ms)

    def _young(self, now_ms: float) -> Source | None:
        """Returns the nearest peer that confirmed the configuration of late."""
        aged = ((each, each.last_message.config_confirmed_age_ms + now_ms -
                 each.heard_ms)
                for each in self._peers.live_peers(now_ms)
                if each.last_message)
        return self._nearest(((each, age_ms)
                              for each, age_ms in aged
                              if age_ms < MAX_CONFIRMATION_AGE_MS), now_ms)

    def _nearest(self, aged: Iterable[tuple[peers.Peer, float]],
                 now_ms: float) -> Source | None:
        """Returns the nearest peer that has not failed of late.

        Args:
            aged: Peers, each with its age in ms; of those as near the youngest.
            now_ms: The time.
        """
        found = [
            (not each.is_near, age_ms, each.address) for each, age_ms in aged if
            not self._failed_lately(Source(each.address), now_ms, PEER_RETRY_MS)
        ]
        return Source(min(found)[-1]) if found else None
