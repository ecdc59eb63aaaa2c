"""Runs experiments and compares them under variants of decision constants."""

from collections.abc import Iterator
import contextlib
import dataclasses
import importlib
import importlib.util
from typing import Any

from cardamommill import exceptions
from cardamommill.experiment import deployments, world

# Where the constants that a variant may set are looked for.
PACKAGES = ("cardamommill.domain", "cardamommill.transport",
            "cardamommill.gateway.fleet", "cardamommill.gateway.requests",
            "cardamommill.gateway.groups", "cardamommill.gateway.nodes",
            "cardamommill.gateway.tables", "cardamommill.gateway.shell")
COLUMNS = ("experiment", "variant", "seed", "requests", "credit", "worst 4 s",
           "in aim", "late", "refused", "failed", "calls/s", "broken rules")


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """The outcome of one run, with its variant and seed."""

    variant: str
    seed: int
    outcome: world.Outcome
    length_s: float

    def row(self) -> tuple[str, ...]:
        """Returns the run's cells in the order of `COLUMNS`."""
        outcome = self.outcome
        return (outcome.name, self.variant, str(self.seed),
                str(len(outcome.results)), f"{outcome.earned:.3f}",
                f"{outcome.worst_window():.3f}",
                *(f"{outcome.share(each):.3f}"
                  for each in ("in-aim", "late", "refused", "failed")),
                f"{outcome.store_calls / self.length_s:.1f}",
                str(len(outcome.violations)))


def play_all(deployment: deployments.Deployment,
             seeds: int) -> Iterator[Played]:
    """Yields a run for each variant and seed; each is run when requested."""
    variants = {"as it is": {}, **deployment.variants}
    for name, changes in variants.items():
        for seed in range(deployment.seed, deployment.seed + seeds):
            with override_constants(changes):
                outcome = world.play(deployment, seed)
            yield Played(name, seed, outcome,
                         deployment.lead_s + deployment.length_s)


@contextlib.contextmanager
def override_constants(constants: dict[str, float]) -> Iterator[None]:
    """Overrides constants of decision modules within a `with` block.

    Args:
        constants: New values by name, such as ``placing.PATIENT_PART``.

    Raises:
        CommandError: A named constant does not exist.
    """
    before: list[tuple[Any, str, Any]] = []
    try:
        for path, value in constants.items():
            module, name = _constant(path)
            before.append((module, name, getattr(module, name)))
            setattr(module, name, value)
        yield
    finally:
        for module, name, value in reversed(before):
            setattr(module, name, value)


def _constant(path: str) -> tuple[Any, str]:
    module_name, _, name = path.partition(".")
    found = [
        f"{package}.{module_name}" for package in PACKAGES
        if importlib.util.find_spec(f"{package}.{module_name}") is not None
    ]
    module = importlib.import_module(found[0]) if found else None
    if module is None or not name.isupper() or not hasattr(module, name):
        raise exceptions.CommandError(
            f"no constant {path}; expected a name such as placing.PATIENT_PART",
            step="experiment")
    return module, name


def table(rows: list[tuple[str, ...]]) -> str:
    """Formats rows as a text table with column headings."""
    all_rows = [COLUMNS, *rows]
    widths = [max(map(len, column)) for column in zip(*all_rows, strict=True)]
    return "\n".join("  ".join(
        text.ljust(width)
        for text, width in zip(row, widths, strict=True)).rstrip()
                     for row in all_rows)
