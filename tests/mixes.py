"""Draws mixes of troubles and plays them against whole nodes.

Usage: python -m tests.mixes FIRST COUNT [restored|advice]

Each seed gives two to four troubles at times of their own, and a run; a seed
that breaks a rule is printed with what broke, and gives exit code 1. With
"restored" the store also comes back from a backup in each, with "advice"
runners also name limits, ask for rest or say that they leave.
"""

import random
import sys

from cardamommill.experiment import deployments, world
from tests.experiment import test_world

# What each kind of trouble may be: the longest that callers bear, and enough
# of it to matter in a deployment of two data centres.
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

# What runners may ask of their callers, and how much of it.
FLOW_CONTROL = {
    "heads_limited": (0.5, 4.0),
    "heads_rest": (0.5, 4.0),
    "heads_leave": (1.0, 1.0),
    "plain_limited": (1.0, 6.0),
    "plain_rest": (0.5, 4.0),
}


def draw(seed: int) -> list[dict[str, object]]:
    """Returns the troubles of a seed."""
    rng = random.Random(seed)
    drawn = []
    for _ in range(rng.randint(2, 4)):
        kind = rng.choice(sorted(KINDS))
        at_s = round(rng.uniform(0.5, 5.0), 2)
        drawn.append(test_world.trouble(kind, at_s=at_s, **KINDS[kind]))
    return drawn


def draw_with_restore(seed: int) -> list[dict[str, object]]:
    """Returns the troubles of a seed, and a restore of the store among them."""
    rng = random.Random(seed)
    return draw(seed) + [
        test_world.trouble("store_restored",
                           at_s=round(rng.uniform(1.0, 4.0), 2),
                           for_s=round(rng.uniform(0.0, 2.0), 2),
                           factor=round(rng.uniform(0.0, 6.0), 2))
    ]


def draw_with_flow_control(seed: int) -> list[dict[str, object]]:
    """Returns the troubles of a seed, and runners that ask for less."""
    rng = random.Random(seed)
    asked = rng.sample(sorted(FLOW_CONTROL), 2)
    return draw(seed) + [
        test_world.trouble(kind,
                           at_s=round(rng.uniform(0.5, 4.0), 2),
                           count=rng.randint(1, 2),
                           for_s=round(rng.uniform(1.0, 6.0), 2),
                           factor=round(rng.uniform(*FLOW_CONTROL[kind]), 2))
        for kind in asked
    ]


MIXES = {
    "": draw,
    "restored": draw_with_restore,
    "advice": draw_with_flow_control
}


def play(seed: int, kind: str = "") -> world.Outcome:
    """Plays the mix of a seed, one of a kind in `MIXES`."""
    return test_world.play(*MIXES[kind](seed), seed=seed)


def main(first: int, count: int, mix: str = "") -> int:
    """Plays seeds in turn; returns the exit code."""
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
