"""Measures the policy for requests under load and faults against plain ones.

Run as ``python -m cardamommill.bench_requests``. Everything is on a virtual
clock but the processor time of the decisions; each figure is of one run, and
the plain policies meet the same load and the same faults.
"""

import collections
from collections.abc import Callable, Iterable, Sequence
import dataclasses
import random
import time

from cardamommill import (
    actions,
    baselines,
    claims,
    controller,
    decisions,
    documents,
    events,
    limits,
    peering,
    requestfakes,
    requesting,
    requests,
    routing,
    suspects,
)

OWN = (claims.Claims, suspects.Suspects, limits.Limits, routing.Routing,
       requests.Requests)
ROUND_ROBIN = (baselines.RoundRobin,)
LEAST_LOADED = (baselines.LeastLoaded,)

Kinds = tuple[type[controller.Controller], ...]

REPLICAS = 10
NODES = 2
WORK = requestfakes.Work(tokens=40, token_ms=20, prefill_ms=100)
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


def main() -> None:
    """Measures everything and prints it."""
    started_s = time.monotonic()
    for measure in (_overload, _flood, _stragglers, _prefixes, _poison, _once,
                    _cpu):
        for line in measure():
            print(line, flush=True)
    print(f"time: {time.monotonic() - started_s:.0f} s")


def _document(accounts: Iterable[str]) -> documents.Document:
    return documents.Document(service="assist-llm",
                              pool="gpu",
                              model="model",
                              version="1",
                              capacity={
                                  requestfakes.DATA_CENTRE:
                                      documents.Capacity(replicas=REPLICAS)
                              },
                              engine=documents.Engine(can_resume=True),
                              accounts=tuple(
                                  documents.Account(name=name,
                                                    key_sha256=f"{number:064x}",
                                                    requests_per_s=1e6,
                                                    burst=1_000_000,
                                                    concurrent=1_000_000)
                                  for number, name in enumerate(accounts)))


def _world(kinds: Kinds,
           accounts: Iterable[str],
           nodes: int = NODES) -> requestfakes.RequestWorld:
    world = requestfakes.RequestWorld(_document(accounts),
                                      kinds,
                                      nodes,
                                      REPLICAS,
                                      seed=7)
    world.run(2000)
    return world


def _drive(world: requestfakes.RequestWorld, flows: Sequence[Flow], for_ms: int,
           send: Callable[[Flow], requestfakes.Call]) -> None:
    """Lets requests of some flows come at random times."""
    chance = random.Random(11)
    total = sum(flow.per_s for flow in flows)
    weights = [flow.per_s for flow in flows]
    end_ms = world.now_ms + for_ms
    at_ms = float(world.now_ms)
    while True:
        at_ms += chance.expovariate(total) * 1000
        if at_ms >= end_ms:
            break
        world.run(max(0, round(at_ms) - world.now_ms))
        send(chance.choices(flows, weights)[0])
    world.run(2 * WITHIN_MS)


def _loaded(
    kinds: Kinds,
    flows: Sequence[Flow],
    for_ms: int = 30_000,
    prepare: Callable[[requestfakes.RequestWorld], None] = lambda _: None
) -> dict[str, list[requestfakes.Call]]:
    """Returns the calls by flow, without those of the first seconds."""
    world = _world(kinds, [flow.name for flow in flows])
    prepare(world)
    chance = random.Random(5)
    calls: dict[str, list[requestfakes.Call]] = collections.defaultdict(list)
    start_ms = world.now_ms

    def send(flow: Flow) -> requestfakes.Call:
        call = world.call(chance.choice(list(world.nodes)),
                          WORK,
                          WITHIN_MS,
                          account=flow.name,
                          priority=flow.priority)
        if world.now_ms - start_ms >= WARM_MS:
            calls[flow.name].append(call)
        return call

    _drive(world, flows, for_ms, send)
    return calls


