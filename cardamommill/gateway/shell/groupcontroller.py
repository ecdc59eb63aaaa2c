"""Sends the orders and probes of a planner and reports the results to it."""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
import enum
from typing import Any

import logbook

from cardamommill import exceptions, logs
from cardamommill.domain import clock, incarnations, model, orders
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import planner, planning
from cardamommill.platform import ordercalls
from cardamommill.transport import upstream

# Assumed recovery time of a missing group if none is being formed.
DEFAULT_RECOVERY_MS = 700.0
# Interval between probes of a runner that stands still.
STANDSTILL_RETRY_MS = 500.0
# Interval between two log lines that summarise the runners.
SUMMARY_INTERVAL_MS = 1000.0
# A second request is sent to a runner that has not answered after this; runners
# usually answer within a few ms.
HEDGE_DELAY_MS = 60.0
# Time in addition to the report lag until a report shows the effect of an
# order.
LAG_MARGIN_MS = 30.0

# After these replies the same order may be accepted, once the runner's current
# state is known.
_RETRYABLE = frozenset(
    {ordercalls.OrderReply.UNKNOWN, ordercalls.OrderReply.UNFIT})

# After these a group's head takes no more requests.
_ENDING_OPERATIONS = frozenset({orders.Operation.CLOSE, orders.Operation.LEAVE})

_LOG = logbook.Logger("groups")

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class ProbeResult(enum.Enum):
    """What a probe shows of a runner."""

    ANSWERED = "answered"
    # Its VM takes connections, its process does nothing at the moment.
    STANDS_STILL = "stands still"
    UNREACHABLE = "unreachable"


