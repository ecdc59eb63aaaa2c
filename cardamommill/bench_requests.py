"""Measures the policy for requests under load and faults against plain ones.

Run as ``python -m cardamommill.bench_requests``. Everything is on a virtual
clock but the processor time of the decisions; each figure is of one run, and
the plain policies meet the same load and the same faults.
"""

import collections
from collections.abc import Callable, Iterable, Sequence
import random
import time

from cardamommill import (
    actions,
    bench_faults,
    benchload,
    decisions,
    events,
    replicafakes,
    requestfakes,
)

_WITHIN_MS = benchload.WITHIN_MS
_CAPACITY_PER_S = benchload.CAPACITY_PER_S

_Prepare = Callable[[requestfakes.RequestWorld], None]


def _nothing(_: requestfakes.RequestWorld) -> None:
    """Prepares nothing."""


def main() -> None:
    """Measures everything and prints it."""
    started_s = time.monotonic()
    for measure in (_overload, _flood, _stragglers, _prefixes,
                    bench_faults.poison, bench_faults.once, _cpu):
        for line in measure():
            print(line, flush=True)
    print(f"time: {time.monotonic() - started_s:.0f} s")


def _loaded(kinds: benchload.Kinds,
            flows: Sequence[benchload.Flow],
            for_ms: int = 30_000,
            prepare: _Prepare = _nothing) -> dict[str, list[replicafakes.Call]]:
    """Returns the calls by flow, without those of the first seconds."""
    world = benchload.world(kinds, [flow.name for flow in flows])
    prepare(world)
    chance = random.Random(5)
    calls: dict[str, list[replicafakes.Call]] = collections.defaultdict(list)
    start_ms = world.now_ms

    def send(flow: benchload.Flow) -> replicafakes.Call:
        call = world.call(chance.choice(list(world.nodes)),
                          benchload.WORK,
                          _WITHIN_MS,
                          account=flow.name,
                          priority=flow.priority)
        if world.now_ms - start_ms >= benchload.WARM_MS:
            calls[flow.name].append(call)
        return call

    benchload.drive(world, flows, for_ms, send)
    return calls


def _amplification(calls: Iterable[replicafakes.Call]) -> float:
    reached = [call.attempts for call in calls if call.attempts]
    return sum(reached) / max(1, len(reached))


def _overload() -> Iterable[str]:
    urgent = benchload.Flow("drafts", 0.4 * _CAPACITY_PER_S, 1)
    rest = benchload.Flow("rest", 1.6 * _CAPACITY_PER_S, 5)
    alone = benchload.in_time(_loaded(benchload.OWN, (urgent,))["drafts"])
    yield (
        f"overload at 2.0 of the capacity ({_CAPACITY_PER_S:.0f} requests/s),"
        f" 0.4 of it urgent; urgent alone in time: {alone:.1%}")
    for name, kinds in benchload.POLICIES:
        calls = _loaded(kinds, (urgent, rest))
        ratio = benchload.in_time(calls["drafts"]) / alone
        rest_in_time = benchload.in_time(calls["rest"])
        both = calls["drafts"] + calls["rest"]
        yield (f"  {name:13} urgent in time, of alone: {ratio:6.1%}   rest in "
               f"time: {rest_in_time:6.1%}   all in time, of the capacity: "
               f"{2.0 * benchload.in_time(both):6.1%}   attempts at runners a "
               f"request: {_amplification(both):.2f}")


def _flood() -> Iterable[str]:
    small = [
        benchload.Flow(f"small-{n}", 0.03 * _CAPACITY_PER_S) for n in range(9)
    ]
    large = benchload.Flow("large", 2.0 * _CAPACITY_PER_S)
    calls = _loaded(benchload.OWN, small)
    alone = benchload.in_time(
        [call for each in calls.values() for call in each])
    yield (f"one account floods with 2.0 of the capacity, nine small ones ask "
           f"for 0.03 each; small alone in time: {alone:.1%}")
    for name, kinds in benchload.POLICIES:
        calls = _loaded(kinds, [*small, large])
        few = [benchload.in_time(calls[flow.name]) for flow in small]
        yield (f"  {name:13} small in time, of alone: "
               f"{sum(few) / len(few) / alone:6.1%} (least of them "
               f"{min(few) / alone:6.1%})   large in time: "
               f"{benchload.in_time(calls['large']):6.1%}")


