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


def test_refusal_names_the_evacuated_data_centres():
    """Guards against refusals whose cause the log does not tell."""
    found = eligibility.decide(None, None, frozenset({"b1", "a1"}), REGIONS)
    assert "evacuated a1,b1" in found.refusal_reason
