"""Handles silent and stalled groups, and exchanges alarms about them."""

import asyncio
from collections.abc import Callable
import dataclasses

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import clock, model
from cardamommill.gateway.fleet import availablegroups, fleetview
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.shell import dispatcher, groupcontroller

# Minimum time between probes of one group by this node.
PROBE_INTERVAL_MS = 400.0
# How long an alarm or an opened group is repeated in messages to peers, since
# datagrams get lost.
ANNOUNCE_MS = 700.0
# Entries of this age are no longer of use and are dropped.
EXPIRY_MS = 10 * ANNOUNCE_MS
# Minimum time between probes of a runner when its data centre is reachable
# again, so that the return of two nodes doesn't cause two probes.
RETURN_PROBE_INTERVAL_MS = 250.0
# How many silent members an alarm names: enough for the planner to probe, and
# few enough that a datagram holds the alarms of a whole fabric domain.
MAX_REPORTED_SILENT = 2
# Two groups of a data centre found down within this time may have the same
# cause.
SAME_CAUSE_MS = 500.0

_LOG = logbook.Logger("alarms")


@dataclasses.dataclass(frozen=True, slots=True)
class _RaisedAlarm:
    """An alarm to report; as `peermessage.Alarm`, but with its time."""

    at_ms: float
    confirmed: bool
    silent: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _DownGroup:
    """A group that was found down, with the time and its fabric domains."""

    at_ms: float
    key: model.GroupKey
    domains: frozenset[str]


def _domains(members: list[fleetview.RunnerRecord]) -> frozenset[str]:
    return frozenset(each.status.domain for each in members)


