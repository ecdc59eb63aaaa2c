"""Runners of groups in a process of their own, on real sockets.

`livefleet` starts it as `python -m tests.liverunners HOST:PORT`. From that
address come its runners and then its commands; what the runners see goes
there. Messages are JSON, one a line.
"""

import asyncio
import json
import random
import sys

from cardamommill.domain import clock
from cardamommill.experiment import (
    deployments,
    modelfleet,
    modelorders,
    modelpasses,
    modelrunner,
    oracle,
    virtualnetwork,
)
from cardamommill.platform import configurations

MAX_LINE_BYTES = 1 << 20


class Observer(oracle.Oracle):
    """Passes on what runners see; see `livefleet.Fleet.on_seen`."""

    def __init__(self, tell):
        super().__init__(oracle.Limits(loads_per_s=0))
        self._tell = tell

    def broken(self, rule, text):
        self._tell("broken", rule, text)

    def record_arrival(self, attempt, service, runner, tenant, method, target,
                       body):
        self._tell("record_arrival", attempt, service, runner, tenant, method,
                   target, body.decode("latin-1"))

    def record_execution(self, attempt, runner):
        self._tell("record_execution", attempt, runner)

    def record_load(self):
        self._tell("record_load")

    def check_group(self, attempt, key, members, size):
        # Members in other processes become ready there.
        if len(members) != size or self.ready[(key, members)]:
            self._tell("check_size", attempt, str(key), len(members), size)


class Rows:
    """The platform's store as runners write to it."""

    fault = ""
    era = 1

    def __init__(self, tell):
        self._tell = tell
        self._rows = {}

    def put(self, table, key, value):
        self._rows[table, key] = value
        self._tell("put", table, key, value)

    def get(self, table, key):
        return self._rows.get((table, key))


class Passes(modelpasses.ForwardPasses):
    """Forward passes that tell which answers the runner does not finish."""

    def cut(self):
        self._break_off()
        super().cut()

    def _missing_member(self, key):
        is_missing = super()._missing_member(key)
        if is_missing:
            self._break_off()
        return is_missing

    def _break_off(self):
        for job in self._runner.jobs:
            if job.running and not job.gone:
                self._runner.tell("break_off", job.attempt)


class Runner(modelrunner.ModelRunner):
    """A runner of a group, on real sockets."""

    def __init__(self, fleet, hosts, tell, listed):
        self.tell = tell
        self._hosts = hosts
        super().__init__(fleet, *listed)
        self._passes = Passes(self)
        self._order_executor = modelorders.OrderExecutor(self, self._passes)

    @property
    def network(self):
        return self._hosts


class Elsewhere:
    """A runner of another process, which is taken to be sound."""

    is_unreachable = False
    pace = 1.0
    silent_left_ms = 0.0

    def __init__(self, domain):
        self.domain = domain

    def is_in(self, key):
        del key
        return True


class Runners(dict):
    """The runners of this process, and the others by their domain."""

    def __init__(self, domains):
        super().__init__()
        self._domains = domains

    def __missing__(self, runner_id):
        return Elsewhere(self._domains[runner_id])


async def serve(host, port):
    """Runs the runners that the parent lists until it closes."""
    reader, writer = await asyncio.open_connection(host,
                                                   port,
                                                   limit=MAX_LINE_BYTES)

    def tell(*message):
        writer.write(json.dumps(message).encode() + b"\n")

    told = json.loads(await reader.readline())
    deployment = deployments.Deployment(**told["deployment"])
    services = configurations.decode(
        json.dumps(deployment.configuration(1, [])).encode()).services
    fleet = modelfleet.Fleet(
        Rows(tell), Observer(tell), {
            name: service.engine
            for name, service in services.items()
            if service.engine is not None
        }, Runners(told["domains"]))
    hosts = virtualnetwork.Network(random.Random(0))
    tasks = [
        asyncio.create_task(Runner(fleet, hosts, tell, each).live())
        for each in told["runners"]
    ]
    while line := await reader.readline():
        silent_ms, runner_ids = json.loads(line)
        for each in runner_ids:
            fleet.runners[each].silent_until_ms = clock.now_ms() + silent_ms
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    _host, _, _port = sys.argv[1].rpartition(":")
    asyncio.run(serve(_host, int(_port)))
