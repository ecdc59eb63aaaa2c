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
    # It was decoded, but a value is out of range.
    REFUSED = "refused"
    UNDECODABLE = "undecodable"


@dataclasses.dataclass(frozen=True, slots=True)
class Evaluation:
    """What may take effect of a configuration.

    Attributes:
        configuration: The configuration; None if it could not be decoded.
        accounts: Its client accounts, which take effect even if the
            configuration doesn't; None if they could not be decoded.
    """

    verdict: Verdict
    configuration: model.Configuration | None
    accounts: model.ClientAccounts | None


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

    def evaluate(self, value: bytes, row_version: int) -> Evaluation:
        """Returns what may take effect of a stored configuration.

        Args:
            value: The value of its row.
            row_version: The version of its row.
        """
        try:
            configuration = configurations.decode(value)
        except configurationfaults.UndecodableConfiguration as error:
            self._refuse(row_version, error.fault, None)
            return Evaluation(Verdict.UNDECODABLE, None,
                              configurations.decode_accounts(value))
        fault = self._find_fault(configuration)
        verdict = Verdict.ACCEPTED if fault is None else Verdict.REFUSED
        if fault is not None:
            self._refuse(row_version, fault, configuration)
        return Evaluation(verdict, configuration, configuration.accounts)

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
                  routes_version=configuration.routes_version,
                  tenants=len(configuration.tenants),
                  needs_keys=configuration.needs_keys))
