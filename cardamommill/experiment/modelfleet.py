"""State of simulated runners: registration, reports and answer headers."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import json
import math
from typing import Any

from cardamommill.domain import clock, incarnations, model
from cardamommill.experiment import (
    crashrules,
    modelstore,
    oracle,
    partrules,
    virtualloop,
    virtualnetwork,
)
from cardamommill.platform import wirenames
from cardamommill.transport import callers, replies

PORT = 8140
HEARTBEAT_MS = 1200.0
# Unix time of the start of simulated time.
EPOCH_MS = 1_700_000_000_000
# Past reports kept per runner, so that answers can lag behind its state.
REPORTS_KEPT = 20


class Fault(enum.Enum):
    """How a runner fails every request at once while it reports good health."""

    NONE = "none"
    # Answers with status 500.
    ERROR = "error"
    # Closes the connection without an answer.
    RESET = "reset"


@dataclasses.dataclass(slots=True)
class Fleet:
    """State shared by all runners of a run.

    Attributes:
        loading: The number of model loads in progress.
        is_before_traffic: Whether no runner has received a request yet.
        cold_s: For how long a runner is cold after a start during traffic.
        states_born: Whether runners state the time of their start.
        on_crash: Called with a runner that a request has crashed.
    """

    store: modelstore.ModelStore
    oracle: oracle.Oracle
    engines: dict[str, model.Engine]
    runners: dict[str, "ListedRunner"]
    loading: int = 0
    is_before_traffic: bool = True
    cold_s: float = 0.0
    states_born: bool = False
    on_crash: Callable[["ListedRunner"], None] = lambda _: None


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request that a runner is working on or has queued.

    Attributes:
        to_read: The tokens still to be processed before the next event: those
            of the prompt and, if the request resumes an answer, those of the
            events already sent.
        gone: Whether the node has closed the connection.
    """

    request: callers.CallerRequest
    reply: replies.Reply
    attempt: str
    priority: int
    to_read: float
    events_left: int
    next_id: int
    running: bool = False
    gone: bool = False

    @property
    def is_deadly(self) -> bool:
        """Whether it crashes the runner that runs it."""
        parts = (self.request.get(wirenames.PROMPT_PREFIX) or "").split(",")
        return (self.request.body == crashrules.DEADLY_BODY or
                partrules.deadly_part(tuple(parts)) is not None)

    def caller_left(self) -> None:
        """Handles the node closing the connection."""
        self.gone = True


