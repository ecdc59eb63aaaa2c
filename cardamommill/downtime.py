"""How long replicas could not serve, for the record."""

from collections.abc import Iterator
import dataclasses

from cardamommill import changes, fleet
from cardamommill import facts as facts_lib

# A shorter gap is only journaled: it isn't worth a write of the table.
WORTH_A_WRITE_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """A replica that serves again.

    Attributes:
        row: The replica.
        down_ms: For how long it could not serve.
    """

    row: fleet.ReplicaRow
    down_ms: int

    def change(self) -> changes.Change:
        """Returns the change that puts it on the replica's record."""
        return changes.Change(
            "serving-again",
            f"all {len(self.row.members)} members report formation "
            f"{self.row.formation}; group downtime {self.down_ms} ms",
            (self.row,))


class Downtime:
    """Watches replicas go down and come back.

    Attributes:
        served: Replicas that have been seen serving.
    """

    def __init__(self) -> None:
        self.served: frozenset[str] = frozenset()
        self._down_since_ms: dict[str, int] = {}

    def look(self, facts: facts_lib.Facts) -> Iterator[Recovery]:
        """Yields the replicas that serve again since the last look.

        Args:
            facts: What is known.
        """
        rows = {
            row.replica_id: row
            for row in facts.board.assignments.replicas.values()
            if row.state is fleet.ReplicaState.ASSIGNED
        }
        serving = {key for key, row in rows.items() if facts.serving(row)}
        self.served = (self.served & set(rows)) | serving
        self._down_since_ms = {
            key: since_ms
            for key, since_ms in self._down_since_ms.items()
            if key in rows
        }
        for replica_id, row in rows.items():
            if replica_id in serving:
                since_ms = self._down_since_ms.pop(replica_id, None)
                if since_ms is not None:
                    yield Recovery(row, facts.now_ms - since_ms)
            elif replica_id in self.served:
                self._take_down(facts, row)

    def _take_down(self, facts: facts_lib.Facts, row: fleet.ReplicaRow) -> None:
        since_ms = [
            found for vm_id in row.members
            if (found := _bad_since_ms(facts, row, vm_id)) is not None
        ]
        if since_ms:
            self._down_since_ms.setdefault(row.replica_id, min(since_ms))


def _bad_since_ms(facts: facts_lib.Facts, row: fleet.ReplicaRow,
                  vm_id: str) -> int | None:
    """Returns since when a member is known not to do its part.

    A short silence says nothing: this node itself may have been paused.
    """
    report = facts.report(vm_id)
    if report is not None:
        present = report.ready and facts_lib.formed(report, row)
        return None if present and not facts.leaving(vm_id) else facts.now_ms
    if facts.lost(vm_id):
        return facts.now_ms - facts.silent_ms(vm_id)
    return None
