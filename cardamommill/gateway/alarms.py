"""Groups that fall silent: noticed, asked, told to other nodes."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import logbook

from cardamommill import logs, metrics
from cardamommill.gateway import (
    clock,
    dispatcher,
    fleetview,
    groupkeeper,
    model,
    peermessage,
    standing,
)

# Own questions to the members of one group after alarms.
PROBE_AGAIN_MS = 400.0
# News that others need is told for this long, since datagrams get lost.
NEWS_MS = 700.0

_LOG = logbook.Logger("alarms")


class Alarms:
    """Looks into silent groups and moves requests away from dead ones."""

    def __init__(self, view: fleetview.FleetView,
                 requests: dispatcher.Dispatcher,
                 keeper: groupkeeper.GroupKeeper, figures: metrics.Metrics,
                 confirmed_ms: float, plans_for: Callable[[model.GroupKey],
                                                          bool],
                 spread: Callable[[], None],
                 spawn: Callable[[Coroutine[Any, Any, None]], None]) -> None:
        """Makes it.

        Args:
            view: What is believed of runners.
            requests: This node's requests.
            keeper: Asks runners.
            figures: Counts alarms.
            confirmed_ms: How long an alarm is heeded that found a member dead.
            plans_for: Whether this node plans for a group.
            spread: Tells other nodes at once.
            spawn: Runs something beside all else.
        """
        self._view = view
        self._requests = requests
        self._keeper = keeper
        self._metrics = figures
        self._confirmed_ms = confirmed_ms
        self._plans_for = plans_for
        self._spread = spread
        self._spawn = spawn
        self._alarms: dict[model.GroupKey, tuple[float, bool]] = {}
        self._probed_ms: dict[model.GroupKey, float] = {}

    def news(self, now_ms: float) -> tuple[peermessage.Alarm, ...]:
        """Returns what other nodes should hear."""
        return tuple(
            peermessage.Alarm(key, now_ms - at_ms, confirmed)
            for key, (at_ms, confirmed) in self._alarms.items()
            if now_ms - at_ms < NEWS_MS)

    def forget(self, now_ms: float) -> None:
        """Forgets old alarms."""
        for key, (at_ms, _) in list(self._alarms.items()):
            if now_ms - at_ms > 10 * NEWS_MS:
                del self._alarms[key]
        for key, at_ms in list(self._probed_ms.items()):
            if now_ms - at_ms > 10 * NEWS_MS:
                del self._probed_ms[key]

    def look(self, now_ms: float) -> None:
        """Finds groups that have newly fallen silent."""
        for key in self._requests.silence.silent(now_ms):
            self._alarm(key, now_ms)

    def _alarm(self, key: model.GroupKey, now_ms: float) -> None:
        relays = self._requests.relays_at(key)
        _LOG.warning(
            logs.line("group-silent",
                      group=key,
                      requests=len(relays),
                      list_age_ms=int(now_ms - self._view.list_as_of_ms)))
        self._metrics.count("groups_silent_total")
        # Whoever found it first has asked and told all: of seventy nodes that
        # noticed one death each asked its members and told the others.
        is_known = self._requests.standing.is_avoided(key, now_ms)
        self._requests.standing.avoid(key, now_ms + standing.ALARM_MS)
        for one in relays:
            one.divert("group silent")
        if is_known:
            return
        self._alarms[key] = (now_ms, False)
        self.probe(key, "silent")
        self._spread()

    def probe(self, key: model.GroupKey, reason: str) -> None:
        """Asks all members of a group, unless it was done just now."""
        now_ms = clock.now_ms()
        if now_ms - self._probed_ms.get(key, float("-inf")) < PROBE_AGAIN_MS:
            return
        self._probed_ms[key] = now_ms
        self._spawn(self._probe_members(key, reason))

    def refused(self, key: model.GroupKey, reason: str) -> None:
        """Looks into a group that refused a request, if this node plans for it.

        Mostly it is full. Asked by each of 80 nodes, the sixteen members of
        each group of a busy hour got 11,000 questions in a minute.
        """
        if self._plans_for(key):
            self.probe(key, reason)

    async def _probe_members(self, key: model.GroupKey, reason: str) -> None:
        answers = await asyncio.gather(
            *(self._keeper.ask(each.runner.id, reason)
              for each in self._view.members(key)))
        now_ms = clock.now_ms()
        if not all(answers):
            self._alarms[key] = (now_ms, True)
            self._requests.standing.avoid(key, now_ms + self._confirmed_ms)
            for one in self._requests.relays_at(key):
                one.divert("member does not answer")
            self._spread()
        else:
            self._requests.silence.answered(key, now_ms)
            self._alarms.pop(key, None)
            self._requests.standing.trust(key)

    def hear(self, alarm: peermessage.Alarm, peer: str, now_ms: float) -> None:
        """Takes the alarm of another node."""
        since_ms = now_ms - alarm.age_ms
        if self._requests.silence.heard_since(alarm.key, since_ms):
            return
        heed_ms = (self._confirmed_ms if alarm.confirmed else standing.ALARM_MS)
        if not self._requests.standing.is_avoided(alarm.key, now_ms):
            _LOG.info(
                logs.line("alarm-heard",
                          group=alarm.key,
                          peer=peer,
                          age_ms=int(alarm.age_ms),
                          confirmed=alarm.confirmed))
        self._requests.standing.avoid(alarm.key, since_ms + heed_ms)
        if alarm.confirmed:
            for one in self._requests.relays_at(alarm.key):
                one.divert("a peer found a member down")
        if self._plans_for(alarm.key):
            self.probe(alarm.key, f"alarm of {peer}")
