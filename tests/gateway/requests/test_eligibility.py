"""Tests of the data centres to which a request may go."""

import types

import pytest

from cardamommill.gateway.requests import eligibility

REGIONS = {"a1": "north", "a2": "north", "b1": "south", "c1": "west"}


def with_regions(*names):
    return types.SimpleNamespace(allowed_regions=names)


def allowed(route=(), account=(), evacuated=(), regions=REGIONS):
    tenant = None if account is None else with_regions(*account)
    found = eligibility.decide(with_regions(*route), tenant,
                               frozenset(evacuated), regions)
    return {each for each in (*REGIONS, "new") if found.allows(each)}


@pytest.mark.parametrize("evacuated,expected", [
    ((), {"a1", "a2", "b1", "c1", "new"}),
    (("a1",), {"a2", "b1", "c1", "new"}),
    (("a1", "a2", "b1", "c1"), {"new"}),
])
def test_evacuated_data_centres_are_left_out(evacuated, expected):
    """Guards against requests in an evacuated data centre.

    A data centre that the settings don't name yet stays eligible.
    """
    assert allowed(evacuated=evacuated) == expected


@pytest.mark.parametrize("route,account,expected", [
    ((), (), {"a1", "a2", "b1", "c1", "new"}),
    ((), None, {"a1", "a2", "b1", "c1", "new"}),
    (("north",), None, {"a1", "a2"}),
    (("south",), (), {"b1"}),
    ((), ("west",), {"c1"}),
    (("north", "south"), (), {"a1", "a2", "b1"}),
    (("north", "south"), ("south", "west"), {"b1"}),
    (("north",), ("north",), {"a1", "a2"}),
    (("north",), ("south",), set()),
    (("nowhere",), (), set()),
],
                         ids=[
                             "empty", "no-account", "route", "route-south",
                             "account", "regions", "both", "same", "disjoint",
                             "unknown"
                         ])
def test_homes_are_those_of_route_and_account(route, account, expected):
    """Guards against requests in a region that either of them excludes.

    A data centre without a known region is no home of a restricted request.
    """
    assert allowed(route, account) == expected


@pytest.mark.parametrize("evacuated,expected", [
    (("a1",), {"a2"}),
    (("b1",), {"a1", "a2"}),
    (("a1", "a2"), set()),
])
def test_evacuated_homes_are_not_replaced_by_other_regions(evacuated, expected):
    """Guards against service elsewhere while all homes are evacuated."""
    assert allowed(("north",), (), evacuated) == expected


def test_restricted_request_goes_nowhere_where_no_regions_are_known():
    """Guards against service anywhere because the settings lack regions."""
    assert not allowed(("north",), regions={})


def test_request_without_restriction_is_not_filtered():
    """Guards against work for each request where nothing asks for it."""
    found = eligibility.decide(with_regions(), None, frozenset(), REGIONS)
    assert found.is_unrestricted
    assert not allowed(regions={}) ^ {*REGIONS, "new"}


def test_group_with_one_member_in_an_evacuated_data_centre_is_left_out():
    """Guards against work in an evacuated data centre behind a head."""
    found = eligibility.decide(None, None, frozenset({"a1"}), REGIONS)
    assert found.allows_all(("a2", "b1"))
    assert not found.allows_all(("a2", "a1"))


@pytest.mark.parametrize("route,evacuated,expected", [
    ((), ("b1", "a1"), "no runner outside evacuated data centres"),
    (("north",), (), "no runner in the allowed regions"),
    (("north",), ("a1",),
     "no runner in the allowed regions outside evacuated data centres"),
])
def test_refusal_tells_the_cause_but_names_no_data_centre(
        route, evacuated, expected):
    """Guards against refusals without a cause in the log.

    The caller gets the reason too and must not learn of the data centres.
    """
    found = eligibility.decide(with_regions(*route), None, frozenset(evacuated),
                               REGIONS)
    assert found.refusal_reason == expected