class GroupController:
    """Runs a `planner.Planner` and carries out its actions."""

    def __init__(self, view: fleetview.FleetView, pool: upstream.Pool,
                 name: str, on_opened: Callable[[model.GroupKey, str, str],
                                                None],
                 read_list: Callable[[], None], spawn: Spawn) -> None:
        self._view = view
        self._pool = pool
        self._on_opened = on_opened
        # Called with a group whose head is about to be closed.
        self.on_closed: Callable[[model.GroupKey], None] = lambda key: None
        # Called with a runner that stood still for too long.
        self.on_down: Callable[[str], None] = lambda runner_id: None
        self._read_list = read_list
        self._spawn = spawn
        self._report_lag_ms = 0.0
        self._summary_logged_ms = float("-inf")
        # Runners that stand still and are to be probed again.
        self._still: set[str] = set()
        self.planner = planner.Planner(view, name)

    def expected_recovery_ms(self) -> float:
        """Returns the estimated time until a missing group serves again."""
        now_ms = clock.now_ms()
        due = [
            each.due_ms - now_ms for each in self.planner.formations.values()
        ]
        return max(min(due, default=DEFAULT_RECOVERY_MS), 100.0) + 300.0

    def plan(self, configuration: model.Configuration, scope: planning.Scope,
             now_ms: float) -> None:
        """Runs one planning step for all services and starts its actions."""
        for service in configuration.services.values():
            if service.engine is not None:
                self._report_lag_ms = max(self._report_lag_ms,
                                          service.engine.report_lag_ms)
            for action in self.planner.step(service, scope, now_ms):
                self._execute(action)
            if service.engine is not None:
                self._log_summary(service.name, scope, now_ms)

    def _log_summary(self, service: str, scope: planning.Scope,
                     now_ms: float) -> None:
        if now_ms - self._summary_logged_ms < SUMMARY_INTERVAL_MS:
            return
        self._summary_logged_ms = now_ms
        _LOG.info(
            logs.line("fleet",
                      data_centres=",".join(sorted(scope.data_centres)),
                      lead=scope.is_before_traffic,
                      list_age_ms=int(now_ms - self._view.list_as_of_ms),
                      **self.planner.summary(service, scope)))

    def _execute(self, action: planning.Action) -> None:
        if isinstance(action, orders.Order):
            self.planner.sent(action.runner)
            self._spawn(self.send_order(action))
        elif isinstance(action, planning.Probe):
            self._spawn(self._run_probe(action))
        elif isinstance(action, planning.ReadList):
            self._read_list()
        else:
            _LOG.info(
                logs.line("group-open",
                          group=action.key,
                          model=action.model,
                          head=action.head,
                          took_ms=int(action.took_ms)))
            self._on_opened(action.key, action.model, action.head)

    def _announce_if_closed(self, order: orders.Order,
                            known: fleetview.RunnerRecord) -> None:
        """Announces a group whose head accepted an order to close or to leave.

        An order that was refused has closed nothing. After one without an
        answer, and if this node ends before its announcement, other nodes learn
        from the head's refusals.
        """
        membership = known.membership
        if (order.operation in _ENDING_OPERATIONS and membership is not None and
                membership.rank == 0 and membership.key == order.group):
            self.on_closed(membership.key)

    async def send_order(self, order: orders.Order) -> None:
        """Sends an order and records its outcome."""
        known = self._view.known.get(order.runner)
        if known is None or not known.listed:
            # The instance's next incarnation would take the order for its own.
            self.planner.refused(order, "no longer listed", clock.now_ms())
            self.planner.rechecked(order)
            return
        reply, detail = await ordercalls.send_order(self._pool, known.runner,
                                                    order)
        accepted = reply in (ordercalls.OrderReply.BEGUN,
                             ordercalls.OrderReply.DONE)
        now_ms = clock.now_ms()
        if reply is ordercalls.OrderReply.ENDED:
            self._record_ended(order.runner, now_ms)
        if accepted:
            self._announce_if_closed(order, known)
            self._record_accepted(order, known, reply, now_ms)
            self.planner.accepted(order, now_ms)
        else:
            self._view.record_order_refusal(order.runner, now_ms)
            self.planner.refused(order,
                                 reply.value,
                                 now_ms,
                                 may_retry=reply in _RETRYABLE)
        _LOG.info(
            logs.line("order",
                      runner=order.runner,
                      operation=order.operation.value,
                      group=order.group,
                      model=order.model,
                      expected=order.expected_seq,
                      reason=order.reason,
                      reply=reply.value,
                      detail="" if accepted else detail))
        if not accepted:
            # Reports lag behind: an earlier one might show the state before
            # the order.
            await asyncio.sleep((self._report_lag_ms + LAG_MARGIN_MS) / 1000)
            await self.probe(order.runner, "order not accepted")
            self.planner.rechecked(order)

    def _record_accepted(self, order: orders.Order,
                         known: fleetview.RunnerRecord,
                         reply: ordercalls.OrderReply, now_ms: float) -> None:
        is_leave = order.operation is orders.Operation.LEAVE
        # Leaving is carried out at once, and counts as an order that was
        # started.
        begun = known.orders_begun + (reply is ordercalls.OrderReply.BEGUN or
                                      is_leave)
        membership = known.membership
        if order.operation is orders.Operation.JOIN and order.group:
            membership = model.Membership(order.group.name, order.group.epoch,
                                          order.members.index(order.runner),
                                          model.MemberState.JOINING)
        elif is_leave:
            membership = None
        elif order.operation is orders.Operation.CLOSE and membership:
            membership = dataclasses.replace(membership,
                                             state=model.MemberState.CLOSING)
        self._view.record_order(order.runner, begun, membership, now_ms)

    def _record_ended(self, runner_id: str, now_ms: float) -> None:
        """Records that another incarnation answered, and reads its row."""
        self._view.record_ended(runner_id, now_ms)
        self._read_list()

    async def _run_probe(self, probe: planning.Probe) -> None:
        await self.probe(probe.runner, probe.reason)

    async def probe(self, runner_id: str, reason: str) -> ProbeResult:
        """Asks a runner for its report; returns what that shows.

        If there is no answer soon, a second request is sent on a new
        connection without waiting for the first to fail. A second request is
        needed since a lost packet looks like a dead runner. When it waited for
        the first to fail, dead runners were detected only after 300 ms.
        """
        known = self._view.known.get(runner_id)
        if known is None:
            return ProbeResult.UNREACHABLE
        asked_ms = clock.now_ms()
        if known.has_ended:
            self._view.record_no_answer(runner_id, asked_ms)
            return ProbeResult.UNREACHABLE
        reply = await self._request_report_hedged(known.runner)
        report = reply.report
        if report is None:
            if reply.was_taken and self._view.record_standstill(
                    runner_id, asked_ms):
                self._probe_later(runner_id, reason)
                return ProbeResult.STANDS_STILL
            if self._view.record_no_answer(runner_id, asked_ms):
                _LOG.warning(
                    logs.line("runner-down", runner=runner_id, reason=reason))
            return ProbeResult.UNREACHABLE
        if incarnations.is_other(known.runner.born_ms, report.born_ms):
            self._record_ended(runner_id, clock.now_ms())
            return ProbeResult.UNREACHABLE
        was_down = bool(known.down_ms)
        self._view.cold_periods.receive_answer(runner_id, report.cold_left_ms,
                                               clock.now_ms())
        self._view.apply_report(runner_id, report, asked_ms,
                                self._report_lag_ms)
        if was_down:
            _LOG.info(logs.line("runner-answers", runner=runner_id))
        return ProbeResult.ANSWERED

    def _probe_later(self, runner_id: str, reason: str) -> None:
        """Probes a runner that stands still until it goes on or is down."""
        if runner_id in self._still:
            return
        self._still.add(runner_id)
        _LOG.warning(
            logs.line("runner-stands-still", runner=runner_id, reason=reason))
        self._spawn(self._probe_until_it_goes_on(runner_id))

    async def _probe_until_it_goes_on(self, runner_id: str) -> None:
        try:
            result = ProbeResult.STANDS_STILL
            while result is ProbeResult.STANDS_STILL:
                await asyncio.sleep(STANDSTILL_RETRY_MS / 1000)
                result = await self.probe(runner_id, "stood still")
        finally:
            self._still.discard(runner_id)
        _LOG.info(
            logs.line("runner-stood-still",
                      runner=runner_id,
                      result=result.value))
        if result is ProbeResult.UNREACHABLE:
            self.on_down(runner_id)

    async def _request_report_hedged(
            self, runner: model.Runner) -> ordercalls.ReportReply:
        first = asyncio.ensure_future(self._request_report(runner))
        done, _ = await asyncio.wait([first], timeout=HEDGE_DELAY_MS / 1000)
        if done and first.result().report is not None:
            return first.result()
        # The second request is also sent if the first has failed: a request on
        # a reused connection that the runner has closed fails at once, although
        # the runner is alive.
        second = asyncio.ensure_future(
            self._request_report(runner, new_connection=True))
        try:
            for each in asyncio.as_completed([first, second]):
                reply = await each
                if reply.report is not None:
                    return reply
            return second.result()
        finally:
            first.cancel()
            second.cancel()

    async def _request_report(
            self,
            runner: model.Runner,
            new_connection: bool = False) -> ordercalls.ReportReply:
        try:
            return await ordercalls.fetch_report(self._pool, runner,
                                                 new_connection)
        except exceptions.BadPeerMessage as error:
            _LOG.warning(
                logs.line("report-refused", runner=runner.id,
                          reason=str(error)))
            return ordercalls.ReportReply(None)
