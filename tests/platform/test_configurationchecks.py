"""Tests of the values that a configuration may have."""

import json

import pytest

from cardamommill.experiment import deployments
from cardamommill.platform import (
    configurationchecks,
    configurationfaults,
    configurations,
)

KEY = "secret-key"
REGIONS = frozenset({"north", "south"})
DEPLOYMENT = deployments.Deployment(name="d",
                                    models=(deployments.ModelSpec(name="large",
                                                                  size=4,
                                                                  share=1.0),),
                                    kinds=(deployments.KindSpec(
                                        name="k", per_s=1, model="large"),))


def wire(change):
    found = DEPLOYMENT.configuration(7, [("t", KEY)])
    change(found)
    return json.dumps(found).encode()


def find(change, regions=REGIONS):
    return configurationchecks.find_fault(configurations.decode(wire(change)),
                                          regions)


def route(**fields):
    return lambda found: found["routes"][0].update(fields)


def account(**fields):
    return lambda found: found["tenants"][0].update(fields)


def service(**fields):
    return lambda found: found["services"][1].update(fields)


@pytest.mark.parametrize("change,field,value", [
    (route(priority=-1), "routes.0.priority", "-1"),
    (account(priority=-2), "tenants.0.priority", "-2"),
    (route(allowedRegions=["north", "wst"]), "routes.0.allowedRegions.1",
     "wst"),
    (account(allowedRegions=["east"]), "tenants.0.allowedRegions.0", "east"),
    (service(coldS=-0.5), "services.plain.coldS", "-0.5"),
    (service(coldPerS=-14), "services.plain.coldPerS", "-14"),
])
def test_value_out_of_range_is_found(change, field, value):
    """Guards against configurations that can't be obeyed as written."""
    found = find(change)
    assert (found.field, found.value) == (field, value)
    assert found.expected


@pytest.mark.parametrize("change", [
    lambda found: None,
    route(priority=0),
    route(priority=9),
    route(priority=10),
    account(priority=12),
    account(priority=None),
    route(allowedRegions=["north", "south"]),
    route(allowedRegions=[]),
    account(allowedRegions=None),
    service(coldS=0, coldPerS=0),
    service(coldS=3.0, coldPerS=14.0),
])
def test_value_in_range_is_no_fault(change):
    """Guards against the refusal of valid configurations."""
    assert find(change) is None


def test_any_region_is_allowed_where_the_settings_name_none():
    """Guards against refusals in deployments without regions."""
    assert find(route(allowedRegions=["anywhere"]), frozenset()) is None


def test_fault_does_not_show_a_key_that_stands_for_a_region():
    """Guards against keys in the log after an operator's mistake."""
    found = find(account(allowedRegions=[KEY]))
    assert found.field == "tenants.0.allowedRegions.0"
    assert KEY not in repr(found)


@pytest.mark.parametrize("change,field,kind", [
    (lambda found: found.pop("version"), "version", "nothing"),
    (account(apiKeys=KEY), "tenants.0.apiKeys", "string"),
    (account(apiKeys=[{
        "k": KEY
    }]), "tenants.0.apiKeys.0", "object"),
    (account(priority=KEY), "tenants.0.priority", "string"),
    (account(name=[KEY]), "tenants.0.name", "array"),
    (route(type=KEY), "routes.0.type", "string"),
    (route(prefix=KEY), "routes.0.prefix", "string"),
    (service(coldS=KEY), "services.1.coldS", "string"),
    (lambda found: found.update(tenants={"x": KEY}), "tenants", "object"),
])
def test_undecodable_configuration_names_field_and_kind_but_no_key(
        change, field, kind):
    """Guards against keys in the log, and against faults without a place."""
    with pytest.raises(configurationfaults.UndecodableConfiguration) as caught:
        configurations.decode(wire(change))
    fault = caught.value.fault
    assert (fault.field, fault.found_kind) == (field, kind)
    assert fault.expected
    assert KEY not in repr(fault) + str(caught.value)


def test_text_that_is_no_json_is_not_shown():
    """Guards against keys in the log of a configuration that is cut off."""
    value = wire(lambda found: None)
    cut = value[:value.index(KEY.encode()) + len(KEY)]
    with pytest.raises(configurationfaults.UndecodableConfiguration) as caught:
        configurations.decode(cut)
    assert KEY not in repr(caught.value.fault) + str(caught.value)
