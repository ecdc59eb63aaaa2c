"""One try of a request at one runner, and how it ended."""

import asyncio
import dataclasses
import enum
from typing import Protocol

import logbook

from cardamommill import logs
from cardamommill.gateway import eventparser, upstream
from cardamommill.platform import words

# The largest answer that is not a stream.
MAX_ANSWER_BYTES = 8 << 20

_OK_FIRST = 200
_OK_LAST = 299
# To a caller these say that the request has not run. A runner that says so
# without a promise has run it and failed.
_UNPROMISED = frozenset({408, 429})
_FAULT_FIRST = 500

_LOG = logbook.Logger("attempts")


class Result(enum.Enum):
    """What is known of a try."""

    # A whole answer that goes to the caller.
    ANSWERED = "answered"
    # A whole answer by which the runner says that it failed. Another runner
    # may do better.
    FAILED = "failed"
    # All events of a stream went to the caller.
    STREAMED = "streamed"
    # The runner said that it did not run the request.
    NOT_RUN = "not-run"
    # Nothing left this node.
    UNSENT = "unsent"
    # It may have run: no answer, a cut one, or what is none.
    BROKEN = "broken"
    # This node went away from it: its group fell silent.
    DIVERTED = "diverted"
    # The request's time is over.
    TIMED_OUT = "timed-out"
    # The caller left.
    ABANDONED = "abandoned"


@dataclasses.dataclass(slots=True)
class Outcome:
    """How a try ended."""

    result: Result
    reason: str = ""
    head: upstream.Head = dataclasses.field(default_factory=upstream.Head)
    body: bytes = b""


class AnswerSink(Protocol):
    """Who takes an answer's head and a stream's events."""

    def on_head(self, head: upstream.Head) -> None:
        """Takes the head of an answer to this request."""

    def on_event(self, head: upstream.Head, event: eventparser.Event) -> bool:
        """Takes a whole event; False where it does not follow the last."""


class Attempt:
    """Receives one answer; see `upstream.Receiver`."""

    def __init__(self, attempt_id: str, streaming: bool,
                 sink: AnswerSink) -> None:
        self.done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future())
        self.exchange: upstream.Exchange | None = None
        self._attempt_id = attempt_id
        self._streaming = streaming
        self._sink = sink
        self._head = upstream.Head()
        self._body = bytearray()
        self._cutter: eventparser.EventParser | None = None

    def cancel(self, result: Result, reason: str) -> None:
        """Ends the try from this side; the runner sees its connection end."""
        if self.done.done():
            return
        was_sent = self.exchange is not None and self.exchange.sent
        if result is Result.DIVERTED and not was_sent:
            result = Result.UNSENT
        if result is Result.TIMED_OUT and not was_sent:
            reason = f"unsent: {reason}"
        self.done.set_result(Outcome(result, reason))
        if self.exchange is not None:
            self.exchange.cancel()

    def on_head(self, head: upstream.Head) -> bool:
        """Takes a head; one of another request is skipped."""
        echo = head.get(words.ATTEMPT_ID)
        if echo is not None and echo != self._attempt_id:
            _LOG.warning(
                logs.line("answer-skipped",
                          request=self._attempt_id,
                          answers=echo,
                          status=head.status))
            return False
        self._head = head
        if echo is not None:
            self._sink.on_head(head)
        if self._streaming and head.status == _OK_FIRST and (
                self._sound_success()):
            self._cutter = eventparser.EventParser()
        return True

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self.done.done():
            return
        if self._cutter is None:
            self._body += data
            if len(self._body) > MAX_ANSWER_BYTES:
                self._break("answer too large")
            return
        try:
            events = self._cutter.feed(data)
        except ValueError as error:
            self._break(str(error))
            return
        for event in events:
            if not self._sink.on_event(self._head, event):
                self._break("an event that does not follow the last")
                return

    def on_end(self, ending: upstream.Ending, reason: str) -> None:
        """Takes the end of the exchange."""
        if self.done.done():
            return
        if ending is upstream.Ending.NOT_SENT:
            self.done.set_result(Outcome(Result.UNSENT, reason))
        elif ending is not upstream.Ending.COMPLETE:
            self.done.set_result(Outcome(Result.BROKEN, reason))
        else:
            self.done.set_result(self._complete())

    def _complete(self) -> Outcome:
        status = self._head.status
        if self._cutter is not None:
            if self._cutter.has_partial_event:
                return Outcome(Result.BROKEN, "ended within an event")
            return Outcome(Result.STREAMED, head=self._head)
        if _OK_FIRST <= status <= _OK_LAST:
            if not self._sound_success():
                return Outcome(Result.BROKEN, f"{status} that is not its own")
            return Outcome(Result.ANSWERED, "", self._head, bytes(self._body))
        if self._head.get(words.NOT_EXECUTED) is not None or status == 421:
            return Outcome(Result.NOT_RUN, f"runner said {status}", self._head)
        if self._head.get(words.ATTEMPT_ID) is None:
            return Outcome(Result.BROKEN, f"{status} without the request's id")
        if status >= _FAULT_FIRST or status in _UNPROMISED:
            return Outcome(Result.FAILED, f"runner said {status}", self._head,
                           bytes(self._body))
        return Outcome(Result.ANSWERED, "", self._head, bytes(self._body))

    def _sound_success(self) -> bool:
        return (self._head.get(words.ATTEMPT_ID) == self._attempt_id and
                self._head.get(words.SEAL) is not None and
                self._head.get("content-encoding") is None)

    def _break(self, reason: str) -> None:
        if not self.done.done():
            self.done.set_result(Outcome(Result.BROKEN, reason))
        if self.exchange is not None:
            self.exchange.cancel()
