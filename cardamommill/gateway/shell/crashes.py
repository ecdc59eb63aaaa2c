"""Keeps requests that crash runners from further runners, with all nodes."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator
import dataclasses
from typing import Any, TypeVar
import zlib

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import clock
from cardamommill.gateway.fleet import fleetview, isolation
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.requests import (
    attemptresult,
    crashcauses,
    quarantine,
    requestdigest,
)
from cardamommill.gateway.shell import attempts, relay, targets

# Names of the sections of datagrams.
CRASHES_SECTION = "crashes"
QUARANTINE_SECTION = "quarantine"
# A request is not accused of a crash that comes this long after its first
# event.
BEGINNING_MS = 300.0
# A broken attempt is evidence of a crash if its runner is found down within
# this time.
CONFIRMATION_MS = 1500.0
# How long a crash that a node noticed while it may have been cut off waits for
# the list to drop the runner, or for a peer that noticed it too.
DOUBT_MS = 10_000.0
CONNECT_TIMEOUT_MS = 300.0
# How long a request that was in a crash before waits for what other nodes know
# of the next one.
EVIDENCE_MS = 100.0
# A decision waits until no evidence has come for SETTLE_MS, MAX_SETTLE_MS at
# most: other nodes may have seen the request that is to blame.
SETTLE_MS = 200.0
MAX_SETTLE_MS = 600.0
# How long a crash is repeated in messages to peers, since datagrams get lost.
ANNOUNCE_MS = 1000.0
# How much a datagram tells; the rest comes in the next ones.
MAX_TOLD_CRASHES = 2
MAX_TOLD_ACCUSED = 6
MAX_TOLD_DECISIONS = 6
MAX_PENDING = 64

_Told = TypeVar("_Told")

_LOG = logbook.Logger("crashes")


@dataclasses.dataclass(slots=True)
class _Broken:
    """Attempts that broke at a runner which may have crashed.

    Attributes:
        known: The runner.
        at_ms: When the first of them broke.
        digests: Identify the requests that had just begun there.
        has_refused: Whether the runner refuses connections.
        is_doubtful: Whether this node may have been cut off.
    """

    known: fleetview.RunnerRecord
    at_ms: float
    digests: set[int]
    has_refused: bool = False
    is_doubtful: bool = False

    @property
    def is_crash(self) -> bool:
        """Whether the runner has ended, as far as this node can reach it."""
        return (self.has_refused or bool(self.known.down_ms) or
                self.known.has_ended)

    @property
    def has_vanished(self) -> bool:
        """Whether the runner has ended, whatever this node can reach."""
        return self.known.has_ended or not (self.known.listed or
                                            self.known.is_leaving)


@dataclasses.dataclass(slots=True)
class _Announcement:
    """A crash to tell peers of, and how often it was told."""

    since_ms: float
    times: int = 0


class Crashes:
    """Finds out which requests crash runners, and refuses them."""

    def __init__(self, node_isolation: isolation.Isolation,
                 node_metrics: metrics.Metrics,
                 spawn: Callable[[Coroutine[Any, Any, None]], None]) -> None:
        """Initialises the instance without crashes.

        The owner sets `on_news`.

        Args:
            node_isolation: Whether this node may itself be cut off.
            node_metrics: Receives the metrics.
            spawn: Runs a coroutine in the background until the node stops.
        """
        self._isolation = node_isolation
        self._metrics = node_metrics
        self._spawn = spawn
        self._causes = crashcauses.CrashCauses()
        self.quarantine = quarantine.Quarantine()
        # When an attempt brought its first event, by request and target.
        self._first_event_ms: dict[tuple[relay.Relay, str], float] = {}
        self._broken: dict[str, _Broken] = {}
        # The runners whose crash this node itself noticed.
        self._crashed: dict[int, fleetview.RunnerRecord] = {}
        self._announced: dict[int, _Announcement] = {}
        # Times of the first and the last evidence that no decision considers.
        self._first_change_ms = self._last_change_ms = 0.0
        self._told_decisions = 0
        # How many decisions were put into force, by this node or a peer.
        self.decision_count = 0
        # Called when peers should be told at once.
        self.on_news: Callable[[], None] = _ignore

    # Requests.

    def quarantine_left_ms(self, one: relay.Relay) -> float:
        """Returns for how long a request is still refused; 0 if it is not."""
        if not len(self.quarantine):
            return 0.0
        return self.quarantine.left_ms(one.digest, clock.now_ms())

    def is_suspect(self, one: relay.Relay) -> bool:
        """Whether this node should not send a request to another runner."""
        return one.digest in self._causes.blamed()

    def repeat_delay_ms(self, one: relay.Relay) -> float:
        """Returns how long a request whose attempt broke waits for evidence."""
        return EVIDENCE_MS if self._causes.is_accused(one.digest) else 0.0

    def first_event(self, one: relay.Relay, target: targets.Target,
                    now_ms: float) -> None:
        """Records the first event of an attempt."""
        self._first_event_ms[one, target.name] = now_ms

    def attempt_ended(self, one: relay.Relay, target: targets.Target,
                      outcome: attempts.Outcome, now_ms: float) -> None:
        """Records the end of an attempt."""
        first_event_ms = self._first_event_ms.pop((one, target.name), now_ms)
        if outcome.result in attemptresult.SUCCEEDED:
            self._record_whole_run(one, now_ms)
        elif (outcome.result is attemptresult.Result.BROKEN and
              now_ms - first_event_ms < BEGINNING_MS):
            self._record_broken(one, target, now_ms)

    def _record_whole_run(self, one: relay.Relay, now_ms: float) -> None:
        should_tell = self._causes.ran_whole(one.digest, now_ms)
        if should_tell or self.quarantine.left_ms(one.digest, now_ms):
            self._decide(
                quarantine.Decision(one.digest, now_ms, is_cleared=True),
                "it ran whole", now_ms)

    def _record_broken(self, one: relay.Relay, target: targets.Target,
                       now_ms: float) -> None:
        runner = target.known.runner.id
        broken = self._broken.get(runner)
        if broken is None:
            if len(self._broken) >= MAX_PENDING:
                del self._broken[next(iter(self._broken))]
            broken = _Broken(target.known, now_ms, set())
            self._broken[runner] = broken
            if target.key is None:
                # No member of a group, so nothing else finds out.
                self._spawn(self._connect(broken))
        broken.digests.add(one.digest)

    async def _connect(self, broken: _Broken) -> None:
        """Finds out whether a runner still takes connections."""
        runner = broken.known.runner
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await asyncio.wait_for(
                loop.create_connection(asyncio.Protocol, runner.host,
                                       runner.port), CONNECT_TIMEOUT_MS / 1000)
        except ConnectionRefusedError:
            broken.has_refused = True
        except (OSError, TimeoutError):
            # Not reachable from here, which says nothing of its process.
            return
        else:
            transport.close()

    # Decisions.

    def check(self, now_ms: float) -> None:
        """Confirms crashes and decides about requests; called each tick."""
        for runner, broken in list(self._broken.items()):
            is_overdue = now_ms - broken.at_ms > (DOUBT_MS if broken.is_doubtful
                                                  else CONFIRMATION_MS)
            if self._isolation.is_in_question and not is_overdue:
                # To a node whose link was cut, all runners seem to have ended.
                continue
            if self._is_confirmed(runner, broken, now_ms):
                del self._broken[runner]
                self._confirm(runner, broken, now_ms)
            elif is_overdue:
                del self._broken[runner]
        if not self._first_change_ms or (
                now_ms - self._last_change_ms < SETTLE_MS and
                now_ms - self._first_change_ms < MAX_SETTLE_MS):
            return
        self._first_change_ms = 0.0
        for digest, blame in self._causes.blamed().items():
            if (blame.crashes >= crashcauses.QUARANTINE_CRASHES and
                    now_ms - blame.newest_ms < quarantine.QUARANTINE_MS):
                self._decide(quarantine.Decision(digest, now_ms),
                             f"crashed {blame.crashes} runners", now_ms)

    def _is_confirmed(self, runner: str, broken: _Broken,
                      now_ms: float) -> bool:
        if self._causes.crash(_short_id(runner)) is not None:
            # A peer noticed it, or this node by other attempts.
            return True
        if broken.is_doubtful or not broken.is_crash:
            return broken.is_doubtful and broken.has_vanished
        if self._isolation.is_suspected(now_ms):
            # All runners of a small service may have crashed at once.
            broken.is_doubtful = True
            _LOG.info(
                logs.line("crash-in-doubt",
                          runner=runner,
                          requests=",".join(
                              map(requestdigest.text, broken.digests))))
        return not broken.is_doubtful

    def _confirm(self, runner: str, broken: _Broken, now_ms: float) -> None:
        accused = self._causes.accused(broken.digests)
        short_id = _short_id(runner)
        if not self._causes.record(short_id, accused, broken.at_ms):
            return
        self._metrics.count("runner_crashes_total")
        _LOG.warning(
            logs.line("runner-crashed",
                      runner=runner,
                      crash=short_id,
                      age_ms=int(now_ms - broken.at_ms),
                      requests=",".join(map(requestdigest.text, accused))))
        self._record_change(now_ms)
        self._crashed[short_id] = broken.known
        self._announced[short_id] = _Announcement(now_ms)
        self.on_news()

    def _record_change(self, now_ms: float) -> None:
        self._first_change_ms = self._first_change_ms or now_ms
        self._last_change_ms = now_ms

    def _decide(self, decision: quarantine.Decision, reason: str,
                now_ms: float) -> None:
        if self._apply(decision, reason, now_ms):
            self.on_news()

    def _apply(self, decision: quarantine.Decision, reason: str,
               now_ms: float) -> bool:
        """Puts a decision into force; returns whether it is new."""
        if not self.quarantine.receive(decision, now_ms):
            return False
        self.decision_count += 1
        if decision.is_cleared:
            self._causes.clear(decision.digest, decision.at_ms)
        event = ("request-cleared"
                 if decision.is_cleared else "request-quarantined")
        self._metrics.count(event.replace("-", "s_") + "_total")
        _LOG.warning(
            logs.line(event,
                      digest=requestdigest.text(decision.digest),
                      reason=reason,
                      age_ms=int(now_ms - decision.at_ms)))
        return True

    def restore(self, decisions: Iterable[quarantine.Decision],
                now_ms: float) -> None:
        """Puts decisions into force that were made before this node's start."""
        for decision in decisions:
            self._decide(decision, "read from the store", now_ms)

    def drop_expired(self, now_ms: float) -> None:
        """Drops what no longer matters, and crashes that were none."""
        for short_id, known in list(self._crashed.items()):
            crash = self._causes.crash(short_id)
            if crash is None:
                del self._crashed[short_id]
            elif known.recovered_ms > crash.at_ms and not known.has_ended:
                # It was only out of this node's reach.
                self._causes.retract(short_id)
        self._causes.drop_expired(now_ms)
        self.quarantine.drop_expired(now_ms)
        clock.drop_expired(self._announced, lambda told: told.since_ms,
                           ANNOUNCE_MS, now_ms)

    # Messages to and from other nodes.

    def sections(self, now_ms: float) -> dict[str, Any]:
        """Returns the sections of a message, those with any content."""
        found: dict[str, Any] = {}
        decisions = sorted(self.quarantine.decisions(),
                           key=lambda each: -each.at_ms)
        if decisions:
            found[QUARANTINE_SECTION] = [[
                each.digest,
                int(now_ms - each.at_ms), each.is_cleared
            ] for each in self._next_decisions(decisions)]
        crashes = self._crashes_to_tell(now_ms)
        if crashes:
            found[CRASHES_SECTION] = crashes
        return found

    def _next_decisions(
            self,
            decisions: list[quarantine.Decision]) -> list[quarantine.Decision]:
        """Returns the newest decision and, in turn, some of the others."""
        newest, others = decisions[0], decisions[1:]
        first = self._told_decisions
        self._told_decisions += MAX_TOLD_DECISIONS - 1
        return [newest] + _in_turn(others, first, MAX_TOLD_DECISIONS - 1)

    def _crashes_to_tell(self, now_ms: float) -> list[list[Any]]:
        due = sorted(((told.times, told.since_ms, runner, told)
                      for runner, told in self._announced.items()
                      if now_ms - told.since_ms < ANNOUNCE_MS),
                     key=lambda each: each[:3])
        found = []
        for times, _, runner, told in due[:MAX_TOLD_CRASHES]:
            crash = self._causes.crash(runner)
            if crash is None:
                continue
            told.times += 1
            found.append([
                runner,
                int(now_ms - crash.at_ms),
                _in_turn(sorted(crash.accused), times * MAX_TOLD_ACCUSED,
                         MAX_TOLD_ACCUSED)
            ])
        return found

    def receive(self, message: peermessage.PeerMessage, is_remote: bool,
                now_ms: float) -> bool:
        """Processes what a peer tells of crashes and decisions.

        Args:
            message: The peer's message.
            is_remote: Whether the peer is in a remote data centre; if so, its
                crashes are told to the other nodes of this one.
            now_ms: The time.

        Returns:
            Whether any of it was new.
        """
        is_any_new = False
        for runner, age_ms, accused in _decode_crashes(
                message.sections.get(CRASHES_SECTION)):
            if not self._causes.record(runner, accused, now_ms - age_ms):
                continue
            is_any_new = True
            self._record_change(now_ms)
            if is_remote:
                self._announced.setdefault(runner, _Announcement(now_ms))
        for decision in _decode_decisions(
                message.sections.get(QUARANTINE_SECTION), now_ms):
            is_any_new |= self._apply(decision, f"told by {message.node}",
                                      now_ms)
        return is_any_new


def _ignore() -> None:
    pass


def _short_id(runner: str) -> int:
    return zlib.crc32(runner.encode())


def _in_turn(found: list[_Told], first: int, count: int) -> list[_Told]:
    """Returns some of a list, from a position that may be past its end."""
    if len(found) <= count:
        return found
    return [found[(first + offset) % len(found)] for offset in range(count)]


def _decode_crashes(section: Any) -> Iterator[tuple[int, int, list[int]]]:
    """Yields runner, age in ms and accused requests, without malformed ones."""
    for each in section if isinstance(section, list) else ():
        match each:
            case [int(runner), int(age_ms), list(accused)] if age_ms >= 0:
                yield runner, age_ms, [
                    digest for digest in accused if isinstance(digest, int)
                ]


def _decode_decisions(section: Any,
                      now_ms: float) -> Iterator[quarantine.Decision]:
    """Yields the decisions of a section, without malformed ones."""
    for each in section if isinstance(section, list) else ():
        match each:
            case [int(digest), int(age_ms), bool(is_cleared)] if age_ms >= 0:
                yield quarantine.Decision(digest, now_ms - age_ms, is_cleared)
