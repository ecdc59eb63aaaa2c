"""Tests of the admission of requests by routes and API keys."""

import json

import pytest

from cardamommill.experiment import deployments
from cardamommill.gateway.requests import routetable
from cardamommill.gateway.shell import admitting
from cardamommill.platform import configurations, wirenames
from cardamommill.transport import callers

HELD, REMOVED, NEVER_HELD = "held-key", "removed-key", "other-key"
RECORDS, PAGES = "/records/1", "/pages/1"
ABSENT = object()
KINDS = tuple(
    deployments.KindSpec(name=name, per_s=1) for name in ("records", "pages"))
DEPLOYMENT = deployments.Deployment(name="d", models=(), kinds=KINDS)


def account(*keys):
    return {"name": "account", "apiKeys": list(keys)}


def table(tenants):
    """Returns a route table; the route `pages` is public."""
    found = DEPLOYMENT.configuration(7, [])
    found["routes"][1]["public"] = True
    del found["tenants"]
    if tenants is not ABSENT:
        found["tenants"] = tenants
    return routetable.RouteTable(
        configurations.decode(json.dumps(found).encode()))


class Node:
    """A node that has just confirmed its configuration."""

    def __init__(self, tenants):
        self._table = table(tenants)

    def table(self):
        return self._table

    def config_age_ms(self):
        return 0.0

    def may_accept_keys(self):
        return True


def admit(tenants, key, path=RECORDS):
    """Returns the status of a rejection, or the account that was admitted."""
    headers = [("Host", "model.example"), (wirenames.ATTEMPT_ID, "a1")]
    if key is not None:
        headers.append(("Authorization", f"Bearer {key}"))
    found = admitting.admit(
        Node(tenants), callers.CallerRequest("POST", path, headers, b"", 0.0))
    if isinstance(found, admitting.Rejection):
        return found.status
    return found.tenant.name if found.tenant else None


# The outcome by key: one that the list holds, one that it no longer holds, one
# that it never held, and none.
@pytest.mark.parametrize("tenants,outcomes", [
    ([account(HELD)], ("account", 401, 401, 401)),
    ([account()], (401, 401, 401, 401)),
    ([], (401, 401, 401, 401)),
    (None, (401, 401, 401, 401)),
    (ABSENT, (None, None, None, None)),
],
                         ids=["present", "no-keys", "empty", "null", "absent"])
def test_empty_list_of_accounts_opens_no_route(tenants, outcomes):
    """Guards against requests of anybody once the last account is removed."""
    assert tuple(
        admit(tenants, key)
        for key in (HELD, REMOVED, NEVER_HELD, None)) == outcomes


@pytest.mark.parametrize("tenants", [[account(HELD)], [], None, ABSENT])
@pytest.mark.parametrize("key", [HELD, NEVER_HELD, None])
def test_public_route_needs_no_key(tenants, key):
    """Guards against public routes that close with the last account."""
    assert admit(tenants, key, PAGES) is None
