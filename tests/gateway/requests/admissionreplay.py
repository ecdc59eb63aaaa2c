"""A replay of competing callers over many nodes with late views.

Groups run requests in slots with random holding times, and queue the others by
rank. Each node places its callers' requests by itself. It knows its own
requests exactly and those of other nodes from reports that are 0.2 to 0.7 s
old, some of which are lost.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from cardamommill.domain import model
from cardamommill.gateway.requests import (
    admissionlevel,
    competingdemand,
    placing,
)
from cardamommill.gateway.shell import forwarding
from tests.gateway import builders

SLOTS = 17
ENGINE = builders.engine(slots=SLOTS)
TOKENS = placing.RequestTokens(1000, 180)
GOAL_MS = 300.0
PATIENCE_MS = 1600.0
# Callers leave if nothing has come after this time.
LEAVE_MS = 2000.0
DEADLINE_MS = 8000.0
HOLD_MS = (600.0, 2000.0)
# Time from the start in a slot to the first event.
START_MS = 100.0
REPORT_AGE_MS = 200.0
REPORT_INTERVAL_MS = 500.0
LOST_PART = 0.05
DATA_CENTRES = 3
MODEL = competingdemand.model_id("llm", "large")
# Callers repeat a refused request this soon, up to a number of times.
RETRY_MS = 50.0
MAX_TRIES = 6
# Requests that arrive earlier are not counted: before the first reports, all
# nodes choose the same group.
WARM_UP_MS = 3000.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of one account: rates by the time from which they hold."""

    account: str
    priority: int
    per_s: tuple[tuple[float, float], ...]

    def rate(self, now_ms):
        return [per_s for since_ms, per_s in self.per_s if since_ms <= now_ms
               ][-1]


