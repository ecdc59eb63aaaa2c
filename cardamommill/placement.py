"""Which VMs make a replica."""

import collections
from collections.abc import Iterable, Sequence

from cardamommill import documents, fleet
from cardamommill import facts as facts_lib


def choose(facts: facts_lib.Facts,
           document: documents.Document) -> tuple[fleet.Vm, ...]:
    """Returns the VMs for a new replica, or none if there are too few.

    Free VMs go first; the service's own spares fill up what is missing, since
    a replica that lacks is worse than a spare that lacks.

    Args:
        facts: What is known.
        document: The service's document.
    """
    free = facts.free_vms(document.pool)
    every = free + spares(facts, document)
    found = (together(facts, document, free) or
             together(facts, document, every))
    if found or document.fabric is documents.FabricRule.REQUIRE:
        return found
    if max(room(facts, document).values(), default=0) >= document.replica_vms:
        # A domain will have room when its VMs have been released.
        return ()
    return _spread(free, document) or _spread(every, document)


def spares(facts: facts_lib.Facts,
           document: documents.Document) -> list[fleet.Vm]:
    """Returns the service's spares that no replica of it needs now.

    Args:
        facts: What is known.
        document: The service's document.
    """
    return [
        facts.board.vms.listed[vm_id]
        for row in facts.replicas(document.service)
        if row.replica_id not in facts.locked for vm_id in row.spares
        if facts.movable(vm_id, document)
    ]


def together(facts: facts_lib.Facts, document: documents.Document,
             vms: Sequence[fleet.Vm]) -> tuple[fleet.Vm, ...]:
    """Returns the VMs of a new replica in one fabric domain, or none.

    Of the domains that have room it takes the one that is left with the least,
    so that room for large replicas stays whole elsewhere.

    Args:
        facts: What is known.
        document: The service's document.
        vms: VMs that can be assigned; those that hold the weights go first.
    """
    size = document.replica_vms
    fitting = [each for each in by_domain(vms).values() if len(each) >= size]
    if not fitting:
        return ()
    smallest = min(fitting, key=lambda each: len(each))
    chosen = sorted(smallest,
                    key=lambda vm: not facts.holds(vm.vm_id, document.weights))
    return tuple(chosen[:size])


def _spread(vms: Sequence[fleet.Vm],
            document: documents.Document) -> tuple[fleet.Vm, ...]:
    # The fewest domains: the largest first.
    ordered = [
        vm for each in sorted(by_domain(vms).values(), key=len, reverse=True)
        for vm in each
    ]
    size = document.replica_vms
    return tuple(ordered[:size]) if len(ordered) >= size else ()


def by_domain(vms: Iterable[fleet.Vm]) -> dict[str, list[fleet.Vm]]:
    """Returns VMs by fabric domain, both in the order of their names."""
    domains: dict[str, list[fleet.Vm]] = collections.defaultdict(list)
    for vm in sorted(vms, key=lambda vm: (vm.fabric_domain, vm.vm_id)):
        domains[vm.fabric_domain].append(vm)
    return domains


def room(facts: facts_lib.Facts,
         document: documents.Document) -> dict[str, int]:
    """Returns by domain how many VMs are free, spare or on their way to it.

    Args:
        facts: What is known.
        document: The service's document.
    """
    counts: dict[str, int] = {}
    usable = {vm.vm_id for vm in spares(facts, document)}
    for vm in facts.board.vms.listed.values():
        use = facts.vm_row(vm.vm_id).use
        open_use = use in (fleet.VmUse.FREE, fleet.VmUse.RELEASING)
        counts.setdefault(vm.fabric_domain, 0)
        if vm.pool == document.pool and facts.usable(
                vm.vm_id) and (open_use or vm.vm_id in usable):
            counts[vm.fabric_domain] += 1
    return counts
