"""Assigns requests to runners and tracks the attempts in progress."""

from collections.abc import Callable, Coroutine
from http import HTTPStatus
import random
from typing import Any

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import clock, entrysettings, model
from cardamommill.gateway.fleet import (
    availablegroups,
    fleetview,
    grouploads,
    inflight,
    isolation,
    loadsums,
)
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.requests import (
    attemptresult,
    forecast,
    freshness,
    placing,
    plainrunners,
    ratelimits,
    reliability,
    requestdigest,
    retrybudget,
    routetable,
    silence,
    slowstart,
    unreadattempts,
)
from cardamommill.gateway.shell import (
    admissioncontrol,
    admitting,
    attempts,
    backpressure,
    coldrunners,
    crashes,
    eligibletargets,
    forwarding,
    hops,
    linkcheck,
    platformreader,
    relay,
    requestlog,
    restarts,
    targetfinder,
    targets,
)
from cardamommill.transport import upstream

# A group that failed a request is avoided for this long, while its members are
# probed.
FAULT_AVOID_MS = 300.0
# Beyond this age of its own confirmation of the configuration, this node also
# uses the confirmations of its peers.
OWN_CONFIRMATION_MS = 1500.0

_NO_FAULT = attemptresult.SUCCEEDED | {attemptresult.Result.ABANDONED}

_LOG = logbook.Logger("requests")


