"""Tests of the decision that follows an attempt."""

import itertools

from cardamommill.gateway.requests import retrydecision
from cardamommill.gateway.requests.attemptresult import Result


def test_only_unsent_and_refused_attempts_count_as_not_run():
    assert {each for each in Result if not retrydecision.may_have_run(each)
           } == {Result.NOT_RUN, Result.UNSENT}


def test_request_that_may_have_run_is_never_answered_as_not_run():
    for result, repeatable, elsewhere in itertools.product(
            Result, (True, False), (True, False)):
        ran = retrydecision.may_have_run(result)
        state = retrydecision.RequestState(repeatable, ran, elsewhere)
        step = retrydecision.next_step(result, state)
        assert not (ran and step is retrydecision.NextStep.ANSWER_NOT_RUN)


def test_request_that_may_run_once_is_retried_only_if_it_did_not_run():
    for result in Result:
        step = retrydecision.next_step(
            result, retrydecision.RequestState(False, False, True))
        if step is retrydecision.NextStep.RETRY:
            assert result in (Result.NOT_RUN, Result.UNSENT)


def test_refusal_after_an_attempt_that_may_have_run_is_answered_as_unknown():
    state = retrydecision.RequestState(True, True, False)
    assert retrydecision.next_step(
        Result.NOT_RUN, state) is retrydecision.NextStep.ANSWER_UNKNOWN


def test_repeatable_request_is_retried():
    state = retrydecision.RequestState(True, True, True)
    for result in (Result.BROKEN, Result.DIVERTED, Result.NOT_RUN):
        assert retrydecision.next_step(result,
                                       state) is retrydecision.NextStep.RETRY
