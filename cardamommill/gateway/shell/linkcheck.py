"""Finds out whether this node's link or unreachable runners have failed."""

import asyncio
from collections.abc import Callable, Collection, Iterable
import random

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import clock
from cardamommill.gateway.fleet import fleetview, isolation
from cardamommill.gateway.shell import groupcontroller

# How many runners are tried. Any of them may have failed by itself.
TRIED_RUNNERS = 3
CONNECT_TIMEOUT_MS = 200.0
# How often a node that is cut off tries some runners.
RETURN_CHECK_INTERVAL_MS = 250.0
# Minimum time between checks for plain runners that can't be reached.
MIN_INTERVAL_MS = 400.0

_LOG = logbook.Logger("alarms")


class LinkCheck:
    """Connects to runners elsewhere if none of some runners answers.

    Only new connections count: open ones may live on while runners refuse all
    others.
    """

    def __init__(self, data_centre: str, view: fleetview.FleetView,
                 node_isolation: isolation.Isolation,
                 node_metrics: metrics.Metrics, chance: random.Random,
                 spawn: groupcontroller.Spawn) -> None:
        """Initialises the instance; the owner sets `on_cut` and `on_return`.

        Args:
            data_centre: The node's data centre.
            view: The runners that may be tried.
            node_isolation: Updated with the results.
            node_metrics: Counts the cuts.
            chance: Draws the runners that are tried.
            spawn: Runs a coroutine in the background until the node stops.
        """
        self._data_centre = data_centre
        self._view = view
        self._isolation = node_isolation
        self._metrics = node_metrics
        self._chance = chance
        self._spawn = spawn
        self._cut_ms = 0.0
        self._checked_ms = float("-inf")
        # Called when this node finds that it is cut off, and that it no longer
        # is.
        self.on_cut: Callable[[], None] = _ignore
        self.on_return: Callable[[], None] = _ignore

    async def is_sound(self,
                       unreachable: Collection[fleetview.RunnerRecord]) -> bool:
        """Whether most of some runners of other places take a connection.

        Args:
            unreachable: Runners that do not answer.
        """
        domains = {(each.runner.data_centre, each.status.domain)
                   for each in unreachable}
        others = [
            each for each in self._view.known.values()
            if each.is_usable and each not in unreachable and
            (not each.status.domain or
             (each.runner.data_centre, each.status.domain) not in domains)
        ]
        if not others:
            return True
        with self._isolation.in_question():
            is_sound = await self._most_connect(self._draw(others))
            if not is_sound:
                self._isolation.record_no_connection(clock.now_ms())
                self.update(clock.now_ms())
        return is_sound

    def check_plain(self, runner: fleetview.RunnerRecord,
                    now_ms: float) -> None:
        """Checks the link since a runner without a group can't be reached."""
        if now_ms - self._checked_ms >= MIN_INTERVAL_MS:
            self._checked_ms = now_ms
            self._spawn(self._check_plain(runner))

    async def _check_plain(self, runner: fleetview.RunnerRecord) -> None:
        await self.is_sound([runner])

    def update(self, now_ms: float) -> None:
        """Reports a cut or its end; called each tick."""
        is_cut = self._isolation.is_cut_off(now_ms)
        if is_cut and not self._cut_ms:
            self._cut_ms = now_ms
            self._metrics.count("cuts_total")
            _LOG.warning(logs.line("link-cut"))
            self.on_cut()
        elif self._cut_ms and not is_cut:
            took_ms, self._cut_ms = now_ms - self._cut_ms, 0.0
            _LOG.warning(logs.line("link-restored", took_ms=int(took_ms)))
            self.on_return()
        if is_cut and now_ms - self._checked_ms >= RETURN_CHECK_INTERVAL_MS:
            self._checked_ms = now_ms
            self._spawn(self._check_return())

    async def _check_return(self) -> None:
        listed = [
            each for each in self._view.known.values()
            if each.listed and not each.has_ended
        ]
        if not listed or await self._most_connect(self._draw(listed)):
            self._isolation.record_answer()
        else:
            self._isolation.record_no_connection(clock.now_ms())
        self.update(clock.now_ms())

    def _draw(
        self, runners: Iterable[fleetview.RunnerRecord]
    ) -> list[fleetview.RunnerRecord]:
        """Draws one runner of this data centre, and one each of other places.

        If this data centre is cut off from the others, its own runners can
        still be reached.
        """
        drawn = list(runners)
        self._chance.shuffle(drawn)
        drawn.sort(
            key=lambda each: each.runner.data_centre != self._data_centre)
        by_place: dict[tuple[str, str], list[fleetview.RunnerRecord]] = {}
        for each in drawn:
            place = each.runner.data_centre, each.status.domain
            by_place.setdefault(place, []).append(each)
        if len(by_place) == 1:
            return drawn[:TRIED_RUNNERS]
        first, *others = (found[0] for found in by_place.values())
        self._chance.shuffle(others)
        return [first, *others][:TRIED_RUNNERS]

    async def _most_connect(self,
                            runners: list[fleetview.RunnerRecord]) -> bool:
        """Whether at least half of some runners take a connection.

        A node that still reaches a few runners can't serve its callers by them.
        """
        connected = await asyncio.gather(*map(self._connects, runners))
        return 2 * sum(connected) >= len(runners)

    async def _connects(self, known: fleetview.RunnerRecord) -> bool:
        runner = known.runner
        try:
            transport, _ = await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(
                    asyncio.Protocol, runner.host, runner.port),
                CONNECT_TIMEOUT_MS / 1000)
        except (OSError, TimeoutError) as error:
            _LOG.info(
                logs.line("link-tried",
                          runner=runner.id,
                          reason=str(error) or "timed out"))
            return False
        transport.close()
        return True


def _ignore() -> None:
    pass
