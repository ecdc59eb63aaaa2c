"""Tells where the credit of a played day went, as a Markdown table.

Usage: python -m tools.lost REPORT.json...

A report counts, for each kind of request, how many were owed, in time, late,
refused and failed, and which part of the owed credit was earned. Of what was
lost, refused and failed requests lost all of theirs; the rest was lost by
lateness.
"""

from collections.abc import Iterator
import dataclasses
import json
import pathlib
import sys
from typing import Any

# Prices below this part of the worth are left out.
LEAST_PRICE = 0.002
WORST_WINDOWS = 5


class ReportError(Exception):
    """A file is no report of a day."""


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Where the credit of some requests went, in parts of what was owed.

    Attributes:
        name: Which requests.
        owed: How many of them were owed an answer.
        earned: What was earned.
        late: What was lost by lateness, of events too.
        refused: What was lost by refusals.
        failed: What was lost by failures.
    """

    name: str
    owed: int
    earned: float
    late: float
    refused: float
    failed: float


def loss(group: dict[str, Any]) -> Loss:
    """Returns the loss of one group of requests of a report.

    Args:
        group: Such as a kind of request or a window of time.

    Raises:
        ReportError: It lacks a count.
    """
    try:
        owed = int(group["n"]) - int(group["not_owed"])
        refused = group["refused"] / max(1, owed)
        failed = group["failed"] / max(1, owed)
        earned = float(group["worth"]) if owed else 1.0
        name = str(group["name"])
    except (KeyError, TypeError, ValueError) as error:
        raise ReportError(f"no group of requests: {error!r}") from error
    # Requests differ in worth, so counts can exceed what credit was lost.
    late = max(0.0, 1.0 - earned - refused - failed)
    return Loss(name, owed, earned, late, refused, failed)


def table(report: dict[str, Any]) -> Iterator[str]:
    """Yields the lines of the tables of one report.

    Args:
        report: As the file holds it.

    Raises:
        ReportError: It is no report of a day.
    """
    if not {"all", "classes", "windows", "prices"} <= set(report):
        raise ReportError("no report of a day")
    yield "| requests | owed | earned | late | refused | failed |"
    yield "| --- | ---: | ---: | ---: | ---: | ---: |"
    for group in (report["all"], *report["classes"]):
        yield _line(loss(group))
    worst = sorted(map(loss, report["windows"]), key=lambda each: each.earned)
    for each in worst[:WORST_WINDOWS]:
        yield _line(dataclasses.replace(each, name=f"from {each.name} s"))
    yield ""
    yield "| price | of the worth |"
    yield "| --- | ---: |"
    for name, _, part in sorted(report["prices"], key=lambda each: -each[2]):
        if part >= LEAST_PRICE:
            yield f"| {name} | {part:.4f} |"


def _line(each: Loss) -> str:
    return (f"| {each.name} | {each.owed} | {each.earned:.3f} | "
            f"{each.late:.3f} | {each.refused:.3f} | {each.failed:.3f} |")


def main(paths: list[str]) -> int:
    """Prints the tables of reports; returns the exit code."""
    for path in paths:
        try:
            report = json.loads(pathlib.Path(path).read_text("utf-8"))
            lines = list(table(report))
        except (OSError, ValueError, ReportError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 1
        print(f"### {pathlib.Path(path).stem}\n")
        print("\n".join(lines) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
