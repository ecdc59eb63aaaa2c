"""One attempt at a replica, from sending to what is known of its end."""

from collections.abc import Callable
import dataclasses
import json
from typing import Protocol

import pycurl

from cardamommill import answerhead, events, loop, requesting

MAX_REFUSAL_BYTES = 65_536
MAX_HEADER_BYTES = 65_536

# What PREREQFUNCTION returns; pycurl has no names for these.
_SEND = 0
_DO_NOT_SEND = 1

# What HEADERFUNCTION and WRITEFUNCTION return; None takes everything.
_STOP = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """What became of an answer on its way to the caller.

    Attributes:
        whole: Whether all of it reached the caller.
        delivered: Stream events that did, over all attempts.
        answer: The answer, where it is to be recorded.
    """

    whole: bool
    delivered: int
    answer: requesting.RecordedAnswer | None = None


class Sink(Protocol):
    """Takes the bytes of one attempt; called on the upstream thread."""

    def begin(self, head: answerhead.AnswerHead) -> bool:
        """Takes the head; returns False to give the attempt up."""

    def take(self, data: bytes) -> bool:
        """Takes a part of the body; returns False to give it up."""

    def complete(self) -> bool:
        """Tells whether all that must come has come, whatever follows."""

    def end(self, complete: bool) -> Delivery:
        """Takes the end.

        Args:
            complete: Whether all that the replica sent has been taken.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What to send where.

    Attributes:
        request_id: Whose.
        attempt_id: Unique.
        target: Where it goes.
        method: The HTTP method.
        path: Path and query.
        headers: Headers of the caller and of this node.
        body: The whole body.
        deadline_ms: Local monotonic time at which it is given up.
        once: Whether it goes out on a connection of its own. On a kept one
            a runner that died before could not be told from one that crashed
            on this request: a fabric domain that goes dark would quarantine
            innocent requests, and what was never run would be unknown.
        resume_from: Stream events that the caller already has.
    """

    request_id: str
    attempt_id: str
    target: requesting.Target
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int
    once: bool = False
    resume_from: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """All that an outcome is decided by.

    Attributes:
        sent: Whether curl was allowed to send the request.
        refused: Whether the runner said that it did not run it.
        complete: Whether a complete answer of the right replica came.
    """

    sent: bool
    refused: bool
    complete: bool


# Only two things prove that a request was not run: it was never sent, or the
# runner itself said so. Only a complete answer proves that it ran.
OUTCOMES = {
    Known(False, False, False): requesting.Outcome.NOT_RUN,
    Known(True, True, False): requesting.Outcome.NOT_RUN,
    Known(True, True, True): requesting.Outcome.NOT_RUN,
    Known(True, False, True): requesting.Outcome.RAN,
    Known(True, False, False): requesting.Outcome.UNKNOWN,
}

# Statuses of answers that may say that the request was not run.
_MAY_REFUSE = frozenset((409, 421, 422, 429, 500, 502, 503, 504))

# After sending, a connection that is refused means that curl found the one
# that it had used broken and the runner gone: a crash. Taken for a mere failure
# to connect, it would not be held against the request, which would go on to
# crash one replica more.
_CONNECTION_LOST = frozenset((
    pycurl.E_GOT_NOTHING,
    pycurl.E_RECV_ERROR,
    pycurl.E_SEND_ERROR,
    pycurl.E_PARTIAL_FILE,
    pycurl.E_COULDNT_CONNECT,
))


