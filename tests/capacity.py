"""Measures what docs/CAPACITY.md rests on; run by ``make capacity``.

Prints, in Markdown, a row for each size that was measured and, for each
figure, the line that fits the rows best with the spread of the rest.
"""

import argparse
from collections.abc import Iterable, Sequence
import dataclasses
import math
import platform
import statistics

from tests import capacity_fleet, capacity_processes

PROCESS_SIZES = ((1, 8), (2, 12), (4, 12), (4, 48), (7, 44), (10, 24), (13, 81))
FLEET_SIZES = tuple(
    capacity_fleet.Size(*size)
    for size in ((1, 2, 8), (1, 2, 30), (1, 4, 12), (1, 4, 60), (1, 7, 20),
                 (1, 7, 80), (1, 13, 24), (1, 13, 81), (1, 20, 60)))
LARGEST = capacity_fleet.Size(26, 13, 81)
CHANGES = 8


@dataclasses.dataclass(frozen=True)
class Fit:
    """A plane through measured points, by least squares.

    Attributes:
        weights: The constant first, then the slope of each factor.
        spread: Standard deviation of what is left over.
    """

    weights: tuple[float, ...]
    spread: float


def fit(factors: Sequence[Sequence[float]], values: Sequence[float]) -> Fit:
    """Returns the best fit of values by their factors.

    Args:
        factors: For each point its factors, without the constant.
        values: What was measured at each point.
    """
    rows = [(1.0, *each) for each in factors]
    size = len(rows[0])
    # The normal equations, solved by elimination.
    matrix = [
        [sum(row[i] * row[j]
             for row in rows)
         for j in range(size)] +
        [sum(row[i] * value
             for row, value in zip(rows, values, strict=True))]
        for i in range(size)
    ]
    for i in range(size):
        best = max(range(i, size), key=lambda k: abs(matrix[k][i]))
        matrix[i], matrix[best] = matrix[best], matrix[i]
        for k in range(size):
            if k != i:
                ratio = matrix[k][i] / matrix[i][i]
                matrix[k] = [
                    a - ratio * b
                    for a, b in zip(matrix[k], matrix[i], strict=True)
                ]
    weights = tuple(matrix[i][size] / matrix[i][i] for i in range(size))
    rest = [
        value - sum(w * x
                    for w, x in zip(weights, row, strict=True))
        for row, value in zip(rows, values, strict=True)
    ]
    freedom = max(1, len(rows) - size)
    return Fit(weights, math.sqrt(sum(each**2 for each in rest) / freedom))


def table(rows: Iterable[object], heads: Sequence[dict]) -> None:
    """Prints dataclasses as a table, after columns of their own."""
    for number, (row, head) in enumerate(zip(rows, heads, strict=True)):
        cells = {**head, **dataclasses.asdict(row)}
        if not number:
            print(f"| {' | '.join(cells)} |\n|{' ---: |' * len(cells)}")
        texts = (f"{value:.3g}" if isinstance(value, float) else str(value)
                 for value in cells.values())
        print(f"| {' | '.join(texts)} |")


def lines(rows: Sequence, factors: Sequence[str], names: Sequence[str],
          values: Sequence[Sequence[float]]) -> None:
    """Prints the fit of each figure."""
    print(f"\n| figure | constant | {' | '.join(factors)} | spread |"
          f"\n|{' ---: |' * (len(factors) + 3)}")
    for name in names:
        fitted = fit(values, [getattr(row, name) for row in rows])
        texts = (f"{weight:.3g}" for weight in fitted.weights)
        print(f"| {name} | {' | '.join(texts)} | {fitted.spread:.2g} |")


def measure_processes(for_s: float) -> None:
    """Measures whole nodes in data centres of several sizes."""
    print("\n## Whole nodes, by processes\n")
    rows = [
        capacity_processes.measure(nodes, vms, for_s)
        for nodes, vms in PROCESS_SIZES
    ]
    table(rows, [{"nodes": n, "runners": v} for n, v in PROCESS_SIZES])
    lines(rows, ("a peer", "a watched runner"),
          ("cpu_percent", "resident_mb", "private_mb", "tcp_sent_bytes_per_s",
           "tcp_received_bytes_per_s"),
          [(row.peers, row.watched) for row in rows])


def measure_fleet(for_s: int) -> None:
    """Measures decisions, messages and state of nodes in one process."""
    print("\n## Decisions and messages, in one process\n")
    rows = [capacity_fleet.Measured(size).load(for_s) for size in FLEET_SIZES]
    table(rows, [dataclasses.asdict(size) for size in FLEET_SIZES])
    lines(rows, ("a peer", "a runner"),
          ("cpu_percent", "datagram_bytes_per_s", "state_kb"),
          [(size.nodes - 1, size.vms) for size in FLEET_SIZES])


def measure_largest(for_s: int) -> None:
    """Measures the largest fleet, and changes of documents on it."""
    print("\n## The largest fleet, in one process\n")
    measured = capacity_fleet.Measured(LARGEST)
    table([measured.load(for_s)], [dataclasses.asdict(LARGEST)])
    took_ms = sorted(measured.in_force_ms(CHANGES))
    print(f"\nA change in force on all {len(measured.fleet.nodes)} nodes, "
          f"{CHANGES} changes, in ms: median {statistics.median(took_ms):.0f}, "
          f"worst {took_ms[-1]}.")


def main() -> None:
    """Measures what was asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts",
                        nargs="*",
                        default=["processes", "fleet", "largest"])
    parser.add_argument("--seconds", type=int, default=10)
    asked = parser.parse_args()
    print(f"{platform.machine()}, {platform.python_version()}, "
          f"{asked.seconds} s for each size")
    parts = {
        "processes": measure_processes,
        "fleet": measure_fleet,
        "largest": measure_largest
    }
    for part in asked.parts:
        parts[part](asked.seconds)


if __name__ == "__main__":
    main()