class Alarms:
    """Probes silent groups, and diverts requests from dead ones."""

    def __init__(self, view: fleetview.FleetView,
                 requests: dispatcher.Dispatcher,
                 group_controller: groupcontroller.GroupController,
                 node_metrics: metrics.Metrics, confirmed_alarm_ms: float,
                 plans_for: Callable[[model.GroupKey],
                                     bool], send_updates: Callable[[], None],
                 spawn: groupcontroller.Spawn) -> None:
        """Initialises the alarms of a node.

        Args:
            view: The node's view of runners and groups.
            requests: Dispatches the node's requests to groups.
            group_controller: Probes runners.
            node_metrics: Counts silent groups.
            confirmed_alarm_ms: How long a group with a dead member is avoided.
            plans_for: Returns whether this node plans for a group.
            send_updates: Sends an urgent update to peers.
            spawn: Runs a coroutine as a background task.
        """
        self._view = view
        self._requests = requests
        self._group_controller = group_controller
        self._metrics = node_metrics
        self._confirmed_alarm_ms = confirmed_alarm_ms
        self._plans_for = plans_for
        self._send_updates = send_updates
        self._spawn = spawn
        self._alarms: dict[model.GroupKey, _RaisedAlarm] = {}
        # When this node last probed a group, and a runner marked as down.
        self._probed_ms: dict[model.GroupKey, float] = {}
        self._down_probed_ms: dict[str, float] = {}
        # When a peer last began to probe a group; it sends an unconfirmed alarm
        # then.
        self._probed_by_peer_ms: dict[model.GroupKey, float] = {}
        # The group last found down in each data centre.
        self._last_down_group: dict[str, _DownGroup] = {}
        requests.restarts.on_lost_member = self._handle_lost_member
        group_controller.on_down = self._handle_down_runner

    def updates_for_peers(self, now_ms: float) -> tuple[peermessage.Alarm, ...]:
        """Returns the alarms to report to peers.

        A node that may be cut off reports none: it would have peers give up
        groups that they reach.
        """
        if self._requests.isolation.is_cut_off(now_ms):
            return ()
        return tuple(
            peermessage.Alarm(key, now_ms -
                              told.at_ms, told.confirmed, told.silent)
            for key, told in self._alarms.items()
            if now_ms - told.at_ms < ANNOUNCE_MS)

    def drop_expired(self, now_ms: float) -> None:
        """Drops entries that are too old."""
        clock.drop_expired(self._alarms, lambda told: told.at_ms, EXPIRY_MS,
                           now_ms)
        clock.drop_expired(self._probed_ms, float, EXPIRY_MS, now_ms)
        clock.drop_expired(self._probed_by_peer_ms, float, EXPIRY_MS, now_ms)
        clock.drop_expired(self._down_probed_ms, float, EXPIRY_MS, now_ms)

    def check_groups(self, now_ms: float) -> None:
        """Handles groups that have become silent or stalled."""
        for runner in self._view.still:
            membership = self._view.known[runner].membership
            if membership is not None:
                self._requests.available_groups.avoid(
                    membership.key, now_ms + availablegroups.SUSPECT_AVOID_MS)
        for key in self._requests.silence.silent(now_ms):
            self._handle_silent_group(key, now_ms)
        for key in self._requests.silence.stalled(now_ms):
            self._give_up(key,
                          "group stands still",
                          now_ms + availablegroups.STALLED_AVOID_MS,
                          is_dead=False)

    def probe_down_runners(self, now_ms: float, data_centre: str = "") -> None:
        """Probes runners that are marked as down but are still listed.

        A runner that is really dead leaves the list, so one that is still
        listed may be alive. Without these probes, only a planner's probe would
        clear the mark: after a data centre had been unreachable, its groups got
        no requests from remote nodes any more.

        Args:
            now_ms: The time.
            data_centre: A data centre that is reachable again; its runners are
                probed at once.
        """
        for known in list(self._view.known.values()):
            if not known.down_ms or not known.listed:
                continue
            has_returned = known.runner.data_centre == data_centre
            min_interval_ms = (RETURN_PROBE_INTERVAL_MS if has_returned else
                               self._confirmed_alarm_ms / 2)
            runner = known.runner.id
            probed_ms = max(known.unanswered_ms,
                            self._down_probed_ms.get(runner, float("-inf")))
            if now_ms - probed_ms < min_interval_ms:
                continue
            self._down_probed_ms[runner] = now_ms
            self._spawn(self._probe_runner(runner))

    async def _probe_runner(self, runner: str) -> None:
        await self._group_controller.probe(runner, "marked as down, but listed")

    def _handle_silent_group(self, key: model.GroupKey, now_ms: float) -> None:
        """Probes the members of a silent group, and avoids it meanwhile.

        Its running requests stay. After a restart of all nodes, the prompts of
        all callers are read at once, and nearly every group is silent for some
        node. When requests were diverted then, their prompts were read again in
        other groups, which fell silent in turn, until hardly any answer came in
        time.
        """
        _LOG.warning(
            logs.line("group-silent",
                      group=key,
                      requests=len(self._requests.relays_at(key)),
                      list_age_ms=int(now_ms - self._view.list_as_of_ms)))
        self._metrics.count("groups_silent_total")
        self._requests.available_groups.avoid(
            key, now_ms + availablegroups.SUSPECT_AVOID_MS)
        # Only the first node that finds the group silent probes it and alerts
        # the others; otherwise each of seventy nodes that noticed one failure
        # did both.
        probed_ms = self._probed_by_peer_ms.get(key, float("-inf"))
        if now_ms - probed_ms < availablegroups.SUSPECT_AVOID_MS:
            return
        self._alarms[key] = _RaisedAlarm(now_ms, False)
        self.probe(key, "silent")
        self._send_updates()

    def _handle_lost_member(self, key: model.GroupKey, reason: str) -> None:
        """Gives up a group whose member has certainly ended.

        No member is probed, since all nodes learn of it from the list.
        """
        self._give_up(key, reason, clock.now_ms() + self._confirmed_alarm_ms)

    def _handle_down_runner(self, runner: str) -> None:
        """Gives up the group of a runner that stood still for too long.

        Its planner may have no requests there, and finds out by no other way.
        """
        known = self._view.known.get(runner)
        if known is None or known.membership is None or not known.down_ms:
            return
        self._raise_confirmed(known.membership.key, {runner}, clock.now_ms())

    def _raise_confirmed(self, key: model.GroupKey, silent: set[str],
                         now_ms: float) -> None:
        self._alarms[key] = _RaisedAlarm(
            now_ms, True,
            tuple(sorted(silent))[:MAX_REPORTED_SILENT])
        self._give_up(key, "member does not answer",
                      now_ms + self._confirmed_alarm_ms)
        self._send_updates()

    def _give_up(self,
                 key: model.GroupKey,
                 reason: str,
                 until_ms: float,
                 is_dead: bool = True) -> None:
        """Avoids a group until a time, and diverts its requests."""
        _LOG.warning(
            logs.line("group-given-up",
                      group=key,
                      requests=len(self._requests.relays_at(key)),
                      reason=reason))
        groups = self._requests.available_groups
        (groups.mark_down if is_dead else groups.avoid)(key, until_ms)
        self._divert_requests(key, reason, is_dead)

    def _divert_requests(self, key: model.GroupKey, reason: str,
                         is_dead: bool) -> None:
        for relay in self._requests.relays_at(key):
            relay.divert(reason, is_dead, key)

    def probe(self,
              key: model.GroupKey,
              reason: str,
              told: tuple[str, ...] = ()) -> None:
        """Probes members of a group, unless they were probed recently.

        Args:
            key: The group.
            reason: Why, for the log.
            told: Members that a peer reported as silent; only these are probed.
                If empty, all members are.
        """
        now_ms = clock.now_ms()
        if now_ms - self._probed_ms.get(key, float("-inf")) < PROBE_INTERVAL_MS:
            return
        self._probed_ms[key] = now_ms
        members = self._view.members(key)
        chosen = [each for each in members if each.runner.id in told]
        self._spawn(self._probe_members(key, chosen or members, reason))

    def refused(self, key: model.GroupKey, reason: str) -> None:
        """Probes a group that refused a request, if this node plans for it.

        Usually the group is just full. When each of 80 nodes probed its sixteen
        members, the groups got 11,000 probes per minute in a busy hour.
        """
        if self._plans_for(key):
            self.probe(key, reason)

    async def _probe_members(self, key: model.GroupKey,
                             members: list[fleetview.RunnerRecord],
                             reason: str) -> None:
        was_up = {each.runner.id for each in members if not each.down_ms}
        results = await asyncio.gather(
            *(self._group_controller.probe(each.runner.id, reason)
              for each in members))
        reached = [
            each is not groupcontroller.ProbeResult.UNREACHABLE
            for each in results
        ]
        self._record_reachability(key, members, any(reached), clock.now_ms())
        whole_group = self._view.members(key)
        # A peer has checked its own link before it names members, and the last
        # member of a group may just have crashed.
        is_cut_off = (not any(reached) and
                      1 < len(members) == len(whole_group) and
                      not await self._requests.link.is_sound(whole_group))
        now_ms = clock.now_ms()
        if is_cut_off:
            # Peers may reach the group; this node's requests go to them.
            self._alarms.pop(key, None)
            return
        if all(reached):
            self._alarms.pop(key, None)
            if groupcontroller.ProbeResult.STANDS_STILL in results:
                self._give_up(key,
                              "member stands still",
                              now_ms + availablegroups.STALLED_AVOID_MS,
                              is_dead=False)
            else:
                self._requests.available_groups.stop_avoiding(key)
            return
        silent = {
            each.runner.id
            for each, is_reached in zip(members, reached, strict=True)
            if not is_reached
        }
        if not silent & was_up:
            # These members were already known to be down. When each probe of
            # them led to a new alarm and to probes of related groups, two dead
            # groups kept all nodes probing and reporting without end.
            self._divert_requests(key, "member does not answer", is_dead=True)
            return
        self._raise_confirmed(key, silent, now_ms)
        self._probe_related_groups(key, members, now_ms)

    def _record_reachability(self, key: model.GroupKey,
                             members: list[fleetview.RunnerRecord],
                             has_answered: bool, now_ms: float) -> None:
        isolation = self._requests.isolation
        if has_answered:
            isolation.record_answer()
        elif (len(members) == len(self._view.members(key)) and
              isolation.record_unreachable(members, now_ms)):
            self._metrics.count("isolation_suspected_total")
            _LOG.warning(logs.line("isolation-suspected", group=key))

    def probe_avoided_groups(self) -> None:
        """Probes all groups that are avoided, since they may be reached again.

        The marks of a node that was cut off would outlast the cut by seconds.
        """
        now_ms = clock.now_ms()
        for known in list(self._view.known.values()):
            membership = known.membership
            if membership is None or membership.rank or not known.listed:
                continue
            members = self._view.members(membership.key)
            if (self._requests.available_groups.is_avoided(
                    membership.key, now_ms) or
                    any(each.down_ms for each in members)):
                self._probed_ms.pop(membership.key, None)
                self.probe(membership.key, "this node was cut off")

    def _probe_related_groups(self, key: model.GroupKey,
                              members: list[fleetview.RunnerRecord],
                              now_ms: float) -> None:
        """Probes the groups that may be down for the same cause as two others.

        If a data centre is cut off, all its groups are down at once; without
        these probes, requests were diverted from one to the next until their
        deadline. Two groups that share a fabric domain only cast doubt on that
        domain; otherwise each domain failure had all runners of the data centre
        probed.
        """
        domains = _domains(members)
        for place in {each.runner.data_centre for each in members}:
            last = self._last_down_group.get(place)
            self._last_down_group[place] = _DownGroup(now_ms, key, domains)
            if (last is None or last.key == key or
                    now_ms - last.at_ms > SAME_CAUSE_MS):
                continue
            shared = domains & last.domains
            for each in self._view.open_groups_in(place):
                if shared and not shared & _domains(self._view.members(each)):
                    continue
                if not self._requests.silence.has_recent_event(each, now_ms):
                    where = "domain" if shared else place
                    self.probe(each, f"{where} may be cut off")

    def receive(self,
                alarm: peermessage.Alarm,
                peer: str,
                now_ms: float,
                is_remote: bool = False) -> bool:
        """Processes the alarm of a peer; returns whether it was new.

        Args:
            alarm: The alarm.
            peer: The peer's name.
            now_ms: The time.
            is_remote: Whether the peer is in a remote data centre. Only a few
                nodes here receive its alarms, and these relay them.
        """
        since_ms = now_ms - alarm.age_ms
        is_new = (self._receive_confirmed(alarm, peer, since_ms, now_ms)
                  if alarm.confirmed else self._receive_unconfirmed(
                      alarm, since_ms))
        if is_new and is_remote:
            self._alarms[alarm.key] = _RaisedAlarm(since_ms, alarm.confirmed,
                                                   alarm.silent)
        return is_new

    def _receive_unconfirmed(self, alarm: peermessage.Alarm,
                             since_ms: float) -> bool:
        before_ms = self._probed_by_peer_ms.get(alarm.key, float("-inf"))
        self._probed_by_peer_ms[alarm.key] = since_ms
        return since_ms - before_ms > availablegroups.SUSPECT_AVOID_MS

    def _receive_confirmed(self, alarm: peermessage.Alarm, peer: str,
                           since_ms: float, now_ms: float) -> bool:
        if self._requests.silence.has_recent_event(alarm.key, now_ms):
            # The group sends events to this node, so the peer itself may be cut
            # off.
            return False
        until_ms = since_ms + self._confirmed_alarm_ms
        # Alarms about one failure differ in age. If the group is avoided for
        # almost as long already, this alarm is not new.
        if self._requests.available_groups.is_avoided(alarm.key,
                                                      until_ms - SAME_CAUSE_MS):
            return False
        _LOG.info(
            logs.line("alarm-heard",
                      group=alarm.key,
                      peer=peer,
                      age_ms=int(alarm.age_ms)))
        self._give_up(alarm.key, "a peer found a member down", until_ms)
        if self._plans_for(alarm.key) and not any(
                each.down_ms for each in self._view.members(alarm.key)):
            self.probe(alarm.key, f"alarm of {peer}", alarm.silent)
        return True
