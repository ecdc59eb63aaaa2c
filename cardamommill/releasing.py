"""When a VM that belonged to a replica may be used again."""

from collections.abc import Iterator, Mapping

from cardamommill import changes, fleet
from cardamommill import facts as facts_lib


class IdleWatch:
    """Since when runners have said, without a break, that they are idle.

    A node that was cut off may go on sending work to a replica for as long as
    its members say that they belong to it, and for the age of its evidence
    after that. So a VM is used again only when its own runner has said for
    longer than any evidence lives that it belongs to none. Time counts from
    this planner's own first sight: what its predecessor saw can't be known.
    """

    def __init__(self) -> None:
        self._since_ms: dict[str, int] = {}

    def forget(self) -> None:
        """Starts all waits anew, as after a pause or without the lease."""
        self._since_ms.clear()

    def look(self, facts: facts_lib.Facts) -> Mapping[str, int]:
        """Returns by VM since when its runner is idle.

        Args:
            facts: What is known.
        """
        idle = {}
        for vm_id in facts.board.vms.listed:
            report = facts.report(vm_id)
            if report is not None and not report.replica_id:
                idle[vm_id] = self._since_ms.get(vm_id, facts.now_ms)
        self._since_ms = idle
        return idle


def strays(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields the release of VMs whose replica does not list them.

    Rows change together, so there should be none; one that there is would
    keep its VM from use for ever. A replica whose row is there and can't be
    read, as one of a newer version, may list it.

    Args:
        facts: What is known.
    """
    section = facts.board.assignments
    for vm_id, vm in section.vms.items():
        row = section.replicas.get(vm.replica_id)
        unreadable = row is None and vm.replica_id in section.replica_versions
        if (vm.use not in (fleet.VmUse.MEMBER, fleet.VmUse.SPARE) or
                unreadable or vm.replica_id == fleet.UNREADABLE or
                vm.replica_id in facts.locked or vm_id in facts.locked):
            continue
        if row is None or vm_id not in (*row.members, *row.spares):
            yield changes.Change(
                "stray-released",
                f"{vm_id} names {vm.replica_id}, which does not list it",
                vms=(changes.vm_row(vm_id, fleet.VmUse.RELEASING,
                                    vm.replica_id),))


def freed(facts: facts_lib.Facts) -> changes.Change | None:
    """Returns the change that frees all VMs whose wait is over.

    Args:
        facts: What is known.
    """
    section = facts.board.assignments
    over = [
        vm_id for vm_id, row in section.vms.items()
        if row.use is fleet.VmUse.RELEASING and vm_id not in facts.locked and
        (facts.gone(vm_id) or facts.idle_long(vm_id))
    ]
    # Rows of VMs that are gone would stay for ever.
    over += [
        vm_id for vm_id, row in section.vms.items()
        if row.use is fleet.VmUse.FREE and vm_id not in facts.locked and
        facts.gone(vm_id)
    ]
    replicas = _emptied(facts, set(over))
    if not over and not replicas:
        return None
    dc = facts.data_centre
    gone = [vm_id for vm_id in over if facts.gone(vm_id)]
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
