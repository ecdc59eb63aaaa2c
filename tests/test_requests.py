"""Tests of a request's way from arrival to answer."""

from cardamommill import actions, events, requesting
from tests import requestnode

NOT_RUN = requesting.Outcome.NOT_RUN
RAN = requesting.Outcome.RAN
UNKNOWN = requesting.Outcome.UNKNOWN


def test_repeatable_stream_is_sent_and_finished():
    node = requestnode.Node()
    dispatch = requestnode.only(node.arrive("a"), actions.Dispatch)
    assert not dispatch.keep_answer
    node.step(events.AttemptStarted("a", dispatch.attempt_id, 200), 20)
    done = node.ended(dispatch, delivered=5)
    assert done == [actions.Finish("a", 1)]
    assert not node.board.requests.stages
    assert not node.board.limits.uses[(requestnode.SERVICE,
                                       "office")].concurrent


def test_non_repeatable_waits_for_its_claim():
    node = requestnode.Node()
    assert node.arrive("a", repeatable=False, idempotency_key="k") == []
    done = node.step(events.ClaimGranted("a"), 20)
    dispatch = requestnode.only(done, actions.Dispatch)
    assert dispatch.keep_answer
    assert requestnode.kinds(node.ended(dispatch)) == ["Finish"]
