"""Which nodes do a job that two of them share, by rendezvous hashing.

Each node reckons for itself from the nodes that it holds for alive. Two that
disagree for a moment do a job once too often, which costs a question and no
promise.
"""

from collections.abc import Iterable
import functools
import hashlib

WATCHERS = 2


@functools.lru_cache(maxsize=65_536)
def _weight(job: str, node_id: str) -> bytes:
    return hashlib.blake2b(f"{job}\0{node_id}".encode(), digest_size=8).digest()


def chosen(job: str, node_ids: Iterable[str], count: int) -> tuple[str, ...]:
    """Returns the nodes that do a job, the first choice first.

    Args:
        job: Names the job.
        node_ids: The nodes that are alive.
        count: How many of them do it.
    """
    ranked = sorted(node_ids,
                    key=lambda node_id: _weight(job, node_id),
                    reverse=True)
    return tuple(ranked[:count])


def watched(node_id: str, node_ids: Iterable[str],
            vm_ids: Iterable[str]) -> frozenset[str]:
    """Returns the VMs whose runners a node asks for their state.

    Args:
        node_id: The node.
        node_ids: All nodes that are alive, with this one.
        vm_ids: All VMs of the data centre.
    """
    alive = tuple(node_ids)
    return frozenset(vm_id for vm_id in vm_ids
                     if node_id in chosen(f"vm/{vm_id}", alive, WATCHERS))


def reported(node_id: str, node_ids: Iterable[str],
             data_centres: Iterable[str]) -> dict[str, int]:
    """Returns the other data centres that a node asks for their summary.

    Args:
        node_id: The node.
        node_ids: All nodes of its data centre that are alive, with this one.
        data_centres: All other data centres.

    Returns:
        Its place among the reporters of each: 0 first, 1 second.
    """
    alive = tuple(node_ids)
    places = {}
    for data_centre in data_centres:
        reporters = chosen(f"data-centre/{data_centre}", alive, WATCHERS)
        if node_id in reporters:
            places[data_centre] = reporters.index(node_id)
    return places
