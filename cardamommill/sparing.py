"""Spare VMs: how many, where, and which are given back."""

from collections.abc import Iterator
import dataclasses

from cardamommill import changes, documents, fleet, placement, repair, sizing
from cardamommill import facts as facts_lib


def spares(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields changes towards the number of spares that is wanted.

    Args:
        facts: What is known.
    """
    for document in facts.duties():
        rows = facts.replicas(document.service)
        if any(row.replica_id in facts.locked for row in rows):
            continue
        held = [vm_id for row in rows for vm_id in row.spares]
        useless = [vm_id for vm_id in held if not facts.usable(vm_id)]
        wanted = facts.capacity(document).spares
        if useless:
            yield from _dropped(facts, rows, useless)
        elif len(held) > wanted:
            yield from _excess(facts, document, rows, len(held) - wanted)
        elif len(held) < wanted:
            yield from _added(facts, document, rows)


def _dropped(facts: facts_lib.Facts, rows: list[fleet.ReplicaRow],
             useless: list[str]) -> Iterator[changes.Change]:
    for row in rows:
        for vm_id in row.spares:
            if vm_id in useless and (facts.lost(vm_id) or facts.leaving(vm_id)):
                yield _without(row, vm_id,
                               f"spare {vm_id} {repair.why(facts, vm_id)}")


def _excess(facts: facts_lib.Facts, document: documents.Document,
            rows: list[fleet.ReplicaRow],
            count: int) -> Iterator[changes.Change]:
    """Yields the release of spares beyond the wanted number.

    A spare that loads for a member that may not come back is kept until the
    replica serves again.
    """
    if any(repair.bad_members(facts, row) for row in rows):
        return
    loading = [(row, vm_id) for row in rows for vm_id in row.spares]
    loading.sort(key=lambda pair: facts.holds(pair[1], document.weights))
    for row, vm_id in loading[:count]:
        yield _without(row, vm_id, f"spare {vm_id} is not needed any more")


def _without(row: fleet.ReplicaRow, vm_id: str, detail: str) -> changes.Change:
    left = tuple(each for each in row.spares if each != vm_id)
    return changes.Change(
        "spare-released", detail, (dataclasses.replace(row, spares=left),),
        (changes.vm_row(vm_id, fleet.VmUse.RELEASING, row.replica_id),))


def _added(facts: facts_lib.Facts, document: documents.Document,
           rows: list[fleet.ReplicaRow]) -> Iterator[changes.Change]:
    """Yields one more spare, in the domain that has the fewest for its size."""
    free = placement.by_domain(facts.free_vms(document.pool))
    here = [
        row for row in rows if sizing.current(row, document) and
        (free.get(facts.domain(row.members)) or
         document.fabric is documents.FabricRule.PREFER and free)
    ]
    if not here:
        return
    cover = {row.replica_id: _cover(facts, rows, row) for row in here}
    row = min(here,
              key=lambda row:
              (cover[row.replica_id], len(row.spares), row.replica_id))
    near = free.get(facts.domain(row.members))
    vms = near or next(iter(free.values()))
    vm_id = min(
        vms, key=lambda vm: not facts.holds(vm.vm_id, document.weights)).vm_id
    yield repair.attach(
        row, [vm_id], "spare-added",
        f"{document.service} wants {facts.capacity(document).spares} spares; "
        f"{vm_id} loads {document.weights}")


def _cover(facts: facts_lib.Facts, rows: list[fleet.ReplicaRow],
           row: fleet.ReplicaRow) -> float:
    """Returns the spares per replica of a replica's domain."""
    domain = facts.domain(row.members)
    there = [each for each in rows if facts.domain(each.members) == domain]
    return sum(len(each.spares) for each in there) / len(there)
