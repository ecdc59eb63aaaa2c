"""What to do about replicas that lost members, from their own domain."""

from collections.abc import Iterator
import dataclasses

from cardamommill import changes, costs, documents, fleet
from cardamommill import facts as facts_lib

# An engine that can't resume streams gets this long to finish them before
# the members that stay are formed anew.
FINISH_MS = 10_000


def repairs(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields changes that put other VMs in the place of bad members.

    A VM that holds the weights joins at once. Where there is none, a free VM
    loads them as a spare while the bad member may still come back: the
    replica serves again at the earlier of the two.

    Args:
        facts: What is known.
    """
    for document in facts.duties():
        for row in facts.replicas(document.service):
            bad = bad_members(facts, row)
            if not bad or row.replica_id in facts.locked:
                continue
            change = (_swap(facts, document, row, bad) or
                      _attach(facts, document, row, bad))
            if change:
                yield change


def bad_members(facts: facts_lib.Facts,
                row: fleet.ReplicaRow) -> tuple[str, ...]:
    """Returns the members that another VM should replace if one can.

    Args:
        facts: What is known.
        row: A replica.
    """
    return tuple(vm_id for vm_id in row.members if facts.lost(vm_id) or
                 facts.leaving(vm_id) or _restarted(facts, row, vm_id))


def hopeless(facts: facts_lib.Facts, document: documents.Document,
             row: fleet.ReplicaRow) -> bool:
    """Tells whether a replica should be built anew elsewhere.

    Args:
        facts: What is known.
        document: The service's document.
        row: A replica.
    """
    bad = [
        vm_id for vm_id in bad_members(facts, row)
        if not _restarted(facts, row, vm_id)
    ]
    if not bad or len(candidates(facts, document, row)) >= len(bad):
        return False
    after_ms = costs.rebuild_after_ms(document)
    return any(
        facts.gone(vm_id) or facts.leaving(vm_id) or
        facts.silent_ms(vm_id) >= after_ms for vm_id in bad)


def _restarted(facts: facts_lib.Facts, row: fleet.ReplicaRow,
               vm_id: str) -> bool:
    """Tells whether a member came back without its weights.

    It can load them again in its place, but a VM that holds them is faster.
    A replica that never served is left to load what it is loading.
    """
    report = facts.report(vm_id)
    return (report is not None and row.replica_id in facts.served and
            report.replica_id != row.replica_id and report.model != row.model)


def candidates(facts: facts_lib.Facts, document: documents.Document,
               row: fleet.ReplicaRow) -> list[str]:
    """Returns VMs that could join a replica, the best first.

    Its own spares go first, then free VMs, then the spares of other replicas
    of the service; of each, those that hold the weights.

    Args:
        facts: What is known.
        document: The service's document.
        row: The replica.
    """
    own = [vm_id for vm_id in row.spares if facts.usable(vm_id)]
    free = [vm.vm_id for vm in facts.free_vms(document.pool)]
    others = [
        vm_id for other in facts.replicas(document.service)
        if other.replica_id != row.replica_id and
        other.replica_id not in facts.locked and not _needs(facts, other)
        for vm_id in other.spares if facts.movable(vm_id, document)
    ]
    every = own + free + others
    domain = facts.domain(row.members)
    near = [vm_id for vm_id in every if facts.domain((vm_id,)) == domain]
    if document.fabric is documents.FabricRule.PREFER:
        near += [vm_id for vm_id in every if vm_id not in near]
    return sorted(near, key=lambda vm_id: not facts.holds(vm_id, row.model))


def _needs(facts: facts_lib.Facts, row: fleet.ReplicaRow) -> bool:
    """Tells whether a replica's spares will make it serve again."""
    return 0 < len(bad_members(facts, row)) <= len(row.spares)


def _swap(facts: facts_lib.Facts, document: documents.Document,
          row: fleet.ReplicaRow, bad: tuple[str, ...]) -> changes.Change | None:
    holding = [
        vm_id for vm_id in candidates(facts, document, row)
        if facts.holds(vm_id, row.model)
    ]
    if len(holding) < len(bad) or _finishing(facts, document, row, bad):
        return None
    return swapped(facts, row, dict(zip(bad, holding, strict=False)),
                   next_formation(facts, row))


def swapped(facts: facts_lib.Facts, row: fleet.ReplicaRow,
            taken: dict[str, str], formation: int) -> changes.Change:
    """Returns the change that puts VMs that hold the weights in others' place.

    Args:
        facts: What is known.
        row: The replica.
        taken: By each member that goes, the VM that takes its place.
        formation: The number of the new formation.
    """
    found = set(taken.values())
    new = dataclasses.replace(
        row,
        members=tuple(taken.get(vm_id, vm_id) for vm_id in row.members),
        spares=tuple(vm_id for vm_id in row.spares if vm_id not in found),
        formation=formation)
    former = [
        dataclasses.replace(other,
                            spares=tuple(vm_id
                                         for vm_id in other.spares
                                         if vm_id not in found))
        for other in facts.replicas(row.service)
        if other.replica_id != row.replica_id and found & set(other.spares)
    ]
    vms = [
        changes.vm_row(vm_id, fleet.VmUse.RELEASING, row.replica_id)
        for vm_id in taken
    ] + [
        changes.vm_row(vm_id, fleet.VmUse.MEMBER, row.replica_id)
        for vm_id in taken.values()
    ]
    seen = "; ".join(f"{vm_id} {why(facts, vm_id)}, {taken[vm_id]} holds the "
                     "weights and takes its place" for vm_id in taken)
    return changes.Change(
        "member-replaced",
        f"{seen}; formation {row.formation} becomes {new.formation}",
        (new, *former), tuple(vms))


def next_formation(facts: facts_lib.Facts, row: fleet.ReplicaRow) -> int:
    """Returns a formation's number that no runner has ever been given.

    Args:
        facts: What is known.
        row: The replica.
    """
    reported = (each.report.formation
                for each in facts.board.evidence.by_vm.values()
                if (each.report.replica_id,
                    each.report.epoch) == (row.replica_id, row.epoch))
    return max((row.formation, *reported)) + 1


def _finishing(facts: facts_lib.Facts, document: documents.Document,
               row: fleet.ReplicaRow, bad: tuple[str, ...]) -> bool:
    """Tells whether requests in progress may still finish.

    Forming the members anew ends what they run. While a leaving VM is still
    there its replica gets no new work, and streams that could not go on
    elsewhere get a little time.
    """
    if document.engine.can_resume or any(
            not facts.leaving(vm_id) or facts.lost(vm_id) for vm_id in bad):
        return False
    head = facts.report(row.members[0])
    since_ms = min(
        (facts.leaving_since_ms.get(vm_id, facts.now_ms) for vm_id in bad))
    return (head is not None and head.running > 0 and
            facts.now_ms - since_ms < FINISH_MS)


def _attach(facts: facts_lib.Facts, document: documents.Document,
            row: fleet.ReplicaRow, bad: tuple[str,
                                              ...]) -> changes.Change | None:
    due = [vm_id for vm_id in bad if _preload_due(facts, document, row, vm_id)]
    coming = [vm_id for vm_id in row.spares if facts.usable(vm_id)]
    free = [
        vm_id for vm_id in candidates(facts, document, row)
        if facts.vm_row(vm_id).use is fleet.VmUse.FREE
    ]
    found = free[:max(0, len(due) - len(coming))]
    if not found:
        return None
    return attach(
        row, found, "spare-loading",
        "; ".join(f"{vm_id} {why(facts, vm_id)}" for vm_id in due) +
        f"; {', '.join(found)} of {facts.domain(found)} loads {row.model} to "
        "take over unless it comes back first")


def _preload_due(facts: facts_lib.Facts, document: documents.Document,
                 row: fleet.ReplicaRow, vm_id: str) -> bool:
    if facts.gone(vm_id) or facts.leaving(vm_id):
        return True
    return not _restarted(facts, row, vm_id) and (
        facts.silent_ms(vm_id) >= costs.preload_after_ms(document))


def attach(row: fleet.ReplicaRow, vm_ids: list[str], event: str,
           detail: str) -> changes.Change:
    """Returns the change that makes free VMs a replica's spares.

    Args:
        row: The replica.
        vm_ids: The VMs.
        event: The change's name.
        detail: Why, as a sentence.
    """
    return changes.Change(
        event, detail,
        (dataclasses.replace(row, spares=(*row.spares, *vm_ids)),),
        tuple(
            changes.vm_row(vm_id, fleet.VmUse.SPARE, row.replica_id)
            for vm_id in vm_ids))


def why(facts: facts_lib.Facts, vm_id: str) -> str:
    """Returns what is held against a VM, for a person.

    Args:
        facts: What is known.
        vm_id: The VM.
    """
    if facts.gone(vm_id):
        return "is gone from the platform's list"
    if facts.leaving(vm_id):
        return "is leaving"
    evidence = facts.board.evidence.by_vm.get(vm_id)
    if facts.report(vm_id) is not None and evidence is not None:
        return (f"started again without its weights, as {evidence.watcher} "
                "saw")
    watcher = f" (last heard by {evidence.watcher})" if evidence else ""
    return f"was silent for {facts.silent_ms(vm_id)} ms{watcher}"
