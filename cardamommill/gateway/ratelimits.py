"""Rate limits that runners name, shared out over all nodes.

A limit holds for all nodes together. The nodes tell each other what a runner
said last, and a few of them, which all nodes agree on by hash, send what it
takes; the others send it nothing while its limit is confirmed.
"""

from collections.abc import Callable, Iterable, Mapping
import dataclasses
import heapq
import zlib

from cardamommill import units
from cardamommill.gateway import clock

# A runner that takes nothing is asked now and then, or it could not say that
# its limit is over.
LEAST_PER_S = 0.2
# How much of its share a node may save up, at least one request.
BURST_S = 0.25
# A limit that nobody confirmed for this long is tried by all nodes in turn, so
# that one of them finds out whether it still holds.
STALE_MS = 10_000.0
# For so long nodes tell that a limit was lifted: a few heartbeats.
LIFTED_TOLD_MS = 3000.0
FORGOTTEN_MS = 300_000.0
# The newest that fit in a datagram beside all else.
MAX_TOLD = 8
# How long a share is used before it is worked out anew.
SHARE_MS = 200.0
_NO_TURN = -1

Nodes = Mapping[str, Iterable[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a runner said last of its limit.

    Attributes:
        runner: Its id.
        per_s: Requests a second from all nodes; None where it has none.
        as_of_ms: When that was true at the latest; nodes tell each other its
            age instead.
        origin: The node that was told so by the runner.
        origin_ms: When that was, by that node's clock.
    """

    runner: str
    per_s: float | None
    as_of_ms: float
    origin: str
    origin_ms: float

    @property
    def interval_ms(self) -> float:
        """How long after a request the runner takes the next one."""
        return units.MS_PER_S / max(LEAST_PER_S, self.per_s or 0.0)

    def is_stale(self, now_ms: float) -> bool:
        """Whether nobody has confirmed it for long."""
        return now_ms - self.as_of_ms > STALE_MS

    def turn(self, now_ms: float) -> int:
        """Returns how many requests it has allowed since it was confirmed."""
        return int((now_ms - self.as_of_ms) // self.interval_ms)

    def is_news_after(self, before: "RateLimit | None") -> bool:
        """Whether it says more than what is known."""
        if before is None:
            return True
        if self.origin == before.origin and self.origin_ms <= before.origin_ms:
            # The same word by another way is as old as it was.
            return False
        return self.as_of_ms > before.as_of_ms


@dataclasses.dataclass(slots=True)
class _Bucket:
    """What this node may send to a limited runner.

    Attributes:
        tokens: Requests that it may send now.
        share_per_s: How many are added a second.
        at_ms: When it was filled last.
        shared_ms: When the share was worked out last.
        turn: The last turn that this node used of a limit that is stale.
    """

    at_ms: float
    tokens: float = 0.0
    share_per_s: float = 0.0
    shared_ms: float = float("-inf")
    turn: int = _NO_TURN

    def fill(self, now_ms: float) -> None:
        """Adds the tokens of the time since it was filled last."""
        most = max(1.0, BURST_S * self.share_per_s)
        added = (now_ms - self.at_ms) / units.MS_PER_S * self.share_per_s
        self.tokens = min(most, self.tokens + added)
        self.at_ms = now_ms

    def give(self, share_per_s: float, now_ms: float) -> None:
        """Sets the share; a node without one keeps no tokens."""
        if not share_per_s:
            self.tokens = min(0.0, self.tokens)
        self.share_per_s = share_per_s
        self.shared_ms = now_ms


class RateLimits:
    """Limits of runners by id, and this node's part of each."""

    def __init__(self, node: str, live_nodes: Callable[[float], Nodes]) -> None:
        """Makes it.

        Args:
            node: This node's name.
            live_nodes: Returns the living nodes of each data centre, this one
                among them, at a time.
        """
        self._node = node
        self._living = live_nodes
        self._limits: dict[str, RateLimit] = {}
        self._buckets: dict[str, _Bucket] = {}

    def per_s(self, runner: str) -> float | None:
        """Returns the limit of a runner, None for none."""
        limit = self._limits.get(runner)
        return limit.per_s if limit is not None else None

    def take_answer(self, runner: str, per_s: float | None, sent_ms: float,
                    now_ms: float) -> bool:
        """Takes what an answer says of its runner's limit.

        Answers overtake each other, so one without a limit lifts it only if its
        request was sent after the limit was last named.

        Args:
            runner: Who answered.
            per_s: The limit that it named, None for none.
            sent_ms: When the request was sent.
            now_ms: When the answer began to arrive.

        Returns:
            Whether the limit has changed.
        """
        if per_s is None and self.per_s(runner) is None:
            return False
        as_of_ms = sent_ms if per_s is None else now_ms
        return self._take(
            RateLimit(runner, per_s, as_of_ms, self._node, as_of_ms), now_ms)

    def receive(self, told: Iterable[RateLimit], sent_ms: float,
                now_ms: float) -> list[RateLimit]:
        """Takes what a peer tells.

        Args:
            told: Limits, with times by the peer's clock.
            sent_ms: When it told them, by that clock.
            now_ms: The time here.

        Returns:
            Those that have changed.
        """
        heard = [
            dataclasses.replace(each,
                                as_of_ms=now_ms - (sent_ms - each.as_of_ms))
            for each in told
        ]
        return [each for each in heard if self._take(each, now_ms)]

    def _take(self, limit: RateLimit, now_ms: float) -> bool:
        before = self._limits.get(limit.runner)
        if not limit.is_news_after(before):
            return False
        self._limits[limit.runner] = limit
        if limit.per_s is None:
            self._buckets.pop(limit.runner, None)
        else:
            bucket = self._buckets.setdefault(limit.runner, _Bucket(now_ms))
            bucket.turn = _NO_TURN
        return (before.per_s if before else None) != limit.per_s

    def updates_for_peers(self, now_ms: float) -> tuple[RateLimit, ...]:
        """Returns what other nodes should hear.

        What this node was told by the runner itself comes first, then the
        newest: passed on alike, the limits of a few busy runners would leave no
        room for those that only this node has heard.
        """
        told = [
            each for each in self._limits.values()
            if not each.is_stale(now_ms) and
            (each.per_s is not None or now_ms - each.as_of_ms < LIFTED_TOLD_MS)
        ]
        return tuple(
            heapq.nlargest(MAX_TOLD,
                           told,
                           key=lambda each:
                           (each.origin == self._node, each.as_of_ms)))

    def wait_ms(self, runner: str, data_centre: str, now_ms: float) -> float:
        """Returns when a runner takes a request of this node, 0 for now.

        Args:
            runner: Its id.
            data_centre: Where it stands; nodes there are its first choice.
            now_ms: The time.

        Returns:
            Where this node has no part of the limit, when it takes the next
            request of any node.
        """
        limit = self._limits.get(runner)
        if limit is None or limit.per_s is None:
            return 0.0
        bucket = self._buckets[runner]
        if limit.is_stale(now_ms):
            has_turn = self._has_turn(limit, bucket, now_ms)
            return 0.0 if has_turn else limit.interval_ms
        bucket.fill(now_ms)
        if now_ms - bucket.shared_ms > SHARE_MS:
            bucket.give(self._share_per_s(limit, data_centre, now_ms), now_ms)
        if bucket.tokens >= 1:
            return 0.0
        if not bucket.share_per_s:
            return limit.interval_ms
        return units.MS_PER_S * (1 - bucket.tokens) / bucket.share_per_s

    def _has_turn(self, limit: RateLimit, bucket: _Bucket,
                  now_ms: float) -> bool:
        """Whether this node may try a limit that nobody confirms.

        Nodes that saved up a part each would all try it at once.
        """
        turn = limit.turn(now_ms)
        order = sorted(_all(self._living(now_ms)))
        return turn > bucket.turn and order[turn % len(order)] == self._node

    def _share_per_s(self, limit: RateLimit, data_centre: str,
                     now_ms: float) -> float:
        live_nodes = self._living(now_ms)
        nodes = list(live_nodes.get(data_centre, ())) or _all(live_nodes)
        per_s = units.MS_PER_S / limit.interval_ms
        senders = _senders(limit.runner, nodes, int(per_s))
        return per_s / len(senders) if self._node in senders else 0.0

    def sent(self, runner: str, now_ms: float) -> None:
        """Notes a request that is sent to a runner."""
        bucket = self._buckets.get(runner)
        if bucket is None:
            return
        bucket.turn = self._limits[runner].turn(now_ms)
        bucket.fill(now_ms)
        bucket.tokens -= 1

    def drop_expired(self, now_ms: float) -> None:
        """Forgets what is old."""
        clock.drop_expired(self._limits, lambda limit: limit.as_of_ms,
                           FORGOTTEN_MS, now_ms)
        for runner in self._buckets.keys() - self._limits.keys():
            del self._buckets[runner]


def _all(live_nodes: Nodes) -> list[str]:
    return [name for names in live_nodes.values() for name in names]


def _senders(runner: str, nodes: list[str], count: int) -> list[str]:
    """Returns the nodes that send to a runner; all nodes find the same."""
    return heapq.nlargest(max(1, count), nodes,
                          lambda node: zlib.crc32(f"{runner} {node}".encode()))
