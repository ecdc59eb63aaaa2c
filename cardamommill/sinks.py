"""Where the bytes of an attempt go: to the caller, whole or event by event."""

from collections.abc import Callable
import dataclasses
import threading

from cardamommill import (
    answerhead,
    answering,
    attempts,
    eventstream,
    requesting,
)

MAX_EVENT_BYTES = 1_048_576
ERROR_EVENT = b"event: error"

# They belong to one connection, or are this node's to give.
_NOT_PASSED_ON = frozenset(
    ("connection", "keep-alive", "proxy-authenticate", "proxy-connection", "te",
     "trailer", "transfer-encoding", "upgrade", "content-length", "date",
     "server", "traceparent", "retry-after"))


@dataclasses.dataclass(slots=True)
class Live:
    """A request whose caller waits.

    Attributes:
        head: What came.
        headers: The caller's headers that go on to a replica.
        body: The caller's body.
        answer: What the caller gets.
        attempt_id: The current attempt, or empty.
        attempts: How often it was sent to a replica.
        delivered: Stream events that the caller has.
        gone: Whether the caller closed its connection.
        lock: Guards ``attempt_id``, ``delivered`` and ``gone``.
    """

    head: requesting.RequestHead
    headers: tuple[tuple[str, str], ...]
    body: bytes
    answer: answering.Answer
    attempt_id: str = ""
    attempts: int = 0
    delivered: int = 0
    gone: bool = False
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


class AnswerSink:
    """Takes the answer of one attempt for one request.

    An answer that is no stream is held until it is whole, so that the caller
    never sees a part of one that breaks. A stream goes on event by event.
    """

    def __init__(self, live: Live, attempt_id: str, answer_bytes: int,
                 keep: bool, ended: Callable[[Live], None]) -> None:
        """Makes the sink of an attempt.

        Args:
            live: Whose answer it takes.
            attempt_id: Which attempt; the bytes of another one are dropped.
            answer_bytes: The largest answer that is no stream.
            keep: Whether the answer is to be recorded.
            ended: Called when the attempt is over.
        """
        self._live = live
        self._attempt_id = attempt_id
        self._answer_bytes = answer_bytes
        self._keep = keep
        self._ended = ended
        self._head: answerhead.AnswerHead | None = None
        self._held = bytearray()
        self._splitter: eventstream.EventSplitter | None = None
        self._remote_error = False

    def begin(self, head: answerhead.AnswerHead) -> bool:
        """Takes the head; returns False to give the attempt up."""
        self._head = head
        streams = (self._live.head.streaming and head.status == 200 and
                   head.get("content-type").startswith(answering.EVENT_STREAM))
        if streams:
            self._splitter = eventstream.EventSplitter(MAX_EVENT_BYTES)
            return self._current()
        # A stream that has begun can't go on as anything else.
        return self._current() and not self._live.answer.begun

    def _current(self) -> bool:
        return self._live.attempt_id == self._attempt_id

    def take(self, data: bytes) -> bool:
        """Takes a part of the body; returns False to give it up."""
        if self._splitter is None:
            self._held += data
            return self._current() and len(self._held) <= self._answer_bytes
        try:
            whole_events = self._splitter.feed(data)
        except ValueError:
            return False
        return not whole_events or self._deliver(whole_events)

    def _deliver(self, whole_events: bytes) -> bool:
        assert self._splitter is not None and self._head is not None
        live = self._live
        if whole_events.startswith(ERROR_EVENT):
            # The other node's stream has broken. Passed on, it would end
            # the caller's stream, which may still go on elsewhere.
            return False
        # Holding the lock while writing keeps an attempt that is given up at
        # this moment from writing after its successor has started.
        with live.lock:
            if not self._current():
                return False
            # Whether the caller still listens is not asked: if it has gone,
            # the decisions hear so and end the attempt. Ended here, it would
            # look like a replica's failure and be sent to another one.
            live.answer.stream(self._head.status, _passed_on(self._head),
                               whole_events, live.attempts)
            live.delivered += self._splitter.take_count()
        if not self._keep:
            return True
        # The answer is worth having for a repeat, also if the caller is gone.
        self._held += whole_events
        return len(self._held) <= self._answer_bytes

    def complete(self) -> bool:
        """Tells whether all that must come has come, whatever follows."""
        return self._splitter is not None and self._splitter.done

    def end(self, complete: bool) -> attempts.Delivery:
        """Takes the end.

        Args:
            complete: Whether all that the replica sent has been taken.
        """
        live = self._live
        with live.lock:
            current = self._current()
            if current:
                live.attempt_id = ""
        whole = complete and current and self._finish()
        answer = self._recorded() if complete and self._keep else None
        self._ended(live)
        return attempts.Delivery(whole, live.delivered, answer)

    def _finish(self) -> bool:
        assert self._head is not None
        answer = self._live.answer
        headers = _passed_on(self._head)
        if self._splitter is None:
            return answer.whole(self._head.status, headers, bytes(self._held),
                                requesting.Outcome.RAN, self._live.attempts)
        rest = self._splitter.rest
        if rest or not answer.begun:
            answer.stream(self._head.status, headers, rest, self._live.attempts)
        return answer.end_stream()

    def _recorded(self) -> requesting.RecordedAnswer | None:
        if self._head is None or len(self._held) > self._answer_bytes:
            return None
        return requesting.RecordedAnswer(self._head.status,
                                         self._head.get("content-type"),
                                         self._held.decode("latin-1"))


def _passed_on(head: answerhead.AnswerHead) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in head.headers
        if name not in _NOT_PASSED_ON and not name.startswith("cardamommill-")
    ]
