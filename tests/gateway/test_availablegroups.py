"""Tests of which groups take requests."""

import pytest

from cardamommill.gateway import availablegroups, model, platformreader
from tests.gateway import builders

KEY = model.GroupKey("g", 3)
STATE = model.MemberState


def members(head_state=STATE.OPEN, row_version=1, **changes):
    states = [head_state, STATE.READY, STATE.READY, STATE.READY]
    return [
        builders.runner(number,
                        row_version,
                        membership=builders.member(KEY, number, state),
                        served="large",
                        domain=changes.get("domains", ["d"] * 4)[number],
                        leaving=number == changes.get("leaving", -1))
        for number, state in enumerate(states)
    ]


def groups(view):
    return list(availablegroups.AvailableGroups(view).of_model("llm", "large"))


def test_open_group_takes_requests():
    (found,) = groups(builders.view(*members()))
    assert found.key == KEY and found.head.runner.id == "i-0"
    assert not found.spans_domains and not found.has_leaving_member


@pytest.mark.parametrize(
    "state", [STATE.JOINING, STATE.READY, STATE.CLOSING, STATE.BROKEN])
def test_group_that_is_not_open_takes_none(state):
    assert not groups(builders.view(*members(state)))


def test_group_whose_head_is_leaving_takes_none():
    # A leaving backend server may get nothing 2 s after it said so; its group
    # is ended only once its requests are done.
    assert not groups(builders.view(*members(leaving=0)))


def test_group_with_a_leaving_member_is_the_last_choice():
    (found,) = groups(builders.view(*members(leaving=2)))
    assert found.has_leaving_member


def test_group_with_a_member_that_does_not_answer_takes_none():
    view = builders.view(*members())
    view.record_no_answer("i-2", 2000)
    assert not groups(view)


def test_group_whose_head_left_the_list_takes_none():
    view = builders.view(*members())
    view.apply_list(members()[1:], 2000)
    assert not groups(view)


def test_group_over_two_domains_is_known_as_slow():
    (found,) = groups(builders.view(*members(domains=["d", "d", "d", "e"])))
    assert found.spans_domains


def test_change_of_belief_is_seen_at_once():
    view = builders.view(*members())
    found = availablegroups.AvailableGroups(view)
    assert found.of_model("llm", "large")
    view.record_no_answer("i-1", 2000)
    assert not found.of_model("llm", "large")


def test_alarm_is_heeded_for_its_time_or_until_it_is_taken_back():
    found = availablegroups.AvailableGroups(builders.view(*members()))
    found.avoid(KEY, 1000)
    assert found.is_avoided(KEY, 999) and not found.is_avoided(KEY, 1000)
    found.avoid(KEY, 3000)
    found.stop_avoiding(KEY)
    assert not found.is_avoided(KEY, 2000)


def test_dead_group_is_left_alone_until_the_list_can_say_so():
    """A head dies right after its heartbeat; a node finds it dead at once.

    Its entry goes three heartbeats later, and each node learns of that with its
    next reading. Until then the list says that it serves: an alarm that ends
    before has every node send it requests again, and notice again.
    """
    heartbeat_ms, drain_ms = 1200.0, 2000.0
    gone_ms = 4 * heartbeat_ms
    known_ms = gone_ms + platformreader.LIST_INTERVAL_RATIO * drain_ms
    heeded_ms = availablegroups.confirmed_alarm_ms(heartbeat_ms, drain_ms)
    assert heeded_ms > known_ms
