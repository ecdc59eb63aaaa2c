"""Runs nodes against a simulated platform and checks all rules of the oracle.

Each test takes some seconds and injects faults that are common in production
into a small deployment.
"""

import asyncio
import pathlib
import signal

import pytest

from cardamommill import exceptions
from cardamommill.experiment import (
    deployments,
    modelorders,
    oracle,
    troubles,
    virtualloop,
    world,
)
from cardamommill.gateway.requests import freshness
from cardamommill.gateway.shell import platformreader, relay
from cardamommill.platform import fetching, wirenames
from cardamommill.transport import upstream

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples" / "experiments"
PLACES = {"a": 2, "b": 1}
MODELS = (deployments.ModelSpec(name="large", size=4, share=0.57),
          deployments.ModelSpec(name="small",
                                size=3,
                                share=0.43,
                                pace=0.6,
                                load_s=12,
                                warm_s=1.1))
KINDS = (deployments.KindSpec(name="draft",
                              per_s=8,
                              model="large",
                              prompt_tokens=1400,
                              answer_tokens=175,
                              goal_ms=300,
                              deadline_ms=8000),
         deployments.KindSpec(name="answer",
                              per_s=14,
                              model="small",
                              prompt_tokens=700,
                              answer_tokens=220),
         deployments.KindSpec(name="record",
                              per_s=6,
                              type="non_idempotent",
                              deadline_ms=1500),
         deployments.KindSpec(name="status",
                              per_s=3,
                              type="idempotent",
                              deadline_ms=1500))


def play(*troubles,
         seed=1,
         length_s=8.0,
         places=PLACES,
         kinds=KINDS,
         states_born=False):
    """Runs a deployment, by default one of two data centres."""
    deployment = deployments.Deployment(
        name="test",
        lead_s=9,
        length_s=length_s,
        places=places,
        models=MODELS,
        kinds=kinds,
        states_born=states_born,
        troubles=[deployments.Trouble(**each) for each in troubles])
    return world.play(deployment, seed)


def trouble(kind, at_s=2.0, **fields):
    return {"kind": kind, "at_s": at_s, **fields}


def test_nearly_all_requests_are_in_time_without_faults():
    outcome = play()
    assert not outcome.violations
    assert outcome.share("in-aim") > 0.97


def test_same_seed_gives_the_same_run():
    first, second = play(seed=3), play(seed=3)
    assert [each.first_ms for each in first.results
           ] == [each.first_ms for each in second.results]


@pytest.mark.parametrize("troubles,least", [
    ([trouble("runners_dark", count=2)], 0.8),
    ([trouble("domain_dark", for_s=3)], 0.6),
    ([trouble("runners_crash", count=2)], 0.8),
    ([trouble("runners_drain", count=2)], 0.8),
    ([trouble("runners_cut", count=3, for_s=5)], 0.7),
    ([trouble("runners_slow", count=2, for_s=4, factor=6)], 0.6),
    ([trouble("node_kill", place="a")], 0.8),
    ([trouble("node_stop")], 0.8),
    ([trouble("store_silent", for_s=3),
      trouble("runners_dark", 2.5, count=2)], 0.6),
    ([trouble("store_busy", for_s=3)], 0.8),
    ([trouble("store_slow", for_s=4, factor=50)], 0.8),
    ([trouble("store_compact"),
      trouble("configuration", 2.1)], 0.9),
    ([trouble("store_restored", for_s=0.5, factor=3)], 0.9),
    ([
        trouble("revoke", 1.6, count=2),
        trouble("runners_drain", 1.7, count=2),
        trouble("runners_dark", 1.8, count=2),
        trouble("store_restored", 2.0, for_s=1.0, factor=2)
    ], 0.6),
    ([trouble("configuration", 1.0 + 0.2 * number) for number in range(10)
     ], 0.9),
    ([trouble("place_cut", place="b", for_s=3)], 0.5),
    ([
        trouble("late_orders", 1.5, for_s=4, factor=0.5),
        trouble("runners_dark", 2, count=2)
    ], 0.5),
    ([trouble("all_nodes_kill", 3)], 0.4),
    ([trouble("burst", for_s=3, factor=4)], 0.3),
    ([
        trouble("new_runners", 1, count=4),
        trouble("runners_dark", 2, count=3),
        trouble("node_kill", 2.2)
    ], 0.5),
])
def test_no_rule_is_broken_whatever_happens(troubles, least):
    outcome = play(*troubles)
    assert not outcome.violations
    assert outcome.earned > least


def test_keys_taken_away_while_the_store_is_silent_stop_working():
    # Keys are revoked just before the store becomes unreachable for all nodes.
    # Each node must stop trusting keys in time by itself.
    outcome = play(trouble("revoke", 1.99, count=3),
                   trouble("store_silent", 2.0, for_s=9),
                   length_s=10)
    assert not outcome.violations


def test_service_recovers_at_once_when_the_store_does():
    # While the store is silent keys can't be confirmed, and requests are
    # refused. Once it answers, one call confirms them: no node may wait for the
    # end of a feed call without changes.
    outcome = play(trouble("store_silent", 1.0, for_s=8), length_s=14)
    assert not outcome.violations
    after = [
        each for each in outcome.results
        if each.at_ms > outcome.started_ms + 1000 + 8000 + 1400
    ]
    served = sum(each.outcome in ("in-aim", "late") for each in after)
    assert served > 0.95 * len(after)


def test_key_check_is_what_keeps_revoked_keys_out(monkeypatch):
    monkeypatch.setattr(freshness.Freshness, "may_accept_keys",
                        lambda self, now_ms: True)
    outcome = play(trouble("store_silent", 1.98, for_s=9),
                   trouble("revoke", 1.99, count=3),
                   length_s=10)
    assert {each.rule for each in outcome.violations} == {"CONFIG"}


