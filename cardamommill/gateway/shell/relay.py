"""Relays one request of a caller: admission, placement, attempts, answer."""

import asyncio
from collections.abc import Iterable
import dataclasses

import logbook

from cardamommill import logs
from cardamommill.domain import clock, model
from cardamommill.gateway.nodes import hopheaders
from cardamommill.gateway.requests import (
    attemptlimit,
    attemptresult,
    eventparser,
    placing,
    retrydecision,
    streamprogress,
)
from cardamommill.gateway.shell import (
    admittedrequest,
    admitting,
    attempts,
    conclusion,
    diversion,
    forwarding,
    openattempts,
    targets,
)
from cardamommill.platform import wirenames
from cardamommill.transport import callers, httpheaders, replies, upstream

# Maximum number of attempts per request, including those that were refused or
# did not reach the runner. A refusal costs a caller only some ms, and the retry
# budget limits the total.
MAX_TOTAL_ATTEMPTS = 4
# Another attempt needs at least this much time before the deadline.
MIN_REMAINING_MS = 20.0
# How long a started stream waits for a group to continue at: callers leave
# after a pause of two seconds.
RESUME_WAIT_MS = 1500.0
# A request that a peer serves goes on elsewhere if its stream has not begun
# after this long. The peer itself would have moved it to another group before.
HOP_FIRST_EVENT_MS = admittedrequest.PATIENCE_MS + 400.0
# A stream with an event this recently is alive.
LIVE_STREAM_MS = 250.0
# Why a request goes on elsewhere that a peer serves.
PEER_SILENT = "the peer is silent"
# Results after which no other attempt matters.
_FINAL_RESULTS = frozenset({
    attemptresult.Result.STREAMED, attemptresult.Result.TIMED_OUT,
    attemptresult.Result.ABANDONED
})
# Why a request is refused that crashed several runners.
QUARANTINED = "crashed the backend servers that ran it before; not run again"

_LOG = logbook.Logger("requests")


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """How an attempt ended."""

    target: targets.Target | targets.PeerTarget | None
    outcome: attempts.Outcome


