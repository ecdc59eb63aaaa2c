"""Tests of the filter on data centres when the dispatcher finds a target."""

import asyncio
import dataclasses
import types

import pytest

from cardamommill import metrics
from cardamommill.domain import clock, eras, model
from cardamommill.experiment import virtualloop
from cardamommill.gateway.fleet import evacuations
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.requests import (
    attemptresult,
    freshness,
    placing,
    routetable,
)
from cardamommill.gateway.shell import attempts, dispatcher, relay
from cardamommill.transport import callers, upstream
from tests.gateway import builders, relays

STATE = model.MemberState
SETTINGS = builders.settings()
ROUTE = model.Route(name="r",
                    host="h",
                    prefix="/",
                    kind=model.RouteKind.STREAMING,
                    timeout_ms=60_000,
                    goal_ms=0,
                    gap_goal_ms=0,
                    priority=1,
                    backends=(("llm", 1.0),),
                    max_attempts=3,
                    public=False,
                    resumable=True)


def group(name, first, place):
    """Returns the members of an open group in a data centre."""
    key = model.GroupKey(name, 1)
    return [
        builders.runner(first + rank,
                        place=place,
                        served="large",
                        membership=builders.member(
                            key, rank, STATE.READY if rank else STATE.OPEN))
        for rank in range(4)
    ]


class Node:
    """A dispatcher with one group in each of the data centres a and b.

    Attributes:
        sent: The addresses to which requests were sent.
    """

    def __init__(self, pool, engine):
        runners = [*group("g", 0, "a"), *group("h", 4, "b")]
        if engine is None:
            runners = [
                dataclasses.replace(builders.runner(number, place=place),
                                    host=f"10.0.{place}")
                for number, place in enumerate("ab")
            ]
        self.view = builders.view(*runners, at_ms=clock.now_ms())
        service = model.Service("llm", "/healthz", 300, engine)
        configuration = model.Configuration(1, (), {"llm": service},
                                            model.Limits(1, 1, 1, 1), ())
        self.evacuations = evacuations.Evacuations(("a", "b"))
        reader = types.SimpleNamespace(
            table=routetable.RouteTable(configuration),
            evacuations=self.evacuations)
        fresh = freshness.Freshness(5000.0)
        fresh.confirm(clock.now_ms())
        self.requests = dispatcher.Dispatcher(
            SETTINGS, pool, self.view, reader, fresh,
            peers.Peers("n1", "a", 1, ("127.0.0.1", 7000), clock.now_ms()),
            metrics.Metrics(), self._spawn)
        self._version = 0

    def _spawn(self, work):
        asyncio.get_running_loop().create_task(work)

    def evacuate(self, *names):
        self._version += 1
        rows = tuple(
            evacuations.EvacuationRow(each, self._version) for each in names)
        position = eras.TablePosition(1, self._version)
        self.evacuations.apply(evacuations.EvacuationRead(rows, position, True),
                               clock.now_ms())

    def request(self, route=ROUTE, tenant=None):
        headers = [("X-Cardamommill-Attempt-Id", "a1"),
                   ("X-Cardamommill-Model", "large"),
                   ("X-Cardamommill-Token-Counts", "100,70")]
        request = callers.CallerRequest("POST", "/x", headers, b"", 0.0)
        one = relay.Relay(self.requests, request, relays.FakeReply())
        one.route, one.tenant = route, tenant
        one.deadline_at_ms = clock.now_ms() + 60_000
        return one

    def place(self, one):
        """Returns the data centre of the target; None if refused."""
        found = self.requests.find_target(one)
        if isinstance(found, placing.Refused):
            return None
        return found.known.runner.data_centre


def run(script, engine):

    async def main():
        with upstream.Pool() as pool:
            await script(Node(pool, engine))

    with virtualloop.running(1) as loop:
        loop.run_until_complete(main())


ENGINES = pytest.mark.parametrize("engine", [builders.engine(), None],
                                  ids=["groups", "plain"])


@ENGINES
def test_first_attempt_avoids_an_evacuated_data_centre(engine):
    """Guards against requests at the nearest, but evacuated data centre."""

    async def script(node):
        assert node.place(node.request()) == "a"
        node.evacuate("a")
        assert {node.place(node.request()) for _ in range(20)} == {"b"}
        node.evacuate()
        assert "a" in {node.place(node.request()) for _ in range(20)}

    run(script, engine)


@ENGINES
def test_request_is_refused_at_once_where_nothing_is_eligible(engine):
    """Guards against callers that wait for the end of an evacuation."""

    async def script(node):
        node.evacuate("a", "b")
        found = node.requests.find_target(node.request())
        assert isinstance(found, placing.Refused)
        assert found.retry_after_ms > 0
        assert found.reason == "no runner outside evacuated data centres"

    run(script, engine)


@ENGINES
def test_retry_does_not_go_to_an_evacuated_data_centre(engine):
    """Guards against retries that bypass the filter of first attempts."""

    async def script(node):
        one = node.request()
        first = node.requests.find_target(one)
        one.attempted.append(first)
        assert node.place(one) == "b"
        node.evacuate("b")
        assert node.place(one) is None

    run(script, engine)


@ENGINES
@pytest.mark.parametrize("route,account,expected", [
    (("south",), (), "b"),
    ((), ("south",), "b"),
    (("north", "south"), ("south",), "b"),
    (("north",), ("south",), None),
])
def test_request_goes_to_its_homes_only(engine, route, account, expected):
    """Guards against runners in a region that is no home."""

    async def script(node):
        one = node.request(dataclasses.replace(ROUTE, allowed_regions=route),
                           model.Tenant("t", (), None, allowed_regions=account))
        assert {node.place(one) for _ in range(20)} == {expected}

    run(script, engine)


@ENGINES
def test_retry_stays_in_the_allowed_regions(engine):
    """Guards against a retry elsewhere once all homes have failed."""

    async def script(node):
        one = node.request(
            dataclasses.replace(ROUTE, allowed_regions=("south",)))
        one.attempted.append(node.requests.find_target(one))
        assert node.place(one) is None

    run(script, engine)


def test_plain_service_with_its_only_runner_evacuated_is_refused():
    """Guards against the use of the last runner because there is no other."""

    async def script(node):
        only = [
            each.runner
            for each in node.view.known.values()
            if each.runner.data_centre == "b"
        ]
        node.view.apply_list(only, clock.now_ms() + 1)
        assert node.place(node.request()) == "b"
        node.evacuate("b")
        assert node.place(node.request()) is None
        node.evacuate()
        assert node.place(node.request()) == "b"

    run(script, None)


def test_requests_that_run_in_a_data_centre_are_counted():
    """Guards against a status page that shows an emptied data centre."""

    async def script(node):
        one = node.request()
        target = node.requests.find_target(one)
        node.requests.on_attempt_start(one, target, False)
        assert node.requests.eligible_targets.running("a") == 1
        node.requests.on_attempt_end(
            one, target, attempts.Outcome(attemptresult.Result.ABANDONED))
        assert node.requests.eligible_targets.running("a") == 0

    run(script, builders.engine())
