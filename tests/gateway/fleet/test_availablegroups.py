"""Tests of which groups accept requests."""

import pytest

from cardamommill.domain import model
from cardamommill.gateway.fleet import availablegroups
from cardamommill.gateway.shell import platformreader
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


def test_open_group_is_available():
    (found,) = groups(builders.view(*members()))
    assert found.key == KEY and found.head.runner.id == "i-0"
    assert not found.spans_domains and not found.has_leaving_member


@pytest.mark.parametrize(
    "state", [STATE.JOINING, STATE.READY, STATE.CLOSING, STATE.BROKEN])
def test_group_that_is_not_open_is_unavailable(state):
    assert not groups(builders.view(*members(state)))


def test_group_with_a_leaving_head_is_unavailable():
    # A leaving backend server must get no requests from 2 s after its
    # announcement; its group is closed only after its requests have ended.
    assert not groups(builders.view(*members(leaving=0)))


def test_group_with_a_leaving_member_is_available_and_marked():
    (found,) = groups(builders.view(*members(leaving=2)))
    assert found.has_leaving_member


def test_group_with_an_unresponsive_member_is_unavailable():
    view = builders.view(*members())
    view.record_no_answer("i-2", 2000)
    assert not groups(view)


def test_group_with_an_unlisted_head_is_unavailable():
    view = builders.view(*members())
    view.apply_list(members()[1:], 2000)
    assert not groups(view)


def test_group_over_two_domains_is_marked():
    (found,) = groups(builders.view(*members(domains=["d", "d", "d", "e"])))
    assert found.spans_domains


def test_change_of_the_view_takes_effect_at_once():
    view = builders.view(*members())
    found = availablegroups.AvailableGroups(view)
    assert found.of_model("llm", "large")
    view.record_no_answer("i-1", 2000)
    assert not found.of_model("llm", "large")


def test_group_is_avoided_until_a_time_or_until_ended():
    found = availablegroups.AvailableGroups(builders.view(*members()))
    found.avoid(KEY, 1000)
    assert found.is_avoided(KEY, 999) and not found.is_avoided(KEY, 1000)
    found.avoid(KEY, 3000)
    found.stop_avoiding(KEY)
    assert not found.is_avoided(KEY, 2000)


def test_dead_group_is_avoided_and_comes_back_with_an_answer():
    """A member that answers again ends both states, or the group stays idle."""
    available = availablegroups.AvailableGroups(builders.view(*members()))
    available.avoid(KEY, 500.0)
    assert not available.is_down(KEY, 100.0)
    available.mark_down(KEY, 900.0)
    assert available.is_down(KEY, 600.0)
    assert available.is_avoided(KEY, 600.0)
    available.stop_avoiding(KEY)
    assert not available.is_down(KEY, 600.0)
    available.mark_down(KEY, 900.0)
    assert not available.is_down(KEY, 900.0)


def test_dead_group_is_avoided_until_the_list_shows_it():
    """A head dies right after its heartbeat, and a node notices at once.

    The head's entry expires three heartbeats later, or four with delays on the
    way, and each node sees that with its next read of the list. Until then the
    list names it as serving: if the avoidance ended earlier, every node would
    send it requests again and have to detect the failure again.
    """
    heartbeat_ms, drain_ms = 1200.0, 2000.0
    expired_ms = 4 * heartbeat_ms
    listed_ms = expired_ms + platformreader.LIST_INTERVAL_RATIO * drain_ms
    avoided_ms = availablegroups.confirmed_alarm_ms(heartbeat_ms, drain_ms)
    assert avoided_ms > listed_ms
