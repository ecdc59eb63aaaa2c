"""Tests of what may follow on a failed attempt."""

import itertools

import hypothesis
from hypothesis import strategies as st

from cardamommill import requesting, retries

NOT_RUN = requesting.Outcome.NOT_RUN
RAN = requesting.Outcome.RAN
UNKNOWN = requesting.Outcome.UNKNOWN


def ended(**fields) -> retries.Ended:
    values = {
        "outcome": UNKNOWN,
        "reached": True,
        "repeatable": True,
        "progress": retries.Progress.NOTHING,
        "resumable": True,
        "suspect": False,
        "attempts": 1,
        "left_ms": 1000.0,
        "crowded": False,
    }
    return retries.Ended(**(values | fields))


def test_what_may_have_run_and_is_not_repeatable_is_final():
    for outcome, progress in itertools.product((RAN, UNKNOWN),
                                               retries.Progress):
        assert retries.verdict(outcome, False,
                               progress) is retries.Verdict.FINAL


def test_bytes_that_a_caller_has_are_never_followed_by_another_answer():
    for outcome, repeatable in itertools.product(requesting.Outcome,
                                                 (True, False)):
        assert retries.verdict(outcome, repeatable,
                               retries.Progress.BYTES) is retries.Verdict.FINAL


def test_each_hurdle_stops_a_retry():
    assert retries.why_not(ended(), retries.Budget()) is None
    for hurdle in ({
            "outcome": RAN
    }, {
            "progress": retries.Progress.EVENTS,
            "resumable": False
    }, {
            "suspect": True
    }, {
            "attempts": retries.MAX_ATTEMPTS
    }, {
            "left_ms": 0
    }, {
            "crowded": True
    }):
        assert retries.why_not(ended(**hurdle), retries.Budget())


@hypothesis.given(st.permutations([NOT_RUN, UNKNOWN, RAN]),
                  st.lists(st.sampled_from([NOT_RUN, UNKNOWN, RAN])))
def test_combined_outcome_is_the_most_certain_to_have_run(order, rest):
    combined = NOT_RUN
    for outcome in rest:
        combined = retries.combined(combined, outcome)
    assert combined is next((each for each in (RAN, UNKNOWN) if each in rest),
                            NOT_RUN)
    assert retries.combined(order[0],
                            order[1]) is retries.combined(order[1], order[0])


@hypothesis.given(st.lists(st.booleans(), max_size=400), st.floats(0, 1))
def test_retries_stay_within_a_fraction_of_the_successes(succeeded, fraction):
    """A whole service fails, and each failure asks for another attempt.

    Without the budget each request would become up to four, at a service
    that can't do the first one.
    """
    budget = retries.Budget()
    successes = taken = 0
    for success in succeeded:
        if success:
            budget.succeeded(fraction)
            successes += 1
        elif retries.why_not(ended(), budget) is None:
            taken += 1
        assert taken <= retries.RESERVE + fraction * successes + 1e-9
