"""How many replicas a service has: missing, surplus and outdated ones."""

from collections.abc import Iterator
import dataclasses

from cardamommill import changes, documents, fleet, placement, repair
from cardamommill import facts as facts_lib


@dataclasses.dataclass(frozen=True, slots=True)
class _Service:
    """A service's replicas, sorted by what can be expected of them."""

    document: documents.Document
    wanted: int
    rows: tuple[fleet.ReplicaRow, ...]
    hopeless: frozenset[str]

    def viable(self) -> list[fleet.ReplicaRow]:
        """Returns the replicas that serve or will."""
        return [row for row in self.rows if row.replica_id not in self.hopeless]


def _services(facts: facts_lib.Facts) -> Iterator[_Service]:
    for document in facts.duties():
        rows = tuple(facts.replicas(document.service))
        hopeless = frozenset(row.replica_id
                             for row in rows
                             if repair.hopeless(facts, document, row))
        yield _Service(document,
                       facts.capacity(document).replicas, rows, hopeless)


def current(row: fleet.ReplicaRow, document: documents.Document) -> bool:
    """Tells whether a replica is what the document asks for."""
    return (row.model == document.weights and
            len(row.members) == document.replica_vms)


def _split(facts: facts_lib.Facts, row: fleet.ReplicaRow,
           document: documents.Document) -> bool:
    """Tells whether a replica is slow because it spans fabric domains."""
    listed = facts.board.vms.listed
    domains = {
        listed[vm_id].fabric_domain for vm_id in row.members if vm_id in listed
    }
    return document.costs.unshared_slowdown > 1 and len(domains) > 1


def _as_wanted(facts: facts_lib.Facts, row: fleet.ReplicaRow,
               document: documents.Document) -> bool:
    return current(row, document) and not _split(facts, row, document)


