"""Injects faults and other events into a run at their times."""

import asyncio
import collections
from collections.abc import Callable, Mapping
import math
import random
import signal
from typing import Any, Protocol

from cardamommill.domain import clock
from cardamommill.experiment import (
    crashrules,
    deployments,
    modelclients,
    modelfleet,
    modelstore,
    oracle,
    partrules,
    virtualloop,
)
from cardamommill.platform import wirenames

# Maximum time until the operator publishes the configuration again after a
# restore.
MAX_REPUBLISH_DELAY_S = 1.8


class Machine(Protocol):
    """An entry VM."""

    name: str
    host: str
    place: str
    node: Any


class SimulatedRun(Protocol):
    """The run into which faults are injected; see `world.World`."""

    deployment: deployments.Deployment
    loop: virtualloop.VirtualLoop
    rng: random.Random
    fleet: modelfleet.Fleet
    store: modelstore.ModelStore
    run_oracle: oracle.Oracle
    clients: dict[str, modelclients.Clients]
    keys: list[tuple[str, str]]
    version: int

    @property
    def machines(self) -> Mapping[str, Machine]:
        """Returns the entry VMs."""

    def spawn(self, host: str, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine on a host."""

    def add_runner(self, place: str, domain: str,
                   service: str) -> modelfleet.ListedRunner:
        """Starts a runner."""

    def restart_runners(self, runners: list[modelfleet.ListedRunner],
                        for_s: float) -> None:
        """Ends runners and starts them again under their ids."""

    async def kill_node(self, name: str, for_s: float) -> None:
        """Kills an entry VM's process and restarts it after `for_s`."""


class Troubles:
    """Injects the faults of one run, with a method for each kind."""

    def __init__(self, world: SimulatedRun) -> None:
        self._world = world

    async def inject(self, trouble: deployments.Trouble) -> None:
        """Waits until the fault's time, then injects it."""
        await asyncio.sleep(trouble.at_s)
        handler = getattr(self, f"_{trouble.kind}")
        await handler(trouble)

    def _choose_place(self, trouble: deployments.Trouble) -> str:
        return trouble.place or self._world.rng.choice(list(
            self._world.clients))

    def _draw_members(
            self,
            trouble: deployments.Trouble) -> list[modelfleet.ListedRunner]:
        place = self._choose_place(trouble)
        found = [
            each for each in self._world.fleet.runners.values()
            if each.place == place and each.membership and
            not each.is_unreachable and not each.leaving
        ]
        self._world.rng.shuffle(found)
        return found[:trouble.count]

    async def _runners_dark(self, trouble: deployments.Trouble) -> None:
        """Makes members unreachable; without a duration they also end."""
        for runner in self._draw_members(trouble):
            self._world.loop.network.host(runner.host).is_unreachable = True
            runner.record_disruption()
            if not trouble.for_s:
                runner.end()
            else:
                self._world.spawn("troubles",
                                  self._reconnect_later(runner, trouble.for_s))

    async def _reconnect_later(self, runner: modelfleet.ListedRunner,
                               for_s: float) -> None:
        await asyncio.sleep(for_s)
        self._world.loop.network.host(runner.host).is_unreachable = False

    async def _domain_dark(self, trouble: deployments.Trouble) -> None:
        place = self._choose_place(trouble)
        domains = sorted({
            each.domain
            for each in self._world.fleet.runners.values()
            if each.place == place and each.domain
        })
        domain = self._world.rng.choice(domains)
        for runner in self._world.fleet.runners.values():
            if runner.domain == domain and not runner.ended:
                self._world.loop.network.host(runner.host).is_unreachable = True
                runner.record_disruption()
                self._world.spawn("troubles",
                                  self._reconnect_later(runner, trouble.for_s))

    async def _runners_crash(self, trouble: deployments.Trouble) -> None:
        for runner in self._draw_members(trouble):
            runner.end()
            self._world.loop.network.end_processes(runner.host)

    async def _runners_silent(self, trouble: deployments.Trouble) -> None:
        """Makes a `factor` of the members silent, though they are sound."""
        self._silence(trouble, answers_reports=True)

    async def _runners_frozen(self, trouble: deployments.Trouble) -> None:
        """Freezes a `factor` of the members; their connections stay open."""
        self._silence(trouble, answers_reports=False)

    def _silence(self, trouble: deployments.Trouble,
                 answers_reports: bool) -> None:
        members = [
            each for each in self._world.fleet.runners.values()
            if each.membership and not each.ended
        ]
        until_ms = clock.now_ms() + 1000 * trouble.for_s
        for runner in self._world.rng.sample(
                members, round(trouble.factor * len(members))):
            runner.silent_until_ms = until_ms
            runner.answers_reports = answers_reports

    async def _deadly_request(self, trouble: deployments.Trouble) -> None:
        """Sends copies of a request that crashes each runner that runs it.

        One copy comes each `factor` seconds, through the clients of any data
        centre, until `for_s` is over. `count` different requests do so at once.
        """
        world = self._world
        until_ms = clock.now_ms() + 1000 * trouble.for_s
        specs = world.deployment.kinds
        # Of streams, if there are any.
        specs = tuple(each for each in specs if each.model) or specs
        kinds = [world.deployment.kind(each) for each in specs]
        contents = [
            modelclients.Content(f"{kind.prefix}deadly/{number}",
                                 crashrules.DEADLY_BODY,
                                 int(kind.prompt_tokens),
                                 int(kind.answer_tokens),
                                 *world.rng.choice(world.keys))
            for number, kind in enumerate(
                world.rng.choice(kinds) for _ in range(trouble.count))
        ]
        copies = 0
        while clock.now_ms() < until_ms:
            for content in contents:
                place = world.rng.choice(list(world.clients))
                kind = next(each for each in kinds
                            if content.target.startswith(each.prefix))
                copies += 1
                world.spawn(
                    f"clients-{place}",
                    world.clients[place].request(kind, content,
                                                 f"deadly-{copies}"))
            await asyncio.sleep(trouble.factor)

    async def _deadly_part(self, trouble: deployments.Trouble) -> None:
        """Sends requests with a part that crashes each runner that begins.

        No two are alike, and their other parts are shared by sound ones. One
        comes each `factor` seconds, through the clients of any data centre,
        until `for_s` is over. `count` different parts do so at once.
        """
        world = self._world
        until_ms = clock.now_ms() + 1000 * trouble.for_s
        kinds = [
            world.deployment.kind(each)
            for each in world.deployment.kinds
            if each.model
        ]
        deadly = [(f"{partrules.DEADLY_PREFIX}{number:04x}",
                   world.rng.choice(kinds), world.rng.choice(world.keys))
                  for number in range(trouble.count)]
        sent = 0
        while clock.now_ms() < until_ms:
            for part, kind, account in deadly:
                place = world.rng.choice(list(world.clients))
                first, *others = world.clients[place].draw_parts(kind)
                sent += 1
                content = modelclients.Content(f"{kind.prefix}part/{sent}",
                                               f"{sent}".encode() * 40,
                                               int(kind.prompt_tokens),
                                               int(kind.answer_tokens),
                                               *account, (first, part, *others))
                world.spawn(
                    f"clients-{place}",
                    world.clients[place].request(kind, content, f"part-{sent}"))
            await asyncio.sleep(trouble.factor)

    async def _runners_restart(self, trouble: deployments.Trouble) -> None:
        """Restarts members under their ids."""
        self._world.restart_runners(self._draw_members(trouble), trouble.for_s)

    async def _plain_restart(self, trouble: deployments.Trouble) -> None:
        """Restarts plain runners under their ids."""
        self._world.restart_runners(self._draw_plain_runners(trouble.count),
                                    trouble.for_s)

    async def _plain_leave(self, trouble: deployments.Trouble) -> None:
        """Makes plain runners announce in answers only that they leave."""
        for runner in self._draw_plain_runners(trouble.count):
            runner.leaving = runner.store_cut = True

    async def _heads_fail(self, trouble: deployments.Trouble) -> None:
        """Makes heads fail all requests while they report good health."""
        await self._fail_heads(trouble, modelfleet.Fault.ERROR)

    async def _heads_reset(self, trouble: deployments.Trouble) -> None:
        """Makes heads reset the connections of all requests."""
        await self._fail_heads(trouble, modelfleet.Fault.RESET)

    async def _fail_heads(self, trouble: deployments.Trouble,
                          fault: modelfleet.Fault) -> None:
        await self._change(trouble, self._draw_heads(trouble.count), "fault",
                           fault, modelfleet.Fault.NONE)

    async def _heads_limited(self, trouble: deployments.Trouble) -> None:
        """Makes heads advertise a rate limit of `factor` requests/s."""
        await self._limit(trouble, self._draw_heads(trouble.count))

    async def _plain_limited(self, trouble: deployments.Trouble) -> None:
        """Makes plain runners advertise a limit of `factor` requests/s."""
        await self._limit(trouble, self._draw_plain_runners(trouble.count))

    async def _limit(self, trouble: deployments.Trouble,
                     runners: list[modelfleet.ListedRunner]) -> None:
        await self._change(trouble, runners, "limit_per_s", trouble.factor,
                           None)

    async def _heads_rest(self, trouble: deployments.Trouble) -> None:
        """Makes heads refuse all requests, with `factor` as Retry-After."""
        await self._rest(trouble, self._draw_heads(trouble.count))

    async def _plain_rest(self, trouble: deployments.Trouble) -> None:
        """Makes plain runners refuse all, with `factor` as Retry-After."""
        await self._rest(trouble, self._draw_plain_runners(trouble.count))

    async def _rest(self, trouble: deployments.Trouble,
                    runners: list[modelfleet.ListedRunner]) -> None:
        await self._change(trouble, runners, "rest_s", trouble.factor, 0.0)

    async def _change(self, trouble: deployments.Trouble,
                      runners: list[modelfleet.ListedRunner], field: str,
                      value: Any, normal: Any) -> None:
        """Sets a field of runners to a value for the fault's duration."""
        for runner in runners:
            setattr(runner, field, value)
        await asyncio.sleep(trouble.for_s or math.inf)
        for runner in runners:
            setattr(runner, field, normal)

    async def _cold_again(self, trouble: deployments.Trouble) -> None:
        """Makes heads cold while they serve."""
        for runner in self._draw_heads(trouble.count):
            runner.restart_cold()

    async def _cold_return(self, trouble: deployments.Trouble) -> None:
        """Makes all runners of a data centre unreachable, then cold."""
        place = self._choose_place(trouble)
        away = [
            each for each in self._world.fleet.runners.values()
            if each.place == place and not each.ended
        ]
        for runner in away:
            runner.network.host(runner.host).is_unreachable = True
            runner.record_disruption()
        await asyncio.sleep(trouble.for_s)
        for runner in away:
            runner.restart_cold()

    def _draw_plain_runners(self, count: int) -> list[modelfleet.ListedRunner]:
        plain = [
            each for each in self._world.fleet.runners.values()
            if each.engine is None
        ]
        return self._world.rng.sample(plain, min(count, len(plain)))

    def _draw_heads(self, count: int) -> list[modelfleet.ListedRunner]:
        """Draws heads of groups at random.

        They are spread evenly over the models, so that the remaining groups of
        each model have capacity for all its requests.
        """
        heads = [
            each for each in self._world.fleet.runners.values()
            if each.membership and not each.membership.rank and
            not each.is_unreachable
        ]
        self._world.rng.shuffle(heads)
        counts: dict[str, int] = collections.Counter()
        ranked = []
        for head in heads:
            ranked.append((counts[head.served], head.served, head))
            counts[head.served] += 1
        ranked.sort(key=lambda each: each[:2])
        return [head for _, _, head in ranked[:count]]

    async def _new_runners(self, trouble: deployments.Trouble) -> None:
        place = self._choose_place(trouble)
        for _ in range(trouble.count):
            domain = self._world.rng.randrange(self._world.deployment.domains)
            self._world.add_runner(place, f"{place}-d{domain}", "engine")

    async def _runners_slow(self, trouble: deployments.Trouble) -> None:
        slow = self._draw_members(trouble)
        for runner in slow:
            runner.pace = trouble.factor
        await asyncio.sleep(trouble.for_s)
        for runner in slow:
            runner.pace = 1.0

    async def _heads_leave(self, trouble: deployments.Trouble) -> None:
        """Makes heads leave while they cannot inform the store.

        They serve on for the duration, then end.
        """
        leaving = self._draw_heads(trouble.count)
        for runner in leaving:
            runner.store_cut = runner.leaving = True
        await asyncio.sleep(trouble.for_s)
        self._remove_runners(leaving)

    def _remove_runners(self, leaving: list[modelfleet.ListedRunner]) -> None:
        for runner in leaving:
            runner.end()
            self._world.store.drop(wirenames.SERVERS_TABLE, runner.id)
            self._world.loop.network.end_processes(runner.host)

    async def _runners_drain(self, trouble: deployments.Trouble) -> None:
        leaving = self._draw_members(trouble)
        for runner in leaving:
            runner.drain()
        await asyncio.sleep(4.0)
        self._remove_runners(leaving)

    async def _runners_cut(self, trouble: deployments.Trouble) -> None:
        cut = self._draw_members(trouble)
        for runner in cut:
            runner.store_cut = True
        await asyncio.sleep(trouble.for_s)
        for runner in cut:
            runner.store_cut = False

    async def _late_orders(self, trouble: deployments.Trouble) -> None:
        runners = [
            each for each in self._world.fleet.runners.values()
            if self._world.rng.random() < trouble.factor
        ]
        for runner in runners:
            runner.late_orders_ms = self._world.rng.uniform(2000, 12_000)
        await asyncio.sleep(trouble.for_s)
        for runner in runners:
            runner.late_orders_ms = 0.0

    async def _node_kill(self, trouble: deployments.Trouble) -> None:
        names = [
            each.name
            for each in self._world.machines.values()
            if each.node and (not trouble.place or each.place == trouble.place)
        ]
        for name in self._world.rng.sample(names, min(trouble.count,
                                                      len(names))):
            self._world.spawn("troubles",
                              self._world.kill_node(name, trouble.for_s))

    async def _all_nodes_kill(self, trouble: deployments.Trouble) -> None:
        for name in self._world.machines:
            self._world.spawn("troubles",
                              self._world.kill_node(name, trouble.for_s))

    async def _node_stop(self, trouble: deployments.Trouble) -> None:
        name = self._world.rng.choice(sorted(self._world.machines))
        self._world.loop.signal_host(self._world.machines[name].host,
                                     signal.SIGTERM)

    async def _place_cut(self, trouble: deployments.Trouble) -> None:
        place = self._choose_place(trouble)
        network = self._world.loop.network
        for machine in self._world.machines.values():
            self._world.run_oracle.record_partition(machine.host)
        inside = [
            name for name, host in network.hosts.items() if host.place == place
        ]
        outside = [
            name for name, host in network.hosts.items()
            if host.place != place and not name.startswith("clients")
        ]
        for one in inside:
            for other in outside:
                if not one.startswith("clients"):
                    network.cut(one, other)
        await asyncio.sleep(trouble.for_s)
        network.heal()

    async def _nodes_cut(self, trouble: deployments.Trouble) -> None:
        """Cuts nodes off from runners; their connections hang."""
        await self._cut_nodes(trouble, self._world.loop.network.cut)

    async def _nodes_parted(self, trouble: deployments.Trouble) -> None:
        """Cuts nodes off from all other nodes; they reach all else."""
        world = self._world
        hosts = sorted(each.host for each in world.machines.values())
        links = [
            (one, other)
            for one in world.rng.sample(hosts, min(trouble.count, len(hosts)))
            for other in hosts
            if one != other
        ]
        for one, other in links:
            world.run_oracle.record_partition(one)
            world.loop.network.cut(one, other)
        await asyncio.sleep(trouble.for_s or math.inf)
        for one, other in links:
            world.loop.network.restore(one, other)

    async def _nodes_reset(self, trouble: deployments.Trouble) -> None:
        """Cuts nodes off from runners, which reset and refuse connections."""
        network = self._world.loop.network

        def cut(node: str, runner: str) -> None:
            network.reset_link(node, runner)
            network.refuse(node, runner)

        await self._cut_nodes(trouble, cut)

    async def _nodes_refused(self, trouble: deployments.Trouble) -> None:
        """Has runners refuse nodes; open connections go on."""
        await self._cut_nodes(trouble, self._world.loop.network.refuse)

    async def _cut_nodes(self, trouble: deployments.Trouble,
                         cut: Callable[[str, str], None]) -> None:
        """Cuts nodes off from a `factor` of the runners, with `cut`."""
        world = self._world
        nodes = [
            each.host
            for each in world.machines.values()
            if not trouble.place or each.place == trouble.place
        ]
        nodes = sorted(world.rng.sample(nodes, min(trouble.count, len(nodes))))
        runners = sorted({each.host for each in world.fleet.runners.values()})
        runners = sorted(
            world.rng.sample(runners, round(trouble.factor * len(runners))))
        for node in nodes:
            world.run_oracle.record_partition(node)
            for runner in runners:
                cut(node, runner)
        if len(runners) == len(world.fleet.runners):
            world.run_oracle.recover_rules.record_cut(frozenset(nodes),
                                                      1000 * trouble.for_s)
        await asyncio.sleep(trouble.for_s)
        for node in nodes:
            world.run_oracle.record_partition(node)
            for runner in runners:
                world.loop.network.restore(node, runner)

    async def _fail_store(self, fault: str, for_s: float) -> None:
        self._world.store.fault = fault
        self._world.run_oracle.counts_loads = False
        await asyncio.sleep(for_s)
        self._world.store.fault = ""
        await asyncio.sleep(3.0)
        self._world.run_oracle.counts_loads = True

    async def _store_silent(self, trouble: deployments.Trouble) -> None:
        await self._fail_store("silent", trouble.for_s)

    async def _store_busy(self, trouble: deployments.Trouble) -> None:
        await self._fail_store("busy", trouble.for_s)

    async def _store_slow(self, trouble: deployments.Trouble) -> None:
        self._world.store.slow_factor = trouble.factor
        await asyncio.sleep(trouble.for_s)
        self._world.store.slow_factor = 1.0

    async def _store_restored(self, trouble: deployments.Trouble) -> None:
        """Restores the store from a backup, losing acknowledged writes.

        The store is silent for the duration first; the last `factor` seconds of
        writes are lost. Runners write again with their next heartbeat, the
        operator some time later.
        """
        store = self._world.store
        self._world.run_oracle.counts_loads = False
        store.fault = "silent"
        await asyncio.sleep(trouble.for_s)
        store.restore(trouble.factor * 1000)
        store.fault = ""
        await asyncio.sleep(self._world.rng.uniform(0.1, MAX_REPUBLISH_DELAY_S))
        store.put(
            wirenames.OPERATOR_TABLE, wirenames.CONFIGURATION_KEY,
            self._world.deployment.configuration(self._world.version,
                                                 self._world.keys))
        self._rewrite_evacuations()
        await asyncio.sleep(3.0)
        self._world.run_oracle.counts_loads = True

    def _rewrite_evacuations(self) -> None:
        """Makes the restored rows those that the operator wrote last."""
        evacuated = self._world.run_oracle.place_rules.evacuated
        for place in self._world.deployment.places:
            key = wirenames.EVACUATION_PREFIX + place
            if place in evacuated:
                self._world.store.put(wirenames.OPERATOR_TABLE, key, {})
            else:
                self._world.store.drop(wirenames.OPERATOR_TABLE, key)

    async def _evacuate(self, trouble: deployments.Trouble) -> None:
        """Evacuates a data centre; without a duration until the end."""
        place = self._choose_place(trouble)
        key = wirenames.EVACUATION_PREFIX + place
        rules = self._world.run_oracle.place_rules
        self._world.store.put(wirenames.OPERATOR_TABLE, key, {})
        rules.record_evacuation(place)
        await asyncio.sleep(trouble.for_s or math.inf)
        self._world.store.drop(wirenames.OPERATOR_TABLE, key)
        rules.record_return(place)

    async def _store_cut(self, trouble: deployments.Trouble) -> None:
        """Cuts nodes of all data centres off from the store only."""
        network = self._world.loop.network
        for machine in list(self._world.machines.values())[:trouble.count]:
            network.cut(machine.host, modelstore.ADDRESS[0])
        await asyncio.sleep(trouble.for_s)
        network.heal()

    async def _store_compact(self, trouble: deployments.Trouble) -> None:
        del trouble
        self._world.store.compact()

    async def _configuration(self, trouble: deployments.Trouble) -> None:
        del trouble
        self._publish()

    def _publish(self) -> None:
        self._world.version += self._world.rng.randint(1, 3)
        self._world.store.put(
            wirenames.OPERATOR_TABLE, wirenames.CONFIGURATION_KEY,
            self._world.deployment.configuration(self._world.version,
                                                 self._world.keys))

    async def _revoke(self, trouble: deployments.Trouble) -> None:
        for _ in range(min(trouble.count, len(self._world.keys) - 1)):
            gone = self._world.keys.pop(
                self._world.rng.randrange(len(self._world.keys)))
            self._publish()
            self._world.run_oracle.revoked_ms[gone[1]] = clock.now_ms()

    async def _plain_cut(self, trouble: deployments.Trouble) -> None:
        del trouble
        # Requests in flight at plain runners lose their connections.
        for runner in self._world.fleet.runners.values():
            if runner.service == "plain":
                runner.record_disruption()
                self._world.loop.network.reset_connections(runner.host)

    async def _burst(self, trouble: deployments.Trouble) -> None:
        for each in self._world.clients.values():
            each.factor = trouble.factor
        await asyncio.sleep(trouble.for_s or math.inf)
        for each in self._world.clients.values():
            each.factor = 1.0
