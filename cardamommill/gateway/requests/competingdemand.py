"""Counts the requests for each model by priority and client account.

Each node counts its own first attempts over the last second and sends the
counts to the nodes of its data centre. All requests count, including those that
are refused and those that callers repeat after a refusal.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import math
import struct
import zlib

from cardamommill import exceptions, units

# Counts cover this time. A shorter time gives noisier rates; a longer one
# delays the end of a reservation, which should come within two seconds.
WINDOW_MS = 1000.0
SLICE_MS = 125.0
# Counts of a node that sends no new ones are dropped after this long: three
# lost datagrams at an interval of 0.6 s.
COUNTS_LIFETIME_MS = 2000.0
# A node that receives nothing uses the last known counts for this long.
ISOLATED_LIFETIME_MS = 5000.0
# How often the sums over other nodes are computed.
SUM_INTERVAL_MS = 60.0
# Counts per model in a datagram. The smallest ones are combined by priority.
MAX_ENTRIES = 16
# Time constant of the accounts' parts in the demand of their priority, and the
# count below which an account no longer counts as asking.
ACCOUNT_SMOOTHING_MS = 3000.0
MIN_SMOOTHED_COUNT = 0.02
# Smoothing of the holding time, by the number of attempts.
HOLD_WEIGHT = 0.05
# Stands for several accounts, and for requests without one.
OTHER_ACCOUNTS = 0

_MAX_COUNT = 255
_MAX_HOLD_MS = 65535
_MAX_PRIORITY = 9
# Model, holding time in ms, number of counts.
_MODEL = struct.Struct("!HHB")
# Account, priority, count.
_ENTRY = struct.Struct("!HBB")


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Those requests for a model that have equal rights.

    Attributes:
        priority: Their priority, 0 is the most urgent.
        account: A 16-bit hash of the name of the client account. Two accounts
            with the same hash share one account's capacity.
    """

    priority: int
    account: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """The demand for a model.

    Attributes:
        hold_ms: Mean time that a request stays at a group; 0 if unknown.
        per_s: Requests per second.
    """

    hold_ms: float
    per_s: Mapping[Source, float]


def model_id(service: str, model: str) -> int:
    """Returns a 16-bit hash of a model's name."""
    return zlib.crc32(f"{service} {model}".encode()) & 0xFFFF


def account_id(name: str) -> int:
    """Returns a 16-bit hash of an account's name; 0 for no account."""
    if not name:
        return OTHER_ACCOUNTS
    return zlib.crc32(name.encode()) % 0xFFFF + 1


