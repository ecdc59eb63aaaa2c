"""Which entries of a list count after the store was restored from a backup."""

from collections.abc import Iterator
import dataclasses

from cardamommill.gateway import eras, model

# A runner writes its entry again within this, or is to be taken for gone.
REWRITE_TIMEOUT_MS = 2000.0
# By then the entry of a runner that no longer writes has lapsed.
ENTRY_EXPIRY_MS = 4800.0


@dataclasses.dataclass(slots=True)
class Restoration:
    """The time after a restore, for one list.

    The backup is some seconds old. What it says of a runner that was listed
    before is older than what was known; a runner that was not had left.

    Attributes:
        began_ms: When the list was first read again.
        position: Of that reading; what is newer was surely written since.
        before: The entries before the restore, by the runner's id.
    """

    began_ms: float
    position: eras.TablePosition
    before: dict[str, model.Runner]

    def is_over(self, now_ms: float) -> bool:
        """Whether all that the list says counts again."""
        return now_ms - self.began_ms >= ENTRY_EXPIRY_MS

    def record_removal(self, runner: str) -> None:
        """Notes that an entry was removed since the restore."""
        self.before.pop(runner, None)

    def valid_entries(self, listed: dict[str, model.Runner],
                      now_ms: float) -> Iterator[model.Runner]:
        """Yields the entries that count now.

        Args:
            listed: What the list says, by the runner's id.
            now_ms: The time.
        """
        for entry in listed.values():
            before = self.before.get(entry.id)
            if entry.row_position > self.position:
                yield entry
            elif before is not None:
                # Rewritten before the first reading, it may say that the
                # runner leaves.
                yield dataclasses.replace(before,
                                          leaving=before.leaving or
                                          entry.leaving)
        if now_ms - self.began_ms < REWRITE_TIMEOUT_MS:
            for runner, before in self.before.items():
                if runner not in listed:
                    yield before
