"""What to do about a replica that lost members."""

import dataclasses

from cardamommill import changes, documents, fleet
from cardamommill import facts as facts_lib


def swap(facts: facts_lib.Facts, document: documents.Document,
         row: fleet.ReplicaRow) -> changes.Change | None:
    """Returns the change that puts another VM in each lost member's place.

    Args:
        facts: What is known.
        document: The service's document.
        row: A replica.
    """
    lost = [
        vm_id for vm_id in row.members
        if facts.lost(vm_id) or facts.leaving(vm_id)
    ]
    if not lost:
        return None
    found = substitutes(facts, document, row)
    if len(found) < len(lost):
        return None
    taken = dict(zip(lost, found, strict=False))
    members = tuple(taken.get(vm_id, vm_id) for vm_id in row.members)
    spares = tuple(vm_id for vm_id in row.spares if vm_id not in taken.values())
    vms = [
        changes.vm_row(vm_id, fleet.VmUse.RELEASING, row.replica_id)
        for vm_id in lost
    ]
    vms += [
        changes.vm_row(vm_id, fleet.VmUse.MEMBER, row.replica_id)
        for vm_id in taken.values()
    ]
    seen = "; ".join(f"{vm_id} {why(facts, vm_id)}, {taken[vm_id]} takes its "
                     "place" for vm_id in lost)
    return changes.Change(
        "member-replaced",
        f"{seen}; formation {row.formation} becomes {row.formation + 1}",
        (dataclasses.replace(
            row, members=members, spares=spares, formation=row.formation + 1),),
        tuple(vms))


def why(facts: facts_lib.Facts, vm_id: str) -> str:
    """Returns what is held against a VM, for a person."""
    if facts.gone(vm_id):
        return "is gone from the platform's list"
    if facts.leaving(vm_id):
        return "is leaving"
    return f"was silent for {facts.silent_ms(vm_id)} ms"


def substitutes(facts: facts_lib.Facts, document: documents.Document,
                row: fleet.ReplicaRow) -> list[str]:
    """Returns VMs that could join a replica, the best first.

    Args:
        facts: What is known.
        document: The service's document.
        row: The replica.
    """
    spares = [
        vm_id for vm_id in row.spares if facts.report(vm_id) and
        not facts.leaving(vm_id) and vm_id not in facts.locked
    ]
    spares.sort(
        key=lambda vm_id: not facts.loaded(vm_id, row.replica_id, row.model))
    domain = facts.domain(
        vm_id for vm_id in row.members if not facts.lost(vm_id))
    near = [
        vm.vm_id
        for vm in facts.free_vms(document.pool)
        if vm.fabric_domain == domain or
        document.fabric is documents.FabricRule.PREFER
    ]
    return spares + near
