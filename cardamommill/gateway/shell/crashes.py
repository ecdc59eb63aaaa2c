"""Keeps requests that crash runners from further runners, with all nodes.

Requests are known by what all their copies have in common, and by the parts
that their prompts share with others.
"""

import asyncio
import collections
from collections.abc import Callable, Coroutine, Iterable, Mapping
import dataclasses
from typing import Any
import zlib

import logbook
import msgpack

from cardamommill import logs, metrics
from cardamommill.domain import clock
from cardamommill.gateway.fleet import fleetview, isolation
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.requests import (
    attemptresult,
    crashcauses,
    crashparts,
    quarantine,
    requestdigest,
)
from cardamommill.gateway.shell import attempts, crashmessages, relay, targets

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
MAX_PENDING = 64

_LOG = logbook.Logger("crashes")


@dataclasses.dataclass(slots=True)
class _Broken:
    """Attempts that broke at a runner which may have crashed.

    Attributes:
        known: The runner.
        at_ms: When the first of them broke.
        requests: The digests of the requests that had just begun there, with
            the shared parts of their prompts.
        has_refused: Whether the runner refuses connections.
        is_doubtful: Whether this node may have been cut off.
    """

    known: fleetview.RunnerRecord
    at_ms: float
    requests: dict[int, tuple[int, ...]]
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


