"""Keeps the newest known incarnation of each runner's instance.

Rows may arrive out of order, as when a peer's copy of the list is older than
the one that was read before. A row of a former incarnation is dropped then.
"""

from collections.abc import Iterable

from cardamommill.domain import model
from cardamommill.gateway.fleet import runnerrecord


class IncarnationIndex:
    """The newest known incarnation by instance."""

    def __init__(self, known: dict[str, runnerrecord.RunnerRecord]) -> None:
        """Initialises the instance.

        Args:
            known: The records of all incarnations, which the owner maintains.
        """
        self._known = known
        # Incarnation ids by instance.
        self._newest: dict[str, str] = {}

    def current(
            self, runners: Iterable[model.Runner]
    ) -> tuple[list[model.Runner], set[str]]:
        """Returns the entries of a list that are not of former incarnations.

        A row of a former incarnation that is older than the row of the newest
        one comes from an older copy of the list, so the newest is still listed
        as it was. A row that was written later has replaced the newest one's,
        which isn't listed.

        Returns:
            The entries, and the ids of the newest incarnations that stay listed
            without an entry.
        """
        entries = []
        kept = set()
        for runner in runners:
            if self._newest.get(runner.instance) == runner.id:
                # Nearly all entries of each read; the list is read several
                # times a second.
                entries.append(runner)
                continue
            newest = self._record(runner.instance)
            if newest is None or not runner.is_former_of(newest.runner):
                entries.append(runner)
            elif newest.listed and (runner.row_position
                                    < newest.runner.row_position):
                kept.add(newest.runner.id)
        return entries, kept

    def succeed(self, runner: model.Runner) -> runnerrecord.RunnerRecord | None:
        """Makes a listed runner the newest incarnation of its instance.

        Returns:
            The incarnation that it replaces, if any.
        """
        instance = runner.instance
        if self._newest.get(instance) == runner.id:
            return None
        former = self._record(instance)
        self._newest[instance] = runner.id
        return former

    def forget(self, runner: model.Runner) -> None:
        """Drops an incarnation whose record is dropped."""
        if self._newest.get(runner.instance) == runner.id:
            del self._newest[runner.instance]

    def listed_id(self, instance: str) -> str | None:
        """Returns the listed incarnation of an instance, or None."""
        record = self._record(instance)
        if record is None or not record.listed:
            return None
        return record.runner.id

    def _record(self, instance: str) -> runnerrecord.RunnerRecord | None:
        newest = self._newest.get(instance)
        return self._known.get(newest) if newest is not None else None
