"""Which attempts may be followed by another, and how many of those."""

import dataclasses
import enum

from cardamommill import requesting

# With this many attempts a request has met more than bad luck.
MAX_ATTEMPTS = 4
# Retries that a service has before its first success, and its most in store:
# about as many requests as a small replica loses when it dies.
RESERVE = 10.0


class Progress(enum.Enum):
    """What a caller has of its answer when an attempt ends."""

    NOTHING = enum.auto()
    # A stream's head and maybe whole events of it.
    EVENTS = enum.auto()
    # The head and maybe part of a body that is no stream.
    BYTES = enum.auto()


class Verdict(enum.Enum):
    """What follows on an attempt that gave no whole answer."""

    RETRY = enum.auto()
    RESUME = enum.auto()
    FINAL = enum.auto()


_Outcome = requesting.Outcome

# By outcome, whether the request is repeatable, and what the caller has. What
# isn't here is final: above all, whatever may have run and isn't repeatable.
_VERDICTS = {
    (_Outcome.NOT_RUN, False, Progress.NOTHING): Verdict.RETRY,
    (_Outcome.NOT_RUN, True, Progress.NOTHING): Verdict.RETRY,
    (_Outcome.NOT_RUN, True, Progress.EVENTS): Verdict.RESUME,
    (_Outcome.UNKNOWN, True, Progress.NOTHING): Verdict.RETRY,
    (_Outcome.UNKNOWN, True, Progress.EVENTS): Verdict.RESUME,
    (_Outcome.RAN, True, Progress.EVENTS): Verdict.RESUME,
}


def verdict(outcome: requesting.Outcome, repeatable: bool,
            progress: Progress) -> Verdict:
    """Returns what may follow, the budget and the deadline apart."""
    return _VERDICTS.get((outcome, repeatable, progress), Verdict.FINAL)


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A request whose attempt gave no whole answer.

    Attributes:
        outcome: Of that attempt.
        reached: Whether it reached a backend server, as far as is known.
        repeatable: Whether the request may run twice.
        progress: What the caller has.
        resumable: Whether another replica can go on from there.
        suspect: Whether it had crashed a replica before that attempt.
        attempts: How often it was sent.
        left_ms: Time until its deadline, less that of a run.
        crowded: Whether others of its service wait.
    """

    outcome: requesting.Outcome
    reached: bool
    repeatable: bool
    progress: Progress
    resumable: bool
    suspect: bool
    attempts: int
    left_ms: float
    crowded: bool


def hurdle(ended: Ended) -> str | None:
    """Returns why no other attempt may follow, the budget apart.

    Args:
        ended: What is to be tried again.
    """
    follows = verdict(ended.outcome, ended.repeatable, ended.progress)
    hurdles = (
        (follows is Verdict.FINAL, "it must not be tried again"),
        (follows is Verdict.RESUME and
         not ended.resumable, "its backend server can't go on with a stream"),
        (ended.suspect, "a request suspected of a crash is not tried again"),
        (ended.attempts >= MAX_ATTEMPTS, f"{ended.attempts} attempts are "
         "enough"),
        (ended.left_ms <= 0, "there is no time left for another"),
        # When a whole service is slow, retries would be what keeps it slow.
        (not is_free(ended) and ended.crowded and
         ended.outcome is not requesting.Outcome.NOT_RUN,
         "others of its service wait"),
    )
    return next((reason for stands, reason in hurdles if stands), None)


def is_free(ended: Ended) -> bool:
    """Tells whether another attempt adds nothing to the load.

    A stream that broke takes the place that it had, and where nothing reached
    a backend server nothing was spent.

    Args:
        ended: What is to be tried again.
    """
    follows = verdict(ended.outcome, ended.repeatable, ended.progress)
    return follows is Verdict.RESUME or not ended.reached


def why_not(ended: Ended, budget: "Budget") -> str | None:
    """Returns why no other attempt may follow; None takes one of the budget.

    Args:
        ended: What is to be tried again.
        budget: Of its service.
    """
    stands = hurdle(ended)
    if stands is not None or is_free(ended) or budget.take():
        return stands
    return "the retry budget is spent"


_CERTAINTY = (_Outcome.RAN, _Outcome.UNKNOWN, _Outcome.NOT_RUN)


def combined(first: requesting.Outcome,
             second: requesting.Outcome) -> requesting.Outcome:
    """Returns the outcome of a request with two attempts.

    A request whose last attempt was refused has still run if an earlier one
    may have: a caller who were told `not-run` would have it billed twice.
    """
    return min(first, second, key=_CERTAINTY.index)


class Budget:
    """Retries of a service: a fraction of its successes.

    When a whole service fails, each retry is one more request to a service
    that can't do those it has; the budget bounds them to
    ``RESERVE + fraction * successes`` whatever happens.

    Attributes:
        left: Retries that may be made now.
    """

    def __init__(self) -> None:
        self.left = RESERVE

    def succeeded(self, fraction: float) -> None:
        """Counts a success.

        Args:
            fraction: Retries that one success allows.
        """
        self.left = min(RESERVE, self.left + fraction)

    def take(self) -> bool:
        """Takes one retry; tells whether there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
