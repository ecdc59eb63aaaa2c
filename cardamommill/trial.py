"""A trial: real processes, callers and seeded faults, against an oracle.

``cardamommill trial --seed=1 --seconds=60`` starts the deployment, lets
callers stream and book through all nodes while VMs, nodes and the platform
fail, and ends with 1 if any promise was broken.
"""

from collections.abc import Callable, Iterator
from concurrent import futures
import contextlib
import dataclasses
import json
import random
import threading
import time

from cardamommill import (
    exceptions,
    fleet,
    launching,
    trialoracle,
    webclient,
)

DATA_CENTRES = ("hcm-q1", "hcm-td", "hcm-q7")
NODES = {f"entry-{dc}-{n}": dc for dc in DATA_CENTRES for n in (1, 2)}
CALLER_KEY = "clerk"
EVENTS = 60
CALLERS = 12
# A booking is sent again, through another node, so many times at most.
REPEATS = 4
FAULT_EVERY_S = 4.0
SETTLE_S = 60.0

LANGDESK = f"""
service: langdesk
priority: 1
pool: gpu
model: interpreter
version: "3"
replica_vms: 2
capacity: {{hcm-q1: {{replicas: 2, spares: 1}}, hcm-td: {{replicas: 2}},
           hcm-q7: {{replicas: 2}}}}
engine: {{can_resume: true}}
accounts: [{{name: clerk, key_sha256: {launching.sha256(CALLER_KEY)},
            requests_per_s: 2000, burst: 2000}}]
"""
BOOKINGDESK = f"""
service: bookingdesk
kind: plain
pool: web
capacity: {{hcm-q1: {{replicas: 1}}, hcm-td: {{replicas: 1}},
           hcm-q7: {{replicas: 1}}}}
routes: [{{prefix: bookings, repeatable: false}}]
accounts: [{{name: clerk, key_sha256: {launching.sha256(CALLER_KEY)},
            requests_per_s: 2000, burst: 2000}}]
"""

# The engines of one data centre can't do what the document says of them.
_RESUMES = {"hcm-q1": "yes", "hcm-td": "yes", "hcm-q7": "no"}


def _vms() -> Iterator[launching.VmPlan]:
    for dc in DATA_CENTRES:
        for number in range(6):
            yield launching.VmPlan(f"{dc}-gpu-{number}", dc, f"{dc}-fabric",
                                   "gpu", {
                                       "load_ms": 500,
                                       "token_ms": 10,
                                       "can_resume": _RESUMES[dc]
                                   })
        yield launching.VmPlan(f"{dc}-web-0", dc, f"{dc}-front", "web",
                               {"kind": "plain"})


@dataclasses.dataclass(frozen=True, slots=True)
class _Healing:
    """What mends a fault, and when."""

    due_s: float
    heal: Callable[[], None]


