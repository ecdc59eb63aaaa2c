"""Groups that fall silent: noticed, asked, told to other nodes."""

import asyncio
from collections.abc import Callable
import dataclasses

import logbook

from cardamommill import logs, metrics
from cardamommill.gateway import (
    availablegroups,
    clock,
    dispatcher,
    fleetview,
    groupcontroller,
    model,
    peermessage,
)

# Own questions to the members of one group after alarms.
PROBE_AGAIN_MS = 400.0
# News that others need is told for this long, since datagrams get lost.
ANNOUNCE_MS = 700.0
# Nothing that is this old is of any use here.
FORGET_MS = 10 * ANNOUNCE_MS
# Runners of a data centre that is heard again are asked, but not twice for the
# return of two nodes.
BACK_ASK_MS = 250.0
# Of the members that did not answer so many are told: enough for whoever plans
# to ask, while the datagram holds the alarms of a whole domain.
MAX_TOLD_SILENT = 2
# Two groups of a data centre that are found down within this may have one
# cause.
TOGETHER_MS = 500.0

_LOG = logbook.Logger("alarms")


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    """What is told of a group, since when, and who of it did not answer."""

    at_ms: float
    confirmed: bool
    silent: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Down:
    """A group that was found down, when, and its fabric domains."""

    at_ms: float
    key: model.GroupKey
    domains: frozenset[str]


def _domains(members: list[fleetview.RunnerRecord]) -> frozenset[str]:
    return frozenset(each.status.domain for each in members)