def _in_time(calls: Sequence[requestfakes.Call]) -> float:
    return sum(call.in_time for call in calls) / max(1, len(calls))


def _amplification(calls: Iterable[requestfakes.Call]) -> float:
    reached = [call.attempts for call in calls if call.attempts]
    return sum(reached) / max(1, len(reached))


def _overload() -> Iterable[str]:
    urgent = Flow("drafts", 0.4 * CAPACITY_PER_S, priority=1)
    rest = Flow("rest", 1.6 * CAPACITY_PER_S, priority=5)
    alone = _in_time(_loaded(OWN, (urgent,))["drafts"])
    yield (f"overload at 2.0 of the capacity ({CAPACITY_PER_S:.0f} requests/s),"
           f" 0.4 of it urgent; urgent alone in time: {alone:.1%}")
    for name, kinds in (("own", OWN), ("round robin", ROUND_ROBIN),
                        ("least loaded", LEAST_LOADED)):
        calls = _loaded(kinds, (urgent, rest))
        ratio = _in_time(calls["drafts"]) / alone
        both = calls["drafts"] + calls["rest"]
        useful = sum(call.in_time for call in both) / len(both) * 2.0
        yield (f"  {name:13} urgent in time, of alone: {ratio:6.1%}   rest in "
               f"time: {_in_time(calls['rest']):6.1%}   all in time, of the "
               f"capacity: {useful:6.1%}   attempts at runners a request: "
               f"{_amplification(both):.2f}")


def _flood() -> Iterable[str]:
    small = [Flow(f"small-{n}", 0.03 * CAPACITY_PER_S) for n in range(9)]
    large = Flow("large", 2.0 * CAPACITY_PER_S)
    calls = _loaded(OWN, small)
    alone = _in_time([call for each in calls.values() for call in each])
    yield (f"one account floods with 2.0 of the capacity, nine small ones ask "
           f"for 0.03 each; small alone in time: {alone:.1%}")
    for name, kinds in (("own", OWN), ("round robin", ROUND_ROBIN),
                        ("least loaded", LEAST_LOADED)):
        calls = _loaded(kinds, [*small, large])
        few = [_in_time(calls[flow.name]) for flow in small]
        yield (f"  {name:13} small in time, of alone: "
               f"{sum(few) / len(few) / alone:6.1%} (least of them "
               f"{min(few) / alone:6.1%})   large in time: "
               f"{_in_time(calls['large']):6.1%}")


def _stragglers() -> Iterable[str]:

    def slow(world: requestfakes.RequestWorld) -> None:

        def change() -> None:
            world.replicas["r3"].speed = 0.1

        world.later(WARM_MS + 4000, change)

    flow = Flow("office", 0.5 * CAPACITY_PER_S)
    yield ("one replica of ten falls to a tenth of its speed, load 0.5: time "
           "to the first token, from 4 s before that to 48 s after")
    for name, kinds, prepare in (("own, none slow", OWN,
                                  lambda _: None), ("own", OWN, slow),
                                 ("round robin", ROUND_ROBIN,
                                  slow), ("least loaded", LEAST_LOADED, slow)):
        calls = _loaded(kinds, (flow,), 60_000, prepare)["office"]
        waits = sorted(call.first_ms -
                       call.sent_ms if call.first_ms >= 0 else 2 * WITHIN_MS
                       for call in calls)
        p50, p95, p99 = (
            waits[int(len(waits) * part)] for part in (0.5, 0.95, 0.99))
        yield (f"  {name:14} p50 {p50:5} ms   p95 {p95:5} ms   p99 {p99:5} ms"
               f"   in time {_in_time(calls):6.1%}")


SESSIONS = 80
TURNS = 8


