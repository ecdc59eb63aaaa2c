"""A caller's request on its way: admitted, placed, tried, answered."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import math
from typing import Any, Protocol

import logbook

from cardamommill import logs
from cardamommill.gateway import (
    admitting,
    attempts,
    callers,
    clock,
    conclusion,
    eventparser,
    fleetview,
    forwarding,
    httpheaders,
    model,
    placing,
    replies,
    retrydecision,
    streamprogress,
    upstream,
)
from cardamommill.platform import words

# Tries at runners that refuse or can't be reached; a refusal costs a caller
# some ms, and the budget bounds their sum.
MAX_TOTAL_ATTEMPTS = 4
# An answer that is not a stream is tried elsewhere only with this much left.
MIN_REMAINING_MS = 20.0
# How long a stream that has begun waits for a group to go on at: callers
# leave after a pause of two seconds.
RESUME_WAIT_MS = 1500.0
RESUME_POLL_MS = 40.0
# Callers leave after two seconds without an event.
PATIENCE_MS = 1600.0

_LOG = logbook.Logger("requests")


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A runner to try, and its group if it has one."""

    known: fleetview.RunnerRecord
    key: model.GroupKey | None = None
    placed: placing.Placed | None = None

    @property
    def name(self) -> str:
        """For the log."""
        return str(self.key) if self.key else self.known.runner.id


