"""Simulates the forward passes of a group's engine at the group's head."""

import asyncio
import math

from cardamommill.domain import model
from cardamommill.experiment import modelfleet, rightanswers
from cardamommill.platform import wirenames

# Time until a head detects that a member is gone.
STALL_MS = 4000.0
# Queued requests per slot beyond which a head refuses requests.
QUEUE_RATIO = 2


class ForwardPasses:
    """Processes prompts and generates events for the requests of a head."""

    def __init__(self, runner: modelfleet.ListedRunner) -> None:
        self._runner = runner
        self._is_running = False

    def take(self, job: modelfleet.Job) -> modelfleet.Job | None:
        """Queues a request, or refuses it without executing it."""
        runner = self._runner
        engine = runner.engine
        membership = runner.membership
        assert engine is not None
        if (membership is None or membership.rank or
                membership.state is not model.MemberState.OPEN):
            job.reply.send(421, [(wirenames.INSTANCE_ID, runner.id),
                                 (wirenames.ATTEMPT_ID, job.attempt)], b"")
            return None
        if job.request.get(wirenames.MODEL) != runner.served:
            job.reply.send(421, [(wirenames.INSTANCE_ID, runner.id)], b"")
            return None
        runner.record_cold_arrival()
        if (len(runner.jobs) >= _capacity(engine) and
                not runner.silent_left_ms):
            runner.shed(job)
            return None
        tokens = [
            int(each) for each in (
                job.request.get(wirenames.TOKEN_COUNTS) or "").split(",")
        ]
        last_id = int(job.request.get(wirenames.LAST_EVENT_ID) or 0)
        events = math.ceil(tokens[1] / engine.stride)
        job.to_read = tokens[0] + last_id * engine.stride
        job.next_id = last_id + 1
        job.events_left = max(0, events - last_id)
        runner.jobs.append(job)
        if not self._is_running:
            self._is_running = True
            asyncio.get_running_loop().create_task(self._run(membership.key))
        return job

    def cut(self) -> None:
        """Drops all requests; queued ones are answered as not executed."""
        jobs, self._runner.jobs = self._runner.jobs, []
        for job in jobs:
            if job.gone:
                continue
            if job.running:
                self._record_lost_members()
                job.reply.abort()
            else:
                self._runner.shed(job)

    async def _run(self, key: model.GroupKey) -> None:
        runner = self._runner
        engine = runner.engine
        assert engine is not None
        served = engine.model(runner.served)
        assert served is not None
        while runner.jobs and not runner.ended:
            if not runner.is_in(key):
                self.cut()
                break
            if self._missing_member(key):
                await asyncio.sleep(STALL_MS / 1000)
                if runner.is_in(key):
                    runner.set_state(model.MemberState.BROKEN)
                self.cut()
                break
            await self._run_pass(engine, served, key)
        self._is_running = False

    def _record_lost_members(self) -> None:
        """Records a disruption if a member has ended or can't be reached."""
        runners = self._runner.fleet.runners
        if any(runners[each].is_unreachable for each in self._runner.members):
            self._runner.record_disruption()

    def _missing_member(self, key: model.GroupKey) -> bool:
        members = map(self._runner.fleet.runners.__getitem__,
                      self._runner.members)
        return any(
            each.is_unreachable or not each.is_in(key) for each in members)

    async def _run_pass(self, engine: model.Engine, served: model.ServedModel,
                        key: model.GroupKey) -> None:
        runner = self._runner
        runner.jobs = [each for each in runner.jobs if not each.gone]
        waiting = sorted((each for each in runner.jobs if not each.running),
                         key=lambda each: each.priority)
        running = [each for each in runner.jobs if each.running]
        running += waiting[:max(0, engine.slots - len(running))]
        if not running:
            await asyncio.sleep(0.001)
            return
        budget = engine.chunk_tokens * engine.stride
        read_tokens = 0.0
        for job in running:
            job.running = True
            tokens = min(job.to_read, budget - read_tokens)
            job.to_read -= tokens
            read_tokens += tokens
        pass_ms = (engine.stride *
                   (engine.step_ms + len(running) * engine.per_sequence_ms) +
                   read_tokens / engine.read_tokens_per_ms) * self._slowdown(
                       engine, served)
        await asyncio.sleep(pass_ms / 1000)
        await self._wait_for_silent_members(engine)
        if (not runner.is_in(key) or self._missing_member(key) or
                runner.is_unreachable):
            return
        for job in running:
            if job.is_deadly and job.to_read <= 0 and not job.gone:
                runner.crash(job)
                return
        for job in running:
            if job.to_read <= 0 and not job.gone:
                self._emit(job, key, served)
        runner.jobs = [each for each in runner.jobs if not each.reply.ended]

    async def _wait_for_silent_members(self, engine: model.Engine) -> None:
        """Waits while a member makes no progress, then refuses the excess."""
        runner = self._runner
        members = [runner.fleet.runners[each] for each in runner.members]
        silent_ms = max((each.silent_left_ms for each in members), default=0.0)
        if not silent_ms:
            return
        await asyncio.sleep(silent_ms / 1000)
        excess = [
            each for each in runner.jobs[_capacity(engine):]
            if not each.running and not each.gone
        ]
        for job in excess:
            runner.jobs.remove(job)
            runner.shed(job)

    def _slowdown(self, engine: model.Engine,
                  served: model.ServedModel) -> float:
        """Returns the factor by which passes of this group take longer."""
        runners = self._runner.fleet.runners
        members = [runners[each] for each in self._runner.members]
        domains = {each.domain for each in members}
        return served.pace * max(each.pace for each in members) * (
            engine.far_factor if len(domains) > 1 else 1.0)

    def _emit(self, job: modelfleet.Job, key: model.GroupKey,
              served: model.ServedModel) -> None:
        runner = self._runner
        if not job.reply.started:
            run_oracle = runner.fleet.oracle
            run_oracle.record_execution(job.attempt, runner.incarnation)
            run_oracle.check_group(job.attempt, key, runner.members,
                                   served.size)
            job.reply.start(200, [("Content-Type", "text/event-stream"),
                                  *runner.answer_headers(job)])
        runner.fleet.oracle.lost_rules.record_event(job.attempt,
                                                    runner.incarnation)
        if job.events_left > 0:
            job.reply.write(
                rightanswers.event_bytes(job.request.target, job.next_id))
            job.next_id += 1
            job.events_left -= 1
        if job.events_left <= 0:
            job.reply.end()


def _capacity(engine: model.Engine) -> int:
    """Returns how many requests a head accepts, queued ones included."""
    return engine.slots * (1 + QUEUE_RATIO)