def _prefixes() -> Iterable[str]:
    yield (f"{SESSIONS} conversations of {TURNS} turns, caches that hold 1.5 "
           "of them together, load 0.5: prefixes found in the cache (82% "
           "with one cache that holds all)")
    for name, kinds in (("own", OWN), ("round robin", ROUND_ROBIN),
                        ("least loaded", LEAST_LOADED)):
        calls = _conversations(kinds)
        asked = sum(len(call.head.prefixes) for call in calls)
        found = sum(call.hits for call in calls)
        waits = sorted(call.first_ms - call.sent_ms
                       for call in calls
                       if call.first_ms >= 0)
        yield (f"  {name:13} {found / asked:6.1%}   p50 to the first token "
               f"{waits[len(waits) // 2]} ms")


def _conversations(kinds: Kinds) -> list[requestfakes.Call]:
    world = _world(kinds, ["office"])
    for replica in world.replicas.values():
        replica.cache_size = round(1.5 * SESSIONS * TURNS / REPLICAS)
    chance = random.Random(3)
    turns = [0] * SESSIONS
    calls: list[requestfakes.Call] = []

    def send(flow: Flow) -> requestfakes.Call:
        session = chance.randrange(SESSIONS)
        turns[session] += 1
        talk, turn = divmod(turns[session], TURNS)
        prefixes = ("system",) + tuple(
            f"{session}/{talk}/{each}" for each in range(turn + 1))
        call = world.call(chance.choice(list(world.nodes)),
                          WORK,
                          WITHIN_MS,
                          account=flow.name,
                          prefixes=prefixes)
        calls.append(call)
        return call

    _drive(world, [Flow("office", 0.5 * CAPACITY_PER_S)], 60_000, send)
    return calls


POISONS = 5
SENDINGS = 20


def _poison() -> Iterable[str]:
    """Sends requests that crash replicas, again and again, among others."""
    yield (f"{POISONS} requests that crash each replica that runs them, sent "
           f"{SENDINGS} times through all nodes, among others at load 0.3")
    for name, kinds in (("own", OWN), ("round robin", ROUND_ROBIN)):
        world = _world(kinds, ["office"], nodes=3)
        flow = Flow("office", 0.3 * CAPACITY_PER_S)
        chance = random.Random(17)
        sent = 0

        def send(flow: Flow,
                 world: requestfakes.RequestWorld = world,
                 chance: random.Random = chance) -> requestfakes.Call:
            nonlocal sent
            sent += 1
            number, rest = divmod(sent, 10)
            if not rest and number <= POISONS * SENDINGS:
                return world.call(chance.choice(list(world.nodes)),
                                  requestfakes.Work(poison=True),
                                  WITHIN_MS,
                                  digest=f"poison-{number % POISONS}")
            return world.call(chance.choice(list(world.nodes)),
                              WORK,
                              WITHIN_MS,
                              account=flow.name)

        _drive(world, [flow], 90_000, send)
        boots = sum(each.boots - 1 for each in world.replicas.values())
        held = {
            suspicion.digest
            for node in world.nodes.values()
            for suspicion in node.decisions.board.suspects.by_digest.values()
            if suspicion.state is peering.SuspectState.QUARANTINED
        }
        innocent = sum(not each.startswith("poison") for each in held)
        calls = [call for call in world.calls.values() if not call.work.poison]
        yield (f"  {name:13} replicas lost a poison request: "
               f"{boots / POISONS:.1f}   innocents quarantined: {innocent}   "
               f"others in time: {_in_time(calls):.1%}")


KEYS = 10_000
AGAIN = 3


def _once() -> Iterable[str]:
    yield (f"{KEYS} keys of requests that may run once, sent again after each "
           "answer that is not the whole one, and as many streams; crashes, "
           "pauses, cut connections, lost and late answers of the table")
    for name, kinds in (("own", OWN), ("round robin", ROUND_ROBIN)):
        world = _faulty(kinds)
        calls = list(world.calls.values())
        twice = sum(count > 1 for count in world.key_runs.values())
        run = len(world.key_runs)
        untrue = sum(_is_untrue(call) for call in calls)
        wrong = sum(bool(call.mixed) for call in calls)
        cut = sum(_is_cut(call) for call in calls)
        several = sum(len(call.answers) != 1 for call in calls)
        streams = [call for call in calls if call.head.repeatable]
        yield (f"  {name:13} keys run twice: {twice} of {run}   'not-run' of "
               f"what ran: {untrue}   mixed: {wrong}   silently cut: {cut}   "
               f"not one final answer: {several}   streams whole in time: "
               f"{_in_time(streams):.1%}")


