"""When a VM that belonged to a replica may be used again."""

from cardamommill import changes, fleet
from cardamommill import facts as facts_lib


class Releasing:
    """Watches VMs in releasing until nobody can take them for members."""

    def __init__(self) -> None:
        self._idle_since_ms: dict[tuple[str, int], int] = {}

    def forget(self) -> None:
        """Starts all waits anew, as after a pause or without the lease."""
        self._idle_since_ms.clear()

    def freed(self, facts: facts_lib.Facts) -> changes.Change | None:
        """Returns the change that frees all VMs whose wait is over.

        A node that was cut off may go on sending work to a replica for as
        long as its members say that they belong to it, and for the age of its
        evidence after that. So the wait begins when the runner itself no
        longer says so, and lasts longer than any evidence.

        Args:
            facts: What is known.
        """
        section = facts.board.assignments
        waiting = {
            (vm_id, section.vm_versions.get(vm_id, 0)): row
            for vm_id, row in section.vms.items()
            if row.use is fleet.VmUse.RELEASING
        }
        self._watch(facts, waiting)
        over = [
            key[0] for key in waiting if key[0] not in facts.locked and
            (facts.gone(key[0]) or self._over(facts, key))
        ]
        return _change(facts, over)

    def _watch(self, facts: facts_lib.Facts,
               waiting: dict[tuple[str, int], fleet.VmRow]) -> None:
        since_ms = {}
        for key in waiting:
            report = facts.report(key[0])
            if report is not None and not report.replica_id:
                since_ms[key] = self._idle_since_ms.get(key, facts.now_ms)
        self._idle_since_ms = since_ms

    def _over(self, facts: facts_lib.Facts, key: tuple[str, int]) -> bool:
        since_ms = self._idle_since_ms.get(key)
        return since_ms is not None and (facts.now_ms - since_ms
                                         >= facts.timing.releasing_ms)


def _change(facts: facts_lib.Facts, over: list[str]) -> changes.Change | None:
    dc = facts.data_centre
    gone = [vm_id for vm_id in over if facts.gone(vm_id)]
    replicas = _emptied(facts, set(over))
    if not over and not replicas:
        return None
    free = tuple(
        changes.vm_row(vm_id, fleet.VmUse.FREE)
        for vm_id in over
        if vm_id not in gone)
    removed = (*(changes.vm_key(dc, vm_id) for vm_id in gone),
               *(changes.replica_key(dc, each) for each in replicas))
    return changes.Change(
        "released", f"{', '.join(over) or 'no VM'} freed: runner idle for "
        f"{facts.timing.releasing_ms} ms, or VM gone",
        vms=free,
        removed=removed)


def _emptied(facts: facts_lib.Facts, over: set[str]) -> list[str]:
    section = facts.board.assignments
    held = {
        row.replica_id
        for vm_id, row in section.vms.items()
        if vm_id not in over
    }
    return [
        row.replica_id
        for row in section.replicas.values()
        if row.state is fleet.ReplicaState.RELEASING and
        row.replica_id not in held and row.replica_id not in facts.locked
    ]