class ListedRunner:
    """The state of a simulated runner, and its reports of that state.

    Attributes:
        born_ms: Unix time of its start; None if it doesn't state it.
        incarnation: Its id in the oracle, which no other start has.
        pace: Slowdown; the factor by which all work takes longer.
        fault: How it fails every request.
        rest_s: If not 0, it refuses all requests with this `Retry-After`.
        limit_per_s: The rate limit that it advertises, if it has one.
        late_orders_ms: If not 0, orders are not answered and are carried out
            after this delay.
        silent_until_ms: Until when it makes no progress with requests.
        answers_reports: Whether it answers reports and orders, and sends
            heartbeats, while it is silent.
        cold_until_ms: When it stops being cold.
        begun: The number of orders that it has begun, its order count.
        last_heartbeat_ms: When the platform last received its heartbeat.
        jobs: Its running and queued requests.
        reregistered_ms: When it last registered again after a restore of the
            store, which may have lost that the runner is leaving.
    """

    def __init__(self, fleet: Fleet, runner_id: str, host: str, place: str,
                 domain: str, service: str, slots: int) -> None:
        self.id = runner_id
        self.born_ms = (EPOCH_MS +
                        int(clock.now_ms()) if fleet.states_born else None)
        self.incarnation = str(incarnations.Incarnation(runner_id,
                                                        self.born_ms))
        self.host = host
        self.place = place
        self.domain = domain
        self.service = service
        self.slots = slots
        self.fleet = fleet
        self.leaving = False
        self.leaving_ms = math.inf
        self.ended = False
        self.store_cut = False
        self.staged: tuple[str, ...] = ()
        self.last_model = ""
        self.served = ""
        self.membership: model.Membership | None = None
        self.members: tuple[str, ...] = ()
        self.pace = 1.0
        self.fault = Fault.NONE
        self.rest_s = 0.0
        self.limit_per_s: float | None = None
        self.late_orders_ms = 0.0
        self.silent_until_ms = -math.inf
        self.answers_reports = True
        self.cold_until_ms = -math.inf
        if not fleet.is_before_traffic:
            self.cold_until_ms = clock.now_ms() + 1000 * fleet.cold_s
        self.begun = 0
        self.last_heartbeat_ms = clock.now_ms()
        self.jobs: list[Job] = []
        self._last_row = b""
        self._last_era = fleet.store.era
        self.reregistered_ms = -math.inf
        self._reports: list[tuple[float, dict[str, Any]]] = []
        fleet.runners[runner_id] = self

    @property
    def engine(self) -> model.Engine | None:
        """The engine's figures, or None for a service without groups."""
        return self.fleet.engines.get(self.service)

    @property
    def network(self) -> virtualnetwork.Network:
        """The simulated network."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtualloop.VirtualLoop)
        return loop.network

    @property
    def is_unreachable(self) -> bool:
        """Whether it has ended or can neither send nor receive."""
        return self.ended or self.network.host(self.host).is_unreachable

    @property
    def silent_left_ms(self) -> float:
        """For how much longer it makes no progress; 0 if it makes some."""
        return max(0.0, self.silent_until_ms - clock.now_ms())

    @property
    def is_frozen(self) -> bool:
        """Whether it does nothing at all, though its connections stay open."""
        return not self.answers_reports and self.silent_left_ms > 0

    @property
    def running(self) -> int:
        """The number of requests being executed."""
        return sum(each.running for each in self.jobs)

    def is_in(self, key: model.GroupKey) -> bool:
        """Returns whether it is a member of a group."""
        return self.membership is not None and self.membership.key == key

    def end(self) -> None:
        """Ends the runner; its entry expires without heartbeats."""
        self.ended = True
        self.record_disruption()

    def record_disruption(self) -> None:
        """Records what excuses answers that end early."""
        self.fleet.oracle.lost_rules.record_disruption(self.incarnation)

    def crash(self, job: Job) -> None:
        """Ends its process, and with it all requests, because of one."""
        sent = self.fleet.oracle.sent.get(job.attempt)
        if sent is not None:
            self.fleet.oracle.record_crash(sent)
        self.end()
        self.network.end_processes(self.host)
        self.fleet.on_crash(self)

    @property
    def cold_left_ms(self) -> int:
        """For how much longer it is cold, rounded up; 0 if it is not."""
        return max(
            0,
            math.ceil(max(self.cold_until_ms, clock.now_ms()) - clock.now_ms()))

    def restart_cold(self) -> None:
        """Makes it reachable and cold, and registers the change."""
        self.network.host(self.host).is_unreachable = False
        self.cold_until_ms = clock.now_ms() + 1000 * self.fleet.cold_s
        self.send_heartbeat()

    def record_cold_arrival(self) -> None:
        """Records a request that it takes or refuses, if it is cold."""
        if self.cold_left_ms:
            self.fleet.oracle.record_cold_arrival(self.id)

    def cold_headers(self) -> list[tuple[str, str]]:
        """Returns the header of all answers that tells that it is cold."""
        if not self.cold_left_ms:
            return []
        return [(wirenames.COLD_MS, str(self.cold_left_ms))]

    def acknowledged_leaving_ms(self) -> float:
        """Returns for how long the store has known that it is leaving."""
        if self.fleet.store.fault or self._last_era != self.fleet.store.era:
            return 0.0
        return clock.now_ms() - max(self.leaving_ms, self.reregistered_ms)

    def drain(self) -> None:
        """Starts to drain, and registers the change."""
        self.leaving = True
        self.leaving_ms = clock.now_ms()
        self.send_heartbeat()

    def set_state(self, state: model.MemberState) -> None:
        """Changes its state within its group, and registers the change."""
        assert self.membership is not None
        self.membership = dataclasses.replace(self.membership, state=state)
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Sends a heartbeat; called periodically and after each change."""
        entry = self._entry()
        self._reports.append((clock.now_ms(), self._report(entry)))
        del self._reports[:-REPORTS_KEPT]
        if (self.is_unreachable or self.is_frozen or self.store_cut or
                self.fleet.store.fault):
            return
        self.last_heartbeat_ms = clock.now_ms()
        # A row is written only if more than the heartbeat number changed.
        told = json.dumps(entry | {"seq": 0}).encode()
        store = self.fleet.store
        if (told != self._last_row or store.era != self._last_era or
                store.get(wirenames.SERVERS_TABLE, self.id) is None):
            self._last_row = told
            if store.era != self._last_era:
                self.reregistered_ms = clock.now_ms()
            self._last_era = store.era
            self.fleet.store.put(wirenames.SERVERS_TABLE, self.id, entry)

    def report(self) -> dict[str, Any]:
        """Returns its report, which lags its state by `report_lag_ms`."""
        engine = self.engine
        lag_ms = engine.report_lag_ms if engine else 0.0
        told = self._report(self._entry())
        for at_ms, report in reversed(self._reports):
            if at_ms <= clock.now_ms() - lag_ms:
                told = report
                break
        return told

    def shed(self, job: Job) -> None:
        """Refuses a request with an answer that says that it did not run."""
        rest = []
        if self.rest_s:
            self.fleet.oracle.record_rest_request(job.attempt, self.incarnation,
                                                  1000 * self.rest_s)
            rest = [(wirenames.RETRY_AFTER, f"{self.rest_s:g}")]
        job.reply.send(503, [(wirenames.ATTEMPT_ID, job.attempt),
                             (wirenames.NOT_EXECUTED, "1"),
                             (wirenames.AT_SERVER, self.id), *rest,
                             *self._flow_control_headers(job)], b"")

    def _flow_control_headers(self, job: Job) -> list[tuple[str, str]]:
        """Returns the flow control headers that every answer carries."""
        run_oracle = self.fleet.oracle
        run_oracle.record_rate_limit(job.attempt, self.incarnation,
                                     self.limit_per_s)
        told = self.cold_headers()
        if self.limit_per_s is not None:
            told.append((wirenames.SERVER_LIMIT, f"{self.limit_per_s:g}"))
        if self.leaving:
            run_oracle.record_leaving(job.attempt, self.incarnation)
            told.append((wirenames.SERVER_LEAVING, "1"))
        return told

    def answer_headers(self, job: Job) -> list[tuple[str, str]]:
        """Returns the headers of an answer."""
        running = self.running
        return [(wirenames.ATTEMPT_ID, job.attempt),
                (wirenames.RESPONSE_SEAL, f"{self.id}.{job.attempt}"),
                (wirenames.SERVER_LOAD,
                 f"{running},{len(self.jobs) - running},{self.slots}"),
                ("Keep-Alive", "timeout=5"), *self._flow_control_headers(job)]

    def _entry(self) -> dict[str, Any]:
        entry: dict[str, Any] = {
            "service": self.service,
            "address": f"{self.host}:{PORT}",
            "zone": self.place,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.leaving else "ready",
            "coldLeftMs": self.cold_left_ms,
            # The heartbeat number; in a report, `seq` is the order count.
            "seq": int(clock.now_ms() // HEARTBEAT_MS),
        } | self.born_fields()
        if self.engine is None:
            return entry
        entry |= {"domain": self.domain, "staged": list(self.staged)}
        entry["models"] = [{
            "name": self.served,
            "version": 1
        }] if self.served else []
        if self.membership is not None:
            entry["group"] = {
                "name": self.membership.group,
                "epoch": self.membership.epoch,
                "rank": self.membership.rank,
                "state": self.membership.state.value
            }
        return entry

    def _report(self, entry: dict[str, Any]) -> dict[str, Any]:
        return {
            key: entry[key]
            for key in ("domain", "staged", "models", "group")
            if key in entry
        } | {
            "stage": "mixed",
            "busy": False,
            "seq": self.begun,
            "queued": len(self.jobs) - self.running,
            "active": self.running,
            "kvUsed": 0,
            "kvTotal": 1,
            "handles": 0,
            "pace": self.pace,
        } | self.born_fields()

    def born_fields(self) -> dict[str, Any]:
        """Returns the field that tells its starts apart, if it states it."""
        return {} if self.born_ms is None else {"born": self.born_ms}