class Trial:
    """Runs one seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        """Makes a trial.

        Args:
            seed: For all chance in it.
            seconds: For how long callers call and things fail.
        """
        self._seed = seed
        self._random = random.Random(seed)
        self._seconds = seconds
        self._oracle = trialoracle.Oracle()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._healing: list[_Healing] = []
        self.faults: list[str] = []

    def run(self) -> trialoracle.Tally:
        """Runs the trial and returns what it saw.

        Raises:
            CommandError: The deployment did not start, or did not serve again
                after the last fault was mended.
        """
        plan = launching.Plan("hcm", NODES, tuple(_vms()))
        with launching.Deployment(plan) as deployment:
            self._deployment = deployment
            deployment.wait_ready()
            deployment.apply("entry-hcm-q1-1", LANGDESK)
            deployment.apply("entry-hcm-q1-1", BOOKINGDESK)
            self._wait_serving()
            with futures.ThreadPoolExecutor(CALLERS) as pool:
                calling = [
                    pool.submit(self._call, random.Random(f"{self._seed}/{n}"))
                    for n in range(CALLERS)
                ]
                self._fail()
                self._stop.set()
                for each in calling:
                    each.result()
            self._wait_serving()
            return self._oracle.evaluate(self._runs())

    # --- Callers ---

    def _call(self, chance: random.Random) -> None:
        while not self._stop.is_set():
            if chance.random() < 0.5:
                self._stream(chance)
            else:
                self._book(chance)

    def _stream(self, chance: random.Random) -> None:
        body = json.dumps({
            "prompt": "brief " * chance.randrange(200),
            "max_tokens": EVENTS,
            "stream": True
        }).encode()
        answer = self._send(chance, "langdesk/v1/completions", body, {})
        with self._lock:
            self._oracle.streamed(answer, EVENTS)
        self._heed(answer)

    def _book(self, chance: random.Random) -> None:
        key = f"booking-{chance.getrandbits(48):x}"
        for _ in range(chance.randrange(1, REPEATS + 1)):
            answer = self._send(chance, "bookingdesk/bookings", b"{}",
                                {"Idempotency-Key": key})
            with self._lock:
                self._oracle.called(key, answer)
            self._heed(answer)

    def _send(self, chance: random.Random, path: str, body: bytes,
              headers: dict[str, str]) -> webclient.Answer | None:
        node = chance.choice(list(NODES))
        try:
            return self._deployment.request(node,
                                            f"/services/{path}",
                                            body,
                                            key=CALLER_KEY,
                                            headers=headers,
                                            timeout_s=20)
        except exceptions.CommandError:
            return None

    def _heed(self, answer: webclient.Answer | None) -> None:
        if answer is None or answer.status != 200:
            self._stop.wait(0.3)

    # --- Faults ---

    def _fail(self) -> None:
        faults = (self._kill_runner, self._pause_runner, self._pause_booking,
                  self._pause_node, self._kill_node, self._platform_down,
                  self._lose_answers, self._leave)
        until_s = time.monotonic() + self._seconds
        while time.monotonic() < until_s:
            self._stop.wait(FAULT_EVERY_S)
            self._heal(time.monotonic())
            fault = self._random.choice(faults)
            fault()
        self._heal(float("inf"))

    def _heal(self, until_s: float) -> None:
        for repair in list(self._healing):
            if repair.due_s <= until_s:
                self._healing.remove(repair)
                repair.heal()

    def _later(self, what: str, after_s: float, heal: Callable[[],
                                                               None]) -> None:
        self.faults.append(f"{what} for {after_s} s")
        self._healing.append(_Healing(time.monotonic() + after_s, heal))

    def _some_vm(self, pool: str) -> launching.VmPlan | None:
        running = [
            vm for vm in self._deployment.plan.vms
            if vm.pool == pool and self._deployment.runners[vm.vm_id].running()
        ]
        return self._random.choice(running) if running else None

    def _kill_runner(self) -> None:
        vm = self._some_vm("gpu")
        if vm is not None:
            self._deployment.runners[vm.vm_id].kill()
            self._later(f"{vm.vm_id} killed", 6,
                        lambda: self._deployment.start_runner(vm))

    def _pause_runner(self) -> None:
        self._pause(self._some_vm("gpu"), self._random.choice((1.0, 3.0, 9.0)))

    def _pause_booking(self) -> None:
        self._pause(self._some_vm("web"), self._random.choice((1.0, 3.0)))

    def _pause(self, vm: launching.VmPlan | None, for_s: float) -> None:
        if vm is not None:
            process = self._deployment.runners[vm.vm_id]
            process.pause()
            self._later(f"{vm.vm_id} stopped", for_s, process.resume)

    def _pause_node(self) -> None:
        name = self._random.choice(list(NODES))
        process = self._deployment.nodes[name]
        if process.running():
            process.pause()
            self._later(f"{name} stopped", self._random.choice(
                (1.0, 4.0, 12.0)), process.resume)

    def _kill_node(self) -> None:
        name = self._random.choice(list(NODES))
        process = self._deployment.nodes[name]
        if process.running():
            process.kill()
            self._later(f"{name} killed", 3,
                        lambda: self._deployment.start_node(name))

    def _platform_down(self) -> None:
        self._deployment.platform_faults(down=True)
        self._later("platform down", 8, self._deployment.platform_faults)

    def _lose_answers(self) -> None:
        self._deployment.platform_faults(lose_answers=0.3, seed=self._seed)
        self._later("platform loses answers", 8,
                    self._deployment.platform_faults)

    def _leave(self) -> None:
        vm = self._some_vm("gpu")
        if vm is not None:
            self._deployment.set_vm_state(vm.vm_id, fleet.VmState.LEAVING)
            self._later(
                f"{vm.vm_id} leaving",
                10, lambda: self._deployment.set_vm_state(
                    vm.vm_id, fleet.VmState.LIVE))

    # --- Afterwards ---

    def _wait_serving(self) -> None:
        """Waits until every node serves both services from its own VMs.

        Raises:
            CommandError: One did not within `SETTLE_S`.
        """
        waiting = set(NODES)
        until_s = time.monotonic() + SETTLE_S
        while waiting:
            for name in list(waiting):
                if self._serves(name):
                    waiting.remove(name)
            if time.monotonic() > until_s:
                raise exceptions.CommandError(
                    f"not whole {SETTLE_S} s after the last fault",
                    step="settle",
                    peer=", ".join(sorted(waiting)))
            time.sleep(0.5)

    def _serves(self, name: str) -> bool:
        with contextlib.suppress(exceptions.CommandError):
            status = self._deployment.status(name)
            wanted = {
                service["service"]: service["wanted"] - service["serving"]
                for service in status["services"]
            }
            return len(wanted) == 2 and not any(wanted.values())
        return False

    def _runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for vm in self._deployment.plan.vms:
            if vm.pool == "web":
                answer = self._deployment.runner_call(vm.vm_id, "/runs")
                for key, count in answer["runs"].items():
                    runs[key] = runs.get(key, 0) + count
        return runs


def main(seed: int, seconds: float) -> None:
    """Runs a trial and prints what it saw.

    Args:
        seed: For all chance in it.
        seconds: For how long things fail.

    Raises:
        CommandError: A promise was broken, or the fleet did not serve again.
    """
    trial = Trial(seed, seconds)
    try:
        tally = trial.run()
    finally:
        print(f"seed {seed}: " + "; ".join(trial.faults))
    refused = ", ".join(
        f"{count} with {name}" for name, count in sorted(tally.refused.items()))
    print(f"{tally.delivered} answers whole, {tally.broken} broken off openly, "
          f"refused: {refused or 'none'}")
    if tally.violations():
        raise exceptions.CommandError("\n".join(tally.violations()),
                                      step="trial",
                                      peer=f"seed {seed}")
