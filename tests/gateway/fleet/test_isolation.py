"""Tests of when a node suspects its own isolation."""

from cardamommill.gateway.fleet import fleetview, isolation
from tests.gateway import builders


def members(place, domain, first):
    runners = [
        builders.runner(first + number, place=place, domain=domain)
        for number in range(2)
    ]
    return list(builders.view(*runners).known.values())


def test_groups_of_one_domain_may_have_failed_together():
    """A dark domain must not make a node count attempts at dead heads."""
    found = isolation.Isolation()
    assert not found.record_unreachable(members("a", "d0", 0), 0.0)
    assert not found.record_unreachable(members("a", "d0", 2), 10.0)
    assert not found.is_suspected(10.0)


def test_groups_without_a_common_domain_make_a_node_suspect_itself():
    found = isolation.Isolation()
    found.record_unreachable(members("a", "d0", 0), 0.0)
    assert found.record_unreachable(members("b", "d0", 2), 10.0)
    assert not found.record_unreachable(members("a", "d1", 4), 20.0)
    assert found.is_suspected(20.0)


def test_suspicion_ends_with_an_answer_or_with_time():
    """A suspicion that stays would deny requests their retries for good."""
    found = isolation.Isolation()
    found.record_unreachable(members("a", "d0", 0), 0.0)
    found.record_unreachable(members("b", "d0", 2), 10.0)
    assert found.is_suspected(isolation.WINDOW_MS - 1)
    assert not found.is_suspected(isolation.WINDOW_MS)
    found.record_unreachable(members("a", "d0", 0), 5000.0)
    found.record_unreachable(members("b", "d0", 2), 5000.0)
    found.record_answer()
    assert not found.is_suspected(5000.0)


def test_group_over_two_domains_shares_them_with_others():
    found = isolation.Isolation()
    both: list[fleetview.RunnerRecord] = [
        *members("a", "d0", 0), *members("a", "d1", 2)
    ]
    found.record_unreachable(both, 0.0)
    assert not found.record_unreachable(members("a", "d1", 4), 1.0)
