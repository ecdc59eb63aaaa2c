"""Tests of what the dispatcher records of attempts at cold runners."""

import dataclasses

import pytest

from cardamommill import metrics
from cardamommill.domain import clock, entrysettings, model
from cardamommill.gateway.fleet import evacuations
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.requests import (
    attemptresult,
    freshness,
    placing,
    routetable,
    streamprogress,
)
from cardamommill.gateway.shell import attempts, dispatcher, targets
from cardamommill.transport import upstream
from tests.gateway import builders

SERVICE = model.Service("llm", "/healthz", 300, None, 3.0, 14.0)
ROUTE = model.Route(name="r",
                    host="h",
                    prefix="/v/",
                    kind=model.RouteKind.IDEMPOTENT,
                    timeout_ms=5000,
                    goal_ms=0,
                    gap_goal_ms=0,
                    priority=1,
                    backends=(("llm", 1.0),),
                    max_attempts=2,
                    public=True,
                    resumable=False)
CONFIGURATION = model.Configuration(1, (ROUTE,), {"llm": SERVICE},
                                    model.Limits(1, 1, 1, 1), ())


class Reader:
    """Has the configuration that a `PlatformReader` has read."""

    table = routetable.RouteTable(CONFIGURATION)
    evacuations = evacuations.Evacuations(("a",))


class Request:
    """What the dispatcher needs of a relay."""

    route = ROUTE
    tenant = None
    model_name = ""
    service = "llm"
    attempt_id = "a1"
    digest = 7
    part_digests = ()
    attempted = ()
    hop = None
    request_tokens = placing.RequestTokens(10, 10)
    progress = streamprogress.StreamProgress(None)

    def silent_ms(self, now_ms):
        return None


class Node:
    """The dispatcher of a data centre's only node, with one cold runner."""

    def __init__(self):
        runner = dataclasses.replace(builders.runner(1), cold_left_ms=3000.0)
        settings = builders.cold_settings()
        self.peers = peers.Peers("n", "a", 1, ("127.0.0.1", 3), 0.0)
        self.peers.known_nodes.listed(["n"], 0.0)
        self.requests = dispatcher.Dispatcher(settings, upstream.Pool(),
                                              builders.view(runner), Reader(),
                                              freshness.Freshness(5000.0),
                                              self.peers, metrics.Metrics(),
                                              lambda work: None)

    def find(self, at_ms):
        with clock.override(lambda: at_ms):
            return self.requests.find_target(Request())

    def send(self, at_ms, repeat, status):
        """Sends a request that is answered at once."""
        one, target = Request(), self.find(at_ms)
        head = upstream.Head(status, [])
        with clock.override(lambda: at_ms):
            self.requests.on_attempt_start(one, target, repeat)
            self.requests.on_attempt_end(
                one, target,
                attempts.Outcome(attemptresult.Result.ANSWERED, head=head))


@pytest.mark.parametrize("status,is_down", [(421, True), (503, False)])
def test_group_whose_head_has_left_gets_nothing_more(status, is_down):
    """The announcement was lost, or the planner died before sending it.

    Until the list shows it, the empty group would attract all requests.
    """
    node, key = Node(), model.GroupKey("g", 1)
    known = next(iter(node.requests._view.known.values()))
    one = Request()
    with clock.override(lambda: 1000.0):
        target = targets.Target(known, key)
        node.requests.on_attempt_start(one, target, False)
        node.requests.on_attempt_end(
            one, target,
            attempts.Outcome(attemptresult.Result.NOT_RUN,
                             head=upstream.Head(status, [])))
    groups, drain_ms = node.requests.available_groups, 2000.0
    assert groups.is_down(key, 1000.0 + drain_ms - 1) is is_down
    assert not groups.is_down(key, 1000.0 + drain_ms)


@pytest.mark.parametrize("repeat", [False, True])
def test_attempt_at_a_cold_runner_takes_a_token(repeat):
    """If only first attempts did, retries would come on top of the rate."""
    node = Node()
    node.find(1000)
    node.send(2000, repeat, 200)
    refused = node.find(2001)
    assert isinstance(refused, placing.Refused)
    assert 0 < refused.retry_after_ms <= 1000


@pytest.mark.parametrize("status", [421, 503])
def test_only_a_misdirected_attempt_gives_its_token_back(status):
    """Its answer names no request, so that its head is not passed on."""
    node = Node()
    node.find(1000)
    node.send(2000, False, status)
    assert isinstance(node.find(2001), targets.Target) == (status == 421)


def test_reload_does_not_forget_the_retries_of_the_window():
    """A node that gets SIGHUP would use its share of the budget twice."""
    settings = builders.cold_settings(bounds=entrysettings.Bounds(
        cold_overage=1.5, cold_slack=5, retry_slack=10))
    node = Node()
    clock_ms = clock.now_ms() + 20_000.0
    target = targets.Target(next(iter(node.requests._view.known.values())))
    with clock.override(lambda: clock_ms):
        node.requests.reload(settings)
        retries = 0
        while node.requests.may_retry("llm"):
            node.requests.on_attempt_start(Request(), target, True)
            retries += 1
        assert retries
        node.requests.reload(settings)
        assert not node.requests.may_retry("llm")
