"""Tests of what a node tells operators of their rows."""

import asyncio
import json
import types

from cardamommill import metrics
from cardamommill.domain import clock
from cardamommill.experiment import deployments, virtualloop, world
from cardamommill.gateway.requests import freshness, routetable
from cardamommill.gateway.shell import (
    configurationrows,
    eligibletargets,
    nodestatus,
    operatorrows,
)
from cardamommill.gateway.tables import tablereader
from cardamommill.platform import fetching, storecalls
from cardamommill.transport import upstream
from tests.gateway import builders

KEY = "secret-key"
SETTINGS = builders.settings()


def wire(**tenant):
    deployment = deployments.Deployment(name="d", models=(), kinds=())
    found = deployment.configuration(7, [("t", KEY)])
    found["tenants"][0].update(tenant)
    return json.dumps(found).encode()


class Node:
    """The parts of a node that its status is about."""

    def __init__(self, refused_entries=None):
        self.rows = operatorrows.OperatorRows(SETTINGS, metrics.Metrics())
        self.fresh = freshness.Freshness(5000.0)
        self.targets = eligibletargets.EligibleTargets(SETTINGS,
                                                       self.rows.evacuations)
        self.reader = types.SimpleNamespace(table=None, table_since_ms=0.0)
        more = [refused_entries] if refused_entries else []
        self._status = nodestatus.NodeStatus(self.reader, self.rows, self.fresh,
                                             self.targets, *more)

    def evacuate(self, *names):
        rows = tuple(
            storecalls.Row(f"evacuate/{each}", b"{}", 3) for each in names)
        self.rows.apply(
            tablereader.ReadResult(storecalls.Rows(rows, 3, clock.now_ms()),
                                   False, False))

    def use(self, value):
        found = self.rows.configurations.evaluate(value, 4)
        if found.verdict is configurationrows.Verdict.ACCEPTED:
            self.reader.table = routetable.RouteTable(found.configuration)
            self.reader.table_since_ms = clock.now_ms()

    def page(self):
        text = json.dumps(self._status.page(), allow_nan=False)
        assert KEY not in text
        return json.loads(text)


def run(script, **changes):

    async def main():
        await asyncio.sleep(1.0)
        return await script(Node(**changes))

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_node_without_configuration_has_a_status():
    """Guards against a page that fails just when it is needed."""

    async def script(node):
        return node.page()

    assert run(script) == {
        "configuration": None,
        "refused_configuration": None,
        "evacuations": [],
        "unknown_evacuations": [],
        "refused_list_entries": 0
    }


def test_configuration_in_force_has_version_and_ages():
    """Guards against a node that is behind unnoticed."""

    async def script(node):
        node.use(wire())
        never = node.page()["configuration"]
        node.fresh.confirm(clock.now_ms())
        await asyncio.sleep(2.0)
        return never, node.page()["configuration"]

    never, found = run(script)
    assert never == {
        "version": 7,
        "routes_version": 7,
        "age_ms": 0,
        "confirmed_age_ms": None
    }
    assert found == never | {"age_ms": 2000, "confirmed_age_ms": 2000}


def test_last_refusal_names_field_and_expectation():
    """Guards against a refused configuration that nobody can mend."""

    async def script(node):
        node.use(wire(priority=-1))
        await asyncio.sleep(1.0)
        return node.page()["refused_configuration"]

    assert run(script) == {
        "row": "config",
        "row_version": 4,
        "field": "tenants.0.priority",
        "value": "-1",
        "found": "number",
        "expected": "a priority of at least 0",
        "age_ms": 1000
    }


def test_refusal_of_a_misplaced_key_shows_no_key():
    """Guards against keys on a page without authentication."""

    async def script(node):
        node.use(wire(apiKeys=KEY))
        found = node.page()["refused_configuration"]
        node.use(wire(allowedRegions=[KEY]))
        return found, node.page()["refused_configuration"]

    for found in run(script):
        assert found["value"] == ""


def test_evacuations_are_listed_with_the_requests_that_still_run():
    """Guards against a data centre that is switched off while requests run."""

    async def script(node):
        node.targets.attempt_started("b")
        node.targets.attempt_started("b")
        node.targets.attempt_ended("b")
        node.evacuate("b", "z")
        await asyncio.sleep(1.5)
        return node.page()

    page = run(script)
    assert page["evacuations"] == [{
        "data_centre": "b",
        "row_version": 3,
        "age_ms": 1500,
        "running": 1
    }]
    assert page["unknown_evacuations"] == [{
        "data_centre": "z",
        "row_version": 3,
        "age_ms": 1500
    }]


def test_refused_list_entries_are_counted():
    """Guards against rows of other writers that list no runner unnoticed."""

    async def script(node):
        return node.page()["refused_list_entries"]

    assert run(script, refused_entries=lambda: 3) == 3


def test_node_serves_its_status():
    """Guards against a page that no server answers."""
    deployment = deployments.Deployment(name="d",
                                        places={"a": 1},
                                        models=(),
                                        kinds=())

    async def script(simulation):
        await simulation.start()
        await asyncio.sleep(3)
        request = fetching.request_bytes("GET", "/status", [("Host", "n")])
        with upstream.Pool() as pool:
            host = simulation.machines["node-a-1"].host
            return await fetching.fetch(pool, (host, world.READY_PORT), request,
                                        1000)

    with virtualloop.running(1) as loop:
        simulation = world.World(deployment, 1, loop)
        answer = loop.run_until_complete(script(simulation))
    assert answer.head.status == 200
    assert json.loads(answer.body)["configuration"]["version"] == 7