def test_limit_of_tries_is_what_keeps_requests_from_running_twice(monkeypatch):
    monkeypatch.setattr(relay.retrydecision, "may_have_run",
                        lambda result: False)
    monkeypatch.setattr(
        relay.retrydecision, "next_step",
        lambda result, state: relay.retrydecision.NextStep.RETRY
        if result.value == "broken" else relay.retrydecision._FINAL.get(
            result, relay.retrydecision.NextStep.ANSWER_NOT_RUN))
    outcome = play(
        trouble("burst", 0.5, for_s=7, factor=3),
        *(trouble("plain_cut", 1 + 0.5 * number) for number in range(10)))
    assert {"TWICE", "REFUSED"} & {each.rule for each in outcome.violations}


# In ten of twenty-four seeds the survivors form a slow group and new runners a
# fast one. Any change to what a node does can change which runners die.
SLOW_GROUP_SEEDS = (1, 5, 7, 8, 10, 11, 12, 14, 15, 21, 23, 24)
MIN_CLOSED = 3


def test_slow_groups_are_given_up_without_breaking_a_rule(monkeypatch):
    """Members die in turn; survivors in two domains form a slow group.

    New runners register, and the slow group is closed for a fast one.
    Callers of the slow group get complete answers, and no runner is in two
    groups meanwhile.
    """
    closed = []
    close = modelorders.OrderExecutor._close

    def record_close(executor, order):
        closed.append(order["group"])
        return close(executor, order)

    monkeypatch.setattr(modelorders.OrderExecutor, "_close", record_close)
    deaths = [
        trouble("runners_dark", at_s=1.0 + 0.8 * number, count=2, place="a")
        for number in range(5)
    ]
    for seed in SLOW_GROUP_SEEDS:
        outcome = play(*deaths,
                       trouble("new_runners", at_s=2.5, count=6, place="a"),
                       seed=seed,
                       length_s=10.0)
        assert not outcome.violations, seed
        assert outcome.share("in-aim") > 0.9, seed
    assert len(closed) >= MIN_CLOSED


def test_stopping_node_takes_nothing_that_it_can_not_finish():
    # SIGTERM arrives during a long stream. The node must not end before the
    # stream does, yet each new request delays the end, until the process is
    # killed in the middle of one. Late requests are answered as not run.
    deployment = deployments.Deployment(name="test",
                                        lead_s=9,
                                        length_s=1,
                                        places={"a": 1},
                                        models=MODELS,
                                        kinds=KINDS)
    status = {}

    async def script(simulation):
        await simulation.start()
        await asyncio.sleep(9)
        simulation.spawn("clients-a", ask(simulation, "long", 700, status))
        await asyncio.sleep(0.5)
        machine = simulation.machines["node-a-1"]
        simulation.loop.signal_host(machine.host, signal.SIGTERM)
        await asyncio.sleep(1.0)
        await ask(simulation, "early", 7, status)
        await asyncio.sleep(2.0)
        await ask(simulation, "late", 7, status)
        await asyncio.sleep(4.0)

    async def ask(simulation, name, tokens, status):
        request = fetching.request_bytes(
            "POST", f"/draft/{name}",
            [("Host", "model.example"), (wirenames.ATTEMPT_ID, name),
             (wirenames.DEADLINE_MS, "8000"), (wirenames.MODEL, "large"),
             (wirenames.TOKEN_COUNTS, f"100,{tokens}"),
             ("Authorization", "Bearer key0")], b"x")
        simulation.run_oracle.record_send(
            name,
            oracle.Sent(0, "POST", f"/draft/{name}", b"x", "key0", "tenant0",
                        "engine", True))
        with upstream.Pool() as pool:
            answer = await fetching.fetch(
                pool, (simulation.machines["node-a-1"].host, world.FRONT_PORT),
                request, 8000)
        status[name] = (answer.head.status, answer.ending)

    with virtualloop.running(1) as loop:
        simulation = world.World(deployment, 1, loop)
        loop.run_until_complete(script(simulation))
        assert not simulation.run_oracle.violations
    assert status["long"] == (200, upstream.Ending.COMPLETE)
    assert status["early"] == (200, upstream.Ending.COMPLETE)
    assert status["late"][0] == 503


def test_examples_are_experiments():
    for path in EXAMPLES.glob("*.yaml"):
        assert deployments.load(path).kinds


def test_fault_in_an_experiment_is_named(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("name: x\nmodels: []\nkinds: []\nunheard: 1\n")
    with pytest.raises(exceptions.SettingsError, match="unheard"):
        deployments.load(path)


def _play_lost_revocation(monkeypatch):
    monkeypatch.setattr(troubles, "MAX_REPUBLISH_DELAY_S", 60.0)
    return play(trouble("revoke", 1.9, count=6),
                trouble("store_restored", 2.0, for_s=0.3, factor=2),
                trouble("node_kill", 2.6, place="a"),
                length_s=14,
                seed=2)


def test_revoked_keys_stay_out_when_the_store_loses_the_revocation(monkeypatch):
    """A node that starts after the store lost the revocation reads old keys.

    The store then has the version before the revocation.
    """
    assert not _play_lost_revocation(monkeypatch).violations


def test_peer_updates_keep_lost_revocations_in_force(monkeypatch):
    monkeypatch.setattr(platformreader.PlatformReader, "_is_newest",
                        lambda self, rows: self.table is not None)
    outcome = _play_lost_revocation(monkeypatch)
    assert {each.rule for each in outcome.violations} == {"CONFIG"}
