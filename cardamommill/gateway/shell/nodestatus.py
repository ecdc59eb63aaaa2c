"""Tells operators which rows of theirs this node obeys or refuses."""

from collections.abc import Callable, Iterable
import math
from typing import Any

from cardamommill.domain import clock
from cardamommill.gateway.fleet import evacuations
from cardamommill.gateway.requests import freshness
from cardamommill.gateway.shell import (
    configurationrows,
    eligibletargets,
    operatorrows,
    platformreader,
)
from cardamommill.platform import wirenames


def _no_entries() -> int:
    return 0


class NodeStatus:
    """The content of the status page; holds no secret values."""

    def __init__(self,
                 reader: platformreader.PlatformReader,
                 rows: operatorrows.OperatorRows,
                 config_freshness: freshness.Freshness,
                 targets: eligibletargets.EligibleTargets,
                 refused_entries: Callable[[], int] = _no_entries) -> None:
        """Initialises the instance.

        Args:
            reader: Has the configuration in force.
            rows: What the rows of the operator's table ask for.
            config_freshness: The age of the confirmation of the configuration.
            targets: Counts the requests of this node by data centre.
            refused_entries: Returns the number of refused entries of the runner
                list.
        """
        self._reader = reader
        self._rows = rows
        self._freshness = config_freshness
        self._targets = targets
        self._refused_entries = refused_entries

    def page(self) -> dict[str, Any]:
        """Returns the status as a JSON object."""
        now_ms = clock.now_ms()
        evacuated = self._rows.evacuations
        return {
            "configuration":
                self._configuration(now_ms),
            "refused_configuration":
                _refusal(self._rows.configurations.last_refusal, now_ms),
            "evacuations": [
                each | {
                    "running": self._targets.running(each["data_centre"])
                } for each in _evacuations(evacuated.known(), now_ms)
            ],
            "unknown_evacuations":
                _evacuations(evacuated.unknown(), now_ms),
            "refused_list_entries":
                self._refused_entries(),
        }

    def _configuration(self, now_ms: float) -> dict[str, Any] | None:
        table = self._reader.table
        if table is None:
            return None
        confirmed_age_ms = self._freshness.age_ms(now_ms)
        return {
            "version":
                table.configuration.version,
            "routes_version":
                table.configuration.routes_version,
            "age_ms":
                int(now_ms - self._reader.table_since_ms),
            # JSON has no infinity, which stands for "never".
            "confirmed_age_ms":
                int(confirmed_age_ms)
                if math.isfinite(confirmed_age_ms) else None,
        }


def _evacuations(found: Iterable[evacuations.Evacuation],
                 now_ms: float) -> list[dict[str, Any]]:
    return [{
        "data_centre": each.data_centre,
        "row_version": each.row_version,
        "age_ms": int(now_ms - each.since_ms),
    } for each in found]


def _refusal(refusal: configurationrows.Refusal | None,
             now_ms: float) -> dict[str, Any] | None:
    if refusal is None:
        return None
    return {
        "row": wirenames.CONFIGURATION_KEY,
        "row_version": refusal.row_version,
        "field": refusal.fault.field,
        "value": refusal.fault.value,
        "found": refusal.fault.found_kind,
        "expected": refusal.fault.expected,
        "age_ms": int(now_ms - refusal.at_ms),
    }
