"""Tests of what follows a try."""

import itertools

from cardamommill.gateway import endings
from cardamommill.gateway.attempts import Result


def test_only_a_try_that_surely_did_not_run_counts_as_that():
    assert {each for each in Result if not endings.may_have_run(each)
           } == {Result.NOT_RUN, Result.UNSENT}


def test_request_that_may_have_run_is_never_said_not_to_have():
    for result, repeatable, elsewhere in itertools.product(
            Result, (True, False), (True, False)):
        ran = endings.may_have_run(result)
        state = endings.State(repeatable, ran, elsewhere)
        step = endings.after(result, state)
        assert not (ran and step is endings.Next.SAY_NOT_RUN)


def test_request_that_may_run_once_goes_elsewhere_only_if_it_did_not_run():
    for result in Result:
        step = endings.after(result, endings.State(False, False, True))
        if step is endings.Next.ELSEWHERE:
            assert result in (Result.NOT_RUN, Result.UNSENT)


def test_refusal_after_an_earlier_try_that_may_have_run_promises_nothing():
    state = endings.State(True, True, False)
    assert endings.after(Result.NOT_RUN, state) is endings.Next.SAY_UNKNOWN


def test_repeatable_request_goes_on_elsewhere():
    state = endings.State(True, True, True)
    for result in (Result.BROKEN, Result.DIVERTED, Result.NOT_RUN):
        assert endings.after(result, state) is endings.Next.ELSEWHERE
