"""Runs a deployment in simulation: nodes, store, runners, clients, faults."""

import asyncio
import contextvars
import dataclasses
import pathlib
import random
from typing import Any

import logbook

from cardamommill.domain import clock, entrysettings
from cardamommill.experiment import (
    deployments,
    modelclients,
    modelfleet,
    modelrunner,
    modelstore,
    oracle,
    troubles,
    virtualloop,
    virtualnetwork,
)
from cardamommill.gateway.shell import entrynode
from cardamommill.platform import configurations, fetching, wirenames
from cardamommill.transport import upstream

FRONT_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
PEER_PORT = 7340
RESTART_S = 0.5
# Time between the crash of a runner and its next start.
CRASH_RESTART_S = 3.0
# A runner's entry expires after three missed heartbeats.
ENTRY_EXPIRY_MS = 3 * modelfleet.HEARTBEAT_MS


@dataclasses.dataclass(slots=True)
class Machine:
    """An entry VM and the process on it.

    Attributes:
        failed_probes: Consecutive failed readiness probes; a node with two or
            more is not ready.
    """

    name: str
    host: str
    place: str
    node: entrynode.EntryNode | None = None
    task: asyncio.Task[None] | None = None
    failed_probes: int = 2


@dataclasses.dataclass(slots=True)
class Outcome:
    """The results of a run.

    Attributes:
        open_groups: Pairs of a time and the number of open groups by model.
        store_calls: Number of calls to the store.
        started_ms: When traffic started.
        cold_requests: Number of requests at runners while they were cold.
        crashes: Number of runners that crashed under a request.
    """

    name: str
    results: list[modelclients.Result]
    violations: list[oracle.Violation]
    open_groups: list[tuple[float, dict[str, int]]]
    store_calls: int
    started_ms: float
    cold_requests: int = 0
    crashes: int = 0

    @property
    def earned(self) -> float:
        """The ratio of the credit earned to the credit owed."""
        owed = sum(each.owed for each in self.results)
        return sum(each.worth for each in self.results) / owed if owed else 0.0

    def share(self, outcome: str) -> float:
        """Returns the fraction of requests with this outcome."""
        count = sum(each.outcome == outcome for each in self.results)
        return count / len(self.results) if self.results else 0.0

    def worst_window(self, window_ms: float = 4000.0) -> float:
        """Returns the lowest credit ratio of any window of this length."""
        worst = 1.0
        last_ms = max((each.at_ms for each in self.results), default=0.0)
        start_ms = self.started_ms
        while start_ms + window_ms <= last_ms:
            inside = [
                each for each in self.results
                if start_ms <= each.at_ms < start_ms + window_ms
            ]
            owed = sum(each.owed for each in inside)
            if owed:
                worst = min(worst, sum(each.worth for each in inside) / owed)
            start_ms += window_ms / 4
        return worst


