"""Attempts of one request that are in progress at the same time.

A silent runner may go on, so its attempt stays open while another target is
tried. The first of them that brings the next event goes on alone.
"""

import asyncio
from typing import Protocol

from cardamommill.domain import model
from cardamommill.gateway.nodes import hopheaders
from cardamommill.gateway.requests import (
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

    def runs(self, is_isolated: bool, most: int) -> int:
        """Returns how many runners may be running the request because of it.

        Args:
            is_isolated: Whether this node can't know that a member is lost.
            most: How many there may be, if a peer doesn't say.
        """
        if isinstance(self.target, targets.PeerTarget):
            by_peer = hopheaders.attempts_made(self.attempt.head)
            return most if by_peer is None else by_peer
        return int(self.may_be_running or is_isolated)

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
