"""Tests of datagrams that name runners by their instance ids."""

from cardamommill.domain import model
from cardamommill.gateway.nodes import instanceids, peermessage
from cardamommill.gateway.requests import ratelimits, reliability
from tests.gateway import builders

KEY = model.GroupKey("g", 3)


def message(runner, per_s=2.0):
    return peermessage.PeerMessage(
        node="n2",
        incarnation=1,
        data_centre="a",
        sent_ms=1000.0,
        echo_ms=0.0,
        interval_ms=200.0,
        config_version=7,
        config_confirmed_age_ms=0.0,
        in_flight={},
        has_seen_requests=True,
        stopping=False,
        planning_age_ms={},
        alarms=(peermessage.Alarm(KEY, 5.0, True, (runner, "i-9")),),
        opened_groups=(peermessage.OpenedGroup(KEY, "large", runner),),
        attempt_histories=(reliability.AttemptHistory(runner, 1,
                                                      ((7, 10.0),)),),
        limits=(ratelimits.RateLimit(runner, per_s, 900.0, "n2", 900.0),))


def resolved(runner, per_s=2.0, born_ms=20):
    view = builders.view(builders.runner(1, born_ms=born_ms),
                         builders.runner(9))
    return instanceids.resolved(message(runner, per_s), view)


def test_limit_by_instance_id_holds_for_the_listed_incarnation():
    """Otherwise a fleet that is upgraded node by node exceeds the limit."""
    assert [each.runner for each in resolved("i-1").limits] == ["i-1@20"]


def test_lifted_limit_by_instance_id_is_ignored():
    """It may be that of a former incarnation; the next one's still holds."""
    assert not resolved("i-1", per_s=None).limits


def test_all_else_by_instance_id_is_ignored():
    """Failures of the former incarnation must not count for the next one."""
    found = resolved("i-1")
    assert not found.opened_groups and not found.attempt_histories
    assert found.alarms[0].silent == ("i-9",)


def test_message_with_incarnation_ids_is_left_as_it_is():
    for runner in ("i-1@20", "i-1@10", "i-5"):
        assert resolved(runner) == message(runner)


def test_ids_of_runners_without_births_are_left_as_they_are():
    assert resolved("i-1", born_ms=None) == message("i-1")
