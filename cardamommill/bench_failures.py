"""What fails in a day, for benches: the same for every policy."""

import dataclasses
import random

DAY_MS = 86_400_000


@dataclasses.dataclass(frozen=True)
class Size:
    """A data centre.

    Attributes:
        name: How the report calls it.
        domains: VMs in each fabric domain.
        replica_vms: VMs of a replica.
        replicas: Replicas that are wanted.
        spares: Spares that the document asks for.
    """

    name: str
    domains: tuple[int, ...]
    replica_vms: int
    replicas: int
    spares: int


SIZES = (
    Size("55 runners, 12 replicas of 4", (14, 14, 14, 13), 4, 12, 4),
    Size("81 runners, 9 replicas of 8", (27, 27, 27), 8, 9, 6),
    Size("81 runners, 2 replicas of 32", (41, 40), 32, 2, 6),
)


@dataclasses.dataclass(frozen=True)
class Failure:
    """Something that happens to VMs.

    Attributes:
        at_ms: When it begins.
        vm_ids: To which VMs.
        kind: One of the rates' names.
        for_ms: How long it lasts.
    """

    at_ms: int
    vm_ids: tuple[str, ...]
    kind: str
    for_ms: int


# For each kind: how often a day it happens to a VM, or to a domain, and the
# shortest and longest time that it lasts in seconds.
VM_RATES = {
    "pause": (0.2, 2, 180),
    "restart": (0.1, 5, 60),
    "death": (0.05, 600, 3600),
    "leaving": (0.05, 120, 600),
}
DARK_RATE = (0.1, 60, 1800)


def failures(size: Size, seed: int) -> list[Failure]:
    """Returns a day's failures in order of time."""
    chance = random.Random(seed)
    found = []
    for domain, count in enumerate(size.domains):
        vm_ids = tuple(f"d{domain}-{index}" for index in range(count))
        for kind, (rate, low_s, high_s) in VM_RATES.items():
            found += [
                _failure(chance, (vm_id,), kind, low_s, high_s)
                for vm_id in vm_ids
                if chance.random() < rate
            ]
        rate, low_s, high_s = DARK_RATE
        if chance.random() < rate:
            found.append(_failure(chance, vm_ids, "pause", low_s, high_s))
    return sorted(found, key=lambda each: each.at_ms)


def _failure(chance: random.Random, vm_ids: tuple[str, ...], kind: str,
             low_s: int, high_s: int) -> Failure:
    # Evenly over the orders of magnitude: many short ones, few long ones.
    lasts_s = low_s * (high_s / low_s)**chance.random()
    return Failure(chance.randrange(DAY_MS), vm_ids, kind,
                   round(1000 * lasts_s))