class _Settling:
    """Waits until evidence that came is no longer followed by more."""

    def __init__(self) -> None:
        # Times of the first and the last evidence that no decision considers.
        self._first_ms = self._last_ms = 0.0

    def record(self, now_ms: float) -> None:
        """Records that evidence came."""
        self._first_ms = self._first_ms or now_ms
        self._last_ms = now_ms

    def has_settled(self, now_ms: float) -> bool:
        """Whether it is time to decide; once for all evidence so far."""
        if not self._first_ms or (now_ms - self._last_ms < SETTLE_MS and
                                  now_ms - self._first_ms < MAX_SETTLE_MS):
            return False
        self._first_ms = 0.0
        return True


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
        self._part_causes = crashparts.PartCauses()
        self.quarantine = quarantine.Quarantine()
        # When an attempt brought its first event, by request and target.
        self._first_event_ms: dict[tuple[relay.Relay, str], float] = {}
        # The same attempts in the order of their first events, until it shows
        # that their requests do not crash the runner as they begin.
        self._beginnings: collections.deque[tuple[relay.Relay, str, float]] = (
            collections.deque())
        self._broken: dict[str, _Broken] = {}
        # The runners whose crash this node itself noticed.
        self._crashed: dict[int, fleetview.RunnerRecord] = {}
        self._announced: dict[int, _Announcement] = {}
        self._settling = _Settling()
        self._parts_settling = _Settling()
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
        now_ms = clock.now_ms()
        return max(
            self.quarantine.left_ms(each, now_ms)
            for each in (one.digest, *one.part_digests))

    def is_suspect(self, one: relay.Relay) -> bool:
        """Whether this node should not send a request to another runner."""
        return (
            one.digest in self._causes.blamed() or
            not self._part_causes.blamed().keys().isdisjoint(one.part_digests))

    def repeat_delay_ms(self, one: relay.Relay) -> float:
        """Returns how long a request whose attempt broke waits for evidence."""
        return EVIDENCE_MS if self._causes.is_accused(one.digest) else 0.0

    def first_event(self, one: relay.Relay, target: targets.Target,
                    now_ms: float) -> None:
        """Records the first event of an attempt."""
        self._first_event_ms[one, target.name] = now_ms
        if one.part_digests:
            self._beginnings.append((one, target.name, now_ms))

    def attempt_ended(self, one: relay.Relay, target: targets.Target,
                      outcome: attempts.Outcome, now_ms: float) -> None:
        """Records the end of an attempt."""
        first_event_ms = self._first_event_ms.pop((one, target.name), now_ms)
        if outcome.result in attemptresult.SUCCEEDED:
            self._record_whole_run(one, now_ms)
            self._record_survival(one, first_event_ms, now_ms)
        elif (outcome.result is attemptresult.Result.BROKEN and
              now_ms - first_event_ms < BEGINNING_MS):
            self._record_broken(one, target, now_ms)

    def _record_whole_run(self, one: relay.Relay, now_ms: float) -> None:
        should_tell = self._causes.ran_whole(one.digest, now_ms)
        if should_tell or self.quarantine.left_ms(one.digest, now_ms):
            self._decide(
                quarantine.Decision(one.digest, now_ms, is_cleared=True),
                "it ran whole", now_ms)

    def _record_survivals(self, now_ms: float) -> None:
        """Records the requests whose runners went on after their beginning."""
        while self._beginnings:
            one, target, first_event_ms = self._beginnings[0]
            if now_ms - first_event_ms < BEGINNING_MS:
                return
            self._beginnings.popleft()
            if self._first_event_ms.get((one, target)) == first_event_ms:
                self._record_survival(one, first_event_ms, now_ms)

    def _record_survival(self, one: relay.Relay, first_event_ms: float,
                         now_ms: float) -> None:
        told = self._part_causes.survived(one.part_digests, first_event_ms)
        for part in one.part_digests:
            if part in told or self.quarantine.left_ms(part, now_ms):
                self._decide(
                    quarantine.Decision(part, first_event_ms, is_cleared=True),
                    "a request with this part went on", now_ms)

    def _record_broken(self, one: relay.Relay, target: targets.Target,
                       now_ms: float) -> None:
        runner = target.known.runner.id
        broken = self._broken.get(runner)
        if broken is None:
            if len(self._broken) >= MAX_PENDING:
                del self._broken[next(iter(self._broken))]
            broken = _Broken(target.known, now_ms, {})
            self._broken[runner] = broken
            if target.key is None:
                # No member of a group, so nothing else finds out.
                self._spawn(self._connect(broken))
        broken.requests[one.digest] = one.part_digests

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
        self._record_survivals(now_ms)
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
        if self._settling.has_settled(now_ms):
            self._decide_blamed(self._causes.blamed(), "", now_ms)
        if self._parts_settling.has_settled(now_ms):
            self._decide_blamed(self._part_causes.blamed(),
                                "requests with this part ", now_ms)

    def _decide_blamed(self, blamed: Mapping[int, crashcauses.Blame],
                       subject: str, now_ms: float) -> None:
        for digest, blame in blamed.items():
            if (blame.is_certain and
                    now_ms - blame.newest_ms < quarantine.QUARANTINE_MS):
                self._decide(quarantine.Decision(digest, now_ms),
                             f"{subject}crashed {blame.crashes} runners",
                             now_ms)

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
                              map(requestdigest.text, broken.requests))))
        return not broken.is_doubtful

    def _confirm(self, runner: str, broken: _Broken, now_ms: float) -> None:
        accused = self._causes.accused(broken.requests)
        short_id = _short_id(runner)
        is_new = self._causes.record(short_id, accused, broken.at_ms)
        has_new_parts = self._part_causes.record(short_id, broken.requests,
                                                 broken.at_ms)
        if is_new:
            self._settling.record(now_ms)
        if has_new_parts:
            self._parts_settling.record(now_ms)
        if not (is_new or has_new_parts):
            return
        self._metrics.count("runner_crashes_total")
        _LOG.warning(
            logs.line("runner-crashed",
                      runner=runner,
                      crash=short_id,
                      age_ms=int(now_ms - broken.at_ms),
                      requests=",".join(map(requestdigest.text, accused)),
                      parts=",".join(
                          map(
                              requestdigest.text,
                              dict.fromkeys(
                                  part for parts in broken.requests.values()
                                  for part in parts)))))
        self._crashed[short_id] = broken.known
        self._announced[short_id] = _Announcement(now_ms)
        self.on_news()

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
            self._part_causes.clear(decision.digest, decision.at_ms)
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
                self._part_causes.retract(short_id)
        self._causes.drop_expired(now_ms)
        self._part_causes.drop_expired(now_ms)
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
            found[crashmessages.QUARANTINE_SECTION] = (
                crashmessages.encode_decisions(self._next_decisions(decisions),
                                               now_ms))
        told = self._crashes_to_tell(now_ms)
        if told:
            found[crashmessages.CRASHES_SECTION] = [[
                runner,
                int(now_ms - crash.at_ms),
                crashmessages.in_turn(sorted(crash.accused),
                                      times * crashmessages.MAX_TOLD_ACCUSED,
                                      crashmessages.MAX_TOLD_ACCUSED)
            ] for runner, crash, times in told]
        for runner, crash, times in told:
            requests = self._part_causes.telling(runner)
            fitting = crashmessages.encode_requests(
                crashmessages.in_turn(requests, times, len(requests)),
                peermessage.MAX_SECTIONS_BYTES - len(msgpack.packb(found)))
            if fitting:
                found.setdefault(crashmessages.PARTS_SECTION, []).append(
                    [runner, int(now_ms - crash.at_ms), fitting])
        return found

    def _next_decisions(
            self,
            decisions: list[quarantine.Decision]) -> list[quarantine.Decision]:
        """Returns the newest decision and, in turn, some of the others."""
        newest, others = decisions[0], decisions[1:]
        first = self._told_decisions
        count = crashmessages.MAX_TOLD_DECISIONS - 1
        self._told_decisions += count
        return [newest] + crashmessages.in_turn(others, first, count)

    def _crashes_to_tell(
            self, now_ms: float) -> list[tuple[int, crashcauses.Crash, int]]:
        """Returns some runners, their crashes, and how often each was told."""
        due = sorted(((told.times, told.since_ms, runner, told)
                      for runner, told in self._announced.items()
                      if now_ms - told.since_ms < ANNOUNCE_MS),
                     key=lambda each: each[:3])
        found = []
        for times, _, runner, told in due[:crashmessages.MAX_TOLD_CRASHES]:
            crash = self._causes.crash(runner)
            if crash is not None:
                told.times += 1
                found.append((runner, crash, times))
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
        new_crashes = []
        for runner, age_ms, accused in crashmessages.decode_crashes(
                message.sections.get(crashmessages.CRASHES_SECTION)):
            if self._causes.record(runner, accused, now_ms - age_ms):
                self._settling.record(now_ms)
                new_crashes.append(runner)
        for runner, age_ms, requests in crashmessages.decode_parts(
                message.sections.get(crashmessages.PARTS_SECTION)):
            if self._part_causes.record(runner, requests, now_ms - age_ms):
                self._parts_settling.record(now_ms)
                new_crashes.append(runner)
        if is_remote:
            for runner in new_crashes:
                self._announced.setdefault(runner, _Announcement(now_ms))
        is_any_new = bool(new_crashes)
        for decision in crashmessages.decode_decisions(
                message.sections.get(crashmessages.QUARANTINE_SECTION), now_ms):
            is_any_new |= self._apply(decision, f"told by {message.node}",
                                      now_ms)
        return is_any_new


def _ignore() -> None:
    pass


def _short_id(runner: str) -> int:
    return zlib.crc32(runner.encode())
