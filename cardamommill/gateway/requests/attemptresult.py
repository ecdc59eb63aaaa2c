"""The result of an attempt of a request at one runner."""

import enum


class Result(enum.Enum):
    """The result of an attempt."""

    # A complete answer, to be passed to the caller.
    ANSWERED = "answered"
    # A complete answer that reports a failure of the runner. Another runner may
    # succeed.
    FAILED = "failed"
    # A complete stream, whose events were passed to the caller.
    STREAMED = "streamed"
    # The runner stated that it did not run the request.
    NOT_RUN = "not-run"
    # No byte of the request left this node.
    UNSENT = "unsent"
    # The request may have run: there was no answer, or a truncated or invalid
    # one.
    BROKEN = "broken"
    # This node cancelled the attempt because its group became silent.
    DIVERTED = "diverted"
    # The deadline of the request passed.
    TIMED_OUT = "timed-out"
    # The caller closed its connection.
    ABANDONED = "abandoned"


# The runner gave a complete answer that reports no failure of its own.
SUCCEEDED = frozenset({Result.ANSWERED, Result.STREAMED})
