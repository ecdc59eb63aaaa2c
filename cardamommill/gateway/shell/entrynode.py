"""The process of an entry VM: connects its parts to sockets and the clock."""

import asyncio
from collections.abc import Coroutine, Iterable
import dataclasses
import math
import os
import pathlib
import signal
from typing import Any, Self

import logbook

from cardamommill import logs, metrics, units
from cardamommill.domain import clock, entrysettings, model
from cardamommill.gateway.fleet import availablegroups, fleetview, loadsums
from cardamommill.gateway.groups import planning
from cardamommill.gateway.nodes import (
    hopheaders,
    instanceids,
    peermessage,
    peers,
)
from cardamommill.gateway.requests import freshness, routetable
from cardamommill.gateway.shell import (
    alarms,
    closedgroups,
    dispatcher,
    groupcontroller,
    heldrequests,
    hops,
    nodelink,
    nodestatus,
    openedgroups,
    operatorrows,
    platformreader,
    quarantinetable,
    relay,
    settingsfile,
    shutdown,
    statuspages,
)
from cardamommill.gateway.tables import (
    peertables,
    sourceselector,
    tablecopies,
    tablereader,
)
from cardamommill.platform import storecalls, wirenames
from cardamommill.transport import callers, replies, upstream

# Interval of periodic work; a silent group is noticed up to this much later.
TICK_MS = 20.0
PLAN_EVERY_TICKS = 3
SWEEP_EVERY_TICKS = 12
# Short, because another node can accept the request at once.
STOPPED_RETRY_AFTER_S = 0.05

# The part of a process's memory that is for answers which arrive. The rest is
# for the process itself, requests, and answers to callers that read slowly.
BODY_MEMORY_PART = 1 / 8

_LOG = logbook.Logger("entry")


def _body_memory_bytes(settings: entrysettings.EntrySettings) -> float:
    if not settings.memory_mb:
        return math.inf
    return BODY_MEMORY_PART * settings.memory_mb * units.BYTES_PER_MB


