"""Runners of the model as the platform lists them, and what they share."""

import asyncio
import dataclasses
import enum
import json
import math
from typing import Any

from cardamommill.experiment import (
    modelstore,
    oracle,
    virtualloop,
    virtualnetwork,
)
from cardamommill.gateway import callers, clock, model, replies
from cardamommill.platform import wirenames

PORT = 8140
HEARTBEAT_MS = 1200.0
# Reports that are kept, for answers that lag behind.
REPORTS_KEPT = 20


class Fault(enum.Enum):
    """How a runner fails each request at once, while it looks well."""

    NONE = "none"
    # By an answer of its own.
    ERROR = "error"
    # By ending the connection without one.
    RESET = "reset"


@dataclasses.dataclass(slots=True)
class Fleet:
    """What all runners of a run share."""

    store: modelstore.ModelStore
    oracle: oracle.Oracle
    engines: dict[str, model.Engine]
    runners: dict[str, "ListedRunner"]
    loading: int = 0
    is_before_traffic: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at a head."""

    request: callers.CallerRequest
    reply: replies.Reply
    attempt: str
    priority: int
    to_read: float
    events_left: int
    next_id: int
    running: bool = False
    gone: bool = False

    def caller_left(self) -> None:
        """The node closed its connection."""
        self.gone = True


class ListedRunner:
    """What one life of a runner is and holds, and what it tells of it.

    Attributes:
        pace: How many times as long everything takes.
        fault: How it fails all that it is sent.
        rest_s: If not 0, it turns all away and asks for so long a rest.
        limit_per_s: The rate limit that it names, if it has one.
        late_orders_ms: If not 0, orders get no answer and are carried out late.
        begun: Its count of orders.
        last_heartbeat_ms: When the platform heard of it last.
        jobs: The requests that it has.
    """

    def __init__(self, fleet: Fleet, runner_id: str, host: str, place: str,
                 domain: str, service: str, slots: int) -> None:
        self.id = runner_id
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
        self.begun = 0
        self.last_heartbeat_ms = clock.now_ms()
        self.jobs: list[Job] = []
        self._last_row = b""
        self._last_era = fleet.store.era
        # When it told that it leaves, to a store that had lost it.
        self.reregistered_ms = -math.inf
        self._reports: list[tuple[float, dict[str, Any]]] = []
        fleet.runners[runner_id] = self

    @property
    def engine(self) -> model.Engine | None:
        """The arithmetic of its service, where it works in groups."""
        return self.fleet.engines.get(self.service)

    @property
    def network(self) -> virtualnetwork.Network:
        """The network that it is in."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtualloop.VirtualLoop)
        return loop.network

    @property
    def is_unreachable(self) -> bool:
        """Whether it neither hears nor speaks."""
        return self.ended or self.network.host(self.host).is_unreachable

    @property
    def running(self) -> int:
        """How many of its requests run."""
        return sum(each.running for each in self.jobs)

    def is_in(self, key: model.GroupKey) -> bool:
        """Whether it is a member of a group."""
        return self.membership is not None and self.membership.key == key

    def end(self) -> None:
        """Ends for good; its entry lapses by itself."""
        self.ended = True

    def acknowledged_leaving_ms(self) -> float:
        """Returns for how long the store has held that it leaves."""
        if self.fleet.store.fault or self._last_era != self.fleet.store.era:
            return 0.0
        return clock.now_ms() - max(self.leaving_ms, self.reregistered_ms)

    def drain(self) -> None:
        """Tells that it will leave."""
        self.leaving = True
        self.leaving_ms = clock.now_ms()
        self.send_heartbeat()

    def set_state(self, state: model.MemberState) -> None:
        """Changes its state in its group, and tells so."""
        assert self.membership is not None
        self.membership = dataclasses.replace(self.membership, state=state)
        self.send_heartbeat()

    # What it tells.

    def send_heartbeat(self) -> None:
        """Tells what it is; after a change at once."""
        entry = self._entry()
        self._reports.append((clock.now_ms(), self._report(entry)))
        del self._reports[:-REPORTS_KEPT]
        if self.is_unreachable or self.store_cut or self.fleet.store.fault:
            return
        self.last_heartbeat_ms = clock.now_ms()
        # The platform's rows change when more than the heartbeat does.
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
        """Returns what it answers when asked: what was true a lag ago."""
        engine = self.engine
        lag_ms = engine.report_lag_ms if engine else 0.0
        told = self._report(self._entry())
        for at_ms, report in reversed(self._reports):
            if at_ms <= clock.now_ms() - lag_ms:
                told = report
                break
        return told

    def shed(self, job: Job) -> None:
        """Answers that a request did not run here."""
        rest = []
        if self.rest_s:
            self.fleet.oracle.record_rest_request(job.attempt, self.id,
                                                  1000 * self.rest_s)
            rest = [(wirenames.RETRY_AFTER, f"{self.rest_s:g}")]
        job.reply.send(503, [(wirenames.ATTEMPT_ID, job.attempt),
                             (wirenames.NOT_EXECUTED, "1"),
                             (wirenames.AT_SERVER, self.id), *rest,
                             *self._flow_control_headers(job)], b"")

    def _flow_control_headers(self, job: Job) -> list[tuple[str, str]]:
        """Returns what all its answers ask of its callers."""
        run_oracle = self.fleet.oracle
        run_oracle.record_rate_limit(job.attempt, self.id, self.limit_per_s)
        told = []
        if self.limit_per_s is not None:
            told.append((wirenames.SERVER_LIMIT, f"{self.limit_per_s:g}"))
        if self.leaving:
            run_oracle.record_leaving(job.attempt, self.id)
            told.append((wirenames.SERVER_LEAVING, "1"))
        return told

    def answer_headers(self, job: Job) -> list[tuple[str, str]]:
        """Returns the head fields of an answer."""
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
            "coldLeftMs": 0,
            # Heartbeats, unlike the field of this name in a report.
            "seq": int(clock.now_ms() // HEARTBEAT_MS),
        }
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
        }
