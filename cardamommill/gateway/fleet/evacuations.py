"""Tracks which data centres the operator has evacuated."""

from collections.abc import Iterable
import dataclasses

from cardamommill.domain import eras

# How long the return of a data centre is remembered; its runners may have
# become cold shortly before.
RETURN_KEPT_MS = 60_000.0
# After a restore, rows that the restored table lacks stay in force for this
# long: the backup may be older than they are, and the operator writes them
# again.
RESTORE_HOLD_MS = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRow:
    """A row that asks for the evacuation of a data centre, or its removal."""

    data_centre: str
    version: int
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRead:
    """What one read of the operator's table says about evacuations.

    Attributes:
        rows: All evacuation rows of a whole read, or those that changed.
        position: The point up to which the read covers the table.
        is_whole: Whether the read covers the whole table.
        was_restored: Whether the store was restored since the last read.
    """

    rows: tuple[EvacuationRow, ...]
    position: eras.TablePosition
    is_whole: bool
    was_restored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """The evacuation of a data centre.

    Attributes:
        row_version: The version of its row.
        since_ms: When this node learnt of it.
    """

    data_centre: str
    row_version: int
    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The start or the end of an evacuation.

    Attributes:
        evacuation: The evacuation.
        has_begun: Whether it has begun; otherwise it has ended.
        is_known: Whether the settings name the data centre.
    """

    evacuation: Evacuation
    has_begun: bool
    is_known: bool


class Evacuations:
    """The evacuations in force, and the recent returns of data centres.

    A node that no longer reads the table keeps the last known set.

    Attributes:
        in_force: The evacuated data centres that the settings name.
    """

    def __init__(self, data_centres: Iterable[str]) -> None:
        """Initialises the instance without evacuations.

        Args:
            data_centres: The data centres that the settings name.
        """
        self._known = frozenset(data_centres)
        self._by_data_centre: dict[str, Evacuation] = {}
        # Until when each evacuation stays in force that a restored table lacks.
        self._held_until_ms: dict[str, float] = {}
        self._returned_ms: dict[str, float] = {}
        self._position: eras.TablePosition | None = None
        self.in_force: frozenset[str] = frozenset()

    def reload(self, data_centres: Iterable[str]) -> None:
        """Applies changed settings."""
        self._known = frozenset(data_centres)
        self._update_in_force()

    def apply(self, read: EvacuationRead, now_ms: float) -> list[Change]:
        """Applies a read of the operator's table; returns what has changed.

        A whole read replaces all evacuations. A read that covers less than an
        earlier one is ignored, since a peer's copy may be older.
        """
        if self._position is not None and read.position < self._position:
            return []
        self._position = read.position
        before = dict(self._by_data_centre)
        if read.was_restored:
            until_ms = now_ms + RESTORE_HOLD_MS
            self._held_until_ms |= dict.fromkeys(before, until_ms)
        if read.is_whole:
            self._by_data_centre = {
                name: each
                for name, each in before.items()
                if name in self._held_until_ms
            }
        for row in read.rows:
            self._apply_row(row, before, now_ms)
        self._drop_held(now_ms)
        self._update_in_force()
        return self._record_changes(before, now_ms)

    def _apply_row(self, row: EvacuationRow, before: dict[str, Evacuation],
                   now_ms: float) -> None:
        self._held_until_ms.pop(row.data_centre, None)
        if row.is_removed:
            self._by_data_centre.pop(row.data_centre, None)
            return
        earlier = before.get(row.data_centre)
        self._by_data_centre[row.data_centre] = Evacuation(
            row.data_centre, row.version,
            earlier.since_ms if earlier else now_ms)

    def _drop_held(self, now_ms: float) -> None:
        for name, until_ms in list(self._held_until_ms.items()):
            if now_ms >= until_ms:
                del self._held_until_ms[name]
                self._by_data_centre.pop(name, None)

    def _update_in_force(self) -> None:
        self.in_force = self._known.intersection(self._by_data_centre)

    def _record_changes(self, before: dict[str, Evacuation],
                        now_ms: float) -> list[Change]:
        after = self._by_data_centre
        begun = [each for name, each in after.items() if name not in before]
        ended = [each for name, each in before.items() if name not in after]
        for each in begun:
            self._returned_ms.pop(each.data_centre, None)
        for each in ended:
            if each.data_centre in self._known:
                self._returned_ms[each.data_centre] = now_ms
        return [
            *(Change(each, True, each.data_centre in self._known)
              for each in begun),
            *(Change(each, False, each.data_centre in self._known)
              for each in ended)
        ]

    def known(self) -> list[Evacuation]:
        """Returns the evacuations in force, sorted by data centre."""
        return [self._by_data_centre[name] for name in sorted(self.in_force)]

    def unknown(self) -> list[Evacuation]:
        """Returns evacuations of data centres that the settings don't name."""
        return [
            each for name, each in sorted(self._by_data_centre.items())
            if name not in self._known
        ]

    def recently_returned(self, now_ms: float) -> dict[str, float]:
        """Returns since when each data centre has been back.

        Args:
            now_ms: The current time.

        Returns:
            The times at which this node learnt of the end, for ends of the last
            `RETURN_KEPT_MS`.
        """
        if self._returned_ms:
            self._returned_ms = {
                name: at_ms
                for name, at_ms in self._returned_ms.items()
                if now_ms - at_ms < RETURN_KEPT_MS
            }
        return dict(self._returned_ms)