class RelayContext(admitting.ConfigurationState, Protocol):
    """What a relay needs of its node."""

    pool: upstream.Pool

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs something beside all else until the node ends."""

    def find_target(self, relay: "Relay") -> Target | placing.Refused:
        """Returns where a request goes next."""

    def may_retry(self, service: str) -> bool:
        """Whether the retry budget allows one more."""

    def on_attempt_start(self, relay: "Relay", target: Target,
                         repeat: bool) -> None:
        """Notes a try."""

    def on_attempt_end(self, relay: "Relay", target: Target,
                       outcome: attempts.Outcome) -> None:
        """Notes the end of a try."""

    def on_answer_head(self, relay: "Relay", target: Target,
                       head: upstream.Head, sent_ms: float) -> None:
        """Notes the head of an answer to a try that was sent then."""

    def on_stream_event(self, relay: "Relay", target: Target) -> None:
        """Notes an event of a stream."""

    def ended(self, relay: "Relay", status: int, reason: str) -> None:
        """Notes the end of a request."""


class Relay:
    """One request of a caller."""

    def __init__(self, node: RelayContext, request: callers.CallerRequest,
                 reply: replies.Reply) -> None:
        self._node = node
        self.request = request
        self.reply = reply
        self.attempt_id = request.get(words.ATTEMPT_ID) or ""
        self.route: model.Route | None = None
        self.tenant: model.Tenant | None = None
        self._key_digest = b""
        self.service = ""
        self.token_counts = forwarding.token_counts(request)
        self.model_name = request.get(words.MODEL) or ""
        self.attempted: list[Target] = []
        self.may_have_run_at: list[Target] = []
        # Those of them that count as runs: a stream runs from its first token.
        self._counted_at: list[Target] = []
        self._try_sent_ms = 0.0
        # Whether the group that the try is at lost a member.
        self._is_dead = False
        self.deadline_at_ms = math.inf
        self.progress = streamprogress.StreamProgress(
            httpheaders.number(request.get(words.LAST_EVENT_ID)))
        self.first_event_ms = 0.0
        self._attempt: attempts.Attempt | None = None
        self._target: Target | None = None
        self._conclusion = conclusion.Conclusion(
            reply, lambda status, reason: node.ended(self, status, reason))
        # Where a try goes on that is about to be left.
        self._reserved: Target | None = None
        self._leaving: asyncio.TimerHandle | None = None
        self.is_abandoned = False

    # Admission.

    def admit(self) -> bool:
        """Admits the request or answers it; True where it goes on."""
        found = admitting.admit(self._node, self.request)
        self.route = found.route
        if isinstance(found, admitting.Rejection):
            self._conclusion.refuse(found.status, found.reason,
                                    found.retry_after_ms)
            return False
        self.tenant = found.tenant
        self._key_digest = found.key_digest
        self.deadline_at_ms = found.deadline_at_ms
        return True

    def is_key_valid(self) -> bool:
        """Whether the key may be used at this moment."""
        return self.tenant is None or (self._key_is_known() and
                                       self._node.keys_may_be_trusted())

    def _key_is_known(self) -> bool:
        table = self._node.table()
        return (table is not None and
                table.tenant(self._key_digest) is not None)

    @property
    def may_have_run(self) -> bool:
        """Whether any try may have run it."""
        return bool(self.may_have_run_at)

    @property
    def priority(self) -> int:
        """The rank for the runner's queue: 0 is first."""
        rank = None if self.tenant is None else self.tenant.priority
        if rank is None:
            rank = self.route.priority if self.route else 5
        return min(9, max(0, rank))

    @property
    def streaming(self) -> bool:
        """Whether the answer is a series of events."""
        return (self.route is not None and
                self.route.kind is model.RouteKind.STREAMING)

    def requirements(self, jitter: float) -> placing.Requirements:
        """Returns what the request needs to be of use, as of now."""
        now_ms = clock.now_ms()
        remaining_ms = self.deadline_at_ms - now_ms
        if self.reply.started or self.route is None or not self.route.goal_ms:
            return placing.Requirements(remaining_ms, remaining_ms,
                                        remaining_ms, jitter)
        goal_ms = self.request.arrived_ms + self.route.goal_ms - now_ms
        return placing.Requirements(goal_ms, min(remaining_ms, PATIENCE_MS),
                                    remaining_ms, jitter)

    # The way.

    def start(self) -> None:
        """Serves the request in a task of its own."""
        self._node.spawn(self._serve_and_tell())

    def caller_left(self) -> None:
        """Gives up at once: a runner that works on takes others' places."""
        self.is_abandoned = True
        if self._attempt is not None:
            self._attempt.cancel(attempts.Result.ABANDONED, "caller left")

    def divert(self, reason: str, is_dead: bool = False) -> None:
        """Leaves the group that it is at once all is there to go on.

        Silence alone is no reason to end an answer that can't go on anywhere
        else: the runner may still finish it. A stream of one node that had its
        key unconfirmed for 14 ms more was ended so, at a runner that was well.

        Args:
            reason: For the log.
            is_dead: Whether the group lost a member. A request that it has not
                begun is then answered at once, also where it can't go on:
                nothing is gained by holding it until its caller gives up.
        """
        if self._attempt is None or self.route is None:
            return
        if not self.route.repeatable:
            return
        self._stay()
        self._is_dead = is_dead
        self._leave(self._attempt, reason)

    def _leave(self, attempt: attempts.Attempt, reason: str) -> None:
        if attempt is not self._attempt or attempt.done.done():
            return
        target = self._way_on()
        if target is not None or (self._is_dead and not self.reply.started):
            self._reserved = target
            attempt.cancel(attempts.Result.DIVERTED, reason)
            return
        self._leaving = asyncio.get_running_loop().call_later(
            RESUME_POLL_MS / 1000, self._leave, attempt, reason)

    def _way_on(self) -> Target | None:
        """Returns where a try that is left goes on, if it may and can."""
        if not self._may_go_elsewhere(leaving=self._may_be_at_work()):
            return None
        if not self.is_key_valid():
            return None
        found = self._node.find_target(self)
        if isinstance(found, placing.Refused):
            return None
        if found.placed is not None and found.placed.candidate.is_avoided:
            return None
        return found

    def _stay(self) -> None:
        if self._leaving is not None:
            self._leaving.cancel()
            self._leaving = None

    async def _serve_and_tell(self) -> None:
        try:
            await self._serve()
        except Exception as error:
            # Its caller would wait until its time is over, and its connection
            # stay busy for ever.
            _LOG.exception(logs.line("request-failed", request=self.attempt_id))
            self._conclusion.fail(repr(error))

    async def _serve(self) -> None:
        while True:
            target = await self._next_target()
            if isinstance(target, placing.Refused):
                self._conclusion.not_placed(target, self.may_have_run)
                return
            if target is None:
                self._conclusion.caller_left()
                return
            outcome = await self._try(target)
            state = retrydecision.RequestState(
                self.route is not None and self.route.repeatable,
                self.may_have_run, self._may_go_elsewhere(), self.reply.started)
            step = retrydecision.next_step(outcome.result, state)
            if outcome.result is attempts.Result.FAILED:
                self._conclusion.record_failure(outcome)
            if self.is_abandoned:
                self._conclusion.caller_left()
                return
            if step is not retrydecision.NextStep.RETRY:
                self._conclusion.finish(step, outcome)
                return

    async def _next_target(self) -> Target | placing.Refused | None:
        waited_from_ms = clock.now_ms()
        if self.attempted:
            # A caller's close that was read in the same turn of the loop as
            # the end of the try is told only now; a run would be for nobody.
            await asyncio.sleep(0)
        while True:
            now_ms = clock.now_ms()
            if self.is_abandoned:
                return None
            if now_ms >= self.deadline_at_ms:
                # Its caller has left, also where the close is still under way.
                return placing.Refused("out of time",
                                       admitting.DEFAULT_RETRY_AFTER_MS)
            found = self._find_target()
            if isinstance(found, Target) or not self.reply.started:
                return found
            if (now_ms - waited_from_ms > RESUME_WAIT_MS or
                (self.tenant is not None and not self._key_is_known())):
                return found
            await asyncio.sleep(RESUME_POLL_MS / 1000)

    def _find_target(self) -> Target | placing.Refused:
        reserved, self._reserved = self._reserved, None
        if not self.is_key_valid():
            return placing.Refused("key not confirmed",
                                   admitting.DEFAULT_RETRY_AFTER_MS)
        return reserved or self._node.find_target(self)

    async def _try(self, target: Target) -> attempts.Outcome:
        attempt = attempts.Attempt(self.attempt_id, self.streaming, self)
        self._attempt = attempt
        self._target = target
        self._node.on_attempt_start(self, target, bool(self.attempted))
        self.attempted.append(target)
        self.progress.begin_attempt()
        self._is_dead = False
        runner = target.known.runner
        self._try_sent_ms = now_ms = clock.now_ms()
        repeatable = self.route is not None and self.route.repeatable
        attempt.exchange = self._node.pool.send((runner.host, runner.port),
                                                self._bytes(target, now_ms),
                                                attempt,
                                                new_connection=not repeatable)
        timer = asyncio.get_running_loop().call_later(
            max(0.0, self.deadline_at_ms - now_ms) / 1000, attempt.cancel,
            attempts.Result.TIMED_OUT, "out of time")
        try:
            outcome = self._checked(await attempt.done)
        finally:
            timer.cancel()
            self._stay()
            self._attempt = None
        if retrydecision.may_have_run(outcome.result):
            self.may_have_run_at.append(target)
            diverted = outcome.result is attempts.Result.DIVERTED
            if self._may_be_at_work() or not diverted:
                self._counted_at.append(target)
        self._node.on_attempt_end(self, target, outcome)
        return outcome

    def _checked(self, outcome: attempts.Outcome) -> attempts.Outcome:
        """Takes a run that ended before what the caller has for a broken one.

        A runner that begins anew and ends early would else end the stream as
        complete, with events missing.
        """
        if (outcome.result is attempts.Result.STREAMED and
                self.progress.is_replaying):
            return attempts.Outcome(attempts.Result.BROKEN,
                                    "ended before what the caller has")
        return outcome

    def _may_be_at_work(self) -> bool:
        """Whether the runner that is left may be at work on the request.

        A group that lost a member has given no event: it would have come long
        before the silence was noticed. Counted as runs all the same, two dead
        groups in a row used up the attempts of a request that none had begun.
        One whose members all answer may hold what it runs.
        """
        return (not self.streaming or self.progress.attempt_events > 0 or
                not self._is_dead)

    def _may_go_elsewhere(self, leaving: bool = False) -> bool:
        if self.route is None or len(self.attempted) >= MAX_TOTAL_ATTEMPTS:
            return False
        if self.reply.started and self.progress.last_event_id is None:
            # Nothing tells another runner where to go on.
            return False
        if self.deadline_at_ms - clock.now_ms() < MIN_REMAINING_MS:
            return False
        # A runner that ended meanwhile does not count.
        counted = leaving + sum(
            not each.known.down_ms for each in self._counted_at)
        if counted >= self.route.max_attempts:
            return False
        return self._node.may_retry(self.service)

    def _bytes(self, target: Target, now_ms: float) -> bytes:
        rank = None
        if target.key is not None:
            deferred = target.placed is not None and target.placed.is_deferred
            rank = forwarding.queue_rank(self.priority, deferred)
        return forwarding.request_bytes(
            self.request,
            forwarding.AttemptParameters(
                target.known.runner.id, self.deadline_at_ms - now_ms,
                self.tenant.name if self.tenant else None, rank,
                self.progress.last_event_id))

    # Answers.

    def on_head(self, head: upstream.Head) -> None:
        """Takes the head of the answer to the try."""
        assert self._target is not None
        self._node.on_answer_head(self, self._target, head, self._try_sent_ms)

    def on_event(self, head: upstream.Head, event: eventparser.Event) -> bool:
        """Passes an event on, if it is the next one."""
        assert self._target is not None
        self._stay()
        self._node.on_stream_event(self, self._target)
        order = self.progress.record(event)
        if order is not streamprogress.EventPosition.NEXT:
            return order is streamprogress.EventPosition.REPEATED
        if not self.reply.started:
            self.first_event_ms = clock.now_ms()
            self.reply.start(head.status, forwarding.caller_headers(head))
        self.reply.write(event.data)
        return True
