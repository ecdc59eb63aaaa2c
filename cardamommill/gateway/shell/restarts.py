"""Handles runners that restarted under their instance id."""

from collections.abc import Callable

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.shell import relay, targets
from cardamommill.platform import wirenames
from cardamommill.transport import upstream

_LOG = logbook.Logger("requests")


class Restarts:
    """Ends what this node still has at an incarnation that has ended."""

    def __init__(self, view: fleetview.FleetView, pool: upstream.Pool,
                 node_metrics: metrics.Metrics) -> None:
        """Initialises the instance without attempts.

        Args:
            view: Reports each incarnation that has ended.
            pool: Connections to runners.
            node_metrics: Counts the restarts.
        """
        self._view = view
        self._pool = pool
        self._metrics = node_metrics
        # Called with a group that has lost a member, and the reason.
        self.on_lost_member: Callable[[model.GroupKey, str], None] = _ignore
        # Relays with an attempt in progress, by the runner's incarnation.
        self._relays: dict[str, dict[tuple[relay.Relay, str], None]] = {}
        view.on_ended = self._on_ended

    def attempt_started(self, one: relay.Relay, target: targets.Target) -> None:
        """Records an attempt at an incarnation."""
        runner = target.known.runner.id
        self._relays.setdefault(runner, {})[one, target.name] = None

    def attempt_ended(self, one: relay.Relay, target: targets.Target) -> None:
        """Records the end of an attempt at an incarnation."""
        runner = target.known.runner.id
        relays = self._relays.get(runner, {})
        relays.pop((one, target.name), None)
        if not relays:
            self._relays.pop(runner, None)

    def runner_at_fault(self, head: upstream.Head) -> str | None:
        """Returns the listed incarnation that a refusal names, or None."""
        instance = head.get(wirenames.AT_SERVER)
        return self._view.incarnations.listed_id(instance) if instance else None

    def _on_ended(self, known: fleetview.RunnerRecord) -> None:
        """Ends the attempts at an incarnation as ones that may have run.

        Its idle connections are closed, so that no request for the next
        incarnation at the same address is sent to the former one.
        """
        runner = known.runner
        relays = dict.fromkeys(
            one for one, _ in self._relays.get(runner.id, ()))
        self._metrics.count("runners_restarted_total")
        _LOG.warning(
            logs.line("runner-restarted",
                      runner=runner.id,
                      group=known.membership.key if known.membership else None,
                      requests=len(relays)))
        for each in relays:
            each.end_attempts_at(runner.id, "runner restarted")
        self._pool.close_idle((runner.host, runner.port))
        if known.membership is not None:
            self.on_lost_member(known.membership.key, "member restarted")


def _ignore(key: model.GroupKey, reason: str) -> None:
    del key, reason
