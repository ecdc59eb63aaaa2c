"""Carries out a planner's orders and questions, and tells it the replies."""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
from typing import Any

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import (
    clock,
    fleetview,
    model,
    orders,
    planner,
    planning,
    upstream,
)
from cardamommill.platform import ordercalls

# How long a missing group is said to take where nothing better is known.
USUAL_REPAIR_MS = 700.0
# Between two lines about all runners of a planner.
SUMMARY_INTERVAL_MS = 1000.0
# A runner answers in a few ms; one that has not after this is asked once more.
ASK_AGAIN_MS = 60.0
# Beyond the lag of reports, before one tells what an order made.
LAG_MARGIN_MS = 30.0

# After these the same order may be accepted, once it is known what the runner
# has done meanwhile.
_MAY_COME_THROUGH = frozenset(
    {ordercalls.Reply.UNKNOWN, ordercalls.Reply.UNFIT})

_LOG = logbook.Logger("groups")

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class GroupController:
    """The shell around `planner.Planner`."""

    def __init__(self, view: fleetview.FleetView, pool: upstream.Pool,
                 name: str, on_opened: Callable[[model.GroupKey, str, str],
                                                None],
                 read_list: Callable[[], None], spawn: Spawn) -> None:
        self._view = view
        self._pool = pool
        self._on_opened = on_opened
        self._read_list = read_list
        self._spawn = spawn
        self._lag_ms = 0.0
        self._told_ms = float("-inf")
        self.planner = planner.Planner(view, name)

    def expected_recovery_ms(self) -> float:
        """Returns when a group that is missing should stand again."""
        now_ms = clock.now_ms()
        due = [
            each.due_ms - now_ms for each in self.planner.formations.values()
        ]
        return max(min(due, default=USUAL_REPAIR_MS), 100.0) + 300.0

    def plan(self, configuration: model.Configuration, scope: planning.Scope,
             now_ms: float) -> None:
        """Decides and begins to act."""
        for service in configuration.services.values():
            if service.engine is not None:
                self._lag_ms = max(self._lag_ms, service.engine.report_lag_ms)
            for action in self.planner.step(service, scope, now_ms):
                self._act(action)
            if service.engine is not None:
                self._tell(service.name, scope, now_ms)

    def _tell(self, service: str, scope: planning.Scope, now_ms: float) -> None:
        if now_ms - self._told_ms < SUMMARY_INTERVAL_MS:
            return
        self._told_ms = now_ms
        _LOG.info(
            logs.line("fleet",
                      data_centres=",".join(sorted(scope.data_centres)),
                      lead=scope.is_before_traffic,
                      list_age_ms=int(now_ms - self._view.list_as_of_ms),
                      **self.planner.summary(service, scope)))

    def _act(self, action: planning.Action) -> None:
        if isinstance(action, orders.Order):
            self.planner.sent(action.runner)
            self._spawn(self._order(action))
        elif isinstance(action, planning.Probe):
            self._spawn(self._probe(action))
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

    async def _order(self, order: orders.Order) -> None:
        known = self._view.known.get(order.runner)
        if known is None:
            self.planner.refused(order, "unknown runner", clock.now_ms())
            self.planner.rechecked(order)
            return
        reply, detail = await ordercalls.send_order(self._pool, known.runner,
                                                    order)
        accepted = reply in (ordercalls.Reply.BEGUN, ordercalls.Reply.DONE)
        now_ms = clock.now_ms()
        if accepted:
            self._take_accepted(order, known, reply, now_ms)
            self.planner.accepted(order, now_ms)
        else:
            self._view.record_order_refusal(order.runner, now_ms)
            self.planner.refused(order,
                                 reply.value,
                                 now_ms,
                                 may_retry=reply in _MAY_COME_THROUGH)
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
            # A report tells what was true some time ago.
            await asyncio.sleep((self._lag_ms + LAG_MARGIN_MS) / 1000)
            await self.probe(order.runner, "order not accepted")
            self.planner.rechecked(order)

    def _take_accepted(self, order: orders.Order, known: fleetview.RunnerRecord,
                       reply: ordercalls.Reply, now_ms: float) -> None:
        left = order.operation is orders.Operation.LEAVE
        # Leaving is done at once, and counts as an order that began.
        begun = known.orders_begun + (reply is ordercalls.Reply.BEGUN or left)
        membership = known.membership
        if order.operation is orders.Operation.JOIN and order.group:
            membership = model.Membership(order.group.name, order.group.epoch,
                                          order.members.index(order.runner),
                                          model.MemberState.JOINING)
        elif left:
            membership = None
        elif order.operation is orders.Operation.CLOSE and membership:
            membership = dataclasses.replace(membership,
                                             state=model.MemberState.CLOSING)
        self._view.record_order(order.runner, begun, membership, now_ms)

    async def _probe(self, probe: planning.Probe) -> None:
        await self.probe(probe.runner, probe.reason)

    async def probe(self, runner_id: str, reason: str) -> bool:
        """Asks a runner for its report; True where it answered.

        Asked a second time on another connection while the first is open: a
        lost packet looks like a dead runner, and asked one after the other the
        dead ones were known after 300 ms.
        """
        known = self._view.known.get(runner_id)
        if known is None:
            return False
        asked_ms = clock.now_ms()
        report = await self._ask_twice(known.runner)
        if report is None:
            if self._view.record_no_answer(runner_id, asked_ms):
                _LOG.warning(
                    logs.line("runner-down", runner=runner_id, reason=reason))
            return False
        was_down = bool(known.down_ms)
        self._view.apply_report(runner_id, report, asked_ms, self._lag_ms)
        if was_down:
            _LOG.info(logs.line("runner-answers", runner=runner_id))
        return True

    async def _ask_twice(self, runner: model.Runner) -> model.Report | None:
        first = asyncio.ensure_future(self._ask_once(runner))
        done, _ = await asyncio.wait([first], timeout=ASK_AGAIN_MS / 1000)
        if done and first.result() is not None:
            return first.result()
        # A kept connection that its runner has closed fails at once.
        second = asyncio.ensure_future(self._ask_once(runner))
        try:
            for each in asyncio.as_completed([first, second]):
                report = await each
                if report is not None:
                    return report
            return None
        finally:
            first.cancel()
            second.cancel()

    async def _ask_once(self, runner: model.Runner) -> model.Report | None:
        try:
            return await ordercalls.ask_report(self._pool, runner)
        except exceptions.BadPeerMessage as error:
            _LOG.warning(
                logs.line("report-refused", runner=runner.id,
                          reason=str(error)))
            return None
