"""Measures requests among faults; part of `bench_requests`."""

from collections.abc import Iterable
import random

from cardamommill import (
    actions,
    benchload,
    peering,
    replicafakes,
    requestfakes,
    requesting,
)

_WITHIN_MS = benchload.WITHIN_MS
_CAPACITY_PER_S = benchload.CAPACITY_PER_S

POISONS = 5
SENDINGS = 20


def poison() -> Iterable[str]:
    """Sends requests that crash replicas, again and again, among others."""
    yield (f"{POISONS} requests that crash each replica that runs them, sent "
           f"{SENDINGS} times through all nodes, among others at load 0.3")
    for how in ("in turn", "together"):
        for name, kinds in benchload.POLICIES[:2]:
            yield f"  {name:13} {how:9} {_poisoned(kinds, how == 'in turn')}"


def _poisoned(kinds: benchload.Kinds, in_turn: bool) -> str:
    world = benchload.world(kinds, ["office"], nodes=3)
    chance = random.Random(17)
    sent = 0

    def send(flow: benchload.Flow) -> replicafakes.Call:
        nonlocal sent
        sent += 1
        number, rest = divmod(sent, 10)
        node = chance.choice(list(world.nodes))
        if rest or number > POISONS * SENDINGS:
            return world.call(node,
                              benchload.WORK,
                              _WITHIN_MS,
                              account=flow.name)
        which = (number - 1) // SENDINGS if in_turn else number % POISONS
        return world.call(node,
                          replicafakes.Work(poison=True),
                          _WITHIN_MS,
                          digest=f"poison-{which}")

    benchload.drive(world,
                    [benchload.Flow("office", 0.3 * benchload.CAPACITY_PER_S)],
                    90_000, send)
    lost = sum(each.boots - 1 for each in world.replicas.values()) / POISONS
    held = {
        suspicion.digest
        for node in world.nodes.values()
        for suspicion in node.decisions.board.suspects.by_digest.values()
        if suspicion.state is peering.SuspectState.QUARANTINED
    }
    innocent = sum(not each.startswith("poison") for each in held)
    calls = [call for call in world.calls.values() if not call.work.poison]
    return (f"replicas lost a poison request: {lost:.1f}   innocents "
            f"quarantined: {innocent}   others in time: "
            f"{benchload.in_time(calls):.1%}")


KEYS = 10_000
AGAIN = 3


def once() -> Iterable[str]:
    """Sends requests that may run once among faults, again and again."""
    yield (f"{KEYS} keys of requests that may run once, sent again after each "
           "answer that is not the whole one, and as many streams; crashes, "
           "pauses, cut connections, lost and late answers of the table")
    for name, kinds in benchload.POLICIES[:2]:
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
               f"{benchload.in_time(streams):.1%}")


def _is_untrue(call: replicafakes.Call) -> bool:
    return call.runs > 0 and any(
        isinstance(answer, actions.Refuse) and
        answer.problem.outcome is requesting.Outcome.NOT_RUN
        for answer in call.answers)


def _is_cut(call: replicafakes.Call) -> bool:
    return not call.whole and any(
        isinstance(answer, actions.Finish) for answer in call.answers)


def _faulty(kinds: benchload.Kinds) -> requestfakes.RequestWorld:
    world = benchload.world(kinds, ["office"], nodes=3)
    world.trouble = requestfakes.Trouble(cut=0.03, repeat_end=0.1)
    world.faults.lose_answers = 0.05
    world.faults.late_transactions = 0.03
    chance = random.Random(13)
    names = list(world.nodes)
    short = replicafakes.Work(tokens=4, token_ms=10, prefill_ms=10)
    pending: list[tuple[str, int, replicafakes.Call]] = []

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
