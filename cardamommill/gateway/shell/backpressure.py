"""Backpressure that runners signal in answers, and their slow start.

A runner can set a rate limit for all nodes together, ask this node for a rest
(to send nothing until the time in Retry-After is over), or tell that it is
leaving. A cold runner gets a bounded number of requests from all nodes.
"""

from collections.abc import Iterator
import contextlib
from http import HTTPStatus

import logbook

from cardamommill import exceptions, logs, metrics
from cardamommill.domain import clock, model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.requests import ratelimits
from cardamommill.gateway.shell import coldrunners
from cardamommill.platform import flowcontrol
from cardamommill.transport import upstream

_REFUSALS = frozenset({429, 503})

_LOG = logbook.Logger("requests")


class Backpressure:
    """Tracks the backpressure of runners, from answers and peer updates."""

    def __init__(self, view: fleetview.FleetView,
                 rate_limits: ratelimits.RateLimits,
                 node_metrics: metrics.Metrics,
                 cold_runners: coldrunners.ColdRunners) -> None:
        self._view = view
        self._rate_limits = rate_limits
        self._metrics = node_metrics
        self._cold_runners = cold_runners
        # When the rest that a runner asked this node for ends.
        self._rest_until_ms: dict[str, float] = {}

    def wait_ms(self, runner: model.Runner, now_ms: float) -> float:
        """Returns the time until a runner takes a request, or 0 for now."""
        return max(
            self._remaining_rest_ms(runner.id, now_ms),
            self._rate_limits.wait_ms(runner.id, runner.data_centre, now_ms),
            self._cold_runners.wait_ms(runner, now_ms))

    def _remaining_rest_ms(self, runner: str, now_ms: float) -> float:
        return max(0.0, self._rest_until_ms.get(runner, 0.0) - now_ms)

    def sent(self, request: str, runner: str, repeat: bool,
             now_ms: float) -> None:
        """Records a request, or its repeat, that is sent to a runner."""
        rest_ms = self._remaining_rest_ms(runner, now_ms)
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
        """Processes the head of an answer.

        Args:
            request: The ID of the attempt that was answered.
            runner: The ID of the runner that it was sent to.
            head: The answer's status and headers.
            sent_ms: When the attempt was sent.
        """
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another runner may have answered, since addresses are reassigned.
            return
        now_ms = clock.now_ms()
        with _ignoring_malformed(request):
            per_s = flowcontrol.rate_limit_per_s(head.headers, runner)
            if self._rate_limits.receive_answer(runner, per_s, sent_ms, now_ms):
                _log_limit(runner, per_s, request=request, status=head.status)
        with _ignoring_malformed(request):
            if flowcontrol.is_leaving(head.headers, runner):
                self._receive_leaving(request, runner, now_ms)
        with _ignoring_malformed(request):
            self._cold_runners.receive_answer(
                runner, flowcontrol.cold_left_ms(head.headers, runner), now_ms)
        if head.status in _REFUSALS:
            with _ignoring_malformed(request):
                rest_ms = flowcontrol.rest_ms(head.headers, runner)
                self._receive_rest(request, runner, rest_ms, now_ms)

    def _receive_leaving(self, request: str, runner: str,
                         now_ms: float) -> None:
        if self._view.record_leaving(runner, now_ms):
            _LOG.info(
                logs.line("runner-told-leaving", runner=runner,
                          request=request))

    def _receive_rest(self, request: str, runner: str, rest_ms: float,
                      now_ms: float) -> None:
        if not rest_ms:
            return
        self._rest_until_ms[runner] = max(now_ms + rest_ms,
                                          self._rest_until_ms.get(runner, 0.0))
        self._metrics.count("runners_asked_for_rest_total")
        _LOG.warning(
            logs.line("runner-rests",
                      runner=runner,
                      rest_ms=int(rest_ms),
                      request=request))

    def receive(self, message: peermessage.PeerMessage, now_ms: float) -> None:
        """Processes the rate limits that a peer reported."""
        for each in self._rate_limits.receive(message.limits, message.sent_ms,
                                              now_ms):
            _log_limit(each.runner,
                       each.per_s,
                       peer=message.node,
                       age_ms=int(now_ms - each.as_of_ms))

    def updates_for_peers(self,
                          now_ms: float) -> tuple[ratelimits.RateLimit, ...]:
        """Returns the rate limits to report to peers."""
        return self._rate_limits.updates_for_peers(now_ms)

    def drop_expired(self, now_ms: float) -> None:
        """Drops expired limits and rests, and runners that became warm."""
        self._cold_runners.drop_expired(now_ms)
        self._rate_limits.drop_expired(now_ms)
        clock.drop_expired(self._rest_until_ms, float, 0.0, now_ms)


@contextlib.contextmanager
def _ignoring_malformed(request: str) -> Iterator[None]:
    """Logs a malformed header instead of failing the attempt."""
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
