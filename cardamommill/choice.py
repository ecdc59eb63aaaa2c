"""Which replica a request goes to, by what the blackboard says."""

from collections import abc
from collections.abc import Iterable, Sequence
import dataclasses
import math
import random
import zlib

from cardamommill import board as board_lib
from cardamommill import fleet, periods, requesting, serving

# A report's requests that nobody here knows of count half after this time.
HALF_LIFE_MS = 1000
# A replica that holds the prefix is taken up to this multiple of the mean.
AFFINITY_BOUND = 1.25
# What is common to all candidates is worked out anew this often; the one that
# is chosen is always checked against the evidence of this very moment.
CANDIDATES_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that served when the candidates were last worked out.

    Attributes:
        replica_id: Which.
        place: Names it in its present formation.
        slots: Requests that it runs at once.
        share: Slots that this node may use whatever other nodes do.
        address: Of its head.
        own_lane: Whether this node sends suspects there. No other of its data
            centre does, unless there are fewer replicas than nodes.
        heard_ms: When the member was heard that has been silent for longest.
    """

    replica_id: str
    place: str
    slots: int
    share: int
    address: str
    own_lane: bool
    heard_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """The replicas of a service.

    Attributes:
        made_ms: When they were worked out.
        each: The replicas.
        mean_load: Requests per slot over all of them.
        own_slots: Slots that this node may count on.
    """

    made_ms: int
    each: tuple[Candidate, ...]
    mean_load: float
    own_slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """What a request needs of its replica.

    Attributes:
        prefixes: Hashes of growing prefixes, shortest first.
        tried: Places that it has been sent to before.
        alone: Whether it has crashed a replica and must not meet another
            such request.
        patient: Whether it can wait for a place apart from others.
    """

    prefixes: tuple[str, ...] = ()
    tried: frozenset[str] = frozenset()
    alone: bool = False
    patient: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes and why there."""

    target: requesting.Target
    reason: str


_NO_LOAD = board_lib.ReplicaLoad()


def place(where: fleet.ReplicaRow | requesting.Target) -> str:
    """Returns the name of a replica in one formation, or of a node.

    A request isn't sent to one place twice. A replica that was formed anew
    has other members: those that it lost may be why it failed.

    Args:
        where: A replica's row, or where an attempt went.
    """
    return f"{where.replica_id}/{where.epoch}/{where.formation}"


def load_of(board: board_lib.Board, replica_id: str) -> board_lib.ReplicaLoad:
    """Returns what is known of a replica's load."""
    return board.load.by_replica.get(replica_id, _NO_LOAD)


def expected(load: board_lib.ReplicaLoad, now_ms: int) -> float:
    """Returns how many requests a replica has, as far as can be known.

    Reports lag: one that was idle half a second ago may have got a request
    from every node since, and all would go on to pile onto it. What this node
    sent is known exactly, what its peers sent as of their last word; only the
    rest of a report is believed, and less so as it ages.

    Args:
        load: What is known of it.
        now_ms: The local monotonic time.
    """
    age_ms = max(0, now_ms - load.unexplained_ms)
    rest = load.unexplained * math.exp2(-age_ms / HALF_LIFE_MS)
    return load.in_flight + load.peers_in_flight + rest


def score(load: board_lib.ReplicaLoad, slots: int, now_ms: int) -> float:
    """Returns the expected wait in units that compare between replicas."""
    return (expected(load, now_ms) + 1) / slots * load.slowness


