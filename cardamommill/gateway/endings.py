"""What follows a try, by how it ended and what the request allows."""

import dataclasses
import enum

from cardamommill.gateway.attempts import Result


class Next(enum.Enum):
    """What to do after a try."""

    PASS_ON = "pass-on"
    ELSEWHERE = "elsewhere"
    SAY_NOT_RUN = "say-not-run"
    SAY_UNKNOWN = "say-unknown"
    SAY_TIMED_OUT = "say-timed-out"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What a request may still do.

    Attributes:
        repeatable: Whether it may run more than once.
        ran_maybe: Whether any try may have run it.
        may_go_elsewhere: Whether tries, budget and time allow another.
        begun: Whether the caller has got a part of the answer.
    """

    repeatable: bool
    ran_maybe: bool
    may_go_elsewhere: bool
    begun: bool = False


# A try that did not run may be followed by another whatever the request is;
# one that may have run, by none unless the request is repeatable.
_DID_NOT_RUN = frozenset({Result.NOT_RUN, Result.UNSENT})
# What follows whatever else is the case.
_FINAL = {
    Result.STREAMED: Next.PASS_ON,
    Result.ABANDONED: Next.NOTHING,
    Result.TIMED_OUT: Next.SAY_TIMED_OUT,
}
# What is a whole answer of the runner. None may follow events: a stream whose
# second runner answered with a failure got that answer's bytes as if they were
# its events.
_WHOLE = frozenset({Result.ANSWERED, Result.FAILED})


def after(result: Result, state: State) -> Next:
    """Returns what follows a try."""
    if result in _FINAL:
        return _FINAL[result]
    if result is Result.ANSWERED and not state.begun:
        return Next.PASS_ON
    if state.may_go_elsewhere and (result in _DID_NOT_RUN or state.repeatable):
        return Next.ELSEWHERE
    if result in _WHOLE and not state.begun:
        return Next.PASS_ON
    return Next.SAY_UNKNOWN if state.ran_maybe else Next.SAY_NOT_RUN


def may_have_run(result: Result) -> bool:
    """Whether a try that ended so may have run the request."""
    return result not in _DID_NOT_RUN
