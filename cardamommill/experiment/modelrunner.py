"""A simulated runner that serves requests, orders and reports."""

import asyncio
import functools
import json
from typing import Any

from cardamommill.experiment import (
    modelfleet,
    modelorders,
    modelpasses,
    rightanswers,
)
from cardamommill.platform import wirenames
from cardamommill.transport import callers, replies

# A plain runner accepts this many requests per slot, queued ones included.
PLAIN_CAPACITY_RATIO = 4


class ModelRunner(modelfleet.ListedRunner):
    """A runner process, from its registration until it ends."""

    def __init__(self,
                 fleet: modelfleet.Fleet,
                 runner_id: str,
                 host: str,
                 place: str,
                 domain: str,
                 service: str,
                 slots: int,
                 work_ms: float = 40.0) -> None:
        super().__init__(fleet, runner_id, host, place, domain, service, slots)
        self._work_ms = work_ms
        self._passes = modelpasses.ForwardPasses(self)
        self._order_executor = modelorders.OrderExecutor(self, self._passes)
        self._server = callers.CallerServer(self._on_request, lambda _: None)

    async def live(self) -> None:
        """Listens and sends heartbeats until the runner ends."""
        self.network.host(self.host).place = self.place
        await self._server.listen(self.host, modelfleet.PORT)
        while not self.ended:
            self.send_heartbeat()
            await asyncio.sleep(modelfleet.HEARTBEAT_MS / 1000)

    def _on_request(self, request: callers.CallerRequest,
                    reply: replies.Reply) -> callers.ActiveRequest | None:
        expected = request.get(wirenames.EXPECT_INSTANCE)
        if expected is not None and expected != self.id:
            reply.send(421, [(wirenames.INSTANCE_ID, self.id)], b"")
            return None
        if request.target == wirenames.REPORT_PATH:
            if self.is_frozen:
                asyncio.get_running_loop().call_later(
                    self.silent_left_ms / 1000, self._answer_report, reply)
            else:
                self._answer_report(reply)
            return None
        if request.target == wirenames.ORDER_PATH:
            asyncio.get_running_loop().create_task(
                self._answer_order(json.loads(request.body), reply))
            return None
        return self._take_job(request, reply)

    def _answer_report(self, reply: replies.Reply) -> None:
        reply.send(200, self.cold_headers(), json.dumps(self.report()).encode())

    async def _answer_order(self, order: dict[str, Any],
                            reply: replies.Reply) -> None:
        if self.is_frozen:
            await asyncio.sleep(self.silent_left_ms / 1000)
        if self.late_orders_ms:
            await asyncio.sleep(self.late_orders_ms / 1000)
            self._order_executor.execute(order)
            return
        status = self._order_executor.execute(order)
        reply.send(status, [], json.dumps(self.born_fields()).encode())

    def _take_job(self, request: callers.CallerRequest,
                  reply: replies.Reply) -> modelfleet.Job | None:
        attempt = request.get(wirenames.ATTEMPT_ID) or ""
        self.fleet.is_before_traffic = False
        record_arrival = functools.partial(self.fleet.oracle.record_arrival,
                                           attempt, self.service,
                                           self.incarnation,
                                           request.get(wirenames.TENANT) or "",
                                           request.method, request.target,
                                           request.body)
        if self.is_frozen:
            # The kernel acknowledges it; the process reads it when it goes on,
            # also if the connection was closed meanwhile.
            asyncio.get_running_loop().call_later(self.silent_left_ms / 1000,
                                                  record_arrival)
        else:
            record_arrival()
        self.fleet.oracle.check_place(attempt, self.id, self.place)
        if self.acknowledged_leaving_ms() > 2000:
            self.fleet.oracle.broken(
                "DRAIN",
                f"{attempt}: received by {self.id} while it was draining")
        job = modelfleet.Job(request, reply, attempt,
                             int(request.get(wirenames.REQUEST_PRIORITY) or 5),
                             0.0, 1, 1)
        if self.rest_s:
            self.shed(job)
            return None
        if self.fault is not modelfleet.Fault.NONE:
            self._fail(job)
            return None
        if self.engine is None:
            return self._take_plain(job)
        return self._passes.take(job)

    def _fail(self, job: modelfleet.Job) -> None:
        self.fleet.oracle.record_execution(job.attempt, self.incarnation)
        if self.fault is modelfleet.Fault.ERROR:
            job.reply.send(500, self.answer_headers(job), b"")
        else:
            self.record_disruption()
            job.reply.abort()

    def _take_plain(self, job: modelfleet.Job) -> modelfleet.Job | None:
        self.record_cold_arrival()
        if len(self.jobs) >= self.slots * PLAIN_CAPACITY_RATIO:
            self.shed(job)
            return None
        self.jobs.append(job)
        asyncio.get_running_loop().create_task(self._work_plain(job))
        return job

    async def _work_plain(self, job: modelfleet.Job) -> None:
        while self.running >= self.slots:
            await asyncio.sleep(0.005)
        if not job.gone:
            job.running = True
            self.fleet.oracle.record_execution(job.attempt, self.incarnation)
            await asyncio.sleep(self._work_ms * self.pace / 1000)
            if self.silent_left_ms:
                await asyncio.sleep(self.silent_left_ms / 1000)
        self.jobs.remove(job)
        if job.is_deadly and not job.gone and not self.ended:
            self.crash(job)
            return
        if not job.gone and not self.is_unreachable:
            job.reply.send(200, self.answer_headers(job),
                           rightanswers.plain_body(job.request.target))
