"""Test oracle: checks rules on what clients, runners and operator observe."""

import collections
import dataclasses

from cardamommill.domain import clock, model
from cardamommill.experiment import (
    crashrules,
    datacentrerules,
    lostrules,
    partrules,
    recoverrules,
)

LOAD_WINDOW_MS = 5000.0
REPEAT_WINDOW_MS = 10_000.0
# Within a window, a runner with a rate limit may receive RATE_OVERAGE times as
# many requests as it allows, plus RATE_EXTRA.
RATE_WINDOW_MS = 4000.0
RATE_OVERAGE = 1.5
RATE_EXTRA = 5
# Within a window, a cold runner may receive COLD_OVERAGE times as many requests
# as it takes, plus COLD_SLACK.
COLD_WINDOW_MS = 1000.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
# Time that a machine has to act on an answer that it received.
REACTION_MS = 500.0
# Requests that a machine may still send to a runner within a rest period.
REST_EXTRA = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: str
    text: str
    at_ms: float


@dataclasses.dataclass(slots=True)
class Sent:
    """A client's attempt as it was sent."""

    at_ms: float
    method: str
    target: str
    body: bytes
    key: str
    tenant: str
    service: str
    repeatable: bool
    machine: str = ""
    parts: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class RateLimit:
    """A rate limit that a runner advertises.

    Attributes:
        per_s: Requests per second from all machines together.
        since_ms: When it was first advertised.
        informed_ms: When each machine first received it.
        arrivals_ms: Arrival times of requests from informed machines.
    """

    per_s: float
    since_ms: float
    informed_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    arrivals_ms: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class RestPeriod:
    """A period during which a runner asked a machine to send no requests.

    Attributes:
        arrived: Requests that came nevertheless, those excluded that may have
            been in flight when the period was announced.
    """

    from_ms: float
    until_ms: float
    arrived: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Thresholds of the rules.

    Attributes:
        loads_per_s: Loads per second that the weight store allows.
        load_overage: Factor by which loads in a window may exceed that rate.
        load_extra: Loads allowed in a window beyond that.
        retry_ratio: Repeated requests allowed per first attempt.
        retry_slack: Repeated requests allowed in a window beyond that.
        revoke_ms: Attempts sent later than this after their key was revoked
            must not run.
        drain_ms: Attempts sent later than this after their machine was informed
            that a runner leaves must not reach that runner.
        contact_ms: Time after a rate limit is first advertised during which it
            may be exceeded.
        evacuate_ms: Requests must not reach a data centre later than this after
            its evacuation was acknowledged.
        cold_per_s: Requests per second that a cold runner takes; 0 for any.
    """

    loads_per_s: float
    load_overage: float = 1.1
    load_extra: int = 3
    retry_ratio: float = 0.2
    retry_slack: float = 130
    revoke_ms: float = 5000
    drain_ms: float = 2000
    contact_ms: float = 3000
    evacuate_ms: float = 5000
    cold_per_s: float = 0.0


class Oracle:
    """Records who was informed of what and what ran where; checks rules."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.violations: list[Violation] = []
        self.sent: dict[str, Sent] = {}
        self.runs: dict[str, list[str]] = collections.defaultdict(list)
        self.refused: dict[str, int] = {}
        self.arrivals: dict[str, int] = collections.Counter()
        self.ready: dict[tuple[model.GroupKey, tuple[str, ...]],
                         set[str]] = collections.defaultdict(set)
        self.revoked_ms: dict[str, float] = {}
        self.loads_ms: list[float] = []
        self._first_sends_ms: dict[str,
                                   list[float]] = collections.defaultdict(list)
        self._repeats_ms: dict[str, list[float]] = collections.defaultdict(list)
        self._rate_limits: dict[str, RateLimit] = {}
        # Arrival times of the requests at each runner while it was cold.
        self.cold_arrivals_ms: dict[str,
                                    list[float]] = collections.defaultdict(list)
        # By runner and machine.
        self._rests: dict[tuple[str, str],
                          list[RestPeriod]] = collections.defaultdict(list)
        # By runner and machine.
        self._leaving_informed_ms: dict[tuple[str, str], float] = {}
        self.place_rules = datacentrerules.DataCentreRules(limits.evacuate_ms)
        self.crash_rules = crashrules.CrashRules(limits.contact_ms)
        self.part_rules = partrules.PartRules(limits.contact_ms)
        self.recover_rules = recoverrules.RecoverRules(limits.contact_ms)
        self.lost_rules = lostrules.LostRules(limits.contact_ms)
        # Loads are checked only while the platform's store is available.
        self.counts_loads = True

    def broken(self, rule: str, text: str) -> None:
        """Records a rule violation."""
        self.violations.append(Violation(rule, text, clock.now_ms()))

    def record_send(self, attempt: str, sent: Sent) -> None:
        """Records an attempt that a client sends."""
        self.sent[attempt] = sent
        self._first_sends_ms[sent.service].append(sent.at_ms)
        self.part_rules.record_send(sent)

    def record_arrival(self, attempt: str, service: str, runner: str,
                       tenant: str, method: str, target: str,
                       body: bytes) -> None:
        """Records a request that reaches a runner, and checks it."""
        sent = self.sent.get(attempt)
        if sent is None:
            self.broken("UNASKED", f"{attempt} at {runner}: no client sent it")
            return
        if (method, target, body) != (sent.method, sent.target, sent.body):
            self.broken("UNASKED",
                        f"{attempt} at {runner}: modified in transit")
        if tenant != sent.tenant:
            self.broken("UNASKED", f"{attempt} at {runner}: tenant {tenant!r}")
        if service != sent.service:
            self.broken("ROUTE", f"{attempt} at {service}, not {sent.service}")
        self._check_rate(sent.machine, runner)
        self._check_rests(sent.machine, runner)
        self._check_leaving(attempt, runner)
        for broken in (self.crash_rules.check_arrival(sent),
                       self.part_rules.check_arrival(sent)):
            if broken is not None:
                self.broken("BUDGET", f"{attempt} at {runner}: {broken}")
        self.lost_rules.record_arrival(attempt, runner)
        self.arrivals[attempt] += 1
        if self.arrivals[attempt] > 1:
            self._repeats_ms[service].append(clock.now_ms())
            self._check_budget(service)

    def check_place(self, attempt: str, runner: str, place: str) -> None:
        """Checks the data centre of a runner that a request has reached."""
        sent = self.sent.get(attempt)
        if sent is None:
            return
        for rule, text in self.place_rules.check(sent.target, sent.tenant,
                                                 place):
            self.broken(rule, f"{attempt} at {runner}: {text}")

    def _check_budget(self, service: str) -> None:
        now_ms = clock.now_ms()
        since_ms = now_ms - REPEAT_WINDOW_MS
        repeats = sum(each > since_ms for each in self._repeats_ms[service])
        # Repeats arrive later than their first attempts, so that the largest
        # count of this and two earlier windows is taken.
        firsts = max(
            sum(since_ms - shift < each <= now_ms - shift
                for each in self._first_sends_ms[service])
            for shift in (0.0, REPEAT_WINDOW_MS / 2, REPEAT_WINDOW_MS))
        limits = self._limits
        if repeats > limits.retry_ratio * firsts + limits.retry_slack:
            self.broken(
                "BUDGET",
                f"{service}: {repeats} repeated requests, more than allowed")

    def record_rate_limit(self, attempt: str, runner: str,
                          per_s: float | None) -> None:
        """Records the rate limit in a runner's answer; None if it has none."""
        if per_s is None:
            self._rate_limits.pop(runner, None)
            return
        now_ms = clock.now_ms()
        limit = self._rate_limits.setdefault(runner, RateLimit(per_s, now_ms))
        limit.per_s = per_s
        sent = self.sent.get(attempt)
        if sent is not None:
            limit.informed_ms.setdefault(sent.machine, now_ms)

    def record_leaving(self, attempt: str, runner: str) -> None:
        """Records an answer that says that its runner is leaving."""
        machine = self.sent[attempt].machine
        self._leaving_informed_ms.setdefault((runner, machine), clock.now_ms())

    def _check_leaving(self, attempt: str, runner: str) -> None:
        sent = self.sent[attempt]
        informed_ms = self._leaving_informed_ms.get((runner, sent.machine))
        if (informed_ms is not None and
                sent.at_ms > informed_ms + self._limits.drain_ms):
            self.broken(
                "DRAIN", f"{attempt} at {runner}, which had informed "
                f"{sent.machine} that it leaves")

    def record_restart(self, machine: str) -> None:
        """Records a restart of a machine, which loses what it had received."""
        self.record_partition(machine)
        for told in [
                each for each in self._leaving_informed_ms if machine in each
        ]:
            del self._leaving_informed_ms[told]

    def record_partition(self, machine: str) -> None:
        """Records a partition, in which a machine may miss limits and rests."""
        self.crash_rules.out_of_touch_ms[machine] = clock.now_ms()
        self.part_rules.out_of_touch_ms[machine] = clock.now_ms()
        self.lost_rules.record_disruption(machine)
        for limit in self._rate_limits.values():
            limit.informed_ms.pop(machine, None)
        for (_, asked_machine), rests in self._rests.items():
            if asked_machine == machine:
                rests.clear()

    def record_rest_request(self, attempt: str, runner: str,
                            rest_ms: float) -> None:
        """Records a refusal that asks for no requests for `rest_ms`."""
        now_ms = clock.now_ms()
        machine = self.sent[attempt].machine
        self._rests[(runner, machine)].append(
            RestPeriod(now_ms + REACTION_MS, now_ms + rest_ms))

    def _check_rests(self, machine: str, runner: str) -> None:
        now_ms = clock.now_ms()
        for rest in self._rests.get((runner, machine), ()):
            if not rest.from_ms < now_ms <= rest.until_ms:
                continue
            rest.arrived += 1
            if rest.arrived > REST_EXTRA:
                self.broken(
                    "BUDGET", f"{runner} asked {machine} for no requests: "
                    f"got {rest.arrived} requests")

    def _check_rate(self, machine: str, runner: str) -> None:
        limit = self._rate_limits.get(runner)
        now_ms = clock.now_ms()
        if (limit is None or
                limit.informed_ms.get(machine, now_ms) + REACTION_MS > now_ms):
            return
        limit.arrivals_ms.append(now_ms)
        recent = sum(
            now_ms - each < RATE_WINDOW_MS for each in limit.arrivals_ms)
        allowed = (limit.per_s * RATE_WINDOW_MS / 1000 * RATE_OVERAGE +
                   RATE_EXTRA)
        if (recent > allowed and
                now_ms - limit.since_ms > self._limits.contact_ms):
            self.broken(
                "LIMIT",
                f"{runner}: {recent} requests in a rate window, over limit")

    def record_cold_arrival(self, runner: str) -> None:
        """Records a request, not answered with 421, at a cold runner."""
        now_ms = clock.now_ms()
        arrivals_ms = self.cold_arrivals_ms[runner]
        arrivals_ms.append(now_ms)
        recent = sum(now_ms - each < COLD_WINDOW_MS for each in arrivals_ms)
        per_s = self._limits.cold_per_s
        if per_s and recent > per_s * COLD_OVERAGE + COLD_SLACK:
            self.broken(
                "FAILBACK",
                f"{runner}: {recent} requests in a second while it was cold")

    def record_execution(self, attempt: str, runner: str) -> None:
        """Records that a runner starts to execute a request."""
        sent = self.sent.get(attempt)
        runs = self.runs[attempt]
        runs.append(runner)
        if sent is None:
            return
        if not sent.repeatable and len(runs) > 1:
            self.broken("TWICE", f"{attempt} at {', '.join(runs)}")
        if attempt in self.refused and not sent.repeatable:
            self.broken(
                "REFUSED", f"{attempt} ran after its client got status "
                f"{self.refused[attempt]}")
        revoked_ms = self.revoked_ms.get(sent.key)
        if (revoked_ms is not None and
                sent.at_ms > revoked_ms + self._limits.revoke_ms):
            self.broken("CONFIG", f"{attempt} ran with a revoked key")

    def check_group(self, attempt: str, key: model.GroupKey,
                    members: tuple[str, ...], size: int) -> None:
        """Checks the group in which a request starts to run."""
        if len(members) != size:
            self.broken("PARTIAL",
                        f"{attempt} in {key} with {len(members)} members")
        never_ready = set(members) - self.ready[(key, members)]
        if never_ready:
            self.broken(
                "PARTIAL",
                f"{attempt} in {key}: members {never_ready} never ready")

    def record_crash(self, sent: Sent) -> None:
        """Records that a runner crashed because of a request."""
        if partrules.deadly_part(sent.parts) is None:
            self.crash_rules.record_crash(sent)
        else:
            self.part_rules.record_crash(sent)

    def record_final_status(self, attempt: str, status: int) -> None:
        """Records the status of the answer that a client received."""
        if status not in (408, 421, 429, 503):
            return
        self.refused[attempt] = status
        sent = self.sent[attempt]
        if not sent.repeatable and self.runs.get(attempt):
            self.broken("REFUSED",
                        f"{attempt} had run but its client got {status}")

    def record_broken_answer(self, attempt: str) -> None:
        """Records an answer whose connection a node closed before its end."""
        sent = self.sent[attempt]
        broken = self.lost_rules.check_broken_answer(attempt, sent.machine,
                                                     sent.at_ms)
        if broken is not None:
            self.broken("LOST", f"{attempt}: {broken}")

    def record_first_try(self, attempt: str, is_served: bool) -> None:
        """Records the end of a client's first attempt for a request."""
        sent = self.sent[attempt]
        broken = self.recover_rules.check_first_try(sent.machine, sent.at_ms,
                                                    is_served)
        if broken is not None:
            self.broken("RECOVER", broken)
        broken = self.part_rules.check_first_try(sent,
                                                 bool(self.runs.get(attempt)))
        if broken is not None:
            self.broken("LOST", broken)

    def record_load(self) -> None:
        """Records the start of a load from the weight store."""
        if not self.counts_loads:
            return
        now_ms = clock.now_ms()
        self.loads_ms.append(now_ms)
        recent = sum(now_ms - each < LOAD_WINDOW_MS for each in self.loads_ms)
        limits = self._limits
        allowed = (
            limits.loads_per_s * LOAD_WINDOW_MS / 1000 * limits.load_overage +
            limits.load_extra)
        if recent > allowed:
            self.broken("CEILING",
                        f"{recent} loads in a load window, more than allowed")
