"""The controller that knows the loads, speeds and caches of replicas."""

import dataclasses
import functools
import itertools

from cardamommill import actions, controller, events, requesting, stragglers
from cardamommill import board as board_lib

JUDGE_MS = 500
CACHE_READ_MS = 250
MAX_PREFIXES = 20_000


@dataclasses.dataclass(slots=True)
class _Attempt:
    replica_id: str
    service: str
    sent_ms: int
    started: bool = False
    alone: bool = False


@dataclasses.dataclass(slots=True)
class _Cache:
    """How far a head's cache events were read."""

    boot_id: str = ""
    next_sequence: int = 0
    asked_ms: int = board_lib.NEVER_MS


class Routing(controller.Controller):
    """Keeps the section `load` from attempts, reports and cache events."""

    name = "routing"

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self._attempts: dict[str, _Attempt] = {}
        self._caches: dict[str, _Cache] = {}
        self._seen_ms: dict[str, int] = {}
        self._known: dict[str, int] = {}
        self._judged_ms = board_lib.NEVER_MS
        self._cache_read_ms = board_lib.NEVER_MS

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.AttemptSent, now_ms: int) -> actions.Actions:
        if event.target.remote_node:
            return ()
        replica_id = event.target.replica_id
        load = self._load(replica_id)
        load.in_flight += 1
        load.alone += event.alone
        self._attempts[event.attempt_id] = _Attempt(replica_id,
                                                    event.head.service,
                                                    now_ms,
                                                    alone=event.alone)
        # It will hold them soon; the engine's own word comes late.
        self._store(replica_id, event.head.prefixes)
        return ()

    @step.register
    def _(self, event: events.AttemptStarted, now_ms: int) -> actions.Actions:
        attempt = self._attempts.get(event.attempt_id)
        if attempt is not None and not attempt.started:
            attempt.started = True
            stragglers.sample(self._load(attempt.replica_id),
                              now_ms - attempt.sent_ms)
        return ()

    @step.register
    def _(self, event: events.AttemptEnded, now_ms: int) -> actions.Actions:
        attempt = self._attempts.get(event.attempt_id)
        unreached = (event.outcome is requesting.Outcome.NOT_RUN and
                     not event.status)
        if attempt is not None and unreached:
            # Its evidence is young still. Each request of the next seconds
            # would try it first, and lose one of its attempts.
            self._load(attempt.replica_id).failed_ms = now_ms
        return ()

    @step.register
    def _(self, event: events.AttemptClosed, now_ms: int) -> actions.Actions:
        del now_ms
        attempt = self._attempts.pop(event.attempt_id, None)
        if attempt is None:
            return ()
        load = self._load(attempt.replica_id)
        load.in_flight -= 1
        load.alone -= attempt.alone
        if not attempt.started and event.whole:
            stragglers.sample(load, event.took_ms)
        return ()

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        self._correct()
        if now_ms - self._judged_ms >= JUDGE_MS:
            self._judged_ms = now_ms
            self._forget()
            return self._judge(now_ms) + self._read_caches(now_ms)
        return self._read_caches(now_ms)

    @step.register
    def _(self, event: events.PeerPulled, now_ms: int) -> actions.Actions:
        del event, now_ms
        self._correct()
        return ()

    @step.register
    def _(self, event: events.CacheEventsRead,
          now_ms: int) -> actions.Actions:
        del now_ms
        replica_id = self._replica_of_head(event.vm_id)
        cache = self._caches.setdefault(event.vm_id, _Cache())
        missing = event.first_sequence - cache.next_sequence - 1
        if event.boot_id != cache.boot_id:
            self._drop(replica_id, MAX_PREFIXES)
        elif missing > 0:
            # Each of the missing events evicted one prefix at most, and
            # caches evict what wasn't used for longest. To forget more would
            # cost hits; a wrong hint that stays costs one miss.
            self._drop(replica_id, missing)
        cache.boot_id = event.boot_id
        cache.next_sequence = event.next_sequence
        if replica_id:
            self._store(replica_id, event.stored)
            for prefix in event.evicted:
                self._evict(replica_id, prefix)
        return ()

    def _load(self, replica_id: str) -> board_lib.ReplicaLoad:
        load = self.board.load.by_replica.get(replica_id)
        if load is None:
            load = self.board.load.by_replica[replica_id] = (
                board_lib.ReplicaLoad())
        return load

    def _correct(self) -> None:
        """Takes over what peers say, and what reports say beyond that."""
        by_replica: dict[str, int] = {}
        for peer in self.board.peers.by_node.values():
            for each in peer.in_flight:
                by_replica[each.replica_id] = (
                    by_replica.get(each.replica_id, 0) + each.count)
        for replica_id, row in self.board.assignments.replicas.items():
            load = self._load(replica_id)
            load.peers_in_flight = by_replica.get(replica_id, 0)
            known = load.in_flight + load.peers_in_flight
            evidence = self.board.evidence.by_vm.get(
                row.members[0]) if row.members else None
            if evidence is None:
                continue
            if evidence.seen_ms > self._seen_ms.get(replica_id,
                                                    board_lib.NEVER_MS):
                # What was known then or now explains the report: else those
                # that ended since would be counted as somebody else's.
                explained = max(known, self._known.get(replica_id, 0))
                report = evidence.report
                load.unexplained = max(
                    0, report.running + report.queued - explained)
                load.unexplained_ms = evidence.seen_ms
                self._seen_ms[replica_id] = evidence.seen_ms
                self._known[replica_id] = known
            else:
                self._known[replica_id] = max(known,
                                              self._known.get(replica_id, 0))

    def _forget(self) -> None:
        for replica_id, load in list(self.board.load.by_replica.items()):
            if (replica_id not in self.board.assignments.replicas and
                    not load.in_flight):
                del self.board.load.by_replica[replica_id]
                self._seen_ms.pop(replica_id, None)
                self._known.pop(replica_id, None)
                self._drop(replica_id, MAX_PREFIXES)
        for vm_id in [
                each for each in self._caches
                if each not in self.board.vms.listed
        ]:
            del self._caches[vm_id]

    def _judge(self, now_ms: int) -> actions.Actions:
        for attempt in self._attempts.values():
            if not attempt.started:
                stragglers.silent(self._load(attempt.replica_id),
                                  now_ms - attempt.sent_ms)
        services: dict[str, dict[str, board_lib.ReplicaLoad]] = {}
        for replica_id, row in self.board.assignments.replicas.items():
            services.setdefault(row.service,
                                {})[replica_id] = self._load(replica_id)
        return tuple(
            actions.Record(f"replica/{change.replica_id}", change.event,
                           change.detail)
            for loads in services.values()
            for change in stragglers.evaluate(loads, now_ms))

    def _read_caches(self, now_ms: int) -> actions.Actions:
        """Asks the head that was asked longest ago and has news."""
        if now_ms - self._cache_read_ms < CACHE_READ_MS:
            return ()
        behind = []
        for row in self.board.assignments.replicas.values():
            head = row.members[0] if row.members else ""
            evidence = self.board.evidence.by_vm.get(head)
            if evidence is None or head not in self.board.vms.listed:
                continue
            cache = self._caches.setdefault(head, _Cache())
            report = evidence.report
            if (report.cache_sequence > cache.next_sequence or
                (report.cache_sequence and report.boot_id != cache.boot_id)):
                behind.append((cache.asked_ms, head, report.boot_id))
        if not behind:
            return ()
        _, head, boot_id = min(behind)
        cache = self._caches[head]
        cache.asked_ms = self._cache_read_ms = now_ms
        after = cache.next_sequence if cache.boot_id == boot_id else 0
        return (actions.ReadCacheEvents(head,
                                        self.board.vms.listed[head].address,
                                        after),)

    def _replica_of_head(self, vm_id: str) -> str:
        for replica_id, row in self.board.assignments.replicas.items():
            if row.members and row.members[0] == vm_id:
                return replica_id
        return ""

    def _store(self, replica_id: str, prefixes: tuple[str, ...]) -> None:
        table = self.board.load.prefixes
        for prefix in prefixes:
            holders = table.pop(prefix, None) or set()
            holders.add(replica_id)
            # Put back at the end: the first entry is the one not used for
            # longest.
            table[prefix] = holders
        while len(table) > MAX_PREFIXES:
            del table[next(iter(table))]

    def _evict(self, replica_id: str, prefix: str) -> None:
        holders = self.board.load.prefixes.get(prefix)
        if holders is not None:
            holders.discard(replica_id)
            if not holders:
                del self.board.load.prefixes[prefix]

    def _drop(self, replica_id: str, count: int) -> None:
        """Forgets a replica's prefixes that were not used for longest."""
        held = (prefix for prefix, holders in self.board.load.prefixes.items()
                if replica_id in holders)
        for prefix in tuple(itertools.islice(held, count)):
            self._evict(replica_id, prefix)
