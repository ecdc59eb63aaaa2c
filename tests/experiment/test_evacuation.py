"""Runs nodes against a simulated platform while data centres are evacuated."""

import asyncio

import pytest

from cardamommill.domain import clock
from cardamommill.experiment import (
    deployments,
    modelorders,
    virtualloop,
    virtualnetwork,
    world,
)
from cardamommill.gateway.groups import planning
from cardamommill.gateway.requests import eligibility
from cardamommill.gateway.shell import dispatcher
from cardamommill.platform import wirenames
from tests.experiment import test_world

# Part of the body of the clients' requests.
BODY = b"x" * 50

play, trouble = test_world.play, test_world.trouble


def rules(outcome):
    return {each.rule for each in outcome.violations}


def test_filter_is_what_keeps_requests_from_an_evacuated_data_centre(
        monkeypatch):
    """Shows that the oracle notices requests that reach it."""
    monkeypatch.setattr(eligibility.Eligibility, "allows",
                        lambda self, data_centre: True)
    outcome = play(trouble("evacuate", place="b", for_s=8), length_s=10)
    assert rules(outcome) == {"EVAC"}


@pytest.mark.parametrize("fault", [
    trouble("heads_reset", 2, count=2, for_s=8),
    trouble("runners_dark", 6.5, place="b", count=4)
],
                         ids=["retries", "resumed-streams"])
def test_filter_holds_for_later_attempts_too(monkeypatch, fault):
    """Shows that retries and resumed streams reach it if only they may."""
    find_target = dispatcher.Dispatcher.find_target

    def find_without_filter_for_later_attempts(node, one):
        if not one.attempted:
            return find_target(node, one)
        with monkeypatch.context() as patch:
            patch.setattr(eligibility.Eligibility, "allows",
                          lambda self, data_centre: True)
            return find_target(node, one)

    def run():
        return play(trouble("evacuate", 1, place="a", for_s=9),
                    fault,
                    places={
                        "a": 2,
                        "b": 2
                    },
                    length_s=11)

    assert not run().violations
    monkeypatch.setattr(dispatcher.Dispatcher, "find_target",
                        find_without_filter_for_later_attempts)
    assert rules(run()) == {"EVAC"}


def test_no_node_sends_a_body_to_another_node(monkeypatch):
    """Guards against bodies in regions where the client and no home is.

    The nodes retry, resume streams, read through peers and lose the store
    meanwhile.
    """
    to_nodes, to_runners = [], []
    write = virtualnetwork.FakeTransport.write
    sendto = virtualnetwork.FakeDatagrams.sendto

    def is_node(host):
        return host.startswith(("10.1.", "10.2."))

    def record(source, target, data):
        if is_node(source) and BODY in bytes(data):
            (to_nodes if is_node(target) else to_runners).append(target)

    def record_write(transport, data):
        record(transport.host, transport.peer_host, data)
        write(transport, data)

    def record_datagram(transport, data, addr=None):
        record(transport._address[0], addr[0], data)
        sendto(transport, data, addr)

    monkeypatch.setattr(virtualnetwork.FakeTransport, "write", record_write)
    monkeypatch.setattr(virtualnetwork.FakeDatagrams, "sendto", record_datagram)
    play(trouble("evacuate", 1, place="a", for_s=4),
         trouble("runners_dark", 2, place="b", count=3),
         trouble("store_cut", 3, count=3, for_s=3),
         trouble("heads_reset", 4, count=2, for_s=2),
         places={
             "a": 4,
             "b": 3
         })
    assert to_runners
    assert not to_nodes


