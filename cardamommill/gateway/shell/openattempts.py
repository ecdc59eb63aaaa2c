"""Attempts of one request that are in progress at the same time.

A silent runner may go on, so its attempt stays open while another target is
tried. The first of them that brings the next event goes on alone.
"""

import asyncio
from collections.abc import Iterable, Iterator
from typing import Protocol

from cardamommill.domain import model
from cardamommill.gateway.nodes import hopheaders
from cardamommill.gateway.requests import (
    attemptlimit,
    attemptresult,
    eventparser,
    streamprogress,
)
from cardamommill.gateway.shell import attempts, targets
from cardamommill.transport import upstream


class OpenAttempt:
    """An attempt that has not ended.

    Attributes:
        attempt: Receives its answer.
        target: Where it was sent.
        progress: The events that it brought.
        sent_ms: When it was sent.
        last_event_ms: When its last event came; 0 before the first one.
        is_silent: Whether its target was found silent after its last event.
        has_lost_member: Whether its group is known to have lost a member.
        timer: Ends it at the deadline of the request.
    """

    def __init__(self, attempt_id: str, streaming: bool,
                 target: targets.Target | targets.PeerTarget,
                 progress: streamprogress.AttemptProgress, sent_ms: float,
                 sink: "AnswerSink") -> None:
        self.attempt = attempts.Attempt(attempt_id, streaming, self)
        self.target = target
        self.progress = progress
        self.sent_ms = sent_ms
        self.last_event_ms = 0.0
        self.is_silent = False
        self.has_lost_member = False
        self.timer: asyncio.TimerHandle | None = None
        self._streaming = streaming
        self._sink = sink

    @property
    def key(self) -> model.GroupKey | None:
        """The group that it was sent to; None for other targets."""
        return (self.target.key
                if isinstance(self.target, targets.Target) else None)

    @property
    def is_unsent(self) -> bool:
        """Whether it still waits for a connection."""
        exchange = self.attempt.exchange
        return exchange is not None and not exchange.sent

    @property
    def may_be_running(self) -> bool:
        """Whether its target may be running the request.

        A group that has lost a member and gave no event has not started the
        request: an event would have come long before the silence was noticed.
        If such attempts counted, two dead groups in a row would use up the
        attempts of a request that neither had started. A group whose members
        all answer may be running the request without giving events.
        """
        return (not self._streaming or self.progress.events > 0 or
                not self.has_lost_member)

    def runs(self, counts_unlikely: bool, most_by_peer: int) -> int:
        """Returns how many runners may be running the request because of it.

        Args:
            counts_unlikely: Whether one counts whose group seems to have lost
                a member before it began.
            most_by_peer: How many a peer may have sent it to, if it doesn't
                say.
        """
        if isinstance(self.target, targets.PeerTarget):
            by_peer = hopheaders.attempts_made(self.attempt.head)
            return most_by_peer if by_peer is None else by_peer
        return int(self.may_be_running or counts_unlikely)

    def cancel(self, result: attemptresult.Result, reason: str) -> None:
        """Ends it and closes its connection."""
        self.attempt.cancel(result, reason)

    # Answers; see `attempts.AnswerSink`.

    def on_head(self, head: upstream.Head) -> None:
        """Passes the head of its answer on."""
        self._sink.on_head(self, head)

    def on_event(self, head: upstream.Head, event: eventparser.Event) -> bool:
        """Passes an event on; returns False if one before it is missing."""
        return self._sink.on_event(self, head, event)


class AnswerSink(Protocol):
    """Callbacks for the answers to all attempts of a request."""

    def on_head(self, one: OpenAttempt, head: upstream.Head) -> None:
        """Takes the head of an answer to an attempt."""

    def on_event(self, one: OpenAttempt, head: upstream.Head,
                 event: eventparser.Event) -> bool:
        """Takes an event of an attempt; returns False after a gap."""


class OpenAttempts:
    """The attempts of one request that have not ended, the oldest first."""

    def __init__(self, ended: attemptlimit.AttemptLimit) -> None:
        """Initialises the instance without attempts.

        Args:
            ended: Counts the attempts that have ended.
        """
        self._ended = ended
        self._open: list[OpenAttempt] = []

    def __iter__(self) -> Iterator[OpenAttempt]:
        return iter(self._open)

    def __len__(self) -> int:
        return len(self._open)

    @property
    def oldest(self) -> OpenAttempt:
        """The first of them; there must be one."""
        return self._open[0]

    def add(self, one: OpenAttempt) -> None:
        """Adds an attempt that was begun."""
        self._open.append(one)

    def remove(self, one: OpenAttempt) -> bool:
        """Removes an attempt that has ended; returns whether it was here."""
        if one not in self._open:
            return False
        self._open.remove(one)
        if one.timer is not None:
            one.timer.cancel()
        return True

    def at_runners(self) -> list[OpenAttempt]:
        """Returns those that were sent to runners, not to peers."""
        return [
            each for each in self._open
            if isinstance(each.target, targets.Target)
        ]

    @property
    def are_silent(self) -> bool:
        """Whether there are any, and all of them are silent."""
        return bool(self._open) and all(each.is_silent for each in self._open)

    @property
    def may_arrive(self) -> bool:
        """Whether any of them may have reached its target, or still may."""
        return any(not (each.is_unsent and each.attempt.done.done())
                   for each in self._open)

    def cancel_all(self, result: attemptresult.Result, reason: str) -> None:
        """Ends all of them."""
        cancel(list(self._open), result, reason)

    def supersede(self, reason: str, kept: OpenAttempt | None = None) -> None:
        """Ends all but the attempt that goes on, or that completed the answer.

        Args:
            reason: The reason for the log.
            kept: The attempt that goes on; None if it has ended.
        """
        for each in list(self._open):
            if each is not kept:
                each.attempt.cancel(attemptresult.Result.DIVERTED,
                                    reason,
                                    is_superseded=True)

    def count_runs(self, is_isolated: bool, max_attempts: int,
                   are_kept: bool) -> int:
        """Returns how many attempts count, open ones and those that have ended.

        Args:
            is_isolated: Whether the node suspects its own isolation.
            max_attempts: How many the route allows.
            are_kept: Whether open ones stay although their group seems to have
                lost a member; it may run the request then.
        """
        return self._ended.count(is_isolated) + sum(
            each.runs(is_isolated or are_kept, self.runs_left(
                each, max_attempts)) for each in self._open)

    def runs_left(self, hop: OpenAttempt, max_attempts: int) -> int:
        """Returns how many attempts a peer may make that doesn't say."""
        others = sum(
            each.runs(True, 0) for each in self._open if each is not hop)
        return max(0, max_attempts - self._ended.count(True) - others)


def cancel(chosen: Iterable[OpenAttempt], result: attemptresult.Result,
           reason: str) -> None:
    """Ends some attempts."""
    for each in chosen:
        each.cancel(result, reason)


def mark_silent(chosen: Iterable[OpenAttempt], is_dead: bool) -> bool:
    """Marks attempts as silent; returns whether that is new for any of them.

    Args:
        chosen: The attempts.
        is_dead: Whether their group has lost a member.
    """
    has_changed = False
    for each in chosen:
        has_changed |= not each.is_silent or (is_dead and
                                              not each.has_lost_member)
        each.is_silent = True
        each.has_lost_member |= is_dead
    return has_changed
