"""The process of an entry VM: wires decisions to sockets and the clock."""

import asyncio
from collections.abc import Coroutine
import os
import pathlib
import random
import signal
from typing import Any, Self

import logbook

from cardamommill import exceptions, logs, metrics
from cardamommill.gateway import (
    attempts,
    callers,
    clock,
    entrysettings,
    fleetview,
    flights,
    freshness,
    groupkeeper,
    model,
    peermessage,
    peers,
    placing,
    platformreader,
    relay,
    retrybudget,
    routetable,
    silence,
    standing,
    upstream,
)
from cardamommill.platform import storecalls, words

# How often things are looked at; a silent group is noticed this much later.
TICK_MS = 20.0
PLAN_EVERY_TICKS = 3
SWEEP_EVERY_TICKS = 12
# Five a second to each peer tell a change of load in time for a placement,
# and cost 1.5 KB/s a peer.
HEARTBEAT_MS = 200.0
# News that others need is told this many times, since datagrams get lost.
NEWS_MS = 700.0
# The balancer asks each second and needs two misses.
LEAVE_ROTATION_MS = 2600.0
GRACE_MARGIN_MS = 500.0
# Own probes of one group after alarms.
PROBE_AGAIN_MS = 400.0

_LOG = logbook.Logger("entry")


