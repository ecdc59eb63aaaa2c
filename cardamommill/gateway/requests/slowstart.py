"""Slow start of cold runners, which all nodes share.

The load that it answers: a data centre that comes back whole and cold under
full traffic, whose idle groups attract the requests of all nodes.

In any one second, a cold runner may get a bounded number of requests from all
nodes together. A few nodes of its data centre, the senders, each have a fixed
share of the rate that needs no answer from the others. They are chosen by a
hash from all nodes ever known. Two parts of a data centre that can't
hear each other may choose two disjoint sets of senders, so that each set may
use half of the bound. The share of a dead sender is lost: if it were given to
another node, both parts would give it away.
"""

from collections.abc import Callable, Collection, Hashable, Iterable, Mapping
import dataclasses

from cardamommill import units
from cardamommill.domain import entrysettings, model
from cardamommill.gateway.fleet import coldperiods
from cardamommill.gateway.requests import ratesharing

# Disjoint sets of senders that together stay below the bound.
SENDER_SETS = 2
# The part of a set's half of the bound that is used for bursts, one request for
# each sender; the rest is the rate. With fewer senders, more nodes have no cold
# runner to which they may send. With more, the rate is lower.
BURST_RATIO = 0.3
# Lowest rate of a set that has a single sender. Two requests are then further
# apart than a second, so that the set sends one in any second.
MIN_PER_S = 0.5
# Keeps a rounding error from adding a request to a second.
ROUNDING_RATIO = 1 - 1e-9
# How long a share is used before it is computed again.
SHARE_LIFETIME_MS = 200.0
# A runner whose data centre returned from an evacuation counts as cold for this
# many heartbeats longer than its service's time.
RETURN_HEARTBEATS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """How a set of senders shares the rate of one cold runner.

    Attributes:
        senders: The number of senders; 0 if no rate is safe.
        per_s: Requests per second of one sender, which may also send one
            request in a burst.
    """

    senders: int
    per_s: float


def shares(cold_per_s: float, bounds: entrysettings.Bounds) -> Shares:
    """Returns the shares of a cold runner's rate.

    Args:
        cold_per_s: Requests per second that the runner takes.
        bounds: What it may get beyond that.
    """
    set_bound = (cold_per_s * bounds.cold_overage +
                 bounds.cold_slack) / SENDER_SETS
    if set_bound < 1:
        return Shares(0, 0.0)
    senders = max(1, round(BURST_RATIO * set_bound))
    per_s = min(cold_per_s, max(MIN_PER_S, set_bound - senders))
    return Shares(senders, ROUNDING_RATIO * per_s / senders)


