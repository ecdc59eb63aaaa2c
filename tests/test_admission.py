"""Tests of the queues and of who is given up when they are full."""

import hypothesis
from hypothesis import strategies as st

from cardamommill import actions, admission, documents, requesting
from tests import requestnode

WAITING = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.integers(0, 5)))


def queue_of(waiting) -> admission.Queue:
    queue = admission.Queue()
    for number, (account, priority, deadline_ms) in enumerate(waiting):
        queue.add(str(number), account, priority, deadline_ms)
    return queue


@hypothesis.given(WAITING, st.sets(st.sampled_from("abc")))
def test_order_is_priority_then_share_then_deadline_then_arrival(waiting, over):
    queue = queue_of(waiting)
    expected = sorted(range(len(waiting)),
                      key=lambda number: (waiting[number][1], waiting[number][0]
                                          in over, waiting[number][2], number))
    order = list(queue.in_order(over.__contains__))
    assert [int(each.request_id) for each in order] == expected
    for account, priority in (("a", 1), ("b", 2)):
        new = (priority, account in over, 3)
        assert queue.ahead(account, priority, 3, over.__contains__) == sum(
            (each.priority, each.account in over, each.deadline_ms) <= new
            for each in order)


@hypothesis.given(WAITING.filter(len), st.sets(st.sampled_from("abc")))
def test_last_is_of_the_least_urgent_and_over_share_if_any_is(waiting, over):
    last = queue_of(waiting).last(over.__contains__)
    worst = max(priority for _, priority, _ in waiting)
    assert last.priority == worst
    accounts = {each for each, priority, _ in waiting if priority == worst}
    assert (last.account in over) == bool(accounts & over)


@hypothesis.given(WAITING, st.data())
def test_removed_requests_are_gone(waiting, data):
    queue = queue_of(waiting)
    removed = data.draw(st.sets(st.integers(0, 9)))
    for number in removed:
        queue.remove(str(number))
    left = {each.request_id for each in queue.in_order(lambda account: False)}
    assert left == {
        str(number) for number in range(len(waiting)) if number not in removed
    }
    assert len(queue) == len(left)


def full_node(queue_length: int = 3) -> requestnode.Node:
    """Returns a node with four running requests of 1 s each, and no slot."""
    doc = requestnode.document(limits=documents.Limits(
        queue_length=queue_length))
    node = requestnode.Node(replicas=1, doc=doc)
    for name in "abcd":
        first = requestnode.only(node.arrive(name), actions.Dispatch)
        node.ended(first, after_ms=1000)
        node.refresh()
    for name in "efgh":
        requestnode.only(node.arrive(name), actions.Dispatch)
    return node


def test_queue_is_bounded_and_the_urgent_take_the_place_of_others():
    """The queue is full of ordinary requests when a review draft comes.

    It must take the place of the least urgent one, which gets its refusal at
    that moment, with when to come again; one more ordinary one is refused.
    """
    node = full_node()
    for name in "xyz":
        assert node.arrive(name) == []
    refuse = requestnode.only(node.arrive("urgent", priority=1), actions.Refuse)
    assert refuse.request_id == "z"
    assert refuse.problem.status == 503
    assert refuse.problem.outcome is requesting.Outcome.NOT_RUN
    assert refuse.problem.retry_after_s >= 1
    assert requestnode.only(node.arrive("more"),
                            actions.Refuse).request_id == "more"


def test_what_cannot_be_done_in_time_is_refused_at_once():
    node = full_node(queue_length=100)
    for number in range(8):
        assert node.arrive(f"x{number}") == []
    done = node.arrive("late",
                       account="portal",
                       priority=9,
                       deadline_ms=node.now_ms + 2500)
    problem = requestnode.only(done, actions.Refuse).problem
    assert problem.status == 503
    assert "after its deadline" in problem.detail


def test_advice_when_to_come_again_is_spread():
    advice = set()
    node = full_node(queue_length=100)
    for number in range(40):
        node.arrive(f"x{number}")
    for number in range(30):
        done = node.arrive(f"late{number}",
                           priority=9,
                           deadline_ms=node.now_ms + 1500)
        refuse = requestnode.only(done, actions.Refuse)
        advice.add(refuse.problem.retry_after_s)
    # 40 seconds of work wait at 4 slots.
    assert min(advice) >= 9 and len(advice) > 5


def test_waiting_request_that_is_late_already_takes_no_slot():
    """A request waits until its run can't end before its deadline.

    To send it would spend a slot on an answer that nobody can use.
    """
    node = full_node()
    assert node.arrive("x", deadline_ms=node.now_ms + 1500) == []
    done = node.tick(600)
    assert requestnode.only(done, actions.Refuse).request_id == "x"
