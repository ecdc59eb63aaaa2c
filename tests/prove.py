"""A long fuzz of all state machines, with a given number of steps and seeds.

Run by ``make prove SEEDS=20 EXAMPLES=200 STEPS=100``. Prints one line per
machine and ends with 1 if any seed failed; a failing seed is printed with the
command that repeats it.
"""

import argparse
from concurrent import futures
import dataclasses
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
MACHINES = sorted(
    path.name for path in (ROOT / "tests").glob("test_*_machine.py"))


@dataclasses.dataclass(frozen=True)
class Run:
    """One machine with one seed.

    Attributes:
        machine: The file of the test.
        seed: Its hypothesis seed.
        passed: Whether it held.
        output: What pytest printed.
    """

    machine: str
    seed: int
    passed: bool
    output: str


def command(machine: str, seed: int) -> list[str]:
    """Returns the command that runs one machine with one seed."""
    return [
        sys.executable, "-m", "pytest", "-x", f"tests/{machine}",
        f"--hypothesis-seed={seed}"
    ]


def run(machine: str, seed: int, environment: dict[str, str]) -> Run:
    """Runs one machine with one seed."""
    done = subprocess.run(command(machine, seed),
                          cwd=ROOT,
                          env=os.environ | environment,
                          capture_output=True,
                          text=True,
                          check=False)
    return Run(machine, seed, done.returncode == 0, done.stdout)


def main() -> int:
    """Runs everything and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--examples", type=int, default=60)
    parser.add_argument("--steps", type=int, default=60)
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    environment = {
        "HYPOTHESIS_PROFILE": "prove",
        "PROVE_EXAMPLES": str(asked.examples),
        "PROVE_STEPS": str(asked.steps),
    }
    with futures.ThreadPoolExecutor(asked.jobs) as pool:
        runs = list(
            pool.map(lambda each: run(*each, environment),
                     [(machine, seed)
                      for machine in MACHINES
                      for seed in range(asked.seeds)]))
    print(f"{'machine':34} {'seeds':>5} {'examples':>8} {'steps':>5} failed")
    for machine in MACHINES:
        failed = [
            each.seed
            for each in runs
            if each.machine == machine and not each.passed
        ]
        print(f"{machine:34} {asked.seeds:5} {asked.examples:8} "
              f"{asked.steps:5} {failed or 'none'}")
    for each in runs:
        if not each.passed:
            print(f"\n{' '.join(command(each.machine, each.seed))}")
            print(each.output[-3000:])
    return 0 if all(each.passed for each in runs) else 1


if __name__ == "__main__":
    sys.exit(main())