class SlowStart:
    """Which runners are cold, and when this node may send to them."""

    def __init__(self, node: str, evidence: coldperiods.ColdPeriods,
                 members: Callable[[str, float], Collection[str] | None],
                 services: Callable[[], Mapping[str, model.Service]],
                 settings: entrysettings.EntrySettings) -> None:
        """Initialises the instance without shares.

        The owner sets `recently_returned`.

        Args:
            node: This node's name.
            evidence: What runners state about being cold.
            members: Returns the names of all nodes that may be in a data
                centre at a given time; None while unknown.
            services: Returns the services of the configuration in force.
            settings: The bounds and the interval of heartbeats.
        """
        self._node = node
        self._evidence = evidence
        self._members = members
        self._services = services
        self.settings = settings
        self._buckets: dict[str, ratesharing.TokenBucket] = {}
        # The runner whose token each attempt in progress has taken.
        self._charged: dict[Hashable, str] = {}
        # Returns the data centres that came back from an evacuation, with the
        # time of their return.
        self.recently_returned: Callable[[float],
                                         Mapping[str, float]] = (_none_returned)

    def cold_until_ms(self, runner: model.Runner,
                      now_ms: float) -> float | None:
        """Returns when a runner stops being cold; None if it is not cold."""
        period = self._evidence.periods.get(runner.id)
        until_ms = period.until_ms if period is not None else float("-inf")
        returned_ms = self.recently_returned(now_ms).get(runner.data_centre)
        if returned_ms is not None:
            until_ms = max(until_ms, self._settled_ms(runner, returned_ms))
        return until_ms if until_ms > now_ms else None

    def _settled_ms(self, runner: model.Runner, returned_ms: float) -> float:
        service = self._services().get(runner.service)
        if service is None or not service.cold_s:
            return float("-inf")
        return (returned_ms + units.MS_PER_S * service.cold_s +
                RETURN_HEARTBEATS * self.settings.heartbeat_ms)

    def wait_ms(self, runner: model.Runner, now_ms: float) -> float:
        """Returns the time until this node may send a request to a runner.

        Args:
            runner: The runner.
            now_ms: The time.

        Returns:
            The time in ms, 0 for now. For a node that is no sender, the time
            between two requests of a sender.
        """
        until_ms = self.cold_until_ms(runner, now_ms)
        if until_ms is None:
            return 0.0
        service = self._services().get(runner.service)
        if service is None or not (service.cold_s and service.cold_per_s):
            return 0.0
        planned = shares(service.cold_per_s, self.settings.bounds)
        bucket = self._current_bucket(runner, planned, now_ms)
        if bucket.share_per_s or bucket.tokens >= 1:
            return min(until_ms - now_ms, bucket.wait_ms())
        if not planned.senders:
            return until_ms - now_ms
        return min(until_ms - now_ms, units.MS_PER_S / planned.per_s)

    def _current_bucket(self, runner: model.Runner, planned: Shares,
                        now_ms: float) -> ratesharing.TokenBucket:
        """Returns the bucket of a cold runner, with its tokens up to date.

        It starts empty: this node, or its former process, may have sent
        requests to the runner before it learned that the runner is cold.
        """
        bucket = self._buckets.get(runner.id)
        if bucket is None:
            period = self._evidence.periods.get(runner.id)
            began_ms = period.began_ms if period is not None else now_ms
            bucket = ratesharing.TokenBucket(began_ms)
            self._buckets[runner.id] = bucket
            bucket.set_share(self._share_per_s(runner, planned, now_ms), now_ms)
        bucket.refill(now_ms)
        if now_ms - bucket.share_set_ms > SHARE_LIFETIME_MS:
            bucket.set_share(self._share_per_s(runner, planned, now_ms), now_ms)
        return bucket

    def _share_per_s(self, runner: model.Runner, planned: Shares,
                     now_ms: float) -> float:
        members = self._members(runner.data_centre, now_ms)
        if members is None or not planned.senders:
            return 0.0
        senders = ratesharing.choose_senders(runner.id, members,
                                             planned.senders)
        return planned.per_s if self._node in senders else 0.0

    def sent(self, attempt: Hashable, runner: str, now_ms: float) -> bool:
        """Records an attempt that is sent to a runner.

        Returns:
            Whether it took a token.
        """
        bucket = self._buckets.get(runner)
        if bucket is None:
            return False
        bucket.take(now_ms)
        self._charged[attempt] = runner
        return True

    def ended(self, attempt: Hashable, is_misdirected: bool) -> bool:
        """Records the end of an attempt.

        Args:
            attempt: The attempt.
            is_misdirected: Whether another runner was meant; the attempt then
                does not count.

        Returns:
            Whether the token was given back.
        """
        runner = self._charged.pop(attempt, None)
        if runner is None or not is_misdirected:
            return False
        bucket = self._buckets.get(runner)
        if bucket is None:
            return False
        bucket.give_back()
        return True

    def drop_expired(self, runners: Iterable[model.Runner],
                     now_ms: float) -> dict[str, float]:
        """Drops what is kept of runners that are not cold any more.

        Args:
            runners: All known runners.
            now_ms: The time.

        Returns:
            The cold runners, and until when each is.
        """
        if not self._has_cold_runners(now_ms):
            return {}
        self._evidence.drop_expired(now_ms)
        cold = {}
        for runner in runners:
            until_ms = self.cold_until_ms(runner, now_ms)
            if until_ms is not None:
                cold[runner.id] = until_ms
        # A runner that is not listed at the moment keeps its bucket.
        kept = cold.keys() | self._evidence.periods.keys()
        for gone in self._buckets.keys() - kept:
            del self._buckets[gone]
        return cold

    def _has_cold_runners(self, now_ms: float) -> bool:
        return bool(self._evidence.periods or self._buckets or
                    self.recently_returned(now_ms))


def _none_returned(now_ms: float) -> Mapping[str, float]:
    del now_ms
    return _NONE


_NONE: Mapping[str, float] = {}
