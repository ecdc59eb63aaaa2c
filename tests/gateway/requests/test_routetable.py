"""Tests of the route table."""

import random

from cardamommill.domain import model
from cardamommill.gateway.requests import routetable

LIMITS = model.Limits(1, 1, 1, 1)


def route(name, prefix, host="h", backends=(("s", 1.0),)):
    return model.Route(name, host, prefix, model.RouteKind.IDEMPOTENT, 1000, 0,
                       0, 1, backends, 1, False, False)


def table(*routes, tenants=()):
    return routetable.RouteTable(
        model.Configuration(1, routes, {}, LIMITS, tenants))


def test_longest_prefix_wins():
    found = table(route("short", "/a/"), route("long", "/a/b/"))
    assert found.route("h", "/a/b/c?x=/a/").name == "long"
    assert found.route("h", "/a/bc").name == "short"
    assert found.route("h", "/a/b").name == "short"


def test_path_without_a_matching_prefix_has_no_route():
    assert table(route("a", "/a/")).route("h", "/b/a/") is None
    assert table(route("a", "/a/")).route("other", "/a/x") is None


def test_query_is_not_a_part_of_the_path():
    assert table(route("a", "/a/")).route("h", "/?x=/a/") is None


def test_host_matches_with_port_and_in_any_case():
    assert table(route("root", "/")).route("H:80", "/x").name == "root"


def test_tenant_is_found_by_digest():
    tenant = model.Tenant("t", (b"d",), 1)
    found = table(tenants=(tenant,))
    assert found.tenant(b"d") is tenant and found.tenant(b"e") is None
    assert found.needs_keys


def test_backends_are_drawn_by_weight_once_each():
    split = route("a", "/a/", backends=(("x", 90.0), ("y", 10.0), ("z", 0.0)))
    rng = random.Random(1)
    first = [routetable.draw_service_order(split, rng) for _ in range(1000)]
    assert 850 <= sum(each[0] == "x" for each in first) <= 940
    assert all(sorted(each) == ["x", "y"] for each in first)
