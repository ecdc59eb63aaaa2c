"""Tests of the simulated forward passes."""

import asyncio

from cardamommill.experiment import (
    deployments,
    modelpasses,
    virtualloop,
    world,
)
from cardamommill.platform import fetching, wirenames
from cardamommill.transport import upstream
from tests.experiment import test_world


def test_head_that_leaves_as_a_pass_ends_works_for_its_next_group(monkeypatch):
    """The pass failed at answers that had just ended, and with it its task."""
    deployment = deployments.Deployment(name="test",
                                        lead_s=9,
                                        length_s=1,
                                        places={"a": 1},
                                        models=test_world.MODELS,
                                        kinds=test_world.KINDS)
    heads = []

    async def leave(passes, engine):
        del engine
        head = passes._runner
        if any(each.reply.started for each in head.jobs):
            heads.append(head)
            key = head.membership.key
            head._order_executor.execute({
                "operation": "leave",
                "group": key.name,
                "epoch": key.epoch
            })

    async def script(simulation):
        await simulation.start()
        await asyncio.sleep(9)
        simulation.spawn("clients-a", ask(simulation))
        await asyncio.sleep(2)

    async def ask(simulation):
        request = fetching.request_bytes("POST", "/draft/one",
                                         [("Host", "model.example"),
                                          (wirenames.ATTEMPT_ID, "one"),
                                          (wirenames.DEADLINE_MS, "8000"),
                                          (wirenames.MODEL, "large"),
                                          (wirenames.TOKEN_COUNTS, "100,700"),
                                          ("Authorization", "Bearer key0")],
                                         b"x")
        with upstream.Pool() as pool:
            await fetching.fetch(
                pool, (simulation.machines["node-a-1"].host, world.FRONT_PORT),
                request, 8000)

    monkeypatch.setattr(modelpasses.ForwardPasses, "_wait_for_silent_members",
                        leave)
    with virtualloop.running(1) as loop:
        simulation = world.World(deployment, 1, loop)
        loop.run_until_complete(script(simulation))
        assert heads
        assert not any(each._passes._is_running for each in heads)
