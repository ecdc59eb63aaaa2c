"""Rate limits set by runners, divided among all nodes.

A limit holds for all nodes together. The nodes exchange the last limit that
each runner has set. A few nodes, chosen by a hash on which all nodes agree,
share the permitted rate; the others send nothing while the limit is confirmed.
"""

from collections.abc import Callable, Iterable, Mapping
import dataclasses
import heapq

from cardamommill import units
from cardamommill.domain import clock
from cardamommill.gateway.requests import ratesharing

# Lower bound on the rate: a runner with a limit of 0 still gets a request now
# and then, since it can lift its limit only in an answer.
MIN_PER_S = 0.2
# Burst that a node may save up, in seconds of its share; at least one request.
BURST_S = 0.25
# A limit without a confirmation for this long is stale. All nodes then take
# turns in sending a request, to find out whether it still holds.
STALE_MS = 10_000.0
# How long nodes report that a limit was lifted: a few heartbeats.
LIFTED_REPORT_MS = 3000.0
EXPIRY_MS = 300_000.0
# How many limits a message to a peer holds, so that all else still fits.
MAX_REPORTED = 8
# How long a share is used before it is computed again.
SHARE_LIFETIME_MS = 200.0
_NO_TURN = -1

NodesByDataCentre = Mapping[str, Iterable[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The last known limit of a runner.

    Attributes:
        runner: The runner's ID.
        per_s: Requests per second from all nodes; None for no limit.
        as_of_ms: When the limit was last known to hold. Messages to peers
            contain the time since then instead.
        origin: The node that received the limit from the runner.
        origin_ms: When that was, by that node's clock.
    """

    runner: str
    per_s: float | None
    as_of_ms: float
    origin: str
    origin_ms: float

    @property
    def interval_ms(self) -> float:
        """Time between two requests at the permitted rate."""
        return units.MS_PER_S / max(MIN_PER_S, self.per_s or 0.0)

    def is_stale(self, now_ms: float) -> bool:
        """Whether its last confirmation is too old."""
        return now_ms - self.as_of_ms > STALE_MS

    def turn(self, now_ms: float) -> int:
        """Returns the number of the current turn.

        A turn is the time for one request at the permitted rate; turns are
        counted from the last confirmation.
        """
        return int((now_ms - self.as_of_ms) // self.interval_ms)

    def supersedes(self, before: "RateLimit | None") -> bool:
        """Whether it is newer than the known limit, if any."""
        if before is None:
            return True
        if self.origin == before.origin and self.origin_ms <= before.origin_ms:
            # The same report, relayed by another node, is not newer.
            return False
        return self.as_of_ms > before.as_of_ms


@dataclasses.dataclass(slots=True)
class _Bucket(ratesharing.TokenBucket):
    """Token bucket for the requests of this node to a limited runner.

    Attributes:
        turn: The last turn that this node used while the limit was stale.
    """

    turn: int = _NO_TURN


class RateLimits:
    """The limits of runners, and this node's share of each."""

    def __init__(self, node: str,
                 live_nodes: Callable[[float], NodesByDataCentre]) -> None:
        """Initialises the record without any limits.

        Args:
            node: This node's name.
            live_nodes: Returns the live nodes of each data centre at a given
                time, including this one.
        """
        self._node = node
        self._live_nodes = live_nodes
        self._limits: dict[str, RateLimit] = {}
        self._buckets: dict[str, _Bucket] = {}

    def per_s(self, runner: str) -> float | None:
        """Returns the limit of a runner, or None."""
        limit = self._limits.get(runner)
        return limit.per_s if limit is not None else None

    def receive_answer(self, runner: str, per_s: float | None, sent_ms: float,
                       now_ms: float) -> bool:
        """Updates a runner's limit from an answer.

        Answers can arrive out of order, so an answer without a limit lifts it
        only if its request was sent after the limit was last set.

        Args:
            runner: The ID of the runner that answered.
            per_s: The limit in the answer, or None.
            sent_ms: When the request was sent.
            now_ms: When the answer began to arrive.

        Returns:
            Whether the limit has changed.
        """
        if per_s is None and self.per_s(runner) is None:
            return False
        as_of_ms = sent_ms if per_s is None else now_ms
        return self._update(
            RateLimit(runner, per_s, as_of_ms, self._node, as_of_ms), now_ms)

    def receive(self, told: Iterable[RateLimit], sent_ms: float,
                now_ms: float) -> list[RateLimit]:
        """Processes limits reported by a peer.

        Args:
            told: The limits, with times by the peer's clock.
            sent_ms: When they were sent, by the peer's clock.
            now_ms: The time by this node's clock.

        Returns:
            The limits that have changed.
        """
        heard = [
            dataclasses.replace(each,
                                as_of_ms=now_ms - (sent_ms - each.as_of_ms))
            for each in told
        ]
        return [each for each in heard if self._update(each, now_ms)]

    def _update(self, limit: RateLimit, now_ms: float) -> bool:
        before = self._limits.get(limit.runner)
        if not limit.supersedes(before):
            return False
        self._limits[limit.runner] = limit
        if limit.per_s is None:
            self._buckets.pop(limit.runner, None)
        else:
            bucket = self._buckets.setdefault(limit.runner,
                                              _Bucket(now_ms, burst_s=BURST_S))
            bucket.turn = _NO_TURN
        return (before.per_s if before else None) != limit.per_s

    def updates_for_peers(self, now_ms: float) -> tuple[RateLimit, ...]:
        """Returns the limits to report to peers.

        Limits that this node received from the runner itself come first, then
        the newest. Otherwise the limits of a few busy runners would leave no
        room for those that only this node knows.
        """
        told = [
            each for each in self._limits.values()
            if not each.is_stale(now_ms) and (each.per_s is not None or now_ms -
                                              each.as_of_ms < LIFTED_REPORT_MS)
        ]
        return tuple(
            heapq.nlargest(MAX_REPORTED,
                           told,
                           key=lambda each:
                           (each.origin == self._node, each.as_of_ms)))

    def wait_ms(self, runner: str, data_centre: str, now_ms: float) -> float:
        """Returns the time until this node may send a request to a runner.

        Args:
            runner: The runner's ID.
            data_centre: The runner's data centre; its nodes are preferred as
                senders.
            now_ms: The time.

        Returns:
            The time in ms, 0 for now. For a node without a share of the limit,
            the time between two requests that the limit permits the fleet.
        """
        limit = self._limits.get(runner)
        if limit is None or limit.per_s is None:
            return 0.0
        bucket = self._buckets[runner]
        if limit.is_stale(now_ms):
            has_turn = self._has_turn(limit, bucket, now_ms)
            return 0.0 if has_turn else limit.interval_ms
        bucket.refill(now_ms)
        if now_ms - bucket.share_set_ms > SHARE_LIFETIME_MS:
            bucket.set_share(self._share_per_s(limit, data_centre, now_ms),
                             now_ms)
        if bucket.tokens < 1 and not bucket.share_per_s:
            return limit.interval_ms
        return bucket.wait_ms()

    def _has_turn(self, limit: RateLimit, bucket: _Bucket,
                  now_ms: float) -> bool:
        """Whether it is this node's turn to send despite a stale limit.

        Turns are used instead of tokens, since all nodes with saved tokens
        would send at once.
        """
        turn = limit.turn(now_ms)
        order = sorted(_all_names(self._live_nodes(now_ms)))
        return turn > bucket.turn and order[turn % len(order)] == self._node

    def _share_per_s(self, limit: RateLimit, data_centre: str,
                     now_ms: float) -> float:
        live_nodes = self._live_nodes(now_ms)
        nodes = list(live_nodes.get(data_centre, ())) or _all_names(live_nodes)
        per_s = units.MS_PER_S / limit.interval_ms
        senders = ratesharing.choose_senders(limit.runner, nodes, int(per_s))
        return per_s / len(senders) if self._node in senders else 0.0

    def sent(self, runner: str, now_ms: float) -> None:
        """Records a request that is sent to a runner."""
        bucket = self._buckets.get(runner)
        if bucket is None:
            return
        bucket.turn = self._limits[runner].turn(now_ms)
        bucket.take(now_ms)

    def drop_expired(self, now_ms: float) -> None:
        """Drops limits that are too old."""
        clock.drop_expired(self._limits, lambda limit: limit.as_of_ms,
                           EXPIRY_MS, now_ms)
        for runner in self._buckets.keys() - self._limits.keys():
            del self._buckets[runner]


def _all_names(live_nodes: NodesByDataCentre) -> list[str]:
    return [name for names in live_nodes.values() for name in names]
