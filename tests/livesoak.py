"""Plays silences of sound runners on real processes, for as long as wanted.

`python -m tests.livesoak --help` lists what can be chosen.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import tempfile

from cardamommill.domain import clock
from tests import livefleet

# Of all signals.
RESTART_SHARE = 0.5


def parse(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--length-s", type=float, default=8.0)
    parser.add_argument("--silence",
                        choices=("none", "engines", "processes"),
                        default="engines",
                        help="what of the runners makes no progress")
    parser.add_argument("--silent-s", type=float, default=1.2)
    parser.add_argument("--every-s", type=float, default=4.0)
    parser.add_argument("--part",
                        type=float,
                        default=1.0,
                        help="the part of runners that is silent")
    parser.add_argument("--no-changes",
                        action="store_true",
                        help="leave the configuration as it is")
    parser.add_argument("--signals",
                        action="store_true",
                        help="SIGTERM and SIGHUP for one node after another")
    parser.add_argument("--keep-connections", action="store_true")
    parser.add_argument("--per-process", type=int)
    parser.add_argument("--factor", type=float, default=1.0)
    parser.add_argument("--code", type=pathlib.Path, default=livefleet.ROOT)
    parser.add_argument("--logs", type=pathlib.Path)
    return parser.parse_args(arguments)


async def change_often(fleet):
    """Publishes configurations before, during and after each silence."""
    while True:
        await asyncio.sleep(fleet.rng.uniform(0.2, 0.6))
        fleet.change_configuration()


async def signal_often(fleet):
    """Restarts and reloads nodes that are ready, one after another."""
    while True:
        await asyncio.sleep(fleet.rng.uniform(0.5, 1.5))
        name = fleet.rng.choice(list(fleet.machines))
        if fleet.machines[name].failed_probes:
            continue
        if fleet.rng.random() < RESTART_SHARE:
            await fleet.restart_node(name)
        else:
            fleet.reload_node(name)


async def play(options, seed, folder):
    """Plays once; returns the fleet, whose processes have ended."""
    began_ms = clock.now_ms()
    async with livefleet.Fleet(
            livefleet.deployment(),
            seed,
            folder,
            code=options.code,
            per_process=options.per_process,
            keeps_connections=options.keep_connections) as fleet:
        groups = await fleet.wait_formed()
        print(
            f"open groups: {groups.total()} after "
            f"{(clock.now_ms() - began_ms) / 1000:.1f} s",
            flush=True)
        for each in fleet.callers.values():
            each.factor = options.factor
        sending = fleet.send(options.length_s)
        if not options.no_changes:
            fleet.spawn(change_often(fleet))
        silences = int(options.length_s / options.every_s)
        if options.signals:
            fleet.spawn(signal_often(fleet))
        for _ in range(silences if options.silence != "none" else 0):
            await asyncio.sleep(options.every_s - options.silent_s)
            if options.silence == "engines":
                await fleet.silence(options.silent_s, options.part)
            else:
                await fleet.stop_runners(options.silent_s, options.part)
        await asyncio.gather(*sending)
        await fleet.finish()
    return fleet


def show(fleet):
    """Prints how attempts ended and why nodes ended requests early."""
    print("attempts:", len(fleet.ends), "sent:", len(fleet.oracle.sent))
    print(f"callers were late by up to {fleet.longest_lag_ms:.0f} ms")
    print(" ", dict(collections.Counter(each.how for each in fleet.ends)))
    cut = fleet.cut_answers()
    print("answers cut with time left:", len(cut))
    print("closed without an answer, with time left:", len(fleet.unanswered()))
    print("broken off by runners:", len(fleet.broken_off))
    for each in cut[:20]:
        print(f"  {each.attempt} at {each.machine}: {each.events} events, "
              f"silent for {each.silent_ms:.0f} ms, {each.left_ms:.0f} ms left")
    print("reasons in the nodes' logs:")
    for reason, count in fleet.reasons().most_common():
        print(f"  {count:4} {reason}")
    rules = collections.Counter(each.rule for each in fleet.oracle.violations)
    print("rules:", dict(rules))
    for each in fleet.oracle.violations[:5]:
        print(" ", each.rule, each.text)
    return len(cut)


def main():
    options = parse()
    found = {}
    for seed in options.seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = options.logs or pathlib.Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            print(f"seed {seed}", flush=True)
            fleet = asyncio.run(play(options, seed, folder))
            found[seed] = show(fleet)
    print("cut, by seed:", json.dumps(found))


if __name__ == "__main__":
    main()
