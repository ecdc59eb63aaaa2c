"""A runner of the model: registers, takes orders, works in a group."""

import asyncio
import dataclasses
import enum
import hashlib
import json
import math
from typing import Any

from cardamommill.experiment import modelstore, oracle, virtualloop
from cardamommill.gateway import callers, clock, model
from cardamommill.platform import words

PORT = 8140
HEARTBEAT_MS = 1200.0
REJOIN_MS = 200.0
STALL_MS = 4000.0
# Before the first request loads take this part of their time.
LEAD_PART = 0.1
QUEUE_PART = 2


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
    runners: dict[str, "ModelRunner"]
    loading: int = 0
    in_lead: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at a head."""

    request: callers.CallerRequest
    reply: callers.Reply
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


class ModelRunner:
    """One life of a runner."""

    def __init__(self,
                 fleet: Fleet,
                 runner_id: str,
                 host: str,
                 place: str,
                 domain: str,
                 service: str,
                 slots: int,
                 work_ms: float = 40.0) -> None:
        self.id = runner_id
        self.host = host
        self.place = place
        self.domain = domain
        self.service = service
        self.slots = slots
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
        # Whether orders get no answer and are carried out late.
        self.late_orders_ms = 0.0
        self.begun = 0
        self.beat_ms = clock.now_ms()
        self._fleet = fleet
        self._work_ms = work_ms
        self._epoch = 0
        self._stages: dict[str, float] = {}
        self._jobs: list[Job] = []
        self._passing = False
        self._told = b""
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._server = callers.CallerServer(self._on_request, lambda _: None)
        fleet.runners[runner_id] = self

    @property
    def engine(self) -> model.Engine | None:
        """The arithmetic of its service, where it works in groups."""
        return self._fleet.engines.get(self.service)

    async def live(self) -> None:
        """Registers and answers until it ends."""
        network = self._loop().network
        network.host(self.host).place = self.place
        await self._server.listen(self.host, PORT)
        while not self.ended:
            self._beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def _loop(self) -> virtualloop.VirtualLoop:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtualloop.VirtualLoop)
        return loop

    @property
    def dark(self) -> bool:
        """Whether it neither hears nor speaks."""
        return self.ended or self._loop().network.host(self.host).dark

    def _beat(self) -> None:
        # Also what a change tells at once.
        entry = self._entry()
        self._reports.append((clock.now_ms(), self._report(entry)))
        del self._reports[:-20]
        if self.dark or self.store_cut or self._fleet.store.fault:
            return
        self.beat_ms = clock.now_ms()
        # The platform's rows change when more than the heartbeat does.
        told = json.dumps(entry | {"seq": 0}).encode()
        if told != self._told or self._fleet.store.get(words.SERVERS_TABLE,
                                                       self.id) is None:
            self._told = told
            self._fleet.store.put(words.SERVERS_TABLE, self.id, entry)

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
            "queued": sum(not each.running for each in self._jobs),
            "active": sum(each.running for each in self._jobs),
            "kvUsed": 0,
            "kvTotal": 1,
            "handles": 0,
            "pace": self.pace,
        }

    def end(self) -> None:
        """Ends for good; its entry lapses by itself."""
        self.ended = True

    def drain(self) -> None:
        """Tells that it will leave."""
        self.leaving = True
        self.leaving_ms = clock.now_ms()
        self._beat()

    # Requests.

    def _on_request(self, request: callers.CallerRequest,
                    reply: callers.Reply) -> callers.Serving | None:
        expected = request.get(words.EXPECT_INSTANCE)
        if expected is not None and expected != self.id:
            reply.whole(421, [(words.INSTANCE_ID, self.id)], b"")
            return None
        if request.target == words.REPORT_PATH:
            self._answer_report(reply)
            return None
        if request.target == words.ORDER_PATH:
            asyncio.get_running_loop().create_task(
                self._answer_order(json.loads(request.body), reply))
            return None
        return self._take_job(request, reply)

    def _answer_report(self, reply: callers.Reply) -> None:
        engine = self.engine
        lag_ms = engine.report_lag_ms if engine else 0.0
        told = self._report(self._entry())
        for at_ms, report in reversed(self._reports):
            if at_ms <= clock.now_ms() - lag_ms:
                told = report
                break
        reply.whole(200, [], json.dumps(told).encode())

    def _take_job(self, request: callers.CallerRequest,
                  reply: callers.Reply) -> Job | None:
        attempt = request.get(words.ATTEMPT_ID) or ""
        self._fleet.in_lead = False
        self._fleet.oracle.arrives(attempt, self.service, self.id,
                                   request.get(words.TENANT) or "",
                                   request.method, request.target, request.body)
        since_ms = clock.now_ms() - self.leaving_ms
        if since_ms > 2000 and not self._fleet.store.fault:
            self._fleet.oracle.broken("DRAIN", f"{attempt} at {self.id}")
        job = Job(request, reply, attempt,
                  int(request.get(words.REQUEST_PRIORITY) or 5), 0.0, 1, 1)
        if self.fault is not Fault.NONE:
            self._fail(job)
            return None
        if self.engine is None:
            return self._take_plain(job)
        return self._take_generation(job)

    def _fail(self, job: Job) -> None:
        self._fleet.oracle.begins(job.attempt, self.id)
        if self.fault is Fault.ERROR:
            job.reply.whole(500, self._answer_head(job), b"")
        else:
            job.reply.break_off()

    def _shed(self, job: Job, at_server: str = "") -> None:
        job.reply.whole(503, [(words.ATTEMPT_ID, job.attempt),
                              (words.NOT_EXECUTED, "1"),
                              (words.AT_SERVER, at_server or self.id)], b"")

    def _take_plain(self, job: Job) -> Job | None:
        if len(self._jobs) >= self.slots * 4:
            self._shed(job)
            return None
        self._jobs.append(job)
        asyncio.get_running_loop().create_task(self._work_plain(job))
        return job

    async def _work_plain(self, job: Job) -> None:
        while sum(each.running for each in self._jobs) >= self.slots:
            await asyncio.sleep(0.005)
        if not job.gone:
            job.running = True
            self._fleet.oracle.begins(job.attempt, self.id)
            await asyncio.sleep(self._work_ms * self.pace / 1000)
        self._jobs.remove(job)
        if not job.gone and not self.dark:
            job.reply.whole(200, self._answer_head(job),
                            plain_body(job.request.target))

    def _answer_head(self, job: Job) -> list[tuple[str, str]]:
        running = sum(each.running for each in self._jobs)
        return [(words.ATTEMPT_ID, job.attempt),
                (words.SEAL, f"{self.id}.{job.attempt}"),
                (words.SERVER_LOAD,
                 f"{running},{len(self._jobs) - running},{self.slots}"),
                ("Keep-Alive", "timeout=5")]

    # Groups.

    def _take_generation(self, job: Job) -> Job | None:
        engine = self.engine
        membership = self.membership
        assert engine is not None
        if (membership is None or membership.rank or
                membership.state is not model.MemberState.OPEN):
            job.reply.whole(421, [(words.INSTANCE_ID, self.id),
                                  (words.ATTEMPT_ID, job.attempt)], b"")
            return None
        if job.request.get(words.MODEL) != self.served:
            job.reply.whole(421, [(words.INSTANCE_ID, self.id)], b"")
            return None
        if len(self._jobs) >= engine.slots * (1 + QUEUE_PART):
            self._shed(job)
            return None
        tokens = [
            int(each)
            for each in (job.request.get(words.TOKEN_COUNTS) or "").split(",")
        ]
        last = int(job.request.get(words.LAST_EVENT_ID) or 0)
        events = math.ceil(tokens[1] / engine.stride)
        job.to_read = tokens[0] + last * engine.stride
        job.next_id = last + 1
        job.events_left = max(0, events - last)
        self._jobs.append(job)
        if not self._passing:
            self._passing = True
            asyncio.get_running_loop().create_task(self._passes(membership.key))
        return job

    async def _passes(self, key: model.GroupKey) -> None:
        engine = self.engine
        assert engine is not None
        served = engine.model(self.served)
        assert served is not None
        while self._jobs and not self.ended:
            if self.membership is None or self.membership.key != key:
                self._cut_jobs()
                break
            if self._missing_member(key):
                await asyncio.sleep(STALL_MS / 1000)
                if self.membership is not None and self.membership.key == key:
                    self.membership = dataclasses.replace(
                        self.membership, state=model.MemberState.BROKEN)
                    self._beat()
                self._cut_jobs()
                break
            await self._one_pass(engine, served, key)
        self._passing = False

    def _missing_member(self, key: model.GroupKey) -> bool:
        for member in self.members:
            other = self._fleet.runners[member]
            place = other.membership
            if other.dark or place is None or place.key != key:
                return True
        return False

    def _cut_jobs(self) -> None:
        jobs, self._jobs = self._jobs, []
        for job in jobs:
            if job.gone:
                continue
            if job.running:
                job.reply.break_off()
            else:
                self._shed(job)

    async def _one_pass(self, engine: model.Engine, served: model.ServedModel,
                        key: model.GroupKey) -> None:
        self._jobs = [each for each in self._jobs if not each.gone]
        waiting = sorted((each for each in self._jobs if not each.running),
                         key=lambda each: each.priority)
        running = [each for each in self._jobs if each.running]
        running += waiting[:max(0, engine.slots - len(running))]
        if not running:
            await asyncio.sleep(0.001)
            return
        budget = engine.chunk_tokens * engine.stride
        read = 0.0
        for job in running:
            job.running = True
            part = min(job.to_read, budget - read)
            job.to_read -= part
            read += part
        domains = {self._fleet.runners[each].domain for each in self.members}
        factor = served.pace * max(
            self._fleet.runners[each].pace for each in self.members) * (
                engine.far_factor if len(domains) > 1 else 1.0)
        pass_ms = (engine.stride *
                   (engine.step_ms + len(running) * engine.per_sequence_ms) +
                   read / engine.read_tokens_per_ms) * factor
        await asyncio.sleep(pass_ms / 1000)
        if self._missing_member(key) or self.dark:
            return
        for job in running:
            if job.to_read <= 0 and not job.gone:
                self._emit(job, key, served)
        self._jobs = [each for each in self._jobs if not each.reply.ended]

    def _emit(self, job: Job, key: model.GroupKey,
              served: model.ServedModel) -> None:
        if not job.reply.started:
            self._fleet.oracle.begins(job.attempt, self.id)
            self._fleet.oracle.begins_in_group(job.attempt, key, self.members,
                                               served.size)
            job.reply.start(200, [("Content-Type", "text/event-stream"),
                                  *self._answer_head(job)])
        if job.events_left > 0:
            job.reply.piece(event_bytes(job.request.target, job.next_id))
            job.next_id += 1
            job.events_left -= 1
        if job.events_left <= 0:
            job.reply.end()

    # Orders.

    async def _answer_order(self, order: dict[str, Any],
                            reply: callers.Reply) -> None:
        if self.late_orders_ms:
            await asyncio.sleep(self.late_orders_ms / 1000)
            self._carry_out(order)
            return
        reply.whole(self._carry_out(order), [], b"")

    def _carry_out(self, order: dict[str, Any]) -> int:
        if self.dark:
            return 503
        expected = order.get("expected")
        if expected is not None and expected != self.begun:
            return 409
        acts = {
            "join": self._join,
            "open": self._open,
            "close": self._close,
            "leave": self._leave,
            "stage": self._stage,
        }
        act = acts.get(order["operation"])
        return act(order) if act is not None else 400

    def _join(self, order: dict[str, Any]) -> int:
        key = model.GroupKey(order["group"], order["epoch"])
        members = tuple(order["members"])
        if key.epoch < self._epoch:
            return 412
        before = self.membership
        if before is not None and before.key == key:
            return 200 if members == self.members else 412
        if before is not None:
            self._check_two(before.key)
        self._epoch = key.epoch
        self.begun += 1
        served = order["model"]
        engine = self.engine
        assert engine is not None
        found = engine.model(served)
        assert found is not None
        self.members = members
        self.served = served
        self.membership = model.Membership(key.name, key.epoch,
                                           members.index(self.id),
                                           model.MemberState.JOINING)
        self._beat()
        asyncio.get_running_loop().create_task(
            self._become_ready(key, members, found))
        return 202

    def _check_two(self, key: model.GroupKey) -> None:
        for other in self._fleet.runners.values():
            place = other.membership
            serves = place is not None and place.state in (
                model.MemberState.OPEN, model.MemberState.CLOSING)
            if (place is not None and place.key == key and not place.rank and
                    serves and not other.ended):
                self._fleet.oracle.broken(
                    "TWO", f"{self.id} joined while {key} was open")

    async def _become_ready(self, key: model.GroupKey, members: tuple[str, ...],
                            served: model.ServedModel) -> None:
        if self.last_model == served.name:
            await asyncio.sleep(REJOIN_MS / 1000)
        else:
            if served.name not in self.staged:
                await self._load(served)
            await asyncio.sleep(served.warm_ms / 1000)
        place = self.membership
        if self.ended or place is None or place.key != key:
            return
        self.last_model = served.name
        self.membership = dataclasses.replace(place,
                                              state=model.MemberState.READY)
        self._fleet.oracle.ready[(key, members)].add(self.id)
        self._beat()

    async def _load(self, served: model.ServedModel) -> None:
        engine = self.engine
        assert engine is not None
        if served.name in self._stages:
            await asyncio.sleep(
                max(0.0, self._stages[served.name] - clock.now_ms()) / 1000)
            return
        fleet = self._fleet
        if not fleet.in_lead:
            fleet.oracle.load_begins()
        fleet.loading += 1
        slowed = max(1.0, fleet.loading / engine.loads_at_once)
        load_ms = served.load_ms * slowed * (LEAD_PART if fleet.in_lead else 1)
        self._stages[served.name] = clock.now_ms() + load_ms
        try:
            await asyncio.sleep(load_ms / 1000)
        finally:
            fleet.loading -= 1
            self._stages.pop(served.name, None)
        self.staged = (served.name,)
        self._beat()

    def _open(self, order: dict[str, Any]) -> int:
        key = model.GroupKey(order["group"], order["epoch"])
        place = self.membership
        if place is None or place.key != key or place.rank:
            return 409
        if place.state is model.MemberState.OPEN:
            return 200
        if place.state is not model.MemberState.READY:
            return 409
        self.begun += 1
        asyncio.get_running_loop().create_task(self._start_serving(key))
        return 202

    async def _start_serving(self, key: model.GroupKey) -> None:
        engine = self.engine
        assert engine is not None
        await asyncio.sleep(engine.form_ms / 1000)
        place = self.membership
        if place is not None and place.key == key:
            self.membership = dataclasses.replace(place,
                                                  state=model.MemberState.OPEN)
            self._beat()

    def _close(self, order: dict[str, Any]) -> int:
        key = model.GroupKey(order["group"], order["epoch"])
        place = self.membership
        if place is None or place.key != key or place.rank:
            return 409
        if place.state is not model.MemberState.OPEN:
            return 200
        self.begun += 1
        self.membership = dataclasses.replace(place,
                                              state=model.MemberState.CLOSING)
        self._beat()
        asyncio.get_running_loop().create_task(self._end_closing(key))
        return 202

    async def _end_closing(self, key: model.GroupKey) -> None:
        while self._jobs:
            await asyncio.sleep(0.02)
        place = self.membership
        if (place is not None and place.key == key and
                place.state is model.MemberState.CLOSING):
            self.membership = dataclasses.replace(place,
                                                  state=model.MemberState.READY)
            self._beat()

    def _leave(self, order: dict[str, Any]) -> int:
        key = model.GroupKey(order["group"], order["epoch"])
        if self.membership is not None and self.membership.key == key:
            self.begun += 1
            self.membership = None
            self.members = ()
            self._cut_jobs()
            self._beat()
        return 200

    def _stage(self, order: dict[str, Any]) -> int:
        engine = self.engine
        assert engine is not None
        served = engine.model(order["model"])
        assert served is not None
        if served.name in self.staged or served.name in self._stages:
            return 200
        self.begun += 1
        asyncio.get_running_loop().create_task(self._load(served))
        return 202


def plain_body(target: str) -> bytes:
    """Returns the one right body of a plain request."""
    return hashlib.sha256(target.encode()).hexdigest().encode()


def event_bytes(target: str, number: int) -> bytes:
    """Returns the one right event of a number."""
    digest = hashlib.sha256(f"{target} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {digest}\n\n".encode()