@dataclasses.dataclass
class Tally:
    """What became of the requests of one priority or account."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    left: int = 0
    refused: int = 0
    retries: int = 0


@dataclasses.dataclass(eq=False)
class Request:
    """A request of a caller, with all its tries."""

    load: Load
    arrived_ms: float
    tries: int = 1
    rank: int = 0
    node: int = 0
    group: int = 0
    is_deferred: bool = False
    has_begun: bool = False
    placed_ms: float = 0.0
    begun_ms: float = 0.0


class Node:
    """One node: its own requests, and what it knows of others."""

    def __init__(self, groups):
        self.demand = competingdemand.CompetingDemand()
        self.own = [[0, 0] for _ in range(groups)]
        self.others = [[0, 0] for _ in range(groups)]


class Replay:
    """Runs loads against groups; `is_controlled` adds admission control."""

    def __init__(self, loads, nodes=58, groups=10, is_controlled=True, seed=1):
        self.rng = random.Random(seed)
        self.decisions = random.Random(seed + 1)
        self.loads = loads
        # Separate from the placement's, so that both kinds of replay are
        # identical as long as no request is refused.
        self.draws = random.Random(seed + 2)
        self.chances = {
            each.account: random.Random(f"{seed} {each.account}")
            for each in loads
        }
        self.is_controlled = is_controlled
        self.nodes = [Node(groups) for _ in range(nodes)]
        self.busy = [0] * groups
        self.queues = [[] for _ in range(groups)]
        self.events = []
        self.order = itertools.count()
        self.now_ms = 0.0
        self.history = collections.deque(maxlen=10)
        self.cut_ms = (float("inf"), float("inf"))
        self.tallies = collections.defaultdict(Tally)
        self.used_slots_ms = 0.0
        self.samples = []

    def at(self, time_ms, call, *arguments):
        heapq.heappush(self.events,
                       (time_ms, next(self.order), call, arguments))

    def run(self, until_ms):
        for load in self.loads:
            self._schedule_arrival(load)
        for index in range(len(self.nodes)):
            self.at(REPORT_INTERVAL_MS * self.rng.random(), self._report, index)
        self.at(0.0, self._snapshot)
        while self.events and self.events[0][0] < until_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return self

    # What nodes know of each other.

    def _snapshot(self):
        self.at(self.now_ms + REPORT_AGE_MS / 2, self._snapshot)
        self.history.append(
            ([[tuple(each) for each in node.own] for node in self.nodes],
             [node.demand.encode((MODEL,), self.now_ms) for node in self.nodes
             ]))
        offered = self.nodes[0].demand.demand(MODEL, DATA_CENTRES, self.now_ms)
        state = admissionlevel.ModelState(SLOTS, len(self.busy), 0, offered)
        self.samples.append((self.now_ms, sum(self.busy),
                             admissionlevel.reserved_slots(
                                 max(each.priority for each in self.loads),
                                 state)))

    def _report(self, index):
        self.at(self.now_ms + REPORT_INTERVAL_MS, self._report, index)
        if len(self.history) < 3:
            return
        loads, sections = self.history[-3]
        is_cut = self.cut_ms[0] <= self.now_ms < self.cut_ms[1]
        heard = [
            each for each in range(len(self.nodes))
            if each != index and not (is_cut and (each % 2 != index % 2))
        ]
        node = self.nodes[index]
        # With a lost report, the loads stay those of the report before.
        if self.rng.random() >= LOST_PART:
            node.others = [[
                sum(part) for part in zip(*each, strict=True)
            ] for each in zip(*(loads[other] for other in heard), strict=True)]
        for other in heard:
            if (other % DATA_CENTRES == index % DATA_CENTRES and
                    self.rng.random() >= LOST_PART):
                node.demand.receive(str(other), sections[other], self.now_ms)

    # Callers.

    def _schedule_arrival(self, load):
        # Thinning: arrivals at the highest rate, of which a part is dropped.
        # A random sequence for each load gives all replays the same arrivals.
        chance = self.chances[load.account]
        highest = max(per_s for _, per_s in load.per_s)
        self.at(self.now_ms + chance.expovariate(highest) * 1000, self._arrive,
                load,
                chance.random() * highest)

    def _arrive(self, load, drawn_per_s):
        self._schedule_arrival(load)
        if drawn_per_s < load.rate(self.now_ms):
            request = Request(load, self.now_ms)
            self._count(request, "asked")
            self._ask(request)

    def _count(self, request, what):
        if request.arrived_ms < WARM_UP_MS:
            return
        for key in (request.load.priority, request.load.account):
            tally = self.tallies[key]
            setattr(tally, what, getattr(tally, what) + 1)

    def _ask(self, request):
        request.node = self.rng.randrange(len(self.nodes))
        placed = self._place(request, self.nodes[request.node])
        if placed is None:
            if request.tries >= MAX_TRIES:
                self._count(request, "refused")
                return
            request.tries += 1
            self._count(request, "retries")
            self.at(self.now_ms + RETRY_MS, self._ask, request)
            return
        request.placed_ms = self.now_ms
        request.group = int(placed.candidate.key.name)
        request.is_deferred = placed.is_deferred
        request.rank = forwarding.queue_rank(request.load.priority,
                                             placed.is_deferred)
        self._own(request)[request.is_deferred] += 1
        heapq.heappush(self.queues[request.group],
                       (request.rank, next(self.order), request))
        self._start_next(request.group)
        self.at(self.now_ms + LEAVE_MS, self._leave, request)

    def _own(self, request):
        return self.nodes[request.node].own[request.group]

    def _place(self, request, node):
        candidates = []
        for index, (own,
                    told) in enumerate(zip(node.own, node.others, strict=True)):
            candidates.append(
                placing.Candidate(model.GroupKey(str(index), 1),
                                  str(index),
                                  own[0] + told[0],
                                  SLOTS,
                                  1.0,
                                  False,
                                  False,
                                  deferred=own[1] + told[1],
                                  has_idle_connection=True))
        decision = self._admit(request, node, candidates)
        action = decision.action
        candidates = [
            dataclasses.replace(each, slots=SLOTS + decision.overtaken)
            for each in candidates
        ]
        if action is admissionlevel.Action.REFUSE:
            return None
        age_ms = REPORT_AGE_MS + REPORT_INTERVAL_MS / 2
        spent_ms = self.now_ms - request.arrived_ms
        requirements = placing.Requirements(
            GOAL_MS if request.tries > 1 else GOAL_MS - spent_ms, PATIENCE_MS,
            DEADLINE_MS, self.decisions.random(),
            placing.unreported_requests(ENGINE, 1.0,
                                        sum(sum(each) for each in node.others),
                                        age_ms))
        placed = placing.place(ENGINE, TOKENS, candidates, frozenset(),
                               requirements, 700.0)
        if isinstance(placed, placing.Refused):
            return None
        if placed.is_deferred and action is not admissionlevel.Action.DEFER:
            return None
        return placed

    def _admit(self, request, node, candidates):
        source = competingdemand.Source(
            request.load.priority,
            competingdemand.account_id(request.load.account))
        node.demand.asked(MODEL, source, self.now_ms)
        if not self.is_controlled:
            return admissionlevel.UNLIMITED
        state = admissionlevel.ModelState(
            SLOTS, len(self.busy), sum(each.in_flight for each in candidates),
            node.demand.demand(MODEL, DATA_CENTRES, self.now_ms))
        return admissionlevel.decide(source, state, self.draws.random(),
                                     self.draws.random())

    # Groups.

    def _start_next(self, group):
        while self.busy[group] < SLOTS and self.queues[group]:
            request = heapq.heappop(self.queues[group])[-1]
            if request.has_begun:
                continue
            request.has_begun = True
            request.begun_ms = self.now_ms
            self.busy[group] += 1
            if request.is_deferred:
                own = self._own(request)
                own[1] -= 1
                own[0] += 1
            self.at(self.now_ms + self.rng.uniform(*HOLD_MS), self._finish,
                    request)

    def _finish(self, request):
        self.busy[request.group] -= 1
        self._own(request)[0] -= 1
        self.used_slots_ms += self.now_ms - request.begun_ms
        self.nodes[request.node].demand.held(MODEL,
                                             self.now_ms - request.placed_ms)
        # A retry is a new request to the caller's latency objective.
        asked_ms = request.arrived_ms + (request.tries - 1) * RETRY_MS
        in_time = request.begun_ms + START_MS - asked_ms <= GOAL_MS
        self._count(request, "in_time" if in_time else "late")
        self._start_next(request.group)

    def _leave(self, request):
        if request.has_begun:
            return
        # Stays in the queue's list, from which it is dropped later.
        request.has_begun = True
        self._own(request)[request.is_deferred] -= 1
        self._count(request, "left")


def lines(title, replay):
    """Returns the results of a replay by priority, as text."""
    found = [f"{title}: slots used {replay.used_slots_ms / 1000:.0f} s"]
    for key, each in replay.tallies.items():
        if isinstance(key, int):
            found.append(f"  priority {key}: {each}")
    return "\n".join(found)