class EntryNode:
    """Owns everything of one node; a context manager."""

    def __init__(self, settings: entrysettings.EntrySettings,
                 path: pathlib.Path) -> None:
        """Makes it.

        Args:
            settings: Checked settings.
            path: Where they came from, to be read again.
        """
        self._settings = settings
        self._path = path
        self._settings_stamp = _stamp(path)
        self._chance = random.Random(settings.node)
        now_ms = clock.now_ms()
        self._incarnation = int(now_ms)
        self.metrics = metrics.Metrics()
        self.pool = upstream.Pool()
        self.view = fleetview.FleetView()
        self._standing = standing.StandingGroups(self.view)
        self._silence = silence.SilenceDetector()
        self._peers = peers.Peers(settings.node, settings.data_centre,
                                  self._incarnation,
                                  (settings.ip, settings.peer_port), now_ms)
        self._budgets: dict[str, retrybudget.RetryBudget] = {}
        self._relays: dict[model.GroupKey, dict[relay.Relay, None]] = {}
        self._flights = flights.Flights()
        self._peer_load: dict[model.GroupKey, flights.GroupLoad] = {}
        self._own_runners: dict[str, int] = {}
        self._runner_faults_ms: dict[str, float] = {}
        self._alarms: dict[model.GroupKey, tuple[float, bool]] = {}
        self._probed_ms: dict[model.GroupKey, float] = {}
        self._opened: dict[model.GroupKey, tuple[float, str, str]] = {}
        self._requests_seen = False
        self._stopping_ms = 0.0
        self._udp: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = callers.CallerServer(self._on_request, self._on_refused)
        # The balancer's questions and the reading of figures.
        self._questions = callers.CallerServer(self._on_question,
                                               self._on_refused)
        self._freshness = freshness.Freshness(settings.bounds.revoke_ms)
        self._reader = platformreader.PlatformReader(
            storecalls.Store(self.pool,
                             entrysettings.address(settings.platform)),
            self.view, self._freshness, self._on_table)
        self._keeper = groupkeeper.GroupKeeper(
            self.view, self.pool,
            f"{settings.node[:24]}-{self._incarnation % 36**5:x}",
            self._on_opened, self._reader.read_list_now, self.spawn)
        self._ticks = 0
        self._done: asyncio.Event

    def __enter__(self) -> Self:
        self._handler = logs.LogHandler(self._settings.logging,
                                        self._settings.node)
        self._handler.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._handler.__exit__(*exception)

    def run(self) -> None:
        """Serves until it is told to end."""
        asyncio.run(self.serve())

    async def serve(self) -> None:
        """Serves until it is told to end, in the running loop."""
        self._done = asyncio.Event()
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
                for seed in settings.seeds:
                    host, _ = entrysettings.address(seed)
                    self._peers.learn((host, settings.peer_port))
                self.spawn(self._reader.follow_configuration())
                self.spawn(self._reader.follow_list())
                self.spawn(self._find_nodes())
                self.spawn(self._tick())
                await self._done.wait()
            finally:
                for task in list(self._tasks):
                    task.cancel()
        _LOG.info(logs.line("stop", busy=self._server.busy))

    async def _listen(self) -> None:
        settings = self._settings
        loop = asyncio.get_running_loop()
        await self._server.listen(*entrysettings.address(settings.callers))
        await self._questions.listen(*entrysettings.address(settings.ready))
        if settings.metrics_port:
            await self._questions.listen(settings.ip, settings.metrics_port)
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._on_datagram),
            local_addr=(settings.ip, settings.peer_port))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs something beside all else until the node ends."""
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

    # Callers.

    def _on_request(self, request: callers.CallerRequest,
                    reply: callers.Reply) -> callers.Serving | None:
        self._requests_seen = True
        one = relay.Relay(self, request, reply)
        if not one.begin():
            return None
        one.start()
        return one

    def _on_refused(self, status: int) -> None:
        self.metrics.count("requests_refused_unread_total", status=str(status))
        _LOG.info(logs.line("request-unread", status=status))

    # What a relay needs; see `relay.Surroundings`.

    def table(self) -> routetable.RouteTable | None:
        """Returns the configuration in force."""
        return self._reader.table

    def config_age_ms(self) -> float:
        """Returns for how long a newer one may have been accepted."""
        self._confirm_by_peers()
        return self._freshness.age_ms(clock.now_ms())

    def keys_may_be_trusted(self) -> bool:
        """Whether no key can have been taken away for too long."""
        self._confirm_by_peers()
        return self._freshness.keys_may_be_trusted(clock.now_ms())

    def _confirm_by_peers(self) -> None:
        now_ms = clock.now_ms()
        if self._reader.table is None or self._freshness.age_ms(now_ms) < 1500:
            return
        version = self._reader.table.configuration.version
        as_of_ms = self._peers.confirmed_ms(version, now_ms)
        self._freshness.confirm(min(as_of_ms, now_ms))

    def find_target(self, one: relay.Relay) -> relay.Target | placing.Refused:
        """Returns where a request goes next."""
        table = self._reader.table
        assert table is not None and one.route is not None
        refused = placing.Refused("no service", relay.DEFAULT_RETRY_AFTER_MS)
        for name in routetable.backends_in_order(one.route, self._chance):
            service = table.configuration.services.get(name)
            if service is None:
                continue
            if service.engine is not None and one.model_name:
                found = self._find_group(one, service, service.engine)
            else:
                found = self._find_runner(one, service)
            if isinstance(found, relay.Target):
                one.service = name
                return found
            refused = found
        return refused

    def _find_group(self, one: relay.Relay, service: model.Service,
                    engine: model.Engine) -> relay.Target | placing.Refused:
        now_ms = clock.now_ms()
        served = engine.model(one.model_name)
        if served is None:
            return placing.Refused("no such model",
                                   relay.DEFAULT_RETRY_AFTER_MS)
        heads: dict[model.GroupKey, fleetview.Known] = {}
        candidates = []
        for each in self._standing.of_model(service.name, served.name):
            heads[each.key] = each.head
            load = self._flights.load(each.key).plus(
                self._peer_load.get(each.key, flights.NO_LOAD))
            candidates.append(
                placing.Candidate(
                    key=each.key,
                    head=each.head.runner.id,
                    in_flight=load.requests,
                    patient=load.patient,
                    places=engine.slots,
                    pace=served.pace *
                    max(1.0, each.pace,
                        engine.far_factor if each.is_far else 1.0),
                    away=(each.head.runner.data_centre
                          != self._settings.data_centre),
                    avoided=(each.retiring or
                             self._standing.is_avoided(each.key, now_ms)),
                    reading_tokens=load.unread_tokens))
        excluded = frozenset(
            each.key for each in one.tried if each.key is not None)
        placed = placing.place(engine, one.work, candidates, excluded,
                               one.wish(self._chance.random()),
                               self._keeper.expected_ms)
        if isinstance(placed, placing.Refused):
            return placed
        key = placed.candidate.key
        return relay.Target(heads[key], key, placed)

    def _find_runner(self, one: relay.Relay,
                     service: model.Service) -> relay.Target | placing.Refused:
        now_ms = clock.now_ms()
        tried = {each.known.runner.id for each in one.tried}
        usable = [
            each for each in self.view.of_service(service.name)
            if each.usable and each.runner.id not in tried
        ]
        if not usable:
            return placing.Refused("no runner", relay.DEFAULT_RETRY_AFTER_MS)

        def cost(known: fleetview.Known) -> tuple[bool, float, bool, float]:
            runner = known.runner
            fault_ms = self._runner_faults_ms.get(runner.id, float("-inf"))
            return (now_ms - fault_ms < 1000,
                    self._own_runners.get(runner.id, 0) // 2, runner.data_centre
                    != self._settings.data_centre, self._chance.random())

        return relay.Target(min(usable, key=cost))

    def may_repeat(self, service: str) -> bool:
        """Whether the retry budget allows one more."""
        now_ms = clock.now_ms()
        return self._budget(service).may_repeat(self._peers.nodes(now_ms),
                                                now_ms)

    def _budget(self, service: str) -> retrybudget.RetryBudget:
        if service not in self._budgets:
            bounds = self._settings.bounds
            self._budgets[service] = retrybudget.RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s * 1000,
                bounds.retry_slack)
        return self._budgets[service]

    def attempt_begins(self, one: relay.Relay, target: relay.Target,
                       attempt: attempts.Attempt, repeat: bool) -> None:
        """Notes a try."""
        del attempt
        now_ms = clock.now_ms()
        budget = self._budget(one.service)
        if repeat:
            budget.repeat(now_ms)
            self.metrics.count("repeats_total", service=one.service)
        else:
            budget.request(now_ms)
        runner_id = target.known.runner.id
        self._own_runners[runner_id] = self._own_runners.get(runner_id, 0) + 1
        if target.key is None or target.placed is None:
            return
        self._relays.setdefault(target.key, {})[one] = None
        placed = target.placed
        self._flights.begins(target.key, one.attempt_id, one.work.prompt_tokens,
                             placed.patient)
        self._silence.sent(target.key, one.attempt_id, placed.pass_ms,
                           placed.read_ms, placed.first_event_ms, now_ms)

    def event_came(self, one: relay.Relay, target: relay.Target,
                   first: bool) -> None:
        """Notes an event of a stream."""
        del first
        if target.key is None:
            return
        self._flights.event(target.key, one.attempt_id)
        self._silence.event(target.key, one.attempt_id, clock.now_ms())

    def attempt_ends(self, one: relay.Relay, target: relay.Target,
                     outcome: attempts.Outcome) -> None:
        """Notes the end of a try."""
        runner_id = target.known.runner.id
        left = self._own_runners.get(runner_id, 1) - 1
        if left > 0:
            self._own_runners[runner_id] = left
        else:
            self._own_runners.pop(runner_id, None)
        self.metrics.count("attempts_total",
                           service=one.service,
                           result=outcome.result.value)
        if target.key is not None:
            relays = self._relays.get(target.key, {})
            relays.pop(one, None)
            if not relays:
                self._relays.pop(target.key, None)
            self._flights.ends(target.key, one.attempt_id)
            self._silence.ended(target.key, one.attempt_id)
        self._note_fault(one, target, outcome)

    def _note_fault(self, one: relay.Relay, target: relay.Target,
                    outcome: attempts.Outcome) -> None:
        fine = (attempts.Result.ANSWERED, attempts.Result.STREAMED,
                attempts.Result.ABANDONED)
        if outcome.result in fine:
            return
        now_ms = clock.now_ms()
        _LOG.info(
            logs.line("attempt-failed",
                      request=one.attempt_id,
                      target=target.name,
                      result=outcome.result.value,
                      reason=outcome.reason,
                      events=one.events,
                      list_age_ms=int(now_ms - self.view.list_as_of_ms)))
        self._runner_faults_ms[target.known.runner.id] = now_ms
        if target.key is None:
            return
        if outcome.result in (attempts.Result.BROKEN, attempts.Result.UNSENT,
                              attempts.Result.NOT_RUN):
            self._standing.avoid(target.key, now_ms + 300)
            self._probe_group(target.key, outcome.reason)

    def ended(self, one: relay.Relay, status: int, reason: str) -> None:
        """Notes the end of a request."""
        now_ms = clock.now_ms()
        route = one.route.name if one.route is not None else ""
        self.metrics.count("requests_total", route=route, status=str(status))
        arrived_ms = one.request.arrived_ms
        if one.first_event_ms:
            self.metrics.observe_ms("first_event",
                                    one.first_event_ms - arrived_ms,
                                    route=route)
        table = self._reader.table
        _LOG.info(
            logs.line(
                "request-ended",
                request=one.attempt_id,
                route=route,
                tenant=one.tenant.name if one.tenant else "",
                status=status,
                reason=reason,
                targets=",".join(each.name for each in one.tried),
                events=one.events,
                first_event_ms=int(one.first_event_ms -
                                   arrived_ms) if one.first_event_ms else "",
                took_ms=int(now_ms - arrived_ms),
                version=table.configuration.version if table else 0))

    # Groups that fall silent.

    def _look_for_silence(self, now_ms: float) -> None:
        for key in self._silence.silent(now_ms):
            self._alarm(key, now_ms)

    def _alarm(self, key: model.GroupKey, now_ms: float) -> None:
        relays = list(self._relays.get(key, ()))
        _LOG.warning(
            logs.line("group-silent",
                      group=key,
                      requests=len(relays),
                      list_age_ms=int(now_ms - self.view.list_as_of_ms)))
        self.metrics.count("groups_silent_total")
        self._alarms[key] = (now_ms, False)
        self._standing.avoid(key, now_ms + standing.ALARM_MS)
        for one in relays:
            one.divert("group silent")
        self._probe_group(key, "silent")
        self._heartbeat(now_ms, at_once=True)

    def _probe_group(self, key: model.GroupKey, reason: str) -> None:
        now_ms = clock.now_ms()
        if now_ms - self._probed_ms.get(key, float("-inf")) < PROBE_AGAIN_MS:
            return
        self._probed_ms[key] = now_ms
        self.spawn(self._probe_members(key, reason))

    async def _probe_members(self, key: model.GroupKey, reason: str) -> None:
        members = [
            each for each in self.view.known.values()
            if each.membership is not None and each.membership.key == key
        ]
        answers = await asyncio.gather(
            *(self._keeper.ask(each.runner.id, reason) for each in members))
        now_ms = clock.now_ms()
        if not all(answers):
            self._alarms[key] = (now_ms, True)
            self._standing.avoid(key, now_ms + standing.CONFIRMED_ALARM_MS)
            for one in list(self._relays.get(key, ())):
                one.divert("member does not answer")
            self._heartbeat(now_ms, at_once=True)
        else:
            self._silence.answered(key, now_ms)
            self._alarms.pop(key, None)
            self._standing.trust(key)

    # Nodes.

    def _on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        now_ms = clock.now_ms()
        try:
            message = peermessage.decode(data, address[0])
        except exceptions.BadPeerMessage as error:
            _LOG.warning(logs.line("datagram-refused", reason=str(error)))
            return
        if self._peers.take(message, address, now_ms):
            _LOG.info(
                logs.line("peer-alive",
                          peer=message.node,
                          incarnation=message.incarnation))
        for opened in message.opened:
            if self.view.take_open(opened.head, opened.key, opened.model):
                _LOG.info(
                    logs.line("group-open-heard",
                              group=opened.key,
                              peer=message.node))
        for alarm in message.alarms:
            self._hear_alarm(alarm, message.node, now_ms)

    def _hear_alarm(self, alarm: peermessage.Alarm, peer: str,
                    now_ms: float) -> None:
        since_ms = now_ms - alarm.age_ms
        if self._silence.heard_since(alarm.key, since_ms):
            return
        heed_ms = (standing.CONFIRMED_ALARM_MS
                   if alarm.confirmed else standing.ALARM_MS)
        if not self._standing.is_avoided(alarm.key, now_ms):
            _LOG.info(
                logs.line("alarm-heard",
                          group=alarm.key,
                          peer=peer,
                          age_ms=int(alarm.age_ms),
                          confirmed=alarm.confirmed))
        self._standing.avoid(alarm.key, since_ms + heed_ms)
        if alarm.confirmed:
            for one in list(self._relays.get(alarm.key, ())):
                one.divert("a peer found a member down")
        if self._plans_for(alarm.key, now_ms):
            self._probe_group(alarm.key, f"alarm of {peer}")

    def _plans_for(self, key: model.GroupKey, now_ms: float) -> bool:
        ours = self._peers.planned_data_centres(self._settings.data_centres,
                                                now_ms)
        return any(
            each.membership is not None and each.membership.key == key and
            each.runner.data_centre in ours
            for each in self.view.known.values())

    def _heartbeat(self, now_ms: float, at_once: bool = False) -> None:
        udp = self._udp
        if udp is None:
            return
        interval_ms = 0.0 if at_once else HEARTBEAT_MS
        due = self._peers.due(now_ms, interval_ms)
        if not due:
            return
        table = self._reader.table
        alarms = tuple(
            peermessage.Alarm(key, now_ms - at_ms, confirmed)
            for key, (at_ms, confirmed) in self._alarms.items()
            if now_ms - at_ms < NEWS_MS)
        opened = tuple(
            peermessage.OpenedGroup(key, name, head)
            for key, (at_ms, name, head) in self._opened.items()
            if now_ms - at_ms < NEWS_MS)
        for peer in due:
            message = peermessage.PeerMessage(
                self._settings.node, self._incarnation,
                self._settings.data_centre, now_ms,
                peer.last.sent_ms if peer.last else 0.0,
                table.configuration.version if table else 0,
                self._freshness.age_ms(now_ms), self._flights.loads(), alarms,
                opened, self._requests_seen, bool(self._stopping_ms),
                self._peers.plans_ms(now_ms))
            udp.sendto(peermessage.encode(message), peer.address)

    async def _find_nodes(self) -> None:
        store = self._reader.store
        registered = False
        while True:
            try:
                if not registered:
                    await store.put(words.NODES_TABLE, self._settings.node,
                                    self._settings.ip.encode())
                    registered = True
                rows = await store.table(words.NODES_TABLE)
            except exceptions.StoreError as error:
                _LOG.warning(logs.line("nodes-unread", reason=str(error)))
                await asyncio.sleep(1.0)
                continue
            for row in rows.rows:
                address = (row.value.decode("ascii", "replace"),
                           self._settings.peer_port)
                if self._peers.learn(address):
                    _LOG.info(logs.line("node-found", node=row.key))
            alone = not self._peers.alive(clock.now_ms())
            await asyncio.sleep(2.0 if alone else 20.0)

    # Time.

    async def _tick(self) -> None:
        while not self._done.is_set():
            await asyncio.sleep(TICK_MS / 1000)
            try:
                self._tick_once(clock.now_ms())
            except Exception:
                # A fault in one look must not end all looking: the node
                # would go on serving and never repair anything.
                _LOG.exception(logs.line("tick-failed"))

    def _tick_once(self, now_ms: float) -> None:
        self._ticks += 1
        self._look_for_silence(now_ms)
        self._heartbeat(now_ms)
        if self._ticks % PLAN_EVERY_TICKS == 0:
            self._peer_load = self._peers.in_flight(now_ms)
            self._plan(now_ms)
        if self._ticks % SWEEP_EVERY_TICKS == 0:
            self._server.sweep(now_ms)
            self._questions.sweep(now_ms)
            self.pool.trim()
            self._look_at_settings()
            self._forget(now_ms)
        if self._stopping_ms:
            self._maybe_end(now_ms)

    def _plan(self, now_ms: float) -> None:
        table = self._reader.table
        if table is None or self._stopping_ms:
            return
        ours = self._peers.planned_data_centres(self._settings.data_centres,
                                                now_ms)
        if not ours:
            return
        in_flight = {
            key: load.requests + load.patient
            for key, load in self._peer_load.items()
        }
        for key, relays in self._relays.items():
            in_flight[key] = in_flight.get(key, 0) + len(relays)
        in_lead = not (self._requests_seen or self._peers.any_requests_seen())
        self._keeper.plan(table.configuration, ours,
                          len(self._settings.data_centres), in_lead, in_flight,
                          now_ms)

    def _on_opened(self, key: model.GroupKey, name: str, head: str) -> None:
        self._opened[key] = (clock.now_ms(), name, head)
        self._heartbeat(clock.now_ms(), at_once=True)

    def _forget(self, now_ms: float) -> None:
        for key, (at_ms, _) in list(self._alarms.items()):
            if now_ms - at_ms > 10 * NEWS_MS:
                del self._alarms[key]
        for key, (at_ms, _, _) in list(self._opened.items()):
            if now_ms - at_ms > 10 * NEWS_MS:
                del self._opened[key]
        for key, at_ms in list(self._probed_ms.items()):
            if now_ms - at_ms > 10 * NEWS_MS:
                del self._probed_ms[key]
        for runner, at_ms in list(self._runner_faults_ms.items()):
            if now_ms - at_ms > 10 * NEWS_MS:
                del self._runner_faults_ms[runner]

    def _on_table(self, table: routetable.RouteTable) -> None:
        self._server.limits = table.configuration.limits

    # The node's own life.

    def _ready(self) -> bool:
        return (self._reader.table is not None and not self._stopping_ms and
                self.view.list_as_of_ms > 0 and self.keys_may_be_trusted())

    def _on_question(self, request: callers.CallerRequest,
                     reply: callers.Reply) -> None:
        status, body = self._tell(request.target)
        reply.whole(status, [("Content-Type", "text/plain")], body)

    def _tell(self, target: str) -> tuple[int, bytes]:
        if target == words.READY_PATH:
            if self._ready():
                return 200, b"ready\n"
            return 503, b"not ready\n"
        if target == "/metrics":
            return 200, self.metrics.render().encode()
        return 404, b"no such page\n"

    def _on_stop(self, why: str) -> None:
        if self._stopping_ms:
            return
        self._stopping_ms = clock.now_ms()
        self._server.stop()
        _LOG.info(logs.line("stopping", why=why, busy=self._server.busy))
        self._heartbeat(self._stopping_ms, at_once=True)

    def _maybe_end(self, now_ms: float) -> None:
        since_ms = now_ms - self._stopping_ms
        grace_ms = self._settings.bounds.grace_s * 1000 - GRACE_MARGIN_MS
        if since_ms > grace_ms or (since_ms > LEAVE_ROTATION_MS and
                                   not self._server.busy):
            self._server.close()
            self._server.close_idle()
            self._done.set()

    def _look_at_settings(self) -> None:
        if _stamp(self._path) != self._settings_stamp:
            self._reload("the file changed")

    def _reload(self, why: str) -> None:
        self._settings_stamp = _stamp(self._path)
        try:
            changed = entrysettings.load(self._path)
        except exceptions.SettingsError as error:
            _LOG.error(logs.line("reload-refused", why=why, reason=str(error)))
            return
        self._settings = changed
        self._freshness.revoke_ms = changed.bounds.revoke_ms
        self._budgets.clear()
        for seed in changed.seeds:
            host, _ = entrysettings.address(seed)
            self._peers.learn((host, changed.peer_port))
        _LOG.info(logs.line("reload", why=why))


class _Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams over."""

    def __init__(self, take: Any) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data, addr)

    def error_received(self, exc: Exception) -> None:
        # A peer without a process: its silence says the same.
        del exc


def _stamp(path: pathlib.Path) -> tuple[int, int]:
    try:
        found = path.stat()
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)