class Alarms:
    """Looks into silent groups and moves requests away from dead ones."""

    def __init__(self, view: fleetview.FleetView,
                 requests: dispatcher.Dispatcher,
                 group_controller: groupcontroller.GroupController,
                 figures: metrics.Metrics, confirmed_ms: float,
                 plans_for: Callable[[model.GroupKey],
                                     bool], spread: Callable[[], None],
                 spawn: groupcontroller.Spawn) -> None:
        """Makes it.

        Args:
            view: What is believed of runners.
            requests: This node's requests.
            group_controller: Probes runners.
            figures: Counts alarms.
            confirmed_ms: How long an alarm is heeded that found a member dead.
            plans_for: Whether this node plans for a group.
            spread: Tells other nodes at once.
            spawn: Runs something beside all else.
        """
        self._view = view
        self._requests = requests
        self._group_controller = group_controller
        self._metrics = figures
        self._confirmed_ms = confirmed_ms
        self._plans_for = plans_for
        self._spread = spread
        self._spawn = spawn
        self._alarms: dict[model.GroupKey, _Told] = {}
        self._probed_ms: dict[model.GroupKey, float] = {}
        self._asked_again_ms: dict[str, float] = {}
        # When a peer told that it asks the members of a group.
        self._asked_by_peer_ms: dict[model.GroupKey, float] = {}
        # The last group of each data centre that was found down.
        self._place_down: dict[str, _Down] = {}

    def updates_for_peers(self, now_ms: float) -> tuple[peermessage.Alarm, ...]:
        """Returns what other nodes should hear."""
        return tuple(
            peermessage.Alarm(key, now_ms -
                              told.at_ms, told.confirmed, told.silent)
            for key, told in self._alarms.items()
            if now_ms - told.at_ms < ANNOUNCE_MS)

    def drop_expired(self, now_ms: float) -> None:
        """Forgets old alarms."""
        clock.drop_expired(self._alarms, lambda told: told.at_ms, FORGET_MS,
                           now_ms)
        clock.drop_expired(self._probed_ms, float, FORGET_MS, now_ms)
        clock.drop_expired(self._asked_by_peer_ms, float, FORGET_MS, now_ms)
        clock.drop_expired(self._asked_again_ms, float, FORGET_MS, now_ms)

    def check_groups(self, now_ms: float) -> None:
        """Finds groups that have newly fallen silent, or stand still."""
        for key in self._requests.silence.silent(now_ms):
            self._suspect(key, now_ms)
        for key in self._requests.silence.stalled(now_ms):
            self._give_up(key,
                          "group stands still",
                          now_ms + availablegroups.STALLED_AVOID_MS,
                          is_dead=False)

    def probe_down_runners(self, now_ms: float, data_centre: str = "") -> None:
        """Asks runners that did not answer and that the list still names.

        A dead one has left the list by then. Believed down until a planner of
        this node's asked, groups of a data centre that was cut off once got no
        request of the others' nodes again.

        Args:
            now_ms: The time.
            data_centre: One that is heard again; its runners are asked at once.
        """
        for known in list(self._view.known.values()):
            if not known.down_ms or not known.listed:
                continue
            is_back = known.runner.data_centre == data_centre
            after_ms = BACK_ASK_MS if is_back else self._confirmed_ms / 2
            runner = known.runner.id
            asked_ms = max(known.unanswered_ms,
                           self._asked_again_ms.get(runner, float("-inf")))
            if now_ms - asked_ms < after_ms:
                continue
            self._asked_again_ms[runner] = now_ms
            self._spawn(self._ask(runner))

    async def _ask(self, runner: str) -> None:
        await self._group_controller.probe(runner, "did not answer")

    def _suspect(self, key: model.GroupKey, now_ms: float) -> None:
        """Asks the members of a silent group, and sends it nothing meanwhile.

        Its requests stay. After a restart of all nodes, with the prompts of
        all callers being read at once, nearly every group was silent for some
        node; its requests left, were read again elsewhere, and the next groups
        fell silent, until hardly any answer came in time.
        """
        _LOG.warning(
            logs.line("group-silent",
                      group=key,
                      requests=len(self._requests.relays_at(key)),
                      list_age_ms=int(now_ms - self._view.list_as_of_ms)))
        self._metrics.count("groups_silent_total")
        self._requests.available_groups.avoid(
            key, now_ms + availablegroups.SUSPECT_AVOID_MS)
        # Whoever found it first asks and tells all: of seventy nodes that
        # noticed one death each asked its members and told the others.
        asked_ms = self._asked_by_peer_ms.get(key, float("-inf"))
        if now_ms - asked_ms < availablegroups.SUSPECT_AVOID_MS:
            return
        self._alarms[key] = _Told(now_ms, False)
        self.probe(key, "silent")
        self._spread()

    def _give_up(self,
                 key: model.GroupKey,
                 reason: str,
                 until_ms: float,
                 is_dead: bool = True) -> None:
        _LOG.warning(
            logs.line("group-given-up",
                      group=key,
                      requests=len(self._requests.relays_at(key)),
                      reason=reason))
        self._requests.available_groups.avoid(key, until_ms)
        self._leave(key, reason, is_dead)

    def _leave(self, key: model.GroupKey, reason: str, is_dead: bool) -> None:
        for one in self._requests.relays_at(key):
            one.divert(reason, is_dead)

    def probe(self,
              key: model.GroupKey,
              reason: str,
              told: tuple[str, ...] = ()) -> None:
        """Asks members of a group, unless it was done just now.

        Args:
            key: The group.
            reason: Why, for the log.
            told: Those that a peer found silent: they alone are asked. Empty
                for all members.
        """
        now_ms = clock.now_ms()
        if now_ms - self._probed_ms.get(key, float("-inf")) < PROBE_AGAIN_MS:
            return
        self._probed_ms[key] = now_ms
        members = self._view.members(key)
        chosen = [each for each in members if each.runner.id in told]
        self._spawn(self._probe_members(key, chosen or members, reason))

    def refused(self, key: model.GroupKey, reason: str) -> None:
        """Looks into a group that refused a request, if this node plans for it.

        Mostly it is full. Asked by each of 80 nodes, the sixteen members of
        each group of a busy hour got 11,000 questions in a minute.
        """
        if self._plans_for(key):
            self.probe(key, reason)

    async def _probe_members(self, key: model.GroupKey,
                             members: list[fleetview.RunnerRecord],
                             reason: str) -> None:
        was_up = {each.runner.id for each in members if not each.down_ms}
        answers = await asyncio.gather(
            *(self._group_controller.probe(each.runner.id, reason)
              for each in members))
        now_ms = clock.now_ms()
        if all(answers):
            self._alarms.pop(key, None)
            self._requests.available_groups.stop_avoiding(key)
            return
        silent = {
            each.runner.id
            for each, answered in zip(members, answers, strict=True)
            if not answered
        }
        if not silent & was_up:
            # Nothing new: told and looked into again for each such answer, two
            # dead groups had all nodes ask and tell without an end.
            self._leave(key, "member does not answer", is_dead=True)
            return
        self._alarms[key] = _Told(now_ms, True,
                                  tuple(sorted(silent))[:MAX_TOLD_SILENT])
        self._give_up(key, "member does not answer",
                      now_ms + self._confirmed_ms)
        self._spread()
        self._look_around(key, members, now_ms)

    def _look_around(self, key: model.GroupKey,
                     members: list[fleetview.RunnerRecord],
                     now_ms: float) -> None:
        """Asks the groups that may be down for the same cause as two others.

        A data centre that is cut off has all its groups down at once; requests
        went from each to the next until their time was over. Two groups that
        share a fabric domain tell only of that: with each domain that fell
        dark, all runners of its data centre were asked.
        """
        domains = _domains(members)
        for place in {each.runner.data_centre for each in members}:
            last = self._place_down.get(place)
            self._place_down[place] = _Down(now_ms, key, domains)
            if (last is None or last.key == key or
                    now_ms - last.at_ms > TOGETHER_MS):
                continue
            shared = domains & last.domains
            for each in self._view.open_groups_in(place):
                if shared and not shared & _domains(self._view.members(each)):
                    continue
                if not self._requests.silence.moves(each, now_ms):
                    where = "domain" if shared else place
                    self.probe(each, f"{where} may be cut off")

    def receive(self,
                alarm: peermessage.Alarm,
                peer: str,
                now_ms: float,
                is_remote: bool = False) -> bool:
        """Takes the alarm of another node; True where it is heeded as news.

        Args:
            alarm: What it told.
            peer: Its name.
            now_ms: The time.
            is_remote: Whether it stands in another data centre: only a few
                nodes here hear it, and these pass it on.
        """
        since_ms = now_ms - alarm.age_ms
        is_news = (self._hear_confirmed(alarm, peer, since_ms, now_ms)
                   if alarm.confirmed else self._hear_question(alarm, since_ms))
        if is_news and is_remote:
            self._alarms[alarm.key] = _Told(since_ms, alarm.confirmed,
                                            alarm.silent)
        return is_news

    def _hear_question(self, alarm: peermessage.Alarm, since_ms: float) -> bool:
        before_ms = self._asked_by_peer_ms.get(alarm.key, float("-inf"))
        self._asked_by_peer_ms[alarm.key] = since_ms
        return since_ms - before_ms > availablegroups.SUSPECT_AVOID_MS

    def _hear_confirmed(self, alarm: peermessage.Alarm, peer: str,
                        since_ms: float, now_ms: float) -> bool:
        if self._requests.silence.moves(alarm.key, now_ms):
            # The peer may be cut off itself.
            return False
        until_ms = since_ms + self._confirmed_ms
        if self._requests.available_groups.is_avoided(alarm.key,
                                                      until_ms - TOGETHER_MS):
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
