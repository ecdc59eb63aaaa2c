"""What follows a try, by how it ended and what the request allows."""

import dataclasses
import enum

from cardamommill.gateway.attempts import Result


class NextStep(enum.Enum):
    """What to do after a try."""

    PASS_ON = "pass-on"
    RETRY = "elsewhere"
    ANSWER_NOT_RUN = "say-not-run"
    ANSWER_UNKNOWN = "say-unknown"
    ANSWER_TIMED_OUT = "say-timed-out"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestState:
    """What a request may still do.

    Attributes:
        repeatable: Whether it may run more than once.
        may_have_run: Whether any try may have run it.
        may_retry: Whether tries, budget and time allow another.
        begun: Whether the caller has got a part of the answer.
    """

    repeatable: bool
    may_have_run: bool
    may_retry: bool
    begun: bool = False


# A try that did not run may be followed by another whatever the request is;
# one that may have run, by none unless the request is repeatable.
_DID_NOT_RUN = frozenset({Result.NOT_RUN, Result.UNSENT})
# What follows whatever else is the case.
_FINAL = {
    Result.STREAMED: NextStep.PASS_ON,
    Result.ABANDONED: NextStep.NOTHING,
    Result.TIMED_OUT: NextStep.ANSWER_TIMED_OUT,
}
# What is a whole answer of the runner. None may follow events: a stream whose
# second runner answered with a failure got that answer's bytes as if they were
# its events.
_WHOLE = frozenset({Result.ANSWERED, Result.FAILED})


def next_step(result: Result, state: RequestState) -> NextStep:
    """Returns what follows a try."""
    if result in _FINAL:
        return _FINAL[result]
    if result is Result.ANSWERED and not state.begun:
        return NextStep.PASS_ON
    if state.may_retry and (result in _DID_NOT_RUN or state.repeatable):
        return NextStep.RETRY
    if result in _WHOLE and not state.begun:
        return NextStep.PASS_ON
    return (NextStep.ANSWER_UNKNOWN
            if state.may_have_run else NextStep.ANSWER_NOT_RUN)


def may_have_run(result: Result) -> bool:
    """Whether a try that ended so may have run the request."""
    return result not in _DID_NOT_RUN
