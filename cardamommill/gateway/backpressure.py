"""What runners ask of their callers: heard in answers, heeded in placement."""

from collections.abc import Iterator
import contextlib

import logbook

from cardamommill import exceptions, logs, metrics
from cardamommill.gateway import (
    clock,
    fleetview,
    model,
    peermessage,
    ratelimits,
    upstream,
)
from cardamommill.platform import advice

# Another runner may have answered, at an address that was given out again.
_NOT_THIS_RUNNER = 421
_REFUSALS = frozenset({429, 503})

_LOG = logbook.Logger("requests")


class Backpressure:
    """Hears runners and other nodes, and says when a runner may be sent to."""

    def __init__(self, view: fleetview.FleetView,
                 rate_limits: ratelimits.RateLimits,
                 figures: metrics.Metrics) -> None:
        self._view = view
        self._rate_limits = rate_limits
        self._metrics = figures
        # Until when a runner wants nothing of this node.
        self._rests_until_ms: dict[str, float] = {}

    def wait_ms(self, runner: model.Runner, now_ms: float) -> float:
        """Returns how long a runner takes nothing of this node, 0 for now."""
        return max(
            self._rest_ms(runner.id, now_ms),
            self._rate_limits.wait_ms(runner.id, runner.data_centre, now_ms))

    def _rest_ms(self, runner: str, now_ms: float) -> float:
        return max(0.0, self._rests_until_ms.get(runner, 0.0) - now_ms)

    def sent(self, request: str, runner: str, repeat: bool,
             now_ms: float) -> None:
        """Notes a request that is sent to a runner, or once more."""
        rest_ms = self._rest_ms(runner, now_ms)
        if rest_ms:
            self._metrics.count("requests_sent_resting_total")
            _LOG.warning(
                logs.line("resting-send",
                          request=request,
                          runner=runner,
                          rest_ms=int(rest_ms),
                          repeat=repeat))
        per_s = self._rate_limits.per_s(runner)
        if per_s is None:
            return
        self._rate_limits.sent(runner, now_ms)
        self._metrics.count("requests_sent_limited_total")
        _LOG.info(
            logs.line("limited-send",
                      request=request,
                      runner=runner,
                      limit_per_s=per_s,
                      repeat=repeat))

    def receive_head(self, request: str, runner: str, head: upstream.Head,
                     sent_ms: float) -> None:
        """Takes the head of an answer.

        Args:
            request: The id of the attempt that was answered.
            runner: To whom it was sent.
            head: Of the answer.
            sent_ms: When it was sent.
        """
        if head.status == _NOT_THIS_RUNNER:
            return
        now_ms = clock.now_ms()
        with _ignoring_malformed(request):
            per_s = advice.rate_limit_per_s(head.headers, runner)
            if self._rate_limits.take_answer(runner, per_s, sent_ms, now_ms):
                _log_limit(runner, per_s, request=request, status=head.status)
        with _ignoring_malformed(request):
            if advice.is_leaving(head.headers, runner):
                self._take_leaving(request, runner, now_ms)
        if head.status in _REFUSALS:
            with _ignoring_malformed(request):
                rest_ms = advice.rest_ms(head.headers, runner)
                self._take_rest(request, runner, rest_ms, now_ms)

    def _take_leaving(self, request: str, runner: str, now_ms: float) -> None:
        if self._view.record_leaving(runner, now_ms):
            _LOG.info(
                logs.line("runner-told-leaving", runner=runner,
                          request=request))

    def _take_rest(self, request: str, runner: str, rest_ms: float,
                   now_ms: float) -> None:
        if not rest_ms:
            return
        self._rests_until_ms[runner] = max(
            now_ms + rest_ms, self._rests_until_ms.get(runner, 0.0))
        self._metrics.count("runners_asked_for_rest_total")
        _LOG.warning(
            logs.line("runner-rests",
                      runner=runner,
                      rest_ms=int(rest_ms),
                      request=request))

    def receive(self, message: peermessage.PeerMessage, now_ms: float) -> None:
        """Takes what a peer tells of runners."""
        for each in self._rate_limits.receive(message.limits, message.sent_ms,
                                              now_ms):
            _log_limit(each.runner,
                       each.per_s,
                       peer=message.node,
                       age_ms=int(now_ms - each.as_of_ms))

    def updates_for_peers(self,
                          now_ms: float) -> tuple[ratelimits.RateLimit, ...]:
        """Returns what other nodes should hear of runners."""
        return self._rate_limits.updates_for_peers(now_ms)

    def drop_expired(self, now_ms: float) -> None:
        """Forgets what is old."""
        self._rate_limits.drop_expired(now_ms)
        clock.drop_expired(self._rests_until_ms, float, 0.0, now_ms)


@contextlib.contextmanager
def _ignoring_malformed(request: str) -> Iterator[None]:
    """Has a header that can't be read change nothing but the log."""
    try:
        yield
    except exceptions.BadPeerMessage as error:
        _LOG.warning(
            logs.line("answer-header-ignored",
                      request=request,
                      reason=str(error)))


def _log_limit(runner: str, per_s: float | None, **told: object) -> None:
    _LOG.warning(
        logs.line("runner-limit",
                  runner=runner,
                  limit_per_s="none" if per_s is None else per_s,
                  **told))
