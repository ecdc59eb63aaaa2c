"""Tests of streams at replicas that stand still for a while and go on."""

import pytest

from cardamommill import (
    actions,
    documents,
    limits,
    replicafakes,
    requestfakes,
    requests,
    routing,
    suspects,
)
from tests import requestnode

KINDS = (suspects.Suspects, limits.Limits, routing.Routing, requests.Requests)
STREAM = replicafakes.Work(tokens=200)


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("for_ms", [1200, 3000, 5000])
@pytest.mark.parametrize("count", [1, 3, 4])
@pytest.mark.parametrize("can_resume", [False, True])
def test_silence_of_replicas_ends_no_stream(can_resume, count, for_ms, seed):
    """All of them are sound: each stream ends whole, wherever it goes on."""
    engine = documents.Engine(can_resume=can_resume)
    world = requestfakes.RequestWorld(requestnode.document(engine=engine),
                                      KINDS,
                                      seed=seed)
    world.run(2000)
    calls = []
    for number in range(14):
        calls.append(world.call(f"n{number % 2}", STREAM, within_ms=30_000))
        world.run(50)
    for replica in list(world.replicas.values())[:count]:
        world.stand_still(replica, for_ms)
    world.run(30_000)
    for call in calls:
        assert call.whole and not call.mixed, call
        assert isinstance(call.answers[0], actions.Finish)