class Relay(admittedrequest.AdmittedRequest):
    """One request of a caller, from its admission to the end of its answer.

    Attributes:
        service: The name of the service of the last placement.
        attempted: The targets of all attempts so far.
        hops: The peers that the request was passed to so far.
        hop: What the node that passed the request to this one says of it; None
            if it came from a caller.
        progress: The part of a stream that the caller has received.
        first_event_ms: When the first event was passed on; 0 before that.
        answered_by: The name of the target that brought the last event.
        may_have_run: Whether any attempt may have run the request.
        is_abandoned: Whether the caller has left.
        admission: The decision of admission control, for the log; empty where
            it did not apply.
    """

    def __init__(self,
                 node: targets.RelayContext,
                 request: callers.CallerRequest,
                 reply: replies.Reply,
                 hop: hopheaders.Hop | None = None) -> None:
        super().__init__(node, request, reply)
        self.service = ""
        self.attempted: list[targets.Target] = []
        self.hops: list[targets.PeerTarget] = []
        self.hop = hop
        self.may_have_run = False
        # Whether a runner got the request, so that another attempt is a retry.
        self._has_arrived = hop is not None and hop.has_arrived
        self._attempt_limit = attemptlimit.AttemptLimit(
            hop.attempts if hop is not None else 0)
        self._last_event_ms = 0.0
        self.progress = streamprogress.StreamProgress(
            httpheaders.number(request.get(wirenames.LAST_EVENT_ID)))
        self.first_event_ms = 0.0
        self.answered_by = ""
        self._open = openattempts.OpenAttempts(self._attempt_limit)
        # Whether an attempt broke since all had ended.
        self._has_broken = False
        # How the attempt ended that ended last, or that completed the answer.
        self._last_end = _End(None,
                              attempts.Outcome(attemptresult.Result.UNSENT))
        self._conclusion = conclusion.Conclusion(
            reply, lambda status, reason: node.ended(self, status, reason))
        self._diversion = diversion.Diversion(self._send_elsewhere)
        self.is_abandoned = False
        self.admission = ""

    # Admission.

    def admit(self) -> bool:
        """Admits the request or answers it with a rejection.

        Returns:
            Whether the request was admitted.
        """
        found = admitting.admit(self._node, self.request)
        if isinstance(found, admitting.Rejection):
            self.route = found.route
            self._conclusion.refuse(found.status, found.reason,
                                    found.retry_after_ms)
            return False
        self.record_admission(found)
        quarantined = self._refused_by_quarantine()
        if quarantined is not None:
            self._conclusion.refuse(503, quarantined.reason,
                                    quarantined.retry_after_ms)
            return False
        return True

    def _refused_by_quarantine(self) -> placing.Refused | None:
        left_ms = self._node.quarantine_left_ms(self)
        return placing.Refused(QUARANTINED, left_ms) if left_ms else None

    # Attempts.

    def start(self) -> None:
        """Serves the request in a separate task."""
        self._node.spawn(self.serve())

    def caller_left(self) -> None:
        """Cancels all attempts, so that the runners' places are freed."""
        self.is_abandoned = True
        self._diversion.cancel()
        self._open.cancel_all(attemptresult.Result.ABANDONED, "caller left")

    def end_attempts_at(self, runner: str, reason: str) -> None:
        """Ends the attempts at a runner that has ended; they may have run."""
        openattempts.cancel([
            each for each in self._open
            if isinstance(each.target, targets.Target) and
            each.target.known.runner.id == runner
        ], attemptresult.Result.BROKEN, reason)

    def divert(self,
               reason: str,
               is_dead: bool = False,
               key: model.GroupKey | None = None) -> None:
        """Sends the request to another group too, as soon as one can take it.

        Args:
            reason: The reason for the log.
            is_dead: Whether the group has lost a member.
            key: The group; None for all targets of the request.
        """
        self._mark_silent(
            [each for each in self._open if key is None or each.key == key],
            reason, is_dead)

    def _mark_silent(self,
                     chosen: Iterable[openattempts.OpenAttempt],
                     reason: str,
                     is_dead: bool = False) -> None:
        if (self.route is not None and self.route.repeatable and
                openattempts.mark_silent(chosen, is_dead)):
            self._search(reason)

    def _search(self, reason: str, delay_ms: float = 0.0) -> None:
        """Searches another target if all attempts in progress are silent."""
        if self._open.are_silent:
            self._diversion.start(reason, delay_ms)

    def leave_runner(self, reason: str) -> None:
        """Moves the request to a peer, if its runners are out of reach.

        Runners may go on with open connections and refuse new ones.
        """
        at_runners = self._open.at_runners()
        openattempts.cancel([each for each in at_runners if each.is_unsent],
                            attemptresult.Result.BROKEN, reason)
        now_ms = clock.now_ms()
        self._mark_silent([
            each for each in at_runners
            if now_ms - each.last_event_ms > LIVE_STREAM_MS
        ], reason)

    def end_unfinished(self, reason: str) -> None:
        """Ends all attempts, as if the request's time was over."""
        self._diversion.cancel()
        self._open.cancel_all(attemptresult.Result.TIMED_OUT, reason)

    def silent_ms(self, now_ms: float) -> int | None:
        """Returns the time since the last event; None before the first one."""
        if not self._last_event_ms:
            return None
        return int(now_ms - self._last_event_ms)

    def check_hop(self, target: targets.PeerTarget, is_alive: bool,
                  now_ms: float) -> None:
        """Goes on elsewhere if the peer that serves the request is silent.

        Once the answer has begun, a peer that is alive looks for another runner
        itself, and the hop stays open in any case. While events come, a peer
        is alive whose datagrams are lost.

        Args:
            target: The peer.
            is_alive: Whether this node hears it.
            now_ms: The time.
        """
        hops = [each for each in self._open if each.target == target]
        if self.reply.started:
            if not is_alive:
                self._mark_silent([
                    each for each in hops
                    if now_ms - each.last_event_ms > LIVE_STREAM_MS
                ], PEER_SILENT)
            return
        openattempts.cancel([
            each for each in hops if not is_alive or
            (self.streaming and now_ms - each.sent_ms > HOP_FIRST_EVENT_MS)
        ], attemptresult.Result.BROKEN, PEER_SILENT)

    def _send_elsewhere(self, reason: str) -> bool:
        """Sends the request to another target too, if one can take it now.

        The silent attempts stay open: their runners may go on, and the other
        one has brought nothing yet. Only attempts at groups that lost a member
        before the answer began end at once, also if no other group can take the
        request: holding it until its caller leaves gains nothing.

        Returns:
            Whether the search is over.
        """
        silent = [each for each in self._open if not each.attempt.done.done()]
        if not silent:
            return True
        target = self._find_diversion()
        if target is not None:
            second = self._begin(target)
            self._node.spawn(self._follow(second))
        dead = [
            each for each in silent
            if each.has_lost_member and not self.reply.started
        ]
        openattempts.cancel(dead, attemptresult.Result.DIVERTED, reason)
        return target is not None or len(dead) == len(silent)

    def _find_diversion(self) -> targets.Target | targets.PeerTarget | None:
        """Returns a target to divert the request to, or None."""
        if (not self._may_retry() or not self.is_key_valid() or
                self._refused_by_quarantine() is not None):
            return None
        found = self._node.find_target(self)
        if isinstance(found, placing.Refused):
            return None
        if (isinstance(found, targets.Target) and found.placed is not None and
                found.placed.candidate.is_avoided):
            return None
        return found

    async def serve(self) -> None:
        """Serves the request until its answer has ended."""
        try:
            await self._serve()
        except Exception as error:
            # Without an answer the caller would wait until its deadline, and
            # its connection would stay in use for ever.
            _LOG.exception(logs.line("request-failed", request=self.attempt_id))
            self._diversion.cancel()
            self._open.cancel_all(attemptresult.Result.ABANDONED,
                                  "a fault of this node")
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
            self._has_broken = False
            self._begin(target)
            end = await self._wait_for_end()
            outcome = end.outcome
            if (isinstance(end.target, targets.PeerTarget) and
                    hopheaders.is_refusal(outcome.head)):
                # No other peer would decide otherwise.
                self._conclusion.not_placed(
                    placing.Refused("a peer refused it",
                                    _retry_after_ms(outcome.head)),
                    self.may_have_run)
                return
            if self._has_broken:
                await self._wait_for_evidence()
            state = retrydecision.RequestState(
                self.route is not None and self.route.repeatable,
                self.may_have_run, self._may_retry(), self.reply.started)
            step = retrydecision.next_step(outcome.result, state)
            if self.is_abandoned:
                self._conclusion.caller_left()
                return
            if step is not retrydecision.NextStep.RETRY:
                self._conclusion.finish(step, outcome)
                return

    async def _wait_for_end(self) -> "_End":
        """Waits until no attempt is in progress; returns the end that counts.

        That is the end of the attempt that completed the answer, else the last.
        """
        while self._open:
            one = self._open.oldest
            await one.attempt.done
            self._close(one)
        return self._last_end

    async def _follow(self, one: openattempts.OpenAttempt) -> None:
        """Handles the end of an attempt that runs beside an earlier one."""
        try:
            await one.attempt.done
            self._close(one)
        except Exception:
            # The earlier attempt goes on.
            _LOG.exception(logs.line("attempt-lost", request=self.attempt_id))

    async def _wait_for_evidence(self) -> None:
        """Waits for what other nodes know, if the request may crash runners."""
        delay_ms = self._node.repeat_delay_ms(self)
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)

    async def _next_target(
            self
    ) -> targets.Target | targets.PeerTarget | placing.Refused | None:
        waited_from_ms = clock.now_ms()
        if self.attempted:
            # Lets the event loop report a caller's close that was read in the
            # same iteration as the end of the attempt; otherwise the request
            # would run for a caller that has left.
            await asyncio.sleep(0)
        while True:
            now_ms = clock.now_ms()
            if self.is_abandoned:
                return None
            if now_ms >= self.deadline_at_ms:
                # Callers leave at their deadline, even if the close of the
                # connection has not arrived yet.
                return placing.Refused("out of time",
                                       admitting.DEFAULT_RETRY_AFTER_MS)
            quarantined = self._refused_by_quarantine()
            if quarantined is not None:
                return quarantined
            found = self._find_target()
            if isinstance(found, targets.PeerTarget):
                # The peer counts the attempts that it makes.
                return found
            if isinstance(found, targets.Target):
                return self._within_budget(found)
            if not self.reply.started:
                return found
            if (now_ms - waited_from_ms > RESUME_WAIT_MS or
                (self.tenant is not None and not self.is_key_known())):
                return found
            await asyncio.sleep(diversion.POLL_MS / 1000)

    def _within_budget(
            self, found: targets.Target) -> targets.Target | placing.Refused:
        """Returns a target, unless the retry budget was used up meanwhile.

        All streams of a runner that ends break before the first of them is
        repeated and counts.
        """
        if self._is_retry and not self._node.may_retry(self.service):
            return placing.Refused("retry budget is used up",
                                   admitting.DEFAULT_RETRY_AFTER_MS)
        return found

    @property
    def _is_retry(self) -> bool:
        """Whether another attempt counts towards the retry budget."""
        return bool(self.attempted) or self._has_reached_runner

    def _find_target(
            self) -> targets.Target | targets.PeerTarget | placing.Refused:
        if not self.is_key_valid():
            return placing.Refused("key not confirmed",
                                   admitting.DEFAULT_RETRY_AFTER_MS)
        return self._node.find_target(self)

    def _begin(
        self, target: targets.Target | targets.PeerTarget
    ) -> openattempts.OpenAttempt:
        """Sends an attempt."""
        now_ms = clock.now_ms()
        one = openattempts.OpenAttempt(self.attempt_id, self.streaming, target,
                                       self.progress.begin_attempt(), now_ms,
                                       self)
        if isinstance(target, targets.PeerTarget):
            address = target.address
            data = self._node.hop_request_bytes(self, target,
                                                self._count_runs(True),
                                                self._has_reached_runner)
            self._node.on_hop_start(self, target)
            self.hops.append(target)
        else:
            address = target.known.runner.host, target.known.runner.port
            data = self._request_bytes(target, now_ms)
            self._node.on_attempt_start(self, target, self._is_retry)
            self.attempted.append(target)
        self._open.add(one)
        repeatable = self.route is not None and self.route.repeatable
        one.attempt.exchange = self._node.pool.send(
            address, data, one.attempt, new_connection=not repeatable)
        one.timer = asyncio.get_running_loop().call_later(
            max(0.0, self.deadline_at_ms - now_ms) / 1000, one.cancel,
            attemptresult.Result.TIMED_OUT, "out of time")
        return one

    def _close(self, one: openattempts.OpenAttempt) -> None:
        """Records the end of an attempt, once."""
        if not self._open.remove(one):
            return
        outcome = self._check_complete(one, one.attempt.done.result())
        if isinstance(one.target, targets.PeerTarget):
            self._record_hop(one, one.target, outcome)
        else:
            self._record_run(one, one.target, outcome)
        self._has_broken |= outcome.result is attemptresult.Result.BROKEN
        if outcome.result is attemptresult.Result.FAILED:
            self._conclusion.record_failure(outcome)
        if not self._is_answer_complete:
            self._last_end = _End(one.target, outcome)
        if self._is_answer_complete or not self._open:
            self._diversion.cancel()
            self._open.supersede("another attempt completed the answer")
        else:
            delay_ms = (self._node.repeat_delay_ms(self)
                        if self._has_broken else 0.0)
            self._search(outcome.reason, max(delay_ms, diversion.POLL_MS))

    @property
    def _is_answer_complete(self) -> bool:
        """Whether the end that counts is final, whatever other attempts do."""
        result = self._last_end.outcome.result
        return result in _FINAL_RESULTS or (
            result is attemptresult.Result.ANSWERED and not self.reply.started)

    def _record_run(self, one: openattempts.OpenAttempt, target: targets.Target,
                    outcome: attempts.Outcome) -> None:
        self._has_arrived |= outcome.result is not attemptresult.Result.UNSENT
        if retrydecision.may_have_run(outcome.result):
            self.may_have_run = True
            diverted = outcome.result is attemptresult.Result.DIVERTED
            self._attempt_limit.record(target.known, diverted and
                                       not one.may_be_running)
        self._node.on_attempt_end(self, target, outcome)

    def _record_hop(self, one: openattempts.OpenAttempt,
                    target: targets.PeerTarget,
                    outcome: attempts.Outcome) -> None:
        if retrydecision.may_have_run(outcome.result):
            # Without its answer, the peer may have made all that were left.
            assert self.route is not None
            by_peer = one.runs(
                True, self._open.runs_left(one, self.route.max_attempts))
            self.may_have_run = self._has_arrived = True
            self._attempt_limit.record_by_peer(by_peer)
        self._node.on_hop_end(self, target, outcome)

    def _check_complete(self, one: openattempts.OpenAttempt,
                        outcome: attempts.Outcome) -> attempts.Outcome:
        """Treats a stream that ended before the caller's last event as broken.

        Otherwise a runner that starts over and ends early would end the stream
        as complete, with events missing.
        """
        if (outcome.result is attemptresult.Result.STREAMED and
                one.progress.is_replaying):
            return attempts.Outcome(attemptresult.Result.BROKEN,
                                    "ended before what the caller has")
        return outcome

    @property
    def _has_reached_runner(self) -> bool:
        """Whether a runner may have got the request, or still may."""
        return self._has_arrived or self._open.may_arrive

    def _count_runs(self, is_isolated: bool) -> int:
        """Returns how many attempts count towards the route's limit."""
        assert self.route is not None
        return self._open.count_runs(is_isolated,
                                     self.route.max_attempts,
                                     are_kept=self.reply.started)

    def _may_retry(self) -> bool:
        """Whether another attempt is allowed, beside those in progress."""
        total = len(self.attempted) + len(self.hops)
        if self.route is None or total >= MAX_TOTAL_ATTEMPTS:
            return False
        if self.reply.started and self.progress.last_event_id is None:
            # Without an event id another runner can't know where to continue.
            return False
        if self.deadline_at_ms - clock.now_ms() < MIN_REMAINING_MS:
            return False
        is_isolated = self._node.is_isolated()
        if self._count_runs(is_isolated) >= self.route.max_attempts:
            return False
        if self._node.is_crash_suspect(self):
            return False
        if self._node.reaches_no_runner() and not self._has_reached_runner:
            # No runner got the request, so the next attempt is its first one.
            return True
        return self._node.may_retry(self.service)

    def _request_bytes(self, target: targets.Target, now_ms: float) -> bytes:
        rank = None
        if target.key is not None:
            deferred = target.placed is not None and target.placed.is_deferred
            rank = forwarding.queue_rank(self.priority, deferred)
        return forwarding.request_bytes(
            self.request,
            forwarding.AttemptParameters(
                target.known.runner.instance, self.deadline_at_ms - now_ms,
                self.tenant.name if self.tenant else None, rank,
                self.progress.last_event_id))

    # Answers; see `openattempts.AnswerSink`.

    def on_head(self, one: openattempts.OpenAttempt,
                head: upstream.Head) -> None:
        """Handles the head of the answer to an attempt."""
        if isinstance(one.target, targets.Target):
            self._node.on_answer_head(self, one.target, head, one.sent_ms)

    def on_event(self, one: openattempts.OpenAttempt, head: upstream.Head,
                 event: eventparser.Event) -> bool:
        """Passes an event on to the caller if it is the next one.

        All other attempts end then.

        Returns:
            Whether the stream may continue: False for an event after a gap.
        """
        self._diversion.cancel()
        one.is_silent = False
        self._last_event_ms = one.last_event_ms = clock.now_ms()
        if isinstance(one.target, targets.Target):
            self._node.on_stream_event(self, one.target)
        order = one.progress.record(event)
        if order is not streamprogress.EventPosition.NEXT:
            return order is streamprogress.EventPosition.REPEATED
        self._open.supersede("another attempt brought the next event", one)
        self.answered_by = one.target.name
        if not self.reply.started:
            self.first_event_ms = clock.now_ms()
            self.reply.start(head.status, forwarding.caller_headers(head))
        self.reply.write(event.data)
        return True


def _retry_after_ms(head: upstream.Head) -> float:
    """Returns when a peer says that a retry is worthwhile."""
    try:
        return 1000 * float(head.get("Retry-After") or "")
    except ValueError:
        return admitting.DEFAULT_RETRY_AFTER_MS
