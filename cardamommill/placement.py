"""Which VMs make a replica."""

import collections
from collections.abc import Iterable, Sequence

from cardamommill import documents, fleet


def choose(free: Iterable[fleet.Vm],
           document: documents.Document) -> tuple[fleet.Vm, ...]:
    """Returns the VMs for a new replica, or none if there are too few.

    Of the domains that have room it takes the one that is left with the least,
    so that room for large replicas stays whole elsewhere.

    Args:
        free: VMs of the service's pool that can be assigned.
        document: The service's document.
    """
    size = document.replica_vms
    domains = by_domain(free)
    fitting = [vms for vms in domains.values() if len(vms) >= size]
    if fitting:
        return tuple(min(fitting, key=len)[:size])
    if document.fabric is documents.FabricRule.REQUIRE:
        return ()
    return _spread(list(domains.values()), size)


def _spread(domains: Sequence[list[fleet.Vm]],
            size: int) -> tuple[fleet.Vm, ...]:
    # The fewest domains: the largest first.
    ordered = [
        vm for vms in sorted(domains, key=len, reverse=True) for vm in vms
    ]
    return tuple(ordered[:size]) if len(ordered) >= size else ()


def by_domain(vms: Iterable[fleet.Vm]) -> dict[str, list[fleet.Vm]]:
    """Returns VMs by fabric domain, both in the order of their names."""
    domains: dict[str, list[fleet.Vm]] = collections.defaultdict(list)
    for vm in sorted(vms, key=lambda vm: (vm.fabric_domain, vm.vm_id)):
        domains[vm.fabric_domain].append(vm)
    return domains