class RecentCounts:
    """Counts by model and source over the last second."""

    def __init__(self) -> None:
        self._slices: collections.deque[tuple[int, collections.Counter[tuple[
            int, Source]]]] = collections.deque()

    def add(self, model: int, source: Source, now_ms: float) -> None:
        """Counts one request."""
        index = int(now_ms // SLICE_MS)
        if not self._slices or self._slices[-1][0] != index:
            self._slices.append((index, collections.Counter()))
        self._slices[-1][1][model, source] += 1

    def by_model(self, now_ms: float) -> dict[int, collections.Counter[Source]]:
        """Returns the counts of each model."""
        oldest = int((now_ms - WINDOW_MS) // SLICE_MS)
        while self._slices and self._slices[0][0] <= oldest:
            self._slices.popleft()
        found: dict[int, collections.Counter[Source]] = {}
        for _, counts in self._slices:
            for (model, source), count in counts.items():
                found.setdefault(model, collections.Counter())[source] += count
        return found


@dataclasses.dataclass(frozen=True, slots=True)
class _ModelCounts:
    """Requests for a model at one node in the last second.

    Attributes:
        hold_ms: Mean time that a request stays at a group; 0 if unknown.
        counts: Number of requests.
    """

    hold_ms: float
    counts: Mapping[Source, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _NodeCounts:
    """Counts of another node, by model, and when they were received."""

    received_ms: float
    models: Mapping[int, _ModelCounts]


class _AccountShares:
    """Smooths the accounts' parts in the demand of each priority.

    The counts of one account over a second are too small to show
    whether it asks for more than its share.
    """

    def __init__(self) -> None:
        self._smoothed: dict[Source, float] = {}
        self._smoothed_ms = float("-inf")

    def divide(self, counts: Mapping[Source, int],
               now_ms: float) -> dict[Source, float]:
        """Returns the current count of each priority, divided by account."""
        if (now_ms - self._smoothed_ms > SUM_INTERVAL_MS or
                counts.keys() - self._smoothed.keys()):
            self._update(counts, now_ms)
        totals = _by_priority(counts)
        smoothed_totals = _by_priority(self._smoothed)
        return {
            source:
                totals[source.priority] * smoothed /
                smoothed_totals[source.priority]
            for source, smoothed in self._smoothed.items()
            if totals.get(source.priority)
        }

    def _update(self, counts: Mapping[Source, int], now_ms: float) -> None:
        elapsed_ms = now_ms - self._smoothed_ms
        weight = 1 - math.exp(-elapsed_ms / ACCOUNT_SMOOTHING_MS)
        self._smoothed_ms = now_ms
        for source in self._smoothed.keys() | counts.keys():
            count = counts.get(source, 0)
            before = self._smoothed.get(source, count)
            after = before + weight * (count - before)
            self._smoothed[source] = after
            if after < MIN_SMOOTHED_COUNT:
                del self._smoothed[source]


def _by_priority(counts: Mapping[Source, float]) -> dict[int, float]:
    totals: dict[int, float] = {}
    for source, count in counts.items():
        totals[source.priority] = totals.get(source.priority, 0.0) + count
    return totals


class CompetingDemand:
    """The demand for models, as counted by the nodes of a data centre."""

    def __init__(self) -> None:
        self._own = RecentCounts()
        self._own_hold_ms: dict[int, float] = {}
        self._nodes: dict[str, _NodeCounts] = {}
        self._shares: dict[int, _AccountShares] = {}
        self._sums: dict[int, tuple[collections.Counter[Source],
                                    list[float]]] = {}
        self._summed_ms = float("-inf")

    def asked(self, model: int, source: Source, now_ms: float) -> None:
        """Counts a caller's request at this node."""
        self._own.add(model, source, now_ms)

    def held(self, model: int, hold_ms: float) -> None:
        """Records how long a request stayed at a group."""
        before_ms = self._own_hold_ms.get(model, hold_ms)
        self._own_hold_ms[model] = (before_ms + HOLD_WEIGHT *
                                    (hold_ms - before_ms))

    def encode(self, models: Iterable[int], now_ms: float) -> bytes:
        """Returns this node's counts for a datagram.

        Args:
            models: The models to include.
            now_ms: The time.
        """
        counts = self._own.by_model(now_ms)
        parts = []
        for model in models:
            entries = _limited(counts.get(model, collections.Counter()))
            hold_ms = min(_MAX_HOLD_MS, int(self._own_hold_ms.get(model, 0.0)))
            parts.append(_MODEL.pack(model, hold_ms, len(entries)))
            parts.extend(
                _ENTRY.pack(source.account, source.priority,
                            min(_MAX_COUNT, count))
                for source, count in entries)
        return b"".join(parts)

    def receive(self, node: str, data: object, now_ms: float) -> None:
        """Processes the counts of another node.

        Raises:
            BadPeerMessage: The counts are malformed.
        """
        try:
            models = _decode(data)
        except (struct.error, TypeError, ValueError) as error:
            raise exceptions.BadPeerMessage(f"cannot decode demand: {error!r}",
                                            step="competing demand",
                                            peer=node) from None
        self._nodes[node] = _NodeCounts(now_ms, models)

    def demand(self, model: int, scale: float, now_ms: float) -> ModelDemand:
        """Returns the demand for a model at all nodes.

        Args:
            model: The hash of the model.
            scale: Number of all nodes per node that reports its counts.
            now_ms: The time.
        """
        if now_ms - self._summed_ms > SUM_INTERVAL_MS:
            self._summed_ms = now_ms
            self._sum_others(now_ms)
        others, holds_ms = self._sums.get(model, (collections.Counter(), []))
        own = self._own.by_model(now_ms).get(model, collections.Counter())
        own_hold_ms = self._own_hold_ms.get(model)
        if own_hold_ms is not None:
            holds_ms = [*holds_ms, own_hold_ms]
        factor = scale * units.MS_PER_S / WINDOW_MS
        shares = self._shares.setdefault(model, _AccountShares())
        divided = shares.divide(others + own, now_ms)
        return ModelDemand(
            sum(holds_ms) / len(holds_ms) if holds_ms else 0.0, {
                source: count * factor for source, count in divided.items()
            })

    def _sum_others(self, now_ms: float) -> None:
        newest_ms = max((each.received_ms for each in self._nodes.values()),
                        default=float("-inf"))
        if now_ms - newest_ms > ISOLATED_LIFETIME_MS:
            self._nodes.clear()
        # Ages are relative to the newest counts: a node that receives
        # nothing keeps the last ones.
        self._nodes = {
            node: each
            for node, each in self._nodes.items()
            if newest_ms - each.received_ms < COUNTS_LIFETIME_MS
        }
        self._sums = {}
        for each in self._nodes.values():
            for model, reported in each.models.items():
                counts, holds_ms = self._sums.setdefault(
                    model, (collections.Counter(), []))
                counts.update(reported.counts)
                if reported.hold_ms:
                    holds_ms.append(reported.hold_ms)


def _limited(counts: collections.Counter[Source]) -> list[tuple[Source, int]]:
    """Returns the largest counts, with the others combined by priority."""
    ranked = counts.most_common()
    if len(ranked) <= MAX_ENTRIES:
        return ranked
    kept = collections.Counter(dict(ranked[:MAX_ENTRIES]))
    for source, count in ranked[MAX_ENTRIES:]:
        kept[Source(source.priority, OTHER_ACCOUNTS)] += count
    return kept.most_common()


def _decode(data: object) -> dict[int, _ModelCounts]:
    if not isinstance(data, bytes):
        raise TypeError(f"demand is {type(data).__name__}, no bytes")
    found = {}
    offset = 0
    while offset < len(data):
        model, hold_ms, entries = _MODEL.unpack_from(data, offset)
        offset += _MODEL.size
        counts: dict[Source, int] = {}
        for _ in range(entries):
            account, priority, count = _ENTRY.unpack_from(data, offset)
            offset += _ENTRY.size
            if priority > _MAX_PRIORITY:
                raise ValueError(f"priority {priority} is above 9")
            counts[Source(priority, account)] = count
        found[model] = _ModelCounts(hold_ms, counts)
    return found
