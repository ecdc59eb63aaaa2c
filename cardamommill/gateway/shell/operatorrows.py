"""Applies the rows of the operator's table; logs and counts what changes."""

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import clock, entrysettings, model
from cardamommill.gateway.fleet import evacuations
from cardamommill.gateway.shell import configurationrows
from cardamommill.gateway.tables import tablereader
from cardamommill.platform import evacuationrows

_LOG = logbook.Logger("platform")


class OperatorRows:
    """What the rows of the operator's table ask for.

    Attributes:
        evacuations: The evacuations in force.
        configurations: Decides which configurations take effect.
    """

    def __init__(self, settings: entrysettings.EntrySettings,
                 node_metrics: metrics.Metrics) -> None:
        """Initialises the instance before the first read.

        Args:
            settings: The settings of the node.
            node_metrics: Receives the metrics.
        """
        evacuated = evacuations.Evacuations(settings.named_data_centres)
        self.evacuations = evacuated
        self.configurations = configurationrows.ConfigurationRows(
            settings.regions.values(), node_metrics)
        self._metrics = node_metrics
        node_metrics.collect(
            lambda:
            [metrics.Sample("evacuated_data_centres", len(evacuated.in_force))])

    def reload(
            self, settings: entrysettings.EntrySettings
    ) -> model.Configuration | None:
        """Applies changed settings.

        Returns:
            The last refused configuration, if it may take effect now.
        """
        self.evacuations.reload(settings.named_data_centres)
        return self.configurations.reload(settings.regions.values())

    def apply(self, result: tablereader.ReadResult) -> None:
        """Applies a read of the operator's table."""
        now_ms = clock.now_ms()
        rows = result.rows
        found = tuple(
            evacuations.EvacuationRow(data_centre, each.version or rows.version,
                                      each.deleted)
            for each in rows.rows
            if (data_centre := evacuationrows.evacuated_data_centre(each.key)
               ) is not None)
        read = evacuations.EvacuationRead(found, rows.position, result.whole,
                                          result.was_restored)
        for change in self.evacuations.apply(read, now_ms):
            self._record(change, now_ms - rows.as_of_ms, now_ms)

    def _record(self, change: evacuations.Change, read_age_ms: float,
                now_ms: float) -> None:
        evacuation = change.evacuation
        what = "begin" if change.has_begun else "end"
        if change.is_known:
            self._metrics.count("evacuation_changes_total", change=what)
        elif change.has_begun:
            self._metrics.count("evacuations_unknown_total")
        _LOG.warning(
            logs.line("evacuation" if change.is_known else "evacuation-unknown",
                      change=what,
                      data_centre=evacuation.data_centre,
                      row_version=evacuation.row_version,
                      read_age_ms=int(read_age_ms),
                      age_ms=int(now_ms - evacuation.since_ms)))