@pytest.mark.parametrize("troubles,places,least", [
    ([trouble("evacuate", place="b", for_s=7)], {
        "a": 2,
        "b": 1
    }, 0.9),
    ([trouble("evacuate", place="b", for_s=7)], {
        "a": 5,
        "b": 4
    }, 0.9),
    ([
        trouble("evacuate", 1, place="a", for_s=4),
        trouble("evacuate", 2, place="b", for_s=6)
    ], {
        "a": 2,
        "b": 1,
        "c": 2
    }, 0.5),
    ([
        trouble("evacuate", 1, place="b", for_s=2),
        trouble("evacuate", 3.5, place="b", for_s=6)
    ], {
        "a": 2,
        "b": 2
    }, 0.8),
    ([
        trouble("evacuate", 1, place="a", for_s=8),
        trouble("node_kill", 1.5, place="b", for_s=1)
    ], {
        "a": 2,
        "b": 3
    }, 0.7),
    ([trouble("evacuate", 1, place="a", for_s=8),
      trouble("all_nodes_kill", 3)], {
          "a": 2,
          "b": 3
      }, 0.4),
    ([
        trouble("evacuate", 1, place="a", for_s=8),
        trouble("store_silent", 1.2, for_s=4)
    ], {
        "a": 2,
        "b": 2
    }, 0.6),
    ([
        trouble("store_cut", 0.5, count=2, for_s=9),
        trouble("evacuate", 1, place="b", for_s=8)
    ], {
        "a": 3,
        "b": 2
    }, 0.8),
    ([
        trouble("evacuate", 1, place="b", for_s=8),
        trouble("store_restored", 2, for_s=0.5, factor=3)
    ], {
        "a": 3,
        "b": 2
    }, 0.7),
    ([
        trouble("evacuate", 1, place="a", for_s=8),
        trouble("heads_reset", 2, count=2, for_s=5)
    ], {
        "a": 2,
        "b": 2
    }, 0.4),
    ([
        trouble("evacuate", 1, place="a", for_s=8),
        trouble("runners_dark", 2, place="b", count=3)
    ], {
        "a": 2,
        "b": 2
    }, 0.4),
],
                         ids=[
                             "one", "followers", "two", "again", "node-starts",
                             "all-nodes-start", "store-lost", "peers-copy",
                             "restore", "retries", "resumed-streams"
                         ])
def test_no_request_reaches_an_evacuated_data_centre(troubles, places, least):
    """Guards against each way by which a node may miss the row."""
    outcome = play(*troubles, places=places, length_s=11)
    assert not outcome.violations
    assert outcome.earned > least


def test_no_order_reaches_a_runner_of_an_evacuated_data_centre(monkeypatch):
    """Guards against planners that repair what shall be left alone."""
    ordered = []
    execute = modelorders.OrderExecutor.execute

    def record(executor, order):
        runner = executor._runner
        ordered.append((runner.place, clock.now_ms()))
        return execute(executor, order)

    monkeypatch.setattr(modelorders.OrderExecutor, "execute", record)

    def late_orders():
        ordered.clear()
        outcome = play(trouble("evacuate", 1, place="b", for_s=6),
                       trouble("runners_dark", 2.5, place="b", count=3),
                       places={
                           "a": 2,
                           "b": 2
                       })
        assert not outcome.violations
        from_ms = outcome.started_ms + 2000
        return [
            each for each in ordered
            if each[0] == "b" and from_ms < each[1] < from_ms + 5000
        ]

    assert not late_orders()
    monkeypatch.setattr(planning.Scope, "without_evacuated", lambda self: self)
    monkeypatch.setattr(planning.Scope, "is_evacuated",
                        lambda self, members: False)
    assert late_orders()


def test_requests_are_refused_while_the_only_data_centre_is_evacuated():
    """Guards against requests that wait, and against a lasting refusal.

    The plain service has its only runner there too.
    """
    outcome = play(trouble("evacuate", 2, place="a", for_s=4),
                   places={"a": 2},
                   length_s=10)
    assert not outcome.violations
    since_ms = outcome.started_ms + 2000

    def outcomes(from_ms, until_ms):
        return [
            each for each in outcome.results
            if from_ms <= each.at_ms - since_ms < until_ms
        ]

    during = outcomes(300, 2000)
    assert during
    assert all(
        (each.outcome, each.status) == ("refused", 503) for each in during)
    after = outcomes(4300, 8000)
    served = sum(each.outcome in ("in-aim", "late") for each in after)
    assert served > 0.95 * len(after)


def test_followers_of_a_peer_learn_of_an_evacuation_with_its_copy():
    """Guards against evacuations that only readers of the store know."""
    deployment = deployments.Deployment(name="test",
                                        lead_s=9,
                                        length_s=1,
                                        places={
                                            "a": 5,
                                            "b": 1
                                        },
                                        models=test_world.MODELS,
                                        kinds=test_world.KINDS)

    async def script(simulation):
        await simulation.start()
        await asyncio.sleep(9)
        readers = [each.node._reader for each in simulation.machines.values()]
        followers = [
            each for each in readers
            if not each._configuration_reader.is_reading_store
        ]
        assert followers
        key = wirenames.EVACUATION_PREFIX + "b"
        simulation.store.put(wirenames.OPERATOR_TABLE, key, {})
        await asyncio.sleep(1.0)
        assert {each.evacuations.in_force for each in readers
               } == {frozenset({"b"})}
        simulation.store.drop(wirenames.OPERATOR_TABLE, key)
        await asyncio.sleep(1.0)
        assert not any(each.evacuations.in_force for each in readers)

    with virtualloop.running(1) as loop:
        simulation = world.World(deployment, 1, loop)
        loop.run_until_complete(script(simulation))
