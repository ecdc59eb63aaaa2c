"""Selects the store or a peer as the source from which a table is read.

The store limits the rate of calls from all nodes together, and each call is
charged for. So only a few nodes of a data centre, its readers, read the runner
list and the configuration from the store. The other nodes, the followers, read
from these, which answer with the age of their data. A node that the store
refuses reads from a peer that has recently confirmed the configuration.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import zlib

from cardamommill.gateway.nodes import peers

# Two, so that one still reads if the other fails.
READERS_PER_DATA_CENTRE = 2
# After this many failures in a row a node stops reading from the store. It
# retries STORE_RETRY_MS after the last failure, or later if many nodes have
# lost the store. A peer is abandoned after one failure, for PEER_RETRY_MS.
STORE_FAILURE_LIMIT = 2
STORE_RETRY_MS = 1500.0
PEER_RETRY_MS = 3000.0
# A node that has lost the store is not a reader for this long, unless all nodes
# have lost it.
STORE_LOST_MS = 30_000.0
# Without the store, only peers that confirmed the configuration within this
# time are read from, since others know no more than this node does. Of these
# the nearest is chosen, as traffic between data centres is expensive.
MAX_CONFIRMATION_AGE_MS = 1500.0

# Whether a node of this data centre has lost the store, its name and address.
_NearNode = tuple[bool, str, peers.Address]


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """The store or a peer, from which a table can be read.

    Attributes:
        peer: The address of a peer; None for the store.
    """

    peer: peers.Address | None = None


STORE = Source()


@dataclasses.dataclass(slots=True)
class _Failures:
    """Number of consecutive failures of a source, and the time of the last."""

    count: int = 0
    last_ms: float = float("-inf")


class SourceSelector:
    """Selects the source of one table, based on recent failures."""

    def __init__(self, node: str, others: peers.Peers) -> None:
        self._node = node
        self._peers = others
        self._failures: dict[Source, _Failures] = {}

    def failed(self, source: Source, now_ms: float) -> None:
        """Records that a source gave no usable answer."""
        failures = self._failures.setdefault(source, _Failures())
        failures.count += 1
        failures.last_ms = now_ms

    def succeeded(self, source: Source) -> None:
        """Records that a source gave a usable answer."""
        self._failures.pop(source, None)

    @property
    def has_store_failed(self) -> bool:
        """Whether this node's last call to the store failed."""
        return STORE in self._failures

    @property
    def has_reached_failure_limit(self) -> bool:
        """Whether the last calls to the store failed, more than one in a row.

        After a single unanswered query the store answers a retry within some
        ms. When all nodes lost one answer and each turned to a peer at once,
        none had newer data, and all of them rejected all keys for 0.6 s.
        """
        failures = self._failures.get(STORE)
        return failures is not None and failures.count >= STORE_FAILURE_LIMIT

    def has_lost_store(self, now_ms: float) -> bool:
        """Whether the store is lost and its last failure is recent."""
        return self.has_reached_failure_limit and self._has_failed_recently(
            STORE, now_ms, STORE_LOST_MS)

    def choose(self, now_ms: float) -> Source:
        """Returns the source to read from now."""
        near = self._near_nodes(now_ms)
        reader = self._reader(near, now_ms)
        if self.has_reached_failure_limit and self._has_failed_recently(
                STORE, now_ms, self._store_retry_ms(near)):
            # A reader that has lost the store too has no new data, but asking
            # it is free. Otherwise each of eighty nodes would keep calling the
            # store throughout an outage.
            return self._recently_confirmed(now_ms) or reader or STORE
        if reader is None or self._has_failed_recently(reader, now_ms,
                                                       PEER_RETRY_MS):
            return STORE
        return reader

    def _has_failed_recently(self, source: Source, now_ms: float,
                             for_ms: float) -> bool:
        failures = self._failures.get(source)
        return failures is not None and now_ms - failures.last_ms < for_ms

    def _near_nodes(self, now_ms: float) -> list[_NearNode]:
        """Returns the live peers in this data centre."""
        return [(each.last_message.has_lost_store, each.last_message.node,
                 each.address)
                for each in self._peers.live_peers(now_ms)
                if each.last_message and each.is_near]

    def _store_retry_ms(self, near: list[_NearNode]) -> float:
        """Returns how long after the last failure the store is called again.

        If all nodes of a data centre have lost the store, each calls it so
        rarely that together they make few more calls than its readers. At a
        fixed interval, eighty nodes called the store fifty times a second
        throughout an outage.
        """
        if sum(name < self._node
               for _, name, _ in near) < READERS_PER_DATA_CENTRE:
            return STORE_RETRY_MS
        return STORE_RETRY_MS * max(1.0, (1 + len(near)) /
                                    (1 + READERS_PER_DATA_CENTRE))

    def _reader(self, near: list[_NearNode], now_ms: float) -> Source | None:
        """Returns the reader that this node follows, or None if it is a reader.

        Readers are the first nodes by name among those that have not lost the
        store. Followers of a node that has lost it would learn too late that
        runners are leaving, or would each call the store on their own.

        A node follows only nodes before it in that order, so two nodes follow
        each other at most until both know which of them has lost the store. A
        node that plans always reads from the store, because it waits for
        changes of the members of its groups.
        """
        if self._peers.is_planner:
            return None
        own = (self.has_lost_store(now_ms), self._node)
        readers = heapq.nsmallest(READERS_PER_DATA_CENTRE, near)
        if len(readers) < READERS_PER_DATA_CENTRE or own < readers[-1][:2]:
            return None
        index = zlib.crc32(self._node.encode()) % READERS_PER_DATA_CENTRE
        return Source(readers[index][-1])

    def peer_with_newer(self, version: int, now_ms: float) -> Source | None:
        """Returns the nearest peer that uses a newer configuration, if any."""
        return self._nearest(
            ((each, now_ms - each.heard_ms)
             for each in self._peers.live_peers(now_ms)
             if each.last_message and each.last_message.config_version > version
            ), now_ms)

    def _recently_confirmed(self, now_ms: float) -> Source | None:
        """Returns the nearest peer with a recently confirmed configuration."""
        peers_with_age = ((each, each.last_message.config_confirmed_age_ms +
                           now_ms - each.heard_ms)
                          for each in self._peers.live_peers(now_ms)
                          if each.last_message)
        return self._nearest(((each, age_ms)
                              for each, age_ms in peers_with_age
                              if age_ms < MAX_CONFIRMATION_AGE_MS), now_ms)

    def _nearest(self, peers_with_age: Iterable[tuple[peers.Peer, float]],
                 now_ms: float) -> Source | None:
        """Returns the nearest peer that has not failed recently, if any.

        Args:
            peers_with_age: Peers, each with the age of its data in ms; of
                equally near ones the one with the lowest age is returned.
            now_ms: The current time.
        """
        found = [(not each.is_near, age_ms, each.address)
                 for each, age_ms in peers_with_age
                 if not self._has_failed_recently(Source(each.address), now_ms,
                                                  PEER_RETRY_MS)]
        return Source(min(found)[-1]) if found else None