class EntryNode:
    """One entry node with all its parts; a context manager for its log."""

    def __init__(self, settings: entrysettings.EntrySettings,
                 path: pathlib.Path) -> None:
        """Initialises the node without opening any sockets.

        Args:
            settings: Validated settings.
            path: Path of the settings file, which is reloaded on changes.
        """
        self._settings = settings
        self._settings_file = settingsfile.SettingsFile(path)
        now_ms = clock.now_ms()
        self._incarnation = int(now_ms)
        self.metrics = metrics.Metrics()
        self.pool = upstream.Pool()
        self.pool.budget.limit_bytes = _body_memory_bytes(settings)
        self.metrics.collect(self._body_samples)
        self.view = fleetview.FleetView()
        self.view.max_standstill_ms = settings.bounds.stall_ms
        self._peers = peers.Peers(settings.node, settings.data_centre,
                                  self._incarnation,
                                  (settings.ip, settings.peer_port), now_ms)
        self._remote_loads = loadsums.RemoteLoads()
        self._requests_seen = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = callers.CallerServer(self._on_request,
                                            self._on_unreadable_request)
        self._status_server = callers.CallerServer(
            statuspages.StatusPages(self._is_ready, self.metrics,
                                    lambda: self._status.page()).answer,
            self._on_unreadable_request)
        self._freshness = freshness.Freshness(settings.bounds.revoke_ms)
        self._store = storecalls.StoreClient(
            self.pool, entrysettings.address(settings.platform))
        copies = tablecopies.TableCopies()
        self._peer_tables = peertables.PeerTableServer(copies, self.spawn)
        self._peer_server = callers.CallerServer(self._on_peer_request,
                                                 self._on_unreadable_request)
        rows = operatorrows.OperatorRows(settings, self.metrics)
        self._reader = platformreader.PlatformReader(
            self._table_reader(wirenames.OPERATOR_TABLE, copies),
            self._table_reader(wirenames.SERVERS_TABLE,
                               copies), self.view, self._freshness,
            settings.bounds.drain_ms, self._on_table, rows, self.metrics)
        self._requests = dispatcher.Dispatcher(settings, self.pool, self.view,
                                               self._reader, self._freshness,
                                               self._peers, self.metrics,
                                               self.spawn)
        self._hop_server = hops.HopServer(
            self._requests,
            lambda: self._has_initial_state() and not self._shutdown.has_begun,
            self.metrics)
        self._shutdown = shutdown.Shutdown(self._server, self._peer_server,
                                           self._hop_server, self._requests)
        self._quarantine_table = quarantinetable.QuarantineTable(
            self._store, self._requests.crashes, self._peers, settings.node)
        self._status = nodestatus.NodeStatus(self._reader, rows,
                                             self._freshness,
                                             self._requests.eligible_targets,
                                             self._reader.refused_row_count)
        # Names of groups begin with a text that no other node or start uses.
        self._group_controller = groupcontroller.GroupController(
            self.view, self.pool,
            f"{settings.node[:24]}-{self._incarnation % 36**5:x}",
            self._on_opened, self._reader.request_list_read, self.spawn)
        self._link = nodelink.NodeLink(settings, self._peers,
                                       self._compose_message, self._on_message,
                                       self._on_data_centre_return)
        self._alarms = alarms.Alarms(
            self.view, self._requests, self._group_controller, self.metrics,
            availablegroups.confirmed_alarm_ms(settings.heartbeat_ms,
                                               settings.bounds.drain_ms),
            self._is_planned_here, self._send_update_now, self.spawn)
        self._requests.on_fault = self._alarms.probe
        self._requests.link.on_cut = self._on_cut
        self._requests.link.on_return = self._on_return
        self._requests.crashes.on_news = self._send_update_now
        self._requests.on_refusal = self._alarms.refused
        self._requests.expected_recovery_ms = (
            self._group_controller.expected_recovery_ms)
        self._opened = openedgroups.OpenedGroups(self.view)
        self._closed = closedgroups.ClosedGroups(
            self._requests.available_groups, settings.bounds.drain_ms)
        self._group_controller.on_closed = self._on_closed
        self._ticks = 0
        self._ended: asyncio.Event

    def _table_reader(
            self, table: str,
            copies: tablecopies.TableCopies) -> tablereader.TableReader:
        selector = sourceselector.SourceSelector(self._settings.node,
                                                 self._peers)
        return tablereader.TableReader(self._store, self.pool, selector, table,
                                       copies.table(table))

    def __enter__(self) -> Self:
        self._handler = logs.LogHandler(self._settings.logging,
                                        self._settings.node)
        self._handler.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._handler.__exit__(*exception)

    def run(self) -> None:
        """Serves until the node is told to stop."""
        asyncio.run(self.serve())

    async def serve(self) -> None:
        """Serves in the running event loop until the node is told to stop."""
        self._ended = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_stop, "SIGTERM")
        loop.add_signal_handler(signal.SIGINT, self._on_stop, "SIGINT")
        loop.add_signal_handler(signal.SIGHUP, self._reload, "SIGHUP")
        settings = self._settings
        _LOG.info(
            logs.line("start",
                      incarnation=self._incarnation,
                      data_centre=settings.data_centre,
                      pid=os.getpid()))
        with self.pool:
            try:
                await self._listen()
                self.spawn(self._link.discover_nodes(self._store))
                self.spawn(self._tick())
                self.spawn(self._follow_platform())
                self.spawn(self._quarantine_table.follow())
                await self._ended.wait()
            finally:
                for task in list(self._tasks):
                    task.cancel()
        _LOG.info(
            logs.line("stop",
                      busy=self._server.busy,
                      unsent_bytes=self._server.unsent_bytes))

    async def _follow_platform(self) -> None:
        await self._link.wait_for_peers()
        self.spawn(self._reader.follow_configuration())
        self.spawn(self._reader.follow_list())

    async def _listen(self) -> None:
        settings = self._settings
        await self._server.listen(*entrysettings.address(settings.callers))
        await self._status_server.listen(*entrysettings.address(settings.ready))
        if settings.metrics_port:
            await self._status_server.listen(settings.ip, settings.metrics_port)
        await self._peer_server.listen(settings.ip, settings.peer_port)
        await self._link.listen()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a background task, which is cancelled when the node ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _LOG.error(logs.line("task-failed", error=repr(error)))

    def _body_samples(self) -> Iterable[metrics.Sample]:
        budget = self.pool.budget
        return (metrics.Sample("answer_body_bytes", budget.used_bytes),
                metrics.Sample("answer_bodies_waiting", budget.waiting),
                metrics.Sample("answer_bodies_ended", budget.ended))

    # Requests of callers.

    def _on_request(self, request: callers.CallerRequest,
                    reply: replies.Reply) -> callers.ActiveRequest | None:
        self._requests_seen = True
        if self._shutdown.rejects(clock.now_ms()):
            reply.send(503, [("Retry-After", f"{STOPPED_RETRY_AFTER_S:.3f}")],
                       b"this node is stopping; not run\n")
            self.metrics.count("requests_refused_stopping_total")
            _LOG.info(
                logs.line("request-refused-stopping",
                          request=request.get(wirenames.ATTEMPT_ID)))
            return None
        if self._has_initial_state():
            return self._serve(request, reply)
        held = heldrequests.HeldRequest(self._serve, request, reply)
        self.spawn(held.serve_when_ready(self._has_initial_state))
        return held

    def _on_peer_request(self, request: callers.CallerRequest,
                         reply: replies.Reply) -> callers.ActiveRequest | None:
        if request.get(hopheaders.HEADER) is not None:
            return self._hop_server.on_request(request, reply)
        return self._peer_tables.on_request(request, reply)

    def _has_initial_state(self) -> bool:
        return self._reader.table is not None and self.view.list_as_of_ms > 0

    def _serve(self, request: callers.CallerRequest,
               reply: replies.Reply) -> callers.ActiveRequest | None:
        request_relay = relay.Relay(self._requests, request, reply)
        if not request_relay.admit():
            return None
        request_relay.start()
        return request_relay

    def _on_unreadable_request(self, status: int) -> None:
        self.metrics.count("requests_refused_unread_total", status=str(status))
        _LOG.info(logs.line("request-unread", status=status))

    # Messages to and from other nodes.

    def _on_message(self, message: peermessage.PeerMessage,
                    now_ms: float) -> None:
        message = instanceids.resolved(message, self.view)
        if self._reader.should_catch_up(message.config_version):
            self.spawn(self._reader.catch_up())
        is_remote = message.data_centre != self._settings.data_centre
        if message.load_sums is not None:
            self._remote_loads.receive(
                message.load_sums, message.data_centre if is_remote else None,
                now_ms)
        has_new_information = False
        for opened in message.opened_groups:
            has_new_information |= self._opened.receive(opened, message.node,
                                                        is_remote, now_ms)
        has_new_information |= self._closed.receive(message, is_remote, now_ms)
        has_new_information |= self._requests.crashes.receive(
            message, is_remote, now_ms)
        for alarm in () if message.is_cut_off else message.alarms:
            has_new_information |= self._alarms.receive(alarm, message.node,
                                                        now_ms, is_remote)
        self._requests.reliability.receive(message.attempt_histories,
                                           message.node, now_ms)
        self._requests.backpressure.receive(message, now_ms)
        self._requests.admission.receive(message, now_ms)
        if is_remote and has_new_information:
            # Other data centres send urgent updates only to the reporters here,
            # which pass them on at once.
            self._link.send_now(now_ms, far=False)

    def _on_cut(self) -> None:
        self._send_update_now()
        self._requests.on_cut()

    def _on_return(self) -> None:
        self._send_update_now()
        self._alarms.probe_avoided_groups()

    def _on_data_centre_return(self, data_centre: str) -> None:
        self._alarms.probe_down_runners(clock.now_ms(), data_centre)

    def _compose_message(
            self, now_ms: float,
            update_scope: peers.UpdateScope) -> peermessage.PeerMessage:
        table = self._reader.table
        is_near = update_scope is peers.UpdateScope.NEAR
        is_remote = update_scope is peers.UpdateScope.FAR
        reliability = self._requests.reliability
        return peermessage.PeerMessage(
            node=self._settings.node,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
            sent_ms=now_ms,
            echo_ms=0.0,
            interval_ms=0.0,
            config_version=table.configuration.version if table else 0,
            config_confirmed_age_ms=self._freshness.age_ms(now_ms),
            in_flight=self._requests.in_flight_requests.loads()
            if is_near else {},
            alarms=self._alarms.updates_for_peers(now_ms),
            opened_groups=self._opened.updates_for_peers(now_ms),
            attempt_histories=reliability.updates_for_peers(now_ms)
            if is_near else (),
            has_seen_requests=self._requests_seen,
            stopping=self._shutdown.has_begun,
            planning_age_ms=self._peers.planning_age_ms(now_ms),
            load_sums=self._load_sums(now_ms, update_scope),
            has_lost_store=self._reader.has_lost_store(now_ms),
            limits=() if is_remote else
            self._requests.backpressure.updates_for_peers(now_ms),
            sections=({
                peermessage.CUT_OFF_SECTION: True
            } if self._requests.reaches_no_runner() else {}) |
            self._closed.section(now_ms) |
            self._requests.crashes.sections(now_ms) |
            (self._requests.admission.sections(now_ms) if is_near else {}))

    def _load_sums(self, now_ms: float,
                   update_scope: peers.UpdateScope) -> loadsums.LoadSums | None:
        if not self._peers.is_reporter or update_scope is peers.UpdateScope.FAR:
            return None
        if update_scope is peers.UpdateScope.NEAR:
            return self._remote_loads.sums_to_relay(now_ms)
        own = loadsums.loads_by_short_id(
            self._requests.in_flight_requests.loads())
        return loadsums.LoadSums(
            0.0, loadsums.sum_loads((own, self._peers.near_loads())))

    def _send_update_now(self) -> None:
        self._link.send_now(clock.now_ms(), far=True)

    def _is_planned_here(self, key: model.GroupKey) -> bool:
        planned = self._peers.planned_data_centres(
            self._settings.data_centres, clock.now_ms(),
            self._requests.reaches_no_runner())
        return any(each.runner.data_centre in planned
                   for each in self.view.members(key))

    # Periodic work.

    async def _tick(self) -> None:
        while not self._ended.is_set():
            await asyncio.sleep(TICK_MS / 1000)
            try:
                self._tick_once(clock.now_ms())
            except Exception:
                # An error in one tick must not stop the following ones. The
                # node would keep serving but no longer repair groups.
                _LOG.exception(logs.line("tick-failed"))

    def _tick_once(self, now_ms: float) -> None:
        self._ticks += 1
        self._requests.link.update(now_ms)
        self._alarms.check_groups(now_ms)
        self._requests.hops.check(now_ms)
        self._requests.crashes.check(now_ms)
        self._link.send_due(now_ms)
        if self._ticks % PLAN_EVERY_TICKS == 0:
            self._requests.update_from_peers(self._remote_loads.loads(now_ms),
                                             now_ms)
            self._plan(now_ms)
        if self._ticks % SWEEP_EVERY_TICKS == 0:
            self._server.enforce_timeouts(now_ms)
            self._status_server.enforce_timeouts(now_ms)
            self._peer_server.enforce_timeouts(now_ms)
            self.pool.close_expired()
            if self._settings_file.has_changed:
                self._reload("settings file changed")
            self._alarms.drop_expired(now_ms)
            self._alarms.probe_down_runners(now_ms)
            self._requests.drop_expired(now_ms)
            self._opened.drop_expired(now_ms)
            self._closed.drop_expired(now_ms)
            self._peers.choose_reporters(now_ms)
        if self._shutdown.has_begun:
            self._shutdown.update(now_ms, self._settings.bounds.grace_s * 1000)
            if self._shutdown.has_ended:
                self._ended.set()

    def _plan(self, now_ms: float) -> None:
        table = self._reader.table
        if table is None or self._shutdown.has_begun:
            return
        planned = self._peers.planned_data_centres(
            self._settings.data_centres, now_ms,
            self._requests.reaches_no_runner())
        if not planned:
            return
        is_before_traffic = not (self._requests_seen or
                                 self._peers.any_requests_seen())
        scope = planning.Scope(planned, len(self._settings.data_centres),
                               is_before_traffic, self._requests.loads(),
                               self._settings.data_centres,
                               self._reader.evacuations.in_force)
        self._group_controller.plan(table.configuration, scope, now_ms)

    def _on_opened(self, key: model.GroupKey, name: str, head: str) -> None:
        self._opened.note(peermessage.OpenedGroup(key, name, head),
                          clock.now_ms())
        self._send_update_now()

    def _on_closed(self, key: model.GroupKey) -> None:
        if self._closed.note(key, clock.now_ms()):
            self._send_update_now()

    def _on_table(self, table: routetable.RouteTable) -> None:
        limits = table.configuration.limits
        self._server.limits = limits
        self._peer_server.limits = dataclasses.replace(
            limits,
            header_bytes=limits.header_bytes + hopheaders.HEADER_BYTES,
            idle_ms=callers.DEFAULT_LIMITS.idle_ms)

    # Readiness, reload and shutdown.

    def _is_ready(self) -> bool:
        return (self._has_initial_state() and not self._shutdown.has_begun and
                self._requests.may_accept_keys())

    def _on_stop(self, why: str) -> None:
        if self._shutdown.has_begun:
            return
        self._shutdown.begin(why, clock.now_ms())
        self._send_update_now()

    def _reload(self, why: str) -> None:
        settings = self._settings_file.read(why)
        if settings is None:
            return
        self._settings = settings
        self.pool.budget.limit_bytes = _body_memory_bytes(settings)
        self._freshness.revoke_ms = settings.bounds.revoke_ms
        self.view.max_standstill_ms = settings.bounds.stall_ms
        self._requests.reload(settings)
        self._reader.reload(settings)
        self._link.add_seeds(settings)
