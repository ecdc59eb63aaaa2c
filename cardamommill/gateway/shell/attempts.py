"""An attempt of a request at one runner, and its outcome."""

import asyncio
import dataclasses
from typing import Protocol

import logbook

from cardamommill import logs
from cardamommill.gateway.requests import attemptresult, eventparser
from cardamommill.platform import wirenames
from cardamommill.transport import upstream

# Limit for the body of an answer that is not a stream.
MAX_ANSWER_BYTES = 8 << 20

_OK_FIRST = 200
_OK_LAST = 299
# A caller takes these statuses as a statement that the request has not run.
# From a runner they mean that only together with its header for "not executed";
# without it they count as a failed run.
_FAILURES_BELOW_500 = frozenset({408, 429})
_SERVER_ERROR_FIRST = 500
# Results that this node gives an attempt that it ends. Before the request was
# sent, no runner can have run it.
_UNSENT_IF_NOT_SENT = frozenset(
    {attemptresult.Result.DIVERTED, attemptresult.Result.BROKEN})

_LOG = logbook.Logger("attempts")


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of an attempt, and the answer if there is one.

    Attributes:
        result: The result.
        reason: Why there is no complete answer.
        head: Status and headers of the answer.
        body: The body of an answer that is no stream.
        is_superseded: Whether this node ended the attempt because another one
            went on.
    """

    result: attemptresult.Result
    reason: str = ""
    head: upstream.Head = dataclasses.field(default_factory=upstream.Head)
    body: bytes = b""
    is_superseded: bool = False


class AnswerSink(Protocol):
    """Callbacks for the head of an answer and the events of a stream."""

    def on_head(self, head: upstream.Head) -> None:
        """Takes the head of an answer to this request."""

    def on_event(self, head: upstream.Head, event: eventparser.Event) -> bool:
        """Takes a complete event; returns False if one before it is missing."""


class Attempt:
    """Receives the answer to an attempt; see `upstream.Receiver`."""

    def __init__(self, attempt_id: str, streaming: bool,
                 sink: AnswerSink) -> None:
        self.done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future())
        self.exchange: upstream.Exchange | None = None
        self._attempt_id = attempt_id
        self._streaming = streaming
        self._sink = sink
        self.head = upstream.Head()
        self._body = bytearray()
        self._parser: eventparser.EventParser | None = None

    def cancel(self,
               result: attemptresult.Result,
               reason: str,
               is_superseded: bool = False) -> None:
        """Ends the attempt and closes its connection to the runner.

        Args:
            result: The result, if the request was sent.
            reason: The reason for the log.
            is_superseded: Whether another attempt of the request goes on.
        """
        if self.done.done():
            return
        was_sent = self.exchange is not None and self.exchange.sent
        if result in _UNSENT_IF_NOT_SENT and not was_sent:
            result = attemptresult.Result.UNSENT
        if result is attemptresult.Result.TIMED_OUT and not was_sent:
            reason = f"unsent: {reason}"
        self.done.set_result(
            Outcome(result, reason, is_superseded=is_superseded))
        if self.exchange is not None:
            self.exchange.cancel()

    @property
    def keeps_body(self) -> bool:
        """Whether the answer is no stream, whose events are passed on."""
        return self._parser is None

    def on_head(self, head: upstream.Head) -> bool:
        """Takes a head; skips an answer with the id of another request."""
        echo = head.get(wirenames.ATTEMPT_ID)
        if echo is not None and echo != self._attempt_id:
            _LOG.warning(
                logs.line("answer-skipped",
                          request=self._attempt_id,
                          answers=echo,
                          status=head.status))
            return False
        self.head = head
        if echo is not None:
            self._sink.on_head(head)
        if self._streaming and head.status == _OK_FIRST and (
                self._has_valid_success_head()):
            self._parser = eventparser.EventParser()
        return True

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self.done.done():
            return
        if self._parser is None:
            self._body += data
            if len(self._body) > MAX_ANSWER_BYTES:
                self._fail("answer too large")
            return
        try:
            events = self._parser.feed(data)
        except ValueError as error:
            self._fail(str(error))
            return
        for event in events:
            if not self._sink.on_event(self.head, event):
                self._fail("an event that does not follow the last")
                return

    def on_end(self, ending: upstream.Ending, reason: str) -> None:
        """Takes the end of the exchange."""
        if self.done.done():
            return
        if ending is upstream.Ending.NOT_SENT:
            self.done.set_result(Outcome(attemptresult.Result.UNSENT, reason))
        elif ending is not upstream.Ending.COMPLETE:
            self.done.set_result(Outcome(attemptresult.Result.BROKEN, reason))
        else:
            self.done.set_result(self._complete())

    def _complete(self) -> Outcome:
        status = self.head.status
        if self._parser is not None:
            if self._parser.has_partial_event:
                return Outcome(attemptresult.Result.BROKEN,
                               "ended within an event")
            return Outcome(attemptresult.Result.STREAMED, head=self.head)
        if _OK_FIRST <= status <= _OK_LAST:
            if not self._has_valid_success_head():
                return Outcome(attemptresult.Result.BROKEN,
                               f"{status} that is not its own")
            return Outcome(attemptresult.Result.ANSWERED, "", self.head,
                           bytes(self._body))
        # 421 (Misdirected Request): the request reached a runner that it was
        # not meant for, which does not run it.
        if self.head.get(wirenames.NOT_EXECUTED) is not None or status == 421:
            return Outcome(attemptresult.Result.NOT_RUN,
                           f"runner said {status}", self.head)
        if self.head.get(wirenames.ATTEMPT_ID) is None:
            return Outcome(attemptresult.Result.BROKEN,
                           f"{status} without the request's id")
        if status >= _SERVER_ERROR_FIRST or status in _FAILURES_BELOW_500:
            return Outcome(attemptresult.Result.FAILED, f"runner said {status}",
                           self.head, bytes(self._body))
        return Outcome(attemptresult.Result.ANSWERED, "", self.head,
                       bytes(self._body))

    def _has_valid_success_head(self) -> bool:
        """Whether the head has this attempt's id, a seal and no encoding."""
        return (self.head.get(wirenames.ATTEMPT_ID) == self._attempt_id and
                self.head.get(wirenames.RESPONSE_SEAL) is not None and
                self.head.get("content-encoding") is None)

    def _fail(self, reason: str) -> None:
        if not self.done.done():
            self.done.set_result(Outcome(attemptresult.Result.BROKEN, reason))
        if self.exchange is not None:
            self.exchange.cancel()