def missing(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields new replicas, and what is taken from others to make room.

    Args:
        facts: What is known.
    """
    for service in _services(facts):
        if len(service.viable()) >= service.wanted:
            continue
        document = service.document
        vms = placement.choose(facts, document)
        if vms:
            yield _assign(
                facts, document, vms,
                f"{len(service.viable())} of {service.wanted} replicas of "
                f"{document.service} can serve")
        else:
            yield from _merged(facts, service)
            yield from _taken(facts, service)


def _assign(facts: facts_lib.Facts, document: documents.Document,
            vms: tuple[fleet.Vm, ...], reason: str) -> changes.Change:
    members = tuple(vm.vm_id for vm in vms)
    revision = facts.revision(document.service)
    # The lease's epoch and the time of the holder's own clock make the name
    # unique for ever: an answer of a former replica can't be taken for one of
    # this. The claimed head tells replicas of the same moment apart.
    epoch = facts.board.lease.epoch
    replica_id = (f"{document.service}-{facts.data_centre}-{epoch}-"
                  f"{facts.now_ms:x}-{members[0]}")
    row = fleet.ReplicaRow(replica_id, document.service, facts.data_centre,
                           epoch, 1, members, (), document.weights,
                           fleet.ReplicaState.ASSIGNED, revision, "")
    found = set(members)
    former = [
        dataclasses.replace(other,
                            spares=tuple(vm_id
                                         for vm_id in other.spares
                                         if vm_id not in found))
        for other in facts.replicas(document.service)
        if found & set(other.spares)
    ]
    return changes.Change(
        "assigned", f"{reason}, revision {revision}; {', '.join(members)} of "
        f"{facts.domain(members)} make a new one", (row, *former),
        tuple(
            changes.vm_row(vm_id, fleet.VmUse.MEMBER, replica_id)
            for vm_id in members))


def _merged(facts: facts_lib.Facts,
            service: _Service) -> Iterator[changes.Change]:
    """Yields the release of a broken replica whose VMs complete another."""
    broken = [
        row for row in service.rows if row.replica_id in service.hopeless and
        row.replica_id not in facts.locked
    ]
    for domain in sorted({facts.domain(row.members) for row in broken}):
        here = [row for row in broken if facts.domain(row.members) == domain]
        here.sort(key=lambda row: len(_alive(facts, row)))
        alive = sum(len(_alive(facts, row)) for row in here)
        if len(here) > 1 and alive >= service.document.replica_vms:
            yield release(
                here[0], "another replica of its domain lacks members too, "
                "and its VMs complete that one")


def _alive(facts: facts_lib.Facts, row: fleet.ReplicaRow) -> list[str]:
    return [vm_id for vm_id in row.members if facts.usable(vm_id)]


def _taken(facts: facts_lib.Facts,
           service: _Service) -> Iterator[changes.Change]:
    """Yields the release of a less urgent duty's replica, if that makes room.

    What is already being released counts as room, so that no more is taken
    than one replica needs.
    """
    document = service.document
    lower = [
        row for other in facts.duties()
        if other.priority > document.priority and other.pool == document.pool
        for row in facts.replicas(other.service)
    ]
    lower.sort(key=lambda row: -_priority(facts, row))
    choices = []
    for domain, room in sorted(placement.room(facts, document).items()):
        held: list[fleet.ReplicaRow] = []
        for row in lower:
            if room >= document.replica_vms:
                break
            if facts.domain(row.members) == domain:
                held.append(row)
                room += len(_alive(facts, row)) + sum(
                    map(facts.usable, row.spares))
        if room >= document.replica_vms:
            choices.append(held)
    for row in min(choices, key=len, default=[]):
        if row.replica_id not in facts.locked:
            yield release(
                row, f"{document.service} with priority {document.priority} "
                "lacks a replica and has no other VMs")


def _priority(facts: facts_lib.Facts, row: fleet.ReplicaRow) -> int:
    document = facts.document(row.service)
    return document.priority if document else 0


def surplus(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields releases of replicas that nobody wants any more.

    Args:
        facts: What is known.
    """
    for row in facts.board.assignments.replicas.values():
        if (facts.document(row.service) is None and
                row.state is fleet.ReplicaState.ASSIGNED):
            yield release(row, "its service has no document any more")
    for service in _services(facts):
        worst = _worst(facts, service)
        if worst is not None and worst.replica_id not in facts.locked:
            yield release(
                worst, f"{service.document.service} wants {service.wanted} "
                f"replicas and has {len(service.rows)}")


def _worst(facts: facts_lib.Facts,
           service: _Service) -> fleet.ReplicaRow | None:
    document = service.document
    rows = sorted(
        service.rows,
        key=lambda row:
        (row.replica_id not in service.hopeless, current(row, document),
         not _split(facts, row, document), facts.serving(row), -row.epoch))
    if not rows:
        return None
    serving = sum(map(facts.serving, rows[1:]))
    if serving >= service.wanted:
        return rows[0]
    wanted = [
        row for row in service.viable() if _as_wanted(facts, row, document)
    ]
    if len(wanted) > service.wanted:
        return min(wanted, key=facts.serving)
    return None


def united(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields new replicas in one domain for such as span several.

    The slow one goes on serving until the new one does. Loading it anew costs
    once what the slowness costs again and again.

    Args:
        facts: What is known.
    """
    if facts.locked:
        return
    for service in _services(facts):
        document = service.document
        slow = [row for row in service.rows if _split(facts, row, document)]
        if not slow or len(service.rows) > service.wanted:
            continue
        vms = placement.together(facts, document, facts.free_vms(document.pool))
        if vms:
            yield _assign(
                facts, document, vms,
                f"{slow[0].replica_id} spans fabric domains and is "
                f"{document.costs.unshared_slowdown:g} times slower")


def outdated(facts: facts_lib.Facts) -> Iterator[changes.Change]:
    """Yields changes towards a new version or size, one replica at a time.

    With room for another replica the new one is made first and the old one
    goes when it serves. Without, one replica at a time loads in place.

    Args:
        facts: What is known.
    """
    if facts.locked:
        # What is in flight may free VMs; this is never urgent.
        return
    for service in _services(facts):
        document = service.document
        old = [row for row in service.rows if not current(row, document)]
        if not old or len(service.rows) > max(service.wanted, len(old)):
            continue
        vms = placement.choose(facts, document)
        if vms:
            yield _assign(facts, document, vms,
                          f"{old[0].replica_id} runs {old[0].model}")
            continue
        if max(placement.room(facts, document).values(),
               default=0) >= document.replica_vms:
            # VMs are on their way to being free.
            continue
        old.sort(key=facts.serving)
        down = [row for row in service.viable() if not facts.serving(row)]
        if down and facts.serving(old[0]):
            continue
        yield _renewed(facts, document, old[0])


def _renewed(facts: facts_lib.Facts, document: documents.Document,
             row: fleet.ReplicaRow) -> changes.Change:
    if len(row.members) != document.replica_vms:
        return release(
            row, f"it has {len(row.members)} VMs where {document.replica_vms} "
            "are wanted")
    revision = facts.revision(document.service)
    return changes.Change(
        "version-changed",
        f"revision {revision} asks for {document.weights} in the place of "
        f"{row.model}; no VMs were free to make a new replica first",
        (dataclasses.replace(row,
                             model=document.weights,
                             revision=revision,
                             formation=repair.next_formation(facts, row)),))


def release(row: fleet.ReplicaRow, reason: str) -> changes.Change:
    """Returns the change that begins to release a replica.

    Args:
        row: The replica.
        reason: Why, as a clause.
    """
    return changes.Change(
        "releasing", f"released because {reason}",
        (dataclasses.replace(row, state=fleet.ReplicaState.RELEASING),),
        tuple(
            changes.vm_row(vm_id, fleet.VmUse.RELEASING, row.replica_id)
            for vm_id in (*row.members, *row.spares)))
