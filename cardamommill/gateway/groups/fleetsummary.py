"""Summarises the groups and runners of a planner for the log."""

from collections.abc import Callable, Iterable
import dataclasses

from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import planning, spares


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerState:
    """Queries that need the planner's state.

    Attributes:
        is_in_scope: Whether the planner is responsible for a group.
        is_free: Whether a runner may join a group.
        spares: The free runners and the models that they hold.
    """

    is_in_scope: Callable[[fleetview.Group], bool]
    is_free: Callable[[fleetview.RunnerRecord], bool]
    spares: spares.Spares


def summary(groups: Iterable[fleetview.Group],
            formations: Iterable[planning.Formation],
            runners: Iterable[fleetview.RunnerRecord], service: str,
            planner_state: PlannerState,
            scope: planning.Scope) -> dict[str, str]:
    """Returns counts of groups and runners by state and by model.

    Args:
        groups: The groups of the service.
        formations: Groups that are being formed, of all services.
        runners: The runners of the service.
        service: The name of the service.
        planner_state: Queries that need the planner's state.
        scope: The data centres of the planner.
    """
    counts: dict[str, dict[str, int]] = {}

    def add(kind: str, name: str) -> None:
        of_kind = counts.setdefault(kind, {})
        of_kind[name] = of_kind.get(name, 0) + 1

    for group in groups:
        if group.is_open and planner_state.is_in_scope(group):
            add("open", group.model)
    for formation in formations:
        if formation.service == service:
            add("forming", formation.model.name)
    for known in runners:
        if known.runner.data_centre in scope.data_centres:
            _add_runner(known, planner_state, add)
    return {
        kind:
            ",".join(f"{name}:{count}" for name, count in sorted(names.items()))
        for kind, names in counts.items()
    }


def _add_runner(known: fleetview.RunnerRecord, planner_state: PlannerState,
                add: Callable[[str, str], None]) -> None:
    if known.down_ms:
        add("down", "runners")
    elif known.is_leaving:
        add("leaving", "runners")
    elif planner_state.is_free(known):
        staging = planner_state.spares.is_staging(known.runner.id)
        name = planner_state.spares.warm_model(
            known) or known.last_model or "blank"
        add("staging" if staging else "free", name)