def _stragglers() -> Iterable[str]:

    def slow(world: requestfakes.RequestWorld) -> None:

        def change() -> None:
            world.replicas["r3"].speed = 0.1

        world.later(benchload.WARM_MS + 4000, change)

    flow = benchload.Flow("office", 0.5 * _CAPACITY_PER_S)
    yield ("one replica of ten falls to a tenth of its speed, load 0.5: time "
           "to the first token, from 4 s before that to 48 s after")
    runs: list[tuple[str, benchload.Kinds,
                     _Prepare]] = [("own, none slow", benchload.OWN, _nothing)]
    runs += [(name, kinds, slow) for name, kinds in benchload.POLICIES]
    for name, kinds, prepare in runs:
        calls = _loaded(kinds, (flow,), 60_000, prepare)["office"]
        waits = sorted(call.first_ms -
                       call.sent_ms if call.first_ms >= 0 else 2 * _WITHIN_MS
                       for call in calls)
        p50, p95, p99 = (
            waits[int(len(waits) * part)] for part in (0.5, 0.95, 0.99))
        yield (f"  {name:14} p50 {p50:5} ms   p95 {p95:5} ms   p99 {p99:5} ms"
               f"   in time {benchload.in_time(calls):6.1%}")


SESSIONS = 80
TURNS = 8


def _prefixes() -> Iterable[str]:
    yield (f"{SESSIONS} conversations of {TURNS} turns, caches that hold 1.5 "
           "of them together, load 0.5: prefixes found in the cache (82% "
           "with one cache that holds all)")
    for name, kinds in benchload.POLICIES:
        calls = _conversations(kinds)
        asked = sum(len(call.head.prefixes) for call in calls)
        found = sum(call.hits for call in calls)
        waits = sorted(call.first_ms - call.sent_ms
                       for call in calls
                       if call.first_ms >= 0)
        yield (f"  {name:13} {found / asked:6.1%}   p50 to the first token "
               f"{waits[len(waits) // 2]} ms")


def _conversations(kinds: benchload.Kinds) -> list[replicafakes.Call]:
    world = benchload.world(kinds, ["office"])
    for replica in world.replicas.values():
        replica.cache_size = round(1.5 * SESSIONS * TURNS / benchload.REPLICAS)
    chance = random.Random(3)
    turns = [0] * SESSIONS
    calls: list[replicafakes.Call] = []

    def send(flow: benchload.Flow) -> replicafakes.Call:
        session = chance.randrange(SESSIONS)
        turns[session] += 1
        talk, turn = divmod(turns[session], TURNS)
        prefixes = ("system",) + tuple(
            f"{session}/{talk}/{each}" for each in range(turn + 1))
        call = world.call(chance.choice(list(world.nodes)),
                          benchload.WORK,
                          _WITHIN_MS,
                          account=flow.name,
                          prefixes=prefixes)
        calls.append(call)
        return call

    benchload.drive(world, [benchload.Flow("office", 0.5 * _CAPACITY_PER_S)],
                    60_000, send)
    return calls


class _Timed(decisions.Decisions):
    """A node's decisions with a count of the processor time they take."""

    def __init__(self, timed: decisions.Decisions) -> None:
        self.__dict__.update(timed.__dict__)
        self.cpu_ns = 0

    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        started_ns = time.thread_time_ns()
        wanted = super().step(event, now_ms)
        self.cpu_ns += time.thread_time_ns() - started_ns
        return wanted


def _cpu() -> Iterable[str]:
    for name, kinds in benchload.POLICIES[:2]:
        idle_ns, _ = _cpu_of(kinds, 0.0)
        busy_ns, count = _cpu_of(kinds, 0.7)
        each_us = (busy_ns - idle_ns) / count / 1000
        yield (f"processor time of the decisions, {benchload.REPLICAS} "
               f"replicas, {name}: {each_us:.0f} us a request; idle "
               f"{idle_ns / 20 / 1e6:.1f} ms a second and node")


def _cpu_of(kinds: benchload.Kinds, load: float) -> tuple[int, int]:
    """Returns the time that one node took in 20 s, and its requests."""
    world = benchload.world(kinds, ["office"])
    timed = _Timed(world.nodes["n0"].decisions)
    world.nodes["n0"].decisions = timed
    flow = benchload.Flow("office", load * _CAPACITY_PER_S)
    count = 0

    def send(_: benchload.Flow) -> replicafakes.Call:
        nonlocal count
        count += 1
        return world.call(f"n{count % benchload.NODES}", benchload.WORK,
                          _WITHIN_MS)

    if load:
        benchload.drive(world, [flow], 10_000, send)
    else:
        world.run(20_000)
    return timed.cpu_ns, max(1, count // benchload.NODES)


if __name__ == "__main__":
    main()