class Dispatcher:
    """Provides relays with targets and records the course of their attempts.

    It implements `targets.RelayContext`.
    """

    def __init__(self, settings: entrysettings.EntrySettings,
                 pool: upstream.Pool, view: fleetview.FleetView,
                 reader: platformreader.PlatformReader,
                 config_freshness: freshness.Freshness, node_peers: peers.Peers,
                 node_metrics: metrics.Metrics,
                 spawn: Callable[[Coroutine[Any, Any, None]], None]) -> None:
        """Initialises the instance without requests.

        The owner sets `expected_recovery_ms`, `on_fault` and `on_refusal`.

        Args:
            settings: The settings of the node.
            pool: Connections to runners.
            view: The node's view of the fleet.
            reader: Source of the configuration in force.
            config_freshness: Age of the node's confirmation of the
                configuration.
            node_peers: The other nodes.
            node_metrics: Receives the metrics.
            spawn: Runs a coroutine in the background until the node stops.
        """
        self._settings = settings
        self.pool = pool
        self.spawn = spawn
        self._view = view
        self._reader = reader
        self._freshness = config_freshness
        self._peers = node_peers
        self._metrics = node_metrics
        self._chance = random.Random(settings.node)
        self._retry_budgets = retrybudget.RetryBudgets(settings.bounds,
                                                       upstream.MAX_DELIVERY_MS,
                                                       clock.now_ms())
        self._unread_attempts = unreadattempts.UnreadAttempts(
            upstream.MAX_DELIVERY_MS)
        self._relays: dict[model.GroupKey, dict[relay.Relay, None]] = {}
        self._group_loads = grouploads.GroupLoads()
        self.in_flight_requests = self._group_loads.own
        self.available_groups = availablegroups.AvailableGroups(view)
        self.isolation = isolation.Isolation()
        self.link = linkcheck.LinkCheck(settings.data_centre, view,
                                        self.isolation, node_metrics,
                                        random.Random(f"link {settings.node}"),
                                        spawn)
        self.hops = hops.Hops(settings.node, node_peers, node_metrics,
                              random.Random(f"hops {settings.node}"))
        self.crashes = crashes.Crashes(self.isolation, node_metrics, spawn)
        self.silence = silence.SilenceDetector()
        self.forecast = forecast.Forecast()
        self.reliability = reliability.Reliability(self._chance)
        self._plain_runners = plainrunners.PlainRunners(self.reliability,
                                                        settings.data_centre,
                                                        self._chance)
        self.cold_runners = coldrunners.ColdRunners(
            view,
            slowstart.SlowStart(settings.node, view.cold_periods,
                                node_peers.known_nodes.nodes_of, self._services,
                                settings), node_metrics)
        self.backpressure = backpressure.Backpressure(
            view, ratelimits.RateLimits(settings.node, node_peers.live_nodes),
            node_metrics, self.cold_runners)
        self.cold_runners.slow_start.recently_returned = (
            reader.evacuations.recently_returned)
        self.eligible_targets = eligibletargets.EligibleTargets(
            settings, reader.evacuations)
        self.restarts = restarts.Restarts(view, pool, node_metrics)
        self.admission = admissioncontrol.AdmissionControl(
            settings.node, node_peers, node_metrics, settings.admission_control)
        # When each attempt was sent, by request and target; removed with its
        # first event. A runner may have a request in two groups, one after the
        # other.
        self._unanswered_since_ms: dict[tuple[relay.Relay, str], float] = {}
        self._running: dict[tuple[relay.Relay, str], None] = {}
        # Called with a group that failed a request, and the reason.
        self.on_fault: Callable[[model.GroupKey, str], None] = _ignore
        # Called with a group that refused a request, and the reason.
        self.on_refusal: Callable[[model.GroupKey, str], None] = _ignore
        # Returns the estimated time until a missing group is available again.
        self.expected_recovery_ms: Callable[[], float] = _default_recovery_ms
        self._finder = targetfinder.TargetFinder(
            settings.data_centre, pool, view,
            targetfinder.Evidence(self.available_groups, self._group_loads,
                                  self.forecast, self.reliability,
                                  self.backpressure, self._plain_runners,
                                  self.eligible_targets, self.admission),
            self._chance, lambda: self.expected_recovery_ms())

    def reload(self, settings: entrysettings.EntrySettings) -> None:
        """Applies changed settings."""
        self._settings = settings
        self.cold_runners.slow_start.settings = settings
        self._retry_budgets.reload(settings.bounds)
        self.eligible_targets.reload(settings)
        self.admission.is_enabled = settings.admission_control

    def _services(self) -> dict[str, model.Service]:
        table = self._reader.table
        return table.configuration.services if table is not None else {}

    def relays_at(self, key: model.GroupKey) -> list[relay.Relay]:
        """Returns the relays of this node's requests at a group."""
        return list(self._relays.get(key, ()))

    def update_from_peers(self, far_load: loadsums.Loads,
                          now_ms: float) -> None:
        """Applies what peers report, and logs changes in reliability.

        Args:
            far_load: The load of nodes in other data centres whose individual
                reports do not reach this node.
            now_ms: The current time.
        """
        self._group_loads.receive(self._peers.in_flight(now_ms), far_load,
                                  self._peers.load_age_ms())
        self._retry_budgets.record_loss(self._peers.last_loss_ms(now_ms))
        for runner, odds in self.reliability.doubt_changes(now_ms):
            is_doubted = odds > reliability.DOUBT_THRESHOLD
            _LOG.warning(
                logs.line("runner-doubted" if is_doubted else "runner-trusted",
                          runner=runner,
                          fail_odds=round(odds, 2)))
            if is_doubted:
                self._metrics.count("runners_doubted_total")

    def loads(self) -> dict[model.GroupKey, inflight.GroupLoad]:
        """Returns the load of all nodes at every known group."""
        return {
            key: self._group_loads.load(key) for service in self._services()
            for key in self._view.groups(service)
        }

    def drop_expired(self, now_ms: float) -> None:
        """Drops records that no longer matter."""
        self._unread_attempts.drop_expired(now_ms)
        self._plain_runners.drop_expired(now_ms)
        self.reliability.drop_expired(now_ms)
        self.backpressure.drop_expired(now_ms)
        self.crashes.drop_expired(now_ms)

    def table(self) -> routetable.RouteTable | None:
        """Returns the route table in force, or None before the first one."""
        return self._reader.table

    def config_age_ms(self) -> float:
        """Returns for how long a newer configuration may have existed."""
        self._confirm_by_peers()
        return self._freshness.age_ms(clock.now_ms())

    def may_accept_keys(self) -> bool:
        """Whether the view of the API keys is recent enough to rely on."""
        self._confirm_by_peers()
        return self._freshness.may_accept_keys(clock.now_ms())

    def _confirm_by_peers(self) -> None:
        now_ms = clock.now_ms()
        if self._reader.table is None or (self._freshness.age_ms(now_ms)
                                          < OWN_CONFIRMATION_MS):
            return
        version = self._reader.table.configuration.version
        as_of_ms = self._peers.config_confirmed_ms(version)
        self._freshness.confirm(min(as_of_ms, now_ms))

    def find_target(
        self, one: relay.Relay
    ) -> targets.Target | targets.PeerTarget | placing.Refused:
        """Returns the target of a request's next attempt, or a refusal.

        A peer gets the request while this node reaches no runner.
        """
        table = self._reader.table
        assert table is not None
        configuration = table.configuration
        if self.reaches_no_runner():
            peer = self._find_peer(one, configuration)
            if peer is not None:
                return peer
        return self._finder.find(one, configuration)

    def _find_peer(
            self, one: relay.Relay,
            configuration: model.Configuration) -> targets.PeerTarget | None:
        # Where a request may not run, its body must not go either.
        eligible = self.eligible_targets.decide(one.route, one.tenant)
        return self.hops.find(one, configuration.version, eligible.allows)

    def on_cut(self) -> None:
        """Moves requests away from runners that this node can't reach."""
        for one in dict.fromkeys(one for one, _ in self._running):
            one.leave_runner("this node is cut off")

    def end_unfinished(self, reason: str) -> None:
        """Answers all requests that are still in progress as unfinished."""
        running = [one for one, _ in self._running]
        for one in dict.fromkeys(running + self.hops.requests()):
            one.end_unfinished(reason)

    def quarantine_left_ms(self, one: relay.Relay) -> float:
        """Returns for how long a request is still refused; 0 if it is not."""
        return self.crashes.quarantine_left_ms(one)

    def is_crash_suspect(self, one: relay.Relay) -> bool:
        """Whether a request seems to crash the runners that run it."""
        return self.crashes.is_suspect(one)

    def repeat_delay_ms(self, one: relay.Relay) -> float:
        """Returns how long a request whose attempt broke waits for evidence."""
        return self.crashes.repeat_delay_ms(one)

    def may_retry(self, service: str) -> bool:
        """Whether the retry budget of a service allows one more retry."""
        now_ms = clock.now_ms()
        nodes = self._peers.nodes(now_ms)
        return self._retry_budgets.for_service(service).may_retry(nodes, now_ms)

    def reaches_no_runner(self) -> bool:
        """Whether this node has lately reached no runner anywhere."""
        return self.isolation.is_cut_off(clock.now_ms())

    def is_isolated(self) -> bool:
        """Whether this node suspects that it is itself cut off."""
        return self.isolation.is_suspected(clock.now_ms())

    def hop_request_bytes(self, one: relay.Relay, target: targets.PeerTarget,
                          attempts: int, has_arrived: bool) -> bytes:
        """Returns a request for a peer."""
        return self.hops.request_bytes(one, target, attempts, has_arrived)

    def on_hop_start(self, one: relay.Relay,
                     target: targets.PeerTarget) -> None:
        """Records that a request is sent to a peer."""
        self.hops.started(one, target)

    def on_hop_end(self, one: relay.Relay, target: targets.PeerTarget,
                   outcome: attempts.Outcome) -> None:
        """Records the end of a hop."""
        self.hops.ended(one, target, outcome)

    def on_attempt_start(self, one: relay.Relay, target: targets.Target,
                         repeat: bool) -> None:
        """Records the start of an attempt; `repeat` marks a retry."""
        now_ms = clock.now_ms()
        budget = self._retry_budgets.for_service(one.service)
        if repeat:
            budget.repeat(one.attempt_id, now_ms)
            self._metrics.count("repeats_total", service=one.service)
            self._log_repeat(one, budget, now_ms)
        else:
            budget.request(now_ms)
        runner_id = target.known.runner.id
        self._plain_runners.add_request(runner_id)
        self.eligible_targets.attempt_started(target.known.runner.data_centre)
        self.restarts.attempt_started(one, target)
        self.backpressure.sent(one.attempt_id, runner_id, repeat, now_ms)
        attempt = one, target.name
        self.cold_runners.sent(attempt, runner_id, now_ms)
        self._unanswered_since_ms[attempt] = now_ms
        self._running[attempt] = None
        if target.key is None or target.placed is None:
            return
        self._relays.setdefault(target.key, {})[one] = None
        self.admission.attempt_started(attempt, one.service, one.model_name,
                                       now_ms)
        placed = target.placed
        self.in_flight_requests.add_request(target.key, one.attempt_id,
                                            one.request_tokens.prompt_tokens,
                                            placed.is_deferred)
        self.silence.sent(target.key, one.attempt_id, placed.expected, now_ms)

    def _log_repeat(self, one: relay.Relay, budget: retrybudget.RetryBudget,
                    now_ms: float) -> None:
        nodes = self._peers.nodes(now_ms)
        _LOG.info(
            logs.line("attempt-repeated",
                      request=one.attempt_id,
                      service=one.service,
                      retries=budget.retries,
                      held=budget.held,
                      allowed=int(budget.allowed(nodes, now_ms)),
                      nodes=nodes))

    def on_answer_head(self, one: relay.Relay, target: targets.Target,
                       head: upstream.Head, sent_ms: float) -> None:
        """Passes the head of an answer on to the backpressure handling."""
        if target.known.has_ended:
            # The next incarnation may have answered at the same address.
            return
        self._unread_attempts.heard(target.known.runner.id, clock.now_ms())
        self.backpressure.receive_head(one.attempt_id, target.known.runner.id,
                                       head, sent_ms)

    def on_stream_event(self, one: relay.Relay, target: targets.Target) -> None:
        """Records an event of a stream."""
        now_ms = clock.now_ms()
        runner_id = target.known.runner.id
        self._unread_attempts.heard(runner_id, now_ms)
        sent_ms = self._unanswered_since_ms.pop((one, target.name), None)
        if sent_ms is not None:
            self.crashes.first_event(one, target, now_ms)
            self.reliability.succeeded(runner_id, now_ms)
            self._record_first_event(target, now_ms - sent_ms)
        if target.key is None:
            return
        self.in_flight_requests.event(target.key, one.attempt_id)
        self.silence.event(target.key, one.attempt_id, now_ms)

    def _record_first_event(self, target: targets.Target,
                            took_ms: float) -> None:
        placed = target.placed
        if placed is not None and not placed.is_deferred:
            self.forecast.add_sample(target.known.runner.service, took_ms,
                                     placed.first_event_ms - placed.overhead_ms)

    def on_attempt_end(self, one: relay.Relay, target: targets.Target,
                       outcome: attempts.Outcome) -> None:
        """Records the end of an attempt."""
        runner_id = target.known.runner.id
        attempt = one, target.name
        self._running.pop(attempt, None)
        self._plain_runners.remove_request(runner_id)
        self.eligible_targets.attempt_ended(target.known.runner.data_centre)
        self.cold_runners.ended(attempt, outcome.head.status)
        self.restarts.attempt_ended(one, target)
        self._metrics.count("attempts_total",
                            service=one.service,
                            result=outcome.result.value)
        if target.key is not None:
            relays = self._relays.get(target.key, {})
            relays.pop(one, None)
            if not relays:
                self._relays.pop(target.key, None)
            self.in_flight_requests.remove_request(target.key, one.attempt_id)
            self.silence.ended(target.key, one.attempt_id)
            self.admission.attempt_ended(attempt, outcome.result in _NO_FAULT,
                                         clock.now_ms())
        self.crashes.attempt_ended(one, target, outcome, clock.now_ms())
        self._record_outcome(one, target, outcome)

    def _record_outcome(self, one: relay.Relay, target: targets.Target,
                        outcome: attempts.Outcome) -> None:
        now_ms = clock.now_ms()
        runner = target.known.runner.id
        sent_ms = self._unanswered_since_ms.pop((one, target.name), None)
        if sent_ms is not None:
            service = target.known.runner.service
            self._unread_attempts.attempt_ended(
                target.known, self._retry_budgets.for_service(service),
                one.attempt_id, outcome.result, now_ms)
        if outcome.result in _NO_FAULT:
            if sent_ms is not None and (outcome.result
                                        in attemptresult.SUCCEEDED):
                self.reliability.succeeded(runner, now_ms)
            return
        if sent_ms is not None and self._is_runner_fault(
                one, target, outcome, now_ms - sent_ms):
            self.reliability.failed(runner, forwarding.fingerprint(one.request),
                                    now_ms)
        _LOG.info(
            logs.line("attempt-failed",
                      request=one.attempt_id,
                      digest=requestdigest.text(one.digest),
                      parts=",".join(map(requestdigest.text, one.part_digests)),
                      target=target.name,
                      runner=runner,
                      result=outcome.result.value,
                      reason=outcome.reason,
                      at=self.restarts.runner_at_fault(outcome.head),
                      events=one.progress.events,
                      silent_ms=one.silent_ms(now_ms),
                      fail_odds=round(
                          self.reliability.fail_odds(runner, now_ms), 2),
                      list_age_ms=int(now_ms - self._view.list_as_of_ms)))
        if (outcome.is_superseded and
                outcome.result is attemptresult.Result.UNSENT):
            # The runner had no time to take a connection.
            return
        if outcome.head.status == HTTPStatus.MISDIRECTED_REQUEST and target.key:
            # The head has left the group, which the list will show soon.
            self.available_groups.mark_down(
                target.key, now_ms + self._settings.bounds.drain_ms)
        if outcome.result is not attemptresult.Result.FAILED:
            self._plain_runners.failed(runner, now_ms)
        if target.key is None:
            if outcome.result is attemptresult.Result.UNSENT:
                self.link.check_plain(target.known, now_ms)
            return
        investigate = {
            attemptresult.Result.BROKEN: self.on_fault,
            attemptresult.Result.UNSENT: self.on_fault,
            attemptresult.Result.NOT_RUN: self.on_refusal,
        }.get(outcome.result)
        if investigate is not None:
            self.available_groups.avoid(target.key, now_ms + FAULT_AVOID_MS)
            investigate(target.key, outcome.reason)

    def _is_runner_fault(self, one: relay.Relay, target: targets.Target,
                         outcome: attempts.Outcome, took_ms: float) -> bool:
        """Whether an attempt without an event failed by the runner's fault.

        At a group, a timeout or a diversion does not count as a fault of the
        head: both happen at high load, and when another member has died and the
        head soon serves in a new group. At a runner without a group, a timeout
        counts if it came later than the route's latency objective.
        """
        if outcome.result in (attemptresult.Result.FAILED,
                              attemptresult.Result.BROKEN):
            return True
        return (outcome.result is attemptresult.Result.TIMED_OUT and
                target.key is None and one.route is not None and
                0 < one.route.goal_ms < took_ms)

    def ended(self, one: relay.Relay, status: int, reason: str) -> None:
        """Records the end of a request in metrics and in the log."""
        now_ms = clock.now_ms()
        route = one.route.name if one.route is not None else ""
        self._metrics.count("requests_total", route=route, status=str(status))
        if not status and one.reply.started and not one.is_abandoned:
            self._metrics.count("answers_broken_off_total", route=route)
        arrived_ms = one.request.arrived_ms
        if one.first_event_ms:
            self._metrics.observe_ms("first_event",
                                     one.first_event_ms - arrived_ms,
                                     route=route)
        table = self._reader.table
        _LOG.info(
            requestlog.ended(one, status, reason,
                             table.configuration.version if table else 0,
                             now_ms, self.isolation.is_suspected(now_ms)))


def _ignore(key: model.GroupKey, reason: str) -> None:
    del key, reason


def _default_recovery_ms() -> float:
    return admitting.DEFAULT_RETRY_AFTER_MS
