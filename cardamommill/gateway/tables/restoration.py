"""Selects the valid entries of the runner list after a restore of the store."""

from collections.abc import Iterator
import dataclasses

from cardamommill.domain import eras, model

# Time within which a live runner rewrites its entry after a restore; one that
# has not done so is taken to be gone.
REWRITE_TIMEOUT_MS = 2000.0
# Time after which the store has expired the entries of runners that no longer
# rewrite them.
ENTRY_EXPIRY_MS = 4800.0


@dataclasses.dataclass(slots=True)
class Restoration:
    """The period after a restore in which some entries of the list are stale.

    The backup is some seconds old. Its entry for a runner that was listed
    before the restore is older than the one known then; a runner that was not
    listed then had already left.

    Attributes:
        started_ms: When the list was first read after the restore.
        position: Position of that read; newer rows were written after the
            restore.
        before: The entries before the restore, by instance id.
    """

    started_ms: float
    position: eras.TablePosition
    before: dict[str, model.Runner]

    def is_over(self, now_ms: float) -> bool:
        """Whether all entries of the list are valid again."""
        return now_ms - self.started_ms >= ENTRY_EXPIRY_MS

    def record_removal(self, instance: str) -> None:
        """Records that a runner's entry was deleted after the restore."""
        self.before.pop(instance, None)

    def valid_entries(self, listed: dict[str, model.Runner],
                      now_ms: float) -> Iterator[model.Runner]:
        """Yields the entries that are valid now.

        Args:
            listed: The entries of the list, by instance id.
            now_ms: The current time.
        """
        for entry in listed.values():
            before = self.before.get(entry.instance)
            if entry.row_position > self.position:
                yield entry
            elif before is not None and before.id != entry.id:
                # A runner that restarted was born after all that the backup
                # holds of its former incarnation.
                yield before if entry.is_former_of(before) else entry
            elif before is not None:
                # It may have been rewritten between the restore and the first
                # read, to say that the runner is leaving.
                yield dataclasses.replace(before,
                                          leaving=before.leaving or
                                          entry.leaving)
        if now_ms - self.started_ms < REWRITE_TIMEOUT_MS:
            for instance, before in self.before.items():
                if instance not in listed:
                    yield before