class World:
    """The simulated deployment of one run; use `play` to run one."""

    def __init__(self, deployment: deployments.Deployment, seed: int,
                 loop: virtualloop.VirtualLoop) -> None:
        self.deployment = deployment
        self.loop = loop
        self.rng = random.Random(seed)
        self._seed = seed
        self.store = modelstore.ModelStore()
        self.run_oracle = oracle.Oracle(
            oracle.Limits(deployment.engine.loads_per_s,
                          retry_slack=deployment.retry_slack,
                          cold_per_s=deployment.cold_per_s))
        self._record_allowed_regions()
        self.keys = [(f"tenant{number % deployment.tenants}", f"key{number}")
                     for number in range(2 * deployment.tenants)]
        self.all_keys = list(self.keys)
        self.version = 7
        first = configurations.decode(self._configuration_bytes())
        engines = {
            name: service.engine
            for name, service in first.services.items()
            if service.engine is not None
        }
        self.fleet = modelfleet.Fleet(self.store,
                                      self.run_oracle,
                                      engines, {},
                                      cold_s=deployment.cold_s,
                                      states_born=deployment.states_born,
                                      on_crash=self._replace_crashed)
        self.machines: dict[str, Machine] = {}
        self.clients: dict[str, modelclients.Clients] = {}
        self.open_groups: list[tuple[float, dict[str, int]]] = []
        self._count = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    def _record_allowed_regions(self) -> None:
        rules = self.run_oracle.place_rules
        for spec in self.deployment.kinds:
            if spec.allowed_regions:
                rules.route_data_centres[
                    f"/{spec.name}/"] = self.deployment.data_centres_in(
                        spec.allowed_regions)
        for name, allowed in self.deployment.account_regions.items():
            rules.account_data_centres[name] = self.deployment.data_centres_in(
                allowed)

    def _configuration_bytes(self) -> bytes:
        import json
        return json.dumps(self.deployment.configuration(self.version,
                                                        self.keys)).encode()

    def model_name(self, name: str) -> str:
        """Returns a model's name on the wire."""
        return name

    def stride(self, service: str) -> int:
        """Returns the number of tokens per event."""
        engine = self.fleet.engines.get(service)
        return engine.stride if engine else 1

    def choose_node(self, place: str,
                    rng: random.Random) -> upstream.Address | None:
        """Returns the node address that the balancer chooses for a connection.

        It prefers ready nodes of the data centre. If fewer than half of its
        nodes are ready, it uses all of them; if none of them is ready, it uses
        the ready nodes of other data centres. Returns None if no node is ready.
        """
        local = [each for each in self.machines.values() if each.place == place]
        ready = [each for each in local if each.failed_probes < 2]
        if 2 * len(ready) < len(local):
            ready = local
        if not any(each.failed_probes < 2 for each in local):
            ready = [
                each for each in self.machines.values()
                if each.failed_probes < 2
            ]
        if not ready:
            return None
        return rng.choice(ready).host, FRONT_PORT

    def spawn(self, host: str, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine as a process of a host."""
        context = contextvars.copy_context()
        context.run(virtualnetwork.HOST.set, host)
        task = self.loop.create_task(work, context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self) -> None:
        """Starts the store, all runners and all nodes."""
        network = self.loop.network
        self.spawn(modelstore.ADDRESS[0], self.store.listen())
        self.store.put(wirenames.OPERATOR_TABLE, wirenames.CONFIGURATION_KEY,
                       self.deployment.configuration(self.version, self.keys))
        for index, (place, count) in enumerate(self.deployment.places.items()):
            for number in range(count):
                host = f"10.{index + 1}.0.{number + 1}"
                name = f"node-{place}-{number + 1}"
                network.host(host).place = place
                self.machines[name] = Machine(name, host, place)
            for domain in range(self.deployment.domains):
                for _ in range(self.deployment.runners):
                    self.add_runner(place, f"{place}-d{domain}", "engine")
            for _ in range(self.deployment.plain_runners):
                self.add_runner(place, "", "plain")
        for name in self.machines:
            self.start_node(name)
        self.spawn("balancer", self._run_balancer())
        self.spawn("store", self._sample_groups_and_expire_entries())

    def add_runner(self, place: str, domain: str,
                   service: str) -> modelrunner.ModelRunner:
        """Starts a runner on a new host."""
        self._count += 1
        place_index = list(self.deployment.places).index(place)
        host = f"10.{place_index + 100}.{self._count // 250}." + str(
            self._count % 250 + 1)
        self.loop.network.host(host).place = place
        slots = (self.deployment.engine.slots if service == "engine" else 6)
        runner = modelrunner.ModelRunner(self.fleet, f"i-{self._count:04d}",
                                         host, place, domain, service, slots)
        self.spawn(host, runner.live())
        return runner

    def _replace_crashed(self, runner: modelfleet.ListedRunner) -> None:
        self.spawn("troubles", self._start_replacement(runner))

    async def _start_replacement(self, runner: modelfleet.ListedRunner) -> None:
        """Starts a runner in place of one that crashed, under a new id."""
        await asyncio.sleep(CRASH_RESTART_S)
        self.add_runner(runner.place, runner.domain, runner.service)

    def restart_runners(self, runners: list[modelfleet.ListedRunner],
                        for_s: float) -> None:
        """Ends runners and starts them again under their ids."""
        for each in runners:
            self.spawn("troubles", self._restart_runner(each, for_s))

    async def _restart_runner(self, runner: modelfleet.ListedRunner,
                              for_s: float) -> None:
        """Ends a runner's process and starts it again under its id.

        Args:
            runner: The runner.
            for_s: Time between the end and the next start.
        """
        runner.end()
        self.loop.network.end_processes(runner.host)
        await asyncio.sleep(for_s)
        successor = modelrunner.ModelRunner(self.fleet, runner.id, runner.host,
                                            runner.place, runner.domain,
                                            runner.service, runner.slots)
        self.spawn(runner.host, successor.live())

    def start_node(self, name: str) -> None:
        """Starts a node's process."""
        machine = self.machines[name]
        settings = entrysettings.EntrySettings(
            node=name,
            data_centre=machine.place,
            data_centres=tuple(self.deployment.places),
            regions=self.deployment.regions,
            ip=machine.host,
            callers=f"{machine.host}:{FRONT_PORT}",
            ready=f"{machine.host}:{READY_PORT}",
            peer_port=PEER_PORT,
            seeds=tuple(f"{each.host}:{CONTROL_PORT}"
                        for each in list(self.machines.values())[:3]),
            platform="{}:{}".format(*modelstore.ADDRESS),
            metrics_port=0,
            bounds=entrysettings.Bounds(retry_slack=self.deployment.retry_slack,
                                        cold_overage=oracle.COLD_OVERAGE,
                                        cold_slack=oracle.COLD_SLACK))
        machine.node = entrynode.EntryNode(settings,
                                           pathlib.Path("/nonexistent"))
        machine.task = self.spawn(machine.host, self._serve(machine))

    async def _serve(self, machine: Machine) -> None:
        node = machine.node
        assert node is not None
        await node.serve()
        # The process ended by itself: the platform restarts it.
        await asyncio.sleep(RESTART_S)
        if machine.node is node:
            self.start_node(machine.name)

    async def kill_node(self, name: str, for_s: float) -> None:
        """Kills a node's process and restarts it after at least RESTART_S."""
        machine = self.machines[name]
        self.run_oracle.record_restart(machine.host)
        if machine.task is not None:
            machine.task.cancel()
        self.loop.network.end_processes(machine.host)
        machine.node = None
        await asyncio.sleep(max(RESTART_S, for_s))
        self.start_node(name)

    async def _run_balancer(self) -> None:
        pool = upstream.Pool()
        while True:
            for machine in self.machines.values():
                self.spawn("balancer", self._probe_readiness(pool, machine))
            await asyncio.sleep(1.0)

    async def _probe_readiness(self, pool: upstream.Pool,
                               machine: Machine) -> None:
        answer = await fetching.fetch(
            pool, (machine.host, READY_PORT),
            fetching.request_bytes("GET", wirenames.READY_PATH,
                                   [("Host", machine.host)]), 900.0, True)
        machine.failed_probes = (0 if answer.head.status == 200 else
                                 machine.failed_probes + 1)

    async def _sample_groups_and_expire_entries(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            self.open_groups.append((clock.now_ms(), self._count_open_groups()))
            if self.store.fault:
                continue
            for runner in self.fleet.runners.values():
                if clock.now_ms() - runner.last_heartbeat_ms > ENTRY_EXPIRY_MS:
                    self.store.drop(wirenames.SERVERS_TABLE, runner.id)

    def _count_open_groups(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for runner in self.fleet.runners.values():
            place = runner.membership
            if (place is not None and not place.rank and
                    not runner.is_unreachable and place.state.value == "open"):
                members = [self.fleet.runners[each] for each in runner.members]
                all_reachable = all(
                    not each.is_unreachable and each.is_in(place.key)
                    for each in members)
                if all_reachable:
                    counts[runner.served] = counts.get(runner.served, 0) + 1
        return counts

    async def play(self) -> Outcome:
        """Starts the deployment, sends all traffic and returns the results."""
        await self.start()
        await asyncio.sleep(self.deployment.lead_s)
        started_ms = clock.now_ms()
        until_ms = started_ms + self.deployment.length_s * 1000
        for place in self.deployment.places:
            host = f"clients-{place}"
            self.loop.network.host(host).place = place
            self.clients[place] = modelclients.Clients(self, place,
                                                       self.run_oracle,
                                                       self._seed)
            for spec in self.deployment.kinds:
                self.spawn(
                    host,
                    self.clients[place].send_all(self.deployment.kind(spec),
                                                 until_ms))
        injector = troubles.Troubles(self)
        for trouble in self.deployment.troubles:
            self.spawn("troubles", injector.inject(trouble))
        longest_deadline_ms = max(
            each.deadline_ms for each in self.deployment.kinds)
        await asyncio.sleep(self.deployment.length_s +
                            longest_deadline_ms / 1000)
        return Outcome(self.deployment.name, [
            result for each in self.clients.values() for result in each.results
        ],
                       self.run_oracle.violations,
                       self.open_groups,
                       self.store.calls,
                       started_ms,
                       cold_requests=sum(
                           map(len, self.run_oracle.cold_arrivals_ms.values())),
                       crashes=self.run_oracle.crash_rules.crashes +
                       self.run_oracle.part_rules.crashes)


def play(deployment: deployments.Deployment,
         seed: int | None = None) -> Outcome:
    """Runs a deployment in simulated time and returns the results."""
    run_seed = deployment.seed if seed is None else seed
    with logbook.NullHandler(), virtualloop.running(run_seed) as loop:
        asyncio.set_event_loop(loop)
        try:
            world = World(deployment, run_seed, loop)
            task = loop.create_task(world.play())
            outcome: Outcome = loop.run_until_complete(task)
            return outcome
        finally:
            asyncio.set_event_loop(None)
