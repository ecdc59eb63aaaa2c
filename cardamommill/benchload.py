"""The load, the policies and the sizes that benches of requests share."""

from collections.abc import Callable, Iterable, Sequence
import dataclasses
import random

from cardamommill import (
    baselines,
    claims,
    controller,
    documents,
    fedworld,
    limits,
    replicafakes,
    requestfakes,
    requests,
    routing,
    suspects,
)

OWN = (claims.Claims, suspects.Suspects, limits.Limits, routing.Routing,
       requests.Requests)
ROUND_ROBIN = (baselines.RoundRobin,)
LEAST_LOADED = (baselines.LeastLoaded,)

Kinds = tuple[type[controller.Controller], ...]

POLICIES: tuple[tuple[str, Kinds], ...] = (
    ("own", OWN),
    ("round robin", ROUND_ROBIN),
    ("least loaded", LEAST_LOADED),
)

REPLICAS = 10
NODES = 2
WORK = replicafakes.Work(tokens=40, token_ms=20, prefill_ms=100)
RUN_MS = WORK.prefill_ms + WORK.tokens * WORK.token_ms
SLOTS = 4
CAPACITY_PER_S = REPLICAS * SLOTS * 1000 / RUN_MS
WARM_MS = 8000
WITHIN_MS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Requests that come at random times.

    Attributes:
        name: What the figures call it, and its account.
        per_s: How many a second.
        priority: Their priority.
    """

    name: str
    per_s: float
    priority: int = 5


def document(accounts: Iterable[str]) -> documents.Document:
    """Returns the document of a service whose limits bind nobody."""
    return documents.Document(
        service="assist-llm",
        pool="gpu",
        model="model",
        version="1",
        capacity={fedworld.DATA_CENTRE: documents.Capacity(replicas=REPLICAS)},
        engine=documents.Engine(can_resume=True),
        accounts=tuple(
            documents.Account(name=name,
                              key_sha256=f"{number:064x}",
                              requests_per_s=1e6,
                              burst=1_000_000,
                              concurrent=1_000_000)
            for number, name in enumerate(accounts)))


def world(kinds: Kinds,
          accounts: Iterable[str],
          nodes: int = NODES) -> requestfakes.RequestWorld:
    """Returns a world in which evidence has come to all nodes."""
    """Returns a world in which evidence has come to all nodes."""
    made = requestfakes.RequestWorld(document(accounts),
                                     kinds,
                                     nodes,
                                     REPLICAS,
                                     seed=7)
    made.run(2000)
    return made


def drive(driven: requestfakes.RequestWorld, flows: Sequence[Flow], for_ms: int,
          send: Callable[[Flow], replicafakes.Call]) -> None:
    """Lets requests of some flows come at random times."""
    chance = random.Random(11)
    total = sum(flow.per_s for flow in flows)
    weights = [flow.per_s for flow in flows]
    end_ms = driven.now_ms + for_ms
    at_ms = float(driven.now_ms)
    while True:
        at_ms += chance.expovariate(total) * 1000
        if at_ms >= end_ms:
            break
        driven.run(max(0, round(at_ms) - driven.now_ms))
        send(chance.choices(flows, weights)[0])
    driven.run(2 * WITHIN_MS)


def in_time(calls: Sequence[replicafakes.Call]) -> float:
    """Returns which part of some calls was answered whole in time."""
    return sum(call.in_time for call in calls) / max(1, len(calls))
