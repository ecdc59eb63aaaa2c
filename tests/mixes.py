"""Draws random mixes of faults and runs nodes under them in simulation.

Usage: python -m tests.mixes FIRST COUNT [restored|advice]

Each seed gives a run with two to four faults at random times. Seeds whose run
breaks a rule are printed with the violations, and the exit code is then 1. With
"restored", each run also restores the store from a backup; with "advice",
runners also advertise rate limits, ask for rest or announce that they leave.
"""

import random
import sys

from cardamommill.experiment import deployments, world
from tests.experiment import test_world

# Fields of each kind of fault. They are the most severe that clients tolerate,
# and severe enough to affect a deployment of two data centres.
KINDS = {
    "runners_dark": {
        "count": 2
    },
    "domain_dark": {
        "for_s": 4.0
    },
    "runners_crash": {
        "count": 2
    },
    "new_runners": {
        "count": 3
    },
    "runners_slow": {
        "count": 2,
        "factor": 5.0,
        "for_s": 4.0
    },
    "runners_drain": {
        "count": 2
    },
    "runners_cut": {
        "count": 3,
        "for_s": 4.0
    },
    "late_orders": {
        "factor": 0.4,
        "for_s": 4.0
    },
    "node_kill": {
        "count": 1,
        "for_s": 2.0
    },
    "all_nodes_kill": {
        "for_s": 1.0
    },
    "node_stop": {},
    "place_cut": {
        "for_s": 3.0
    },
    "store_silent": {
        "for_s": 3.0
    },
    "store_busy": {
        "for_s": 3.0
    },
    "store_slow": {
        "factor": 40.0,
        "for_s": 3.0
    },
    "store_compact": {},
    "configuration": {},
    "revoke": {
        "count": 2
    },
    "plain_cut": {},
    "burst": {
        "factor": 2.0,
        "for_s": 2.0
    },
}

# Kinds of flow control by runners, each with the range of its factor.
FLOW_CONTROL = {
    "heads_limited": (0.5, 4.0),
    "heads_rest": (0.5, 4.0),
    "heads_leave": (1.0, 1.0),
    "plain_limited": (1.0, 6.0),
    "plain_rest": (0.5, 4.0),
}


def draw(seed: int) -> list[dict[str, object]]:
    """Returns the faults of a seed."""
    rng = random.Random(seed)
    drawn = []
    for _ in range(rng.randint(2, 4)):
        kind = rng.choice(sorted(KINDS))
        at_s = round(rng.uniform(0.5, 5.0), 2)
        drawn.append(test_world.trouble(kind, at_s=at_s, **KINDS[kind]))
    return drawn


def draw_with_restore(seed: int) -> list[dict[str, object]]:
    """Returns the faults of a seed and a restore of the store."""
    rng = random.Random(seed)
    return draw(seed) + [
        test_world.trouble("store_restored",
                           at_s=round(rng.uniform(1.0, 4.0), 2),
                           for_s=round(rng.uniform(0.0, 2.0), 2),
                           factor=round(rng.uniform(0.0, 6.0), 2))
    ]


def draw_with_flow_control(seed: int) -> list[dict[str, object]]:
    """Returns the faults of a seed and two kinds of flow control."""
    rng = random.Random(seed)
    kinds = rng.sample(sorted(FLOW_CONTROL), 2)
    return draw(seed) + [
        test_world.trouble(kind,
                           at_s=round(rng.uniform(0.5, 4.0), 2),
                           count=rng.randint(1, 2),
                           for_s=round(rng.uniform(1.0, 6.0), 2),
                           factor=round(rng.uniform(*FLOW_CONTROL[kind]), 2))
        for kind in kinds
    ]


MIXES = {
    "": draw,
    "restored": draw_with_restore,
    "advice": draw_with_flow_control
}


def play(seed: int, kind: str = "") -> world.Outcome:
    """Runs the mix of a seed; `kind` is a key of `MIXES`."""
    return test_world.play(*MIXES[kind](seed), seed=seed)


def main(first: int, count: int, mix: str = "") -> int:
    """Runs the mixes of consecutive seeds; returns the exit code."""
    known = deployments.Trouble.model_fields["kind"].annotation
    assert set(KINDS) <= set(known.__args__)
    broken = 0
    for seed in range(first, first + count):
        violations = play(seed, mix).violations
        if violations:
            broken += 1
            print(f"seed {seed}: {violations}", flush=True)
    print(f"{count} mixes from seed {first}, {broken} with a rule broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:4]))