def _is_untrue(call: requestfakes.Call) -> bool:
    return call.runs > 0 and any(
        isinstance(answer, actions.Refuse) and
        answer.problem.outcome is requesting.Outcome.NOT_RUN
        for answer in call.answers)


def _is_cut(call: requestfakes.Call) -> bool:
    return not call.whole and any(
        isinstance(answer, actions.Finish) for answer in call.answers)


def _faulty(kinds: Kinds) -> requestfakes.RequestWorld:
    world = _world(kinds, ["office"], nodes=3)
    world.trouble = requestfakes.Trouble(cut=0.03, repeat_end=0.1)
    world.faults.lose_answers = 0.05
    world.faults.late_transactions = 0.03
    chance = random.Random(13)
    names = list(world.nodes)
    short = requestfakes.Work(tokens=4, token_ms=10, prefill_ms=10)
    pending: list[tuple[str, int, requestfakes.Call]] = []

    def send(key: str, left: int) -> None:
        call = world.call(chance.choice(names),
                          short,
                          4000,
                          repeatable=False,
                          streaming=False,
                          idempotency_key=key,
                          digest=f"digest-{key}")
        pending.append((key, left, call))

    for number in range(KEYS):
        world.run(5)
        send(f"k{number}", AGAIN)
        world.call(chance.choice(names), short, 4000)
        if number % 100 == 0:
            _harm(world, chance, number)
            waiting, pending[:] = list(pending), []
            for key, left, call in waiting:
                if not call.answers:
                    pending.append((key, left, call))
                elif left and not call.whole:
                    send(key, left - 1)
    for name in names:
        world.resume(name)
    world.run(10_000)
    return world


def _harm(world: requestfakes.RequestWorld, chance: random.Random,
          number: int) -> None:
    name = chance.choice(list(world.nodes))
    if world.nodes[name].paused:
        world.resume(name)
    elif number % 300 == 0:
        world.pause(name)
    for each in world.nodes:
        if each != name and chance.random() < 0.7:
            world.resume(each)
    replica = chance.choice(list(world.replicas.values()))
    if replica.up and number % 400 == 0:
        world.crash(replica)
    world.faults.table_down = number % 1500 == 0


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
    for name, kinds in (("own", OWN), ("round robin", ROUND_ROBIN)):
        idle_ns, _ = _cpu_of(kinds, 0.0)
        busy_ns, count = _cpu_of(kinds, 0.7)
        yield (f"processor time of the decisions, {REPLICAS} replicas, {name}: "
               f"{(busy_ns - idle_ns) / count / 1000:.0f} us a request; idle "
               f"{idle_ns / 20 / 1e6:.1f} ms a second and node")


def _cpu_of(kinds: Kinds, load: float) -> tuple[int, int]:
    """Returns the time that one node took in 20 s, and its requests."""
    world = _world(kinds, ["office"])
    timed = _Timed(world.nodes["n0"].decisions)
    world.nodes["n0"].decisions = timed
    flow = Flow("office", load * CAPACITY_PER_S)
    count = 0

    def send(_: Flow) -> requestfakes.Call:
        nonlocal count
        count += 1
        return world.call(f"n{count % NODES}", WORK, WITHIN_MS)

    if load:
        _drive(world, [flow], 10_000, send)
    else:
        world.run(20_000)
    return timed.cpu_ns, max(1, count // NODES)


if __name__ == "__main__":
    main()
