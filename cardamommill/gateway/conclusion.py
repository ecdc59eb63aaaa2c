"""The end of a request: what its caller is told, once."""

from collections.abc import Callable

from cardamommill.gateway import (
    admitting,
    attempts,
    forwarding,
    placing,
    replies,
    retrydecision,
)

_STATUS_TEXT = {
    retrydecision.NextStep.ANSWER_NOT_RUN: "not run",
    retrydecision.NextStep.ANSWER_UNKNOWN: "may have run; no answer came",
    retrydecision.NextStep.ANSWER_TIMED_OUT: "no answer in time",
}
_STATUS = {
    retrydecision.NextStep.ANSWER_NOT_RUN: 503,
    retrydecision.NextStep.ANSWER_UNKNOWN: 502,
    retrydecision.NextStep.ANSWER_TIMED_OUT: 504,
}
# To a caller these say that the request has not run.
_PROMISES = frozenset({408, 429, 503})


class Conclusion:
    """Ends one request at its caller, and says so to its node."""

    def __init__(self, reply: replies.Reply, told: Callable[[int, str],
                                                            None]) -> None:
        """Makes it.

        Args:
            reply: The answer.
            told: Takes the status, 0 for none, and the reason.
        """
        self._reply = reply
        self._on_ended = told
        # A failure of a runner's own: the answer if nothing better comes.
        self._failure: attempts.Outcome | None = None

    def record_failure(self, outcome: attempts.Outcome) -> None:
        """Keeps the first failure of a runner's own."""
        self._failure = self._failure or outcome

    def caller_left(self) -> None:
        """Ends it for nobody."""
        self._on_ended(0, "caller left")

    def finish(self, step: retrydecision.NextStep,
               outcome: attempts.Outcome) -> None:
        """Ends it after its last try."""
        if step is retrydecision.NextStep.NOTHING:
            self.caller_left()
            return
        if step is retrydecision.NextStep.PASS_ON:
            self._pass_on(outcome)
            return
        if self._pass_failure_on():
            return
        reason = f"{_STATUS_TEXT[step]}: {outcome.reason}"
        if self._reply.started:
            self._break_off(reason)
            return
        is_promise = step is retrydecision.NextStep.ANSWER_NOT_RUN
        self.refuse(_STATUS[step], reason,
                    admitting.DEFAULT_RETRY_AFTER_MS if is_promise else 0.0)

    def not_placed(self, refused: placing.Refused, may_have_run: bool) -> None:
        """Ends it where nobody takes it any more."""
        if self._pass_failure_on():
            return
        if self._reply.started:
            self._break_off(refused.reason)
            return
        # Of one that may have run a repeat may be wanted all the same, and is
        # of use later.
        self.refuse(502 if may_have_run else 503, refused.reason,
                    refused.retry_after_ms)

    def fail(self, reason: str) -> None:
        """Ends it after a fault of this node's own; it may have run."""
        if self._reply.ended:
            self._on_ended(0, f"broken off: {reason}")
        elif self._reply.started:
            self._break_off(reason)
        else:
            self.refuse(502, "a fault of this node; may have run")

    def refuse(self,
               status: int,
               reason: str,
               retry_after_ms: float = 0.0) -> None:
        """Answers with a refusal of this node's own."""
        headers = [("Content-Type", "text/plain; charset=utf-8")]
        if retry_after_ms:
            headers.append(("Retry-After", f"{retry_after_ms / 1000:.3f}"))
        self._reply.send(status, headers, f"{reason}\n".encode())
        self._on_ended(status, reason)

    def _break_off(self, reason: str) -> None:
        self._reply.abort()
        self._on_ended(0, f"broken off: {reason}")

    def _pass_on(self, outcome: attempts.Outcome) -> None:
        status = outcome.head.status
        headers = forwarding.caller_headers(outcome.head)
        if outcome.result is attempts.Result.STREAMED:
            if not self._reply.started:
                self._reply.start(status, headers)
            self._reply.end()
        elif status in _PROMISES:
            # The runner did not say that.
            self.refuse(502, f"runner said {status} without a promise")
            return
        else:
            self._reply.send(status, headers, outcome.body)
        self._on_ended(status, "")

    def _pass_failure_on(self) -> bool:
        """Answers with an earlier failure of a runner, if there was one."""
        if self._failure is None or self._reply.started:
            return False
        self._pass_on(self._failure)
        return True
