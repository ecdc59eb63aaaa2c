"""Applies, logs and counts the slow start of cold runners."""

from collections.abc import Hashable, Iterable

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.requests import slowstart

# Log lines for cold and for warm runners in each sweep; when a data centre
# comes back, hundreds of runners are cold at once.
MAX_LINES = 20

# "Misdirected Request": the runner did not take the request.
_MISDIRECTED_REQUEST = 421

_LOG = logbook.Logger("requests")


class ColdRunners:
    """The slow start of a node, with its logs and metrics."""

    def __init__(self, view: fleetview.FleetView,
                 slow_start: slowstart.SlowStart,
                 node_metrics: metrics.Metrics) -> None:
        self._view = view
        self.slow_start = slow_start
        self._metrics = node_metrics
        # Until when each runner is cold, as of the last sweep.
        self._cold_until_ms: dict[str, float] = {}
        node_metrics.collect(self._samples)

    def wait_ms(self, runner: model.Runner, now_ms: float) -> float:
        """Returns the time until a runner takes a request, or 0 for now."""
        return self.slow_start.wait_ms(runner, now_ms)

    def receive_answer(self, runner: str, left_ms: float,
                       now_ms: float) -> None:
        """Processes for how much longer a runner is cold, by its answer."""
        self._view.cold_periods.receive_answer(runner, left_ms, now_ms)

    def sent(self, attempt: Hashable, runner: str, now_ms: float) -> None:
        """Records an attempt that is sent to a runner."""
        if self.slow_start.sent(attempt, runner, now_ms):
            self._metrics.count("requests_sent_cold_total")

    def ended(self, attempt: Hashable, status: int) -> None:
        """Records the end of an attempt, with the status of its answer."""
        if self.slow_start.ended(attempt, status == _MISDIRECTED_REQUEST):
            self._metrics.count("cold_tokens_returned_total")

    def drop_expired(self, now_ms: float) -> None:
        """Drops runners that are not cold any more, and logs all changes."""
        before = self._cold_until_ms
        self._cold_until_ms = now = self.slow_start.drop_expired(
            (each.runner for each in self._view.known.values()), now_ms)
        if not before and not now:
            return
        became_cold = sorted(now.keys() - before.keys())
        for runner in became_cold[:MAX_LINES]:
            _LOG.info(
                logs.line("runner-cold",
                          runner=runner,
                          left_ms=int(now[runner] - now_ms),
                          **self._place(runner)))
        _log_omitted("runners-cold", became_cold)
        if became_cold:
            self._metrics.count("runners_cold_total", len(became_cold))
        became_warm = sorted(before.keys() - now.keys())
        for runner in became_warm[:MAX_LINES]:
            _LOG.info(
                logs.line("runner-warm", runner=runner, **self._place(runner)))
        _log_omitted("runners-warm", became_warm)

    def _place(self, runner: str) -> dict[str, str]:
        known = self._view.known.get(runner)
        if known is None:
            return {}
        return {
            "data_centre": known.runner.data_centre,
            "service": known.runner.service
        }

    def _samples(self) -> Iterable[metrics.Sample]:
        return (metrics.Sample("cold_runners", len(self._cold_until_ms)),)


def _log_omitted(event: str, runners: list[str]) -> None:
    if len(runners) > MAX_LINES:
        _LOG.info(logs.line(event, omitted=len(runners) - MAX_LINES))