class Transfer:
    """One attempt that is under way; used on the upstream thread alone.

    Attributes:
        attempt: What it is.
        cancelled: Whether it was given up.
    """

    def __init__(self, attempt: Attempt, sink: Sink,
                 post: Callable[[events.Event], None]) -> None:
        self.attempt = attempt
        self.cancelled = False
        self._sink = sink
        self._post = post
        self._started_ms = loop.now_ms()
        self._heard_ms = self._started_ms
        self._first_byte_ms = 0
        self._sent = False
        self._lost = False
        self._silent = False
        self._stopped = ""
        self._head: answerhead.AnswerHead | None = None
        self._lines: list[bytes] = []
        self._header_bytes = 0
        # Holds the body of what may be a refusal until it is known.
        self._held: bytearray | None = None

    def may_send(self) -> bool:
        """Tells whether the evidence for the target still holds."""
        valid_until_ms = self.attempt.target.valid_until_ms
        if self.cancelled or loop.now_ms() >= valid_until_ms:
            # A node that stood still since it chose this replica knows
            # nothing of it any more; its VMs may be in another one by now,
            # and the caller would get an answer of a broken replica. The
            # clock is read here, after any pause, so it can't be missed.
            self._stopped = "the evidence for this replica has run out"
            return False
        return True

    def before_sending(self, *_: object) -> int:
        """Tells curl whether the request may go out now.

        When a kept connection turns out to be closed, curl sends the request
        again by itself. It can't know whether the server took the first one:
        a booking would be made twice, and a request that crashes runners
        would go to the restarted one. curl asks here before each sending and
        gets one yes.
        """
        if self._sent:
            self._lost = True
            self._stopped = "the connection broke after sending"
            return _DO_NOT_SEND
        if not self.may_send():
            return _DO_NOT_SEND
        self._sent = True
        return _SEND

    def take_header(self, line: bytes) -> int | None:
        """Takes a line of the answer's head from curl."""
        self._header_bytes += len(line)
        self._heard_ms = loop.now_ms()
        if self._header_bytes > MAX_HEADER_BYTES:
            self._stopped = "the answer's head is too large"
            return _STOP
        line = line.strip()
        if line.startswith(b"HTTP/"):
            self._lines = [line]
        elif line:
            self._lines.append(line)
        elif self._lines and not self._lines[0].split()[1].startswith(b"1"):
            return self._take_head()
        return None

    def _take_head(self) -> int | None:
        if self._head:
            return None  # These are trailers.
        self._first_byte_ms = max(1, loop.now_ms() - self._started_ms)
        self._head = answerhead.parse(self._lines)
        status = self._head.status
        remote = self.attempt.target.remote_node
        if status in _MAY_REFUSE or (remote and status >= 400):
            self._held = bytearray()
            return None
        return self._begin(self._head)

    def _begin(self, head: answerhead.AnswerHead) -> int | None:
        # Compared before any byte goes to the caller: an answer of another
        # request, or of a replica as it was before its VMs changed, would
        # otherwise reach this caller as its own.
        self._stopped = _foreign(self.attempt, head)
        if self._stopped:
            return _STOP
        if not self._sink.begin(head):
            self._stopped = "this answer can't follow what the caller has"
            return _STOP
        self._post(
            events.AttemptStarted(self.attempt.request_id,
                                  self.attempt.attempt_id, head.status))
        return None

    def take_body(self, data: bytes) -> int | None:
        """Takes a part of the answer's body from curl."""
        self._heard_ms = loop.now_ms()
        if self._held is not None:
            self._held += data
            if len(self._held) > MAX_REFUSAL_BYTES:
                return self._let_go()
            return None
        if self._sink.take(data):
            return None
        self._stopped = "the answer can't be taken further"
        return _STOP

    def _let_go(self) -> int | None:
        held, self._held = bytes(self._held or b""), None
        assert self._head is not None
        if self._begin(self._head) == _STOP or not self._sink.take(held):
            return _STOP
        return None

    def stop_if_silent(self, silent_ms: int, reason: str) -> bool:
        """Marks it as given up if nothing came for so long; True if so."""
        if loop.now_ms() - self._heard_ms < silent_ms:
            return False
        self._silent = True
        self._stopped = reason
        return True

    def finish(self, error: int, detail: str) -> events.AttemptEnded:
        """Returns how the attempt ended.

        Args:
            error: curl's number; 0 if all went well.
            detail: curl's words.
        """
        came = error == 0 and not self._stopped and self._head is not None
        refused = came and self._refused()
        if came and not refused and self._held is not None:
            came = self._let_go() is None
        complete = came and not refused and self._is_framed()
        complete = complete or (self._head is not None and
                                self._sink.complete())
        delivery = self._sink.end(complete)
        lost = self._lost or (error in _CONNECTION_LOST and self._sent)
        return events.AttemptEnded(
            self.attempt.request_id,
            self.attempt.attempt_id,
            self._outcome(refused, complete),
            delivery.whole,
            status=self._head.status if self._head else 0,
            delivered=delivery.delivered,
            first_byte_ms=self._first_byte_ms,
            took_ms=loop.now_ms() - self._started_ms,
            connection_lost=lost,
            silent=self._silent,
            answer=delivery.answer,
            detail=self._stopped or detail)

    def broken_off(self) -> events.AttemptEnded:
        """Returns an end that promises nothing."""
        return events.AttemptEnded(self.attempt.request_id,
                                   self.attempt.attempt_id,
                                   requesting.Outcome.UNKNOWN,
                                   whole=False,
                                   detail="this node failed")

    def _is_framed(self) -> bool:
        # An answer that ends with its connection looks the same whole and
        # cut.
        return self._head is not None and (self._head.framed or
                                           self.attempt.method == "HEAD")

    def _outcome(self, refused: bool, complete: bool) -> requesting.Outcome:
        outcome = OUTCOMES[Known(self._sent, refused, complete)]
        if (outcome is requesting.Outcome.RAN and
                self.attempt.target.remote_node and self._head):
            said = self._head.get("cardamommill-outcome")
            if said != requesting.Outcome.RAN:
                return requesting.Outcome.UNKNOWN
        return outcome

    def _refused(self) -> bool:
        if self._held is None or self._head is None:
            return False
        if self.attempt.target.remote_node:
            said = self._head.get("cardamommill-outcome")
            return (said == requesting.Outcome.NOT_RUN and
                    not _foreign(self.attempt, self._head))
        # A runner that refuses since it is another replica names that one;
        # but it must speak of this request.
        if self._head.get("cardamommill-request") != self.attempt.request_id:
            return False
        try:
            said = json.loads(bytes(self._held))
        except ValueError:
            return False
        return isinstance(said, dict) and said.get("ran") is False

    def goes_on_at_engine(self, error: int) -> bool:
        """Tells whether the engine may still work on what nobody awaits.

        Args:
            error: curl's number of how it ended.
        """
        return (self._sent and not self._sink.complete() and
                (error == pycurl.E_OPERATION_TIMEDOUT or bool(self._stopped)))


def _foreign(attempt: Attempt, head: answerhead.AnswerHead) -> str:
    """Returns how an answer shows that it is not this attempt's, or ""."""
    target = attempt.target
    if target.remote_node:
        wanted = {"cardamommill-attempt": attempt.attempt_id}
    else:
        wanted = {
            "cardamommill-request": attempt.request_id,
            "cardamommill-replica": target.replica_id,
            "cardamommill-epoch": str(target.epoch),
            "cardamommill-formation": str(target.formation),
        }
    if attempt.resume_from:
        # An engine that can't resume, whatever its document says, begins
        # anew, and the caller would get the first events twice.
        wanted["cardamommill-resume-from"] = str(attempt.resume_from)
    for name, value in wanted.items():
        if head.get(name) != value:
            return f"{name} is {head.get(name)!r}, not {value!r}"
    return ""