def candidates(board: board_lib.Board, service: str, timing: periods.Timing,
               now_ms: int) -> Candidates:
    """Returns the replicas of a service that may be sent work.

    Args:
        board: What the node knows.
        service: The service.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    me = board.identity.node_id
    nodes = sorted([me] + [
        name for name, peer in board.peers.by_node.items()
        if peer.ready and now_ms - peer.heard_ms <= timing.peer_timeout_ms
    ])
    # By rank among all that are assigned, so that each node has some of them
    # and keeps them when others are lost.
    assigned = sorted(
        replica_id for replica_id, row in board.assignments.replicas.items()
        if row.service == service)
    lanes = frozenset(assigned[nodes.index(me)::len(nodes)])
    each = tuple(
        _candidate(replica, board, me, nodes, lanes)
        for replica in serving.serving_replicas(board, service, timing, now_ms)
        if replica.row.members[0] in board.vms.listed)
    slots = sum(candidate.slots for candidate in each)
    busy = sum(
        expected(load_of(board, candidate.replica_id), now_ms)
        for candidate in each)
    return Candidates(now_ms, each, busy / max(slots, 1), slots / len(nodes))


def _candidate(replica: serving.ServingReplica, board: board_lib.Board, me: str,
               nodes: Sequence[str], lanes: frozenset[str]) -> Candidate:
    replica_id = replica.row.replica_id
    slots = max(1, replica.head.report.slots)
    # The slots that don't divide evenly go to nodes that differ by replica.
    start = zlib.crc32(replica_id.encode())
    rank = (nodes.index(me) + start) % len(nodes)
    share = slots // len(nodes) + (rank < slots % len(nodes))
    address = board.vms.listed[replica.row.members[0]].address
    return Candidate(replica_id, place(replica.row), slots, share, address,
                     not lanes or replica_id in lanes,
                     serving.heard_ms(board, replica.row))


def choose(board: board_lib.Board, among: Candidates, want: Want,
           timing: periods.Timing, chance: random.Random,
           now_ms: int) -> Choice | None:
    """Returns where a request goes, or None where there is no room for it.

    Args:
        board: What the node knows.
        among: The service's replicas.
        want: What the request needs.
        timing: The periods in force.
        chance: Where the sampled pair comes from.
        now_ms: The local monotonic time.
    """
    allowed = [each for each in among.each if each.place not in want.tried]
    while allowed:
        if want.alone:
            found = _alone(board, allowed, want.patient, now_ms)
        else:
            found = (_with_prefix(board, among, allowed, want.prefixes, now_ms)
                     or _better_of_two(board, allowed, chance, now_ms))
        if found is None:
            return None
        checked = _checked(board, found[0], found[1], timing, now_ms)
        if checked is not None:
            return checked
        # It was lost since the candidates were worked out.
        allowed.remove(found[0])
    return None


def _checked(board: board_lib.Board, found: Candidate, reason: str,
             timing: periods.Timing, now_ms: int) -> Choice | None:
    row = board.assignments.replicas.get(found.replica_id)
    replica = row and serving.serving_replica(board, row, timing, now_ms)
    if not replica or (replica.head.seen_ms <= load_of(
            board, found.replica_id).failed_ms):
        return None
    target = requesting.Target(found.address, replica.row.members[0],
                               found.replica_id, replica.row.epoch,
                               replica.row.formation, replica.valid_until_ms)
    return Choice(target, reason)


def has_room(board: board_lib.Board, candidate: Candidate, now_ms: int) -> bool:
    """Tells whether this node may send one more request to a replica.

    Up to its share it always may, or else nodes that came first would keep a
    full replica to themselves; beyond it only what nobody seems to use.

    Args:
        board: What the node knows.
        candidate: The replica.
        now_ms: The local monotonic time.
    """
    load = load_of(board, candidate.replica_id)
    return _open(load, now_ms) and _free(load, candidate, now_ms)


def room(board: board_lib.Board, among: Candidates, tried: abc.Set[str],
         since_ms: int, now_ms: int) -> int:
    """Returns how many more requests this node may send to untried replicas.

    Args:
        board: What the node knows.
        among: The service's replicas.
        tried: Places that do not count.
        since_ms: Nor do replicas that were not heard since.
        now_ms: The local monotonic time.
    """
    return sum(
        _places(load_of(board, each.replica_id), each, now_ms)
        for each in among.each
        if each.place not in tried and each.heard_ms >= since_ms)


def _places(load: board_lib.ReplicaLoad, candidate: Candidate,
            now_ms: int) -> int:
    if not _open(load, now_ms):
        return 0
    unused = math.ceil(candidate.slots - expected(load, now_ms) - 0.5)
    most = 1 if load.probing else candidate.slots
    return min(most, max(0, unused, candidate.share - load.in_flight))


def _within_share(board: board_lib.Board, candidate: Candidate,
                  now_ms: int) -> bool:
    load = load_of(board, candidate.replica_id)
    return _open(load, now_ms) and load.in_flight < candidate.share


def _open(load: board_lib.ReplicaLoad, now_ms: int) -> bool:
    if load.alone or load.ejected_until_ms > now_ms:
        return False
    return not load.probing or load.in_flight == 0


def _free(load: board_lib.ReplicaLoad, candidate: Candidate,
          now_ms: int) -> bool:
    return (load.in_flight < candidate.share or
            expected(load, now_ms) + 0.5 < candidate.slots)


def _with_prefix(board: board_lib.Board, among: Candidates,
                 allowed: Iterable[Candidate], prefixes: tuple[str, ...],
                 now_ms: int) -> tuple[Candidate, str] | None:
    for depth in range(len(prefixes), 0, -1):
        holders = board.load.prefixes.get(prefixes[depth - 1])
        if not holders:
            continue
        able = [
            each for each in allowed
            if each.replica_id in holders and has_room(board, each, now_ms) and
            _bounded(board, among, each, now_ms)
        ]
        if able:
            return _least(
                board, able,
                now_ms), (f"holds {depth} of {len(prefixes)} prefixes")
    return None


def _bounded(board: board_lib.Board, among: Candidates, each: Candidate,
             now_ms: int) -> bool:
    load = load_of(board, each.replica_id)
    bound = AFFINITY_BOUND * among.mean_load * each.slots + 1
    return expected(load, now_ms) * load.slowness <= bound


def _least(board: board_lib.Board, among: Sequence[Candidate],
           now_ms: int) -> Candidate:
    return min(among,
               key=lambda each: score(load_of(board, each.replica_id), each.
                                      slots, now_ms))


def _better_of_two(board: board_lib.Board, allowed: Sequence[Candidate],
                   chance: random.Random,
                   now_ms: int) -> tuple[Candidate, str] | None:
    # Its own share first: no other node's requests were sent into that, and
    # what this node sent itself is known without delay.
    for rule in (_within_share, has_room):
        able = [each for each in allowed if rule(board, each, now_ms)]
        if able:
            pair = chance.sample(able, 2) if len(able) > 1 else able
            return _least(
                board, pair,
                now_ms), (f"shorter wait of two, of {len(able)} with room")
    return _last_resort(board, allowed, now_ms)


def _last_resort(board: board_lib.Board, allowed: Sequence[Candidate],
                 now_ms: int) -> tuple[Candidate, str] | None:
    """Returns a replica that others than a request like this should have."""
    loads = [(load_of(board, each.replica_id), each) for each in allowed]
    beside = [
        each for load, each in loads if load.alone and
        load.ejected_until_ms <= now_ms and _free(load, each, now_ms)
    ]
    if beside:
        return _least(board, beside, now_ms), "room beside a suspect only"
    # Slow ones are better than none, when all others are lost or were tried.
    if all(load.ejected_until_ms > now_ms for load, _ in loads):
        slow = [each for load, each in loads if _free(load, each, now_ms)]
        if slow:
            return _least(board, slow, now_ms), "only ejected ones are left"
    return None


def _alone(board: board_lib.Board, allowed: Sequence[Candidate], patient: bool,
           now_ms: int) -> tuple[Candidate, str] | None:
    """Returns a replica on which no other suspect can be.

    Two suspects on one replica that crashes could not be told apart, and the
    innocent one would be quarantined with the other. Each node has replicas
    of its own for them, so that not even two nodes let them meet; where those
    are lost, an idle one will do, and after some time any other.
    """
    free = [
        each for each in allowed
        if not load_of(board, each.replica_id).alone and
        expected(load_of(board, each.replica_id), now_ms) < each.slots
    ]
    own = [each for each in free if each.own_lane]
    if own:
        return _least(board, own, now_ms), "apart from other suspects"
    idle = [
        each for each in free
        if expected(load_of(board, each.replica_id), now_ms) < 0.5
    ]
    if idle:
        return _least(board, idle, now_ms), "idle, so apart from others"
    if free and not patient:
        return _least(board, free, now_ms), "no place apart came free"
    return None
