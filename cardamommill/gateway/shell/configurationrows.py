"""Decides which configurations of the operator's row take effect."""

from collections.abc import Iterable
import dataclasses
import enum

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import clock, model
from cardamommill.platform import (
    configurationchecks,
    configurationfaults,
    configurations,
    wirenames,
)

_LOG = logbook.Logger("platform")


class Verdict(enum.Enum):
    """What becomes of a configuration."""

    ACCEPTED = "accepted"
    # It was decoded, but a value is out of range. The one in force stays the
    # newest valid one.
    REFUSED = "refused"
    # It may revoke keys that are not known.
    UNDECODABLE = "undecodable"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a configuration.

    Attributes:
        row_version: The version of its row.
        at_ms: When it was refused.
        configuration: The configuration; None if it could not be decoded.
    """

    row_version: int
    fault: configurationfaults.Fault
    at_ms: float
    configuration: model.Configuration | None


class ConfigurationRows:
    """Decodes and checks configurations; logs and counts refusals.

    Attributes:
        last_refusal: The last refusal; None if there was none.
    """

    def __init__(self, regions: Iterable[str],
                 node_metrics: metrics.Metrics) -> None:
        """Initialises the instance without refusals.

        Args:
            regions: The regions that the settings name.
            node_metrics: Receives the count of refusals.
        """
        self._regions = frozenset(regions)
        self._metrics = node_metrics
        self.last_refusal: Refusal | None = None

    def evaluate(
            self, value: bytes,
            row_version: int) -> tuple[Verdict, model.Configuration | None]:
        """Returns whether a stored configuration may take effect.

        Args:
            value: The value of its row.
            row_version: The version of its row.

        Returns:
            The verdict, and the configuration if it could be decoded.
        """
        try:
            configuration = configurations.decode(value)
        except configurationfaults.UndecodableConfiguration as error:
            self._refuse(row_version, error.fault, None)
            return Verdict.UNDECODABLE, None
        fault = self._find_fault(configuration)
        if fault is None:
            return Verdict.ACCEPTED, configuration
        self._refuse(row_version, fault, configuration)
        return Verdict.REFUSED, configuration

    def reload(self, regions: Iterable[str]) -> model.Configuration | None:
        """Applies changed settings.

        Returns:
            The last refused configuration, if it may take effect now.
        """
        self._regions = frozenset(regions)
        refusal = self.last_refusal
        if refusal is None or refusal.configuration is None:
            return None
        if self._find_fault(refusal.configuration) is not None:
            return None
        return refusal.configuration

    def _find_fault(
            self, configuration: model.Configuration
    ) -> configurationfaults.Fault | None:
        return configurationchecks.find_fault(configuration, self._regions)

    def _refuse(self, row_version: int, fault: configurationfaults.Fault,
                configuration: model.Configuration | None) -> None:
        last = self.last_refusal
        if last is not None and (last.row_version, last.fault) == (row_version,
                                                                   fault):
            # Whole reads return the same row again.
            return
        self.last_refusal = Refusal(row_version, fault, clock.now_ms(),
                                    configuration)
        self._metrics.count("configurations_refused_total")
        _LOG.error(
            logs.line("configuration-refused",
                      row=wirenames.CONFIGURATION_KEY,
                      row_version=row_version,
                      field=fault.field,
                      value=fault.value,
                      found=fault.found_kind,
                      expected=fault.expected))


def log_in_force(configuration: model.Configuration, before: int) -> None:
    """Logs that a configuration takes effect, after another version."""
    _LOG.info(
        logs.line("configuration",
                  version=configuration.version,
                  before=before,
                  routes=len(configuration.routes),
                  tenants=len(configuration.tenants)))
