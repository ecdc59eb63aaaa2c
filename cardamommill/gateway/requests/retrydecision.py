"""Decides whether an attempt is retried or what its caller is answered."""

import dataclasses
import enum

from cardamommill.gateway.requests.attemptresult import Result


class NextStep(enum.Enum):
    """The step that follows an attempt.

    After an ANSWER_... step, an answer that has begun is aborted instead, and
    an earlier failure answer of a runner takes precedence.
    """

    # The caller gets the runner's answer, or the end of the stream.
    PASS_ON = "pass-on"
    # The request is sent to another runner or group.
    RETRY = "elsewhere"
    # The caller is told that the request did not run, and when to retry.
    ANSWER_NOT_RUN = "say-not-run"
    # The caller is told that the request may have run.
    ANSWER_UNKNOWN = "say-unknown"
    # The caller is told that its deadline passed.
    ANSWER_TIMED_OUT = "say-timed-out"
    # The caller closed its connection and gets no answer.
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestState:
    """The state of a request after an attempt.

    Attributes:
        repeatable: Whether the request may run more than once.
        may_have_run: Whether any attempt may have run it.
        may_retry: Whether the limits on attempts, retries and time allow
            another attempt.
        begun: Whether the caller has received a part of the answer.
    """

    repeatable: bool
    may_have_run: bool
    may_retry: bool
    begun: bool = False


# Any request may be retried after these results. After all others the request
# may have run, and only a repeatable one may be retried.
_DID_NOT_RUN = frozenset({Result.NOT_RUN, Result.UNSENT})
# Steps that depend on the result alone.
_FINAL = {
    Result.STREAMED: NextStep.PASS_ON,
    Result.ABANDONED: NextStep.NOTHING,
    Result.TIMED_OUT: NextStep.ANSWER_TIMED_OUT,
}
# Results with a complete answer of the runner. It may not be passed on after
# events of a stream: when the second runner of a stream answered with a
# failure, the caller read the bytes of that answer as events.
_COMPLETE_ANSWERS = frozenset({Result.ANSWERED, Result.FAILED})


def next_step(result: Result, state: RequestState) -> NextStep:
    """Returns the step that follows an attempt with this result."""
    if result in _FINAL:
        return _FINAL[result]
    if result is Result.ANSWERED and not state.begun:
        return NextStep.PASS_ON
    if state.may_retry and (result in _DID_NOT_RUN or state.repeatable):
        return NextStep.RETRY
    if result in _COMPLETE_ANSWERS and not state.begun:
        return NextStep.PASS_ON
    return (NextStep.ANSWER_UNKNOWN
            if state.may_have_run else NextStep.ANSWER_NOT_RUN)


def may_have_run(result: Result) -> bool:
    """Whether an attempt with this result may have run the request."""
    return result not in _DID_NOT_RUN
