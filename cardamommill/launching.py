"""A whole deployment on this machine: stand-ins, runners and nodes.

For the demo, the tests with real processes and the bench; the only part of
the package that starts processes, and no part of a node.
"""

from collections.abc import Mapping
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import subprocess
import tempfile
from typing import Any, Self

import yaml

from cardamommill import exceptions, fleet, operatorclient, processes, webclient

OPERATOR_KEY = "operators-key"
COMMAND_TIMEOUT_S = 30.0


def sha256(key: str) -> str:
    """Returns the hash of a key, as settings and documents hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class VmPlan:
    """A VM with a runner.

    Attributes:
        vm_id: Its name.
        data_centre: Where it stands.
        fabric_domain: Its fast network.
        pool: Its kind.
        options: Of ``standin runner``, such as ``{"token_ms": 5}``.
    """

    vm_id: str
    data_centre: str
    fabric_domain: str
    pool: str
    options: Mapping[str, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to start.

    Attributes:
        region: The region of all data centres.
        nodes: The data centre of each node, by the node's name.
        vms: The VMs.
        vm_list_lag_ms: How late the platform lists a VM.
        settings: Further settings of each node, such as ``{"timing": ...}``.
        program: What to run; by default the program that runs this.
    """

    region: str
    nodes: Mapping[str, str]
    vms: tuple[VmPlan, ...]
    vm_list_lag_ms: int = 500
    settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    program: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Where a node of the deployment is reached."""

    callers: str
    operators: str
    peers: str


class Deployment:
    """A running deployment; a context manager that ends all it started.

    Attributes:
        plan: What was started.
        directory: Settings and logs.
        platform: The platform's stand-in.
        platform_address: Where that is reached.
        nodes: The nodes' processes, by name.
        addresses: Where the nodes are reached, by name.
        runners: The runners' processes, by VM.
        runner_addresses: Where the runners are reached, by VM.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.nodes: dict[str, processes.Process] = {}
        self.addresses: dict[str, NodeAddresses] = {}
        self.runners: dict[str, processes.Process] = {}
        self.runner_addresses: dict[str, str] = {}
        self.platform_address = ""
        self._ports: set[int] = set()
        self._runner_ports: dict[str, int] = {}
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            self._stack = stack
            self.directory = pathlib.Path(
                stack.enter_context(
                    tempfile.TemporaryDirectory(prefix="cardamommill-")))
            self.platform = self._start(
                "platform",
                ("standin", "platform", f"--port={self._free_port()}",
                 f"--lag-ms={self.plan.vm_list_lag_ms}"))
            self.platform_address = self.platform.ready_addresses(1)[0]
            for vm in self.plan.vms:
                self.start_runner(vm)
            for vm in self.plan.vms:
                self.list_vm(vm)
            for name in self.plan.nodes:
                self.start_node(name)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        # Asked all at once, so that they end side by side and not in turn.
        for process in (*self.nodes.values(), *self.runners.values()):
            if process.running():
                process.resume()
                process.terminate()
        self._stack.close()

    # --- Starting ---

    def start_runner(self, vm: VmPlan) -> None:
        """Starts a VM's runner, again if it had ended, at the same address.

        The port is none that outgoing connections get: while the runner was
        down one of them could take it, and the next life ended at its start.
        """
        if vm.vm_id not in self._runner_ports:
            self._runner_ports[vm.vm_id] = self._free_port()
        options = tuple(f"--{name.replace('_', '-')}={value}"
                        for name, value in vm.options.items())
        self.runners[vm.vm_id] = self._start(
            vm.vm_id, ("standin", "runner", f"--vm={vm.vm_id}",
                       f"--port={self._runner_ports[vm.vm_id]}", *options))

    def restart_runner(self, vm: VmPlan) -> None:
        """Starts a VM's runner again, and waits until it takes requests.

        Raises:
            CommandError: It ended, or took too long.
        """
        self.start_runner(vm)
        self.runners[vm.vm_id].ready_addresses(1)

    def _free_port(self) -> int:
        return int(processes.free_address(self._ports).split(":")[1])

    def list_vm(self, vm: VmPlan) -> None:
        """Puts a VM on the platform's list."""
        self.runner_addresses[vm.vm_id] = self.runners[
            vm.vm_id].ready_addresses(1)[0]
        listed = fleet.Vm(vm.vm_id, self.runner_addresses[vm.vm_id],
                          vm.data_centre, vm.fabric_domain, vm.pool)
        self.platform_call("PUT", f"/vms/{vm.vm_id}",
                           dataclasses.asdict(listed))

    def start_node(self, name: str) -> None:
        """Starts a node, again if it had ended, at the same addresses."""
        if name not in self.addresses:
            self.addresses[name] = NodeAddresses(
                *(processes.free_address(self._ports) for _ in range(3)))
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.node_settings(name)), "utf-8")
        self.nodes[name] = self._start(name, ("node", f"--settings={path}"))

    def node_settings(self, name: str) -> dict[str, Any]:
        """Returns the settings of a node, as its file holds them."""
        addresses = self.addresses[name]
        return {
            "node": name,
            "data_centre": self.plan.nodes[name],
            "region": self.plan.region,
            "callers": {
                "address": addresses.callers
            },
            "operators": {
                "address": addresses.operators,
                "key_sha256": sha256(OPERATOR_KEY)
            },
            "peers": {
                "address": addresses.peers
            },
            "platform": {
                "address": self.platform_address
            },
            **self.plan.settings
        }

    def _start(self, name: str, arguments: tuple[str,
                                                 ...]) -> processes.Process:
        return self._stack.enter_context(
            processes.Process(name, arguments, self.directory,
                              self.plan.program))

    # --- Waiting ---

    def wait_ready(self, timeout_s: float = processes.READY_TIMEOUT_S) -> float:
        """Waits until all nodes take requests; returns for how long.

        Raises:
            CommandError: One did not in time, or ended.
        """

        def all_ready() -> bool:
            for name, process in self.nodes.items():
                if not process.running():
                    raise exceptions.CommandError(
                        f"ended: {process.log.read_text('utf-8')[-1000:]}",
                        step="start",
                        peer=name)
            return all(self.node_ready(name) for name in self.nodes)

        return processes.wait_until(all_ready, "all nodes are ready", timeout_s)

    def node_ready(self, name: str) -> bool:
        """Tells whether a node takes requests."""
        try:
            answer = webclient.call(
                "GET",
                f"http://{self.addresses[name].callers}/readyz",
                timeout_s=2)
        except exceptions.CommandError:
            return False
        return answer.status == 200

    # --- What callers and operators do ---

    def request(self,
                node: str,
                path: str,
                body: bytes = b"",
                *,
                key: str,
                method: str = "POST",
                headers: Mapping[str, str] | None = None,
                timeout_s: float = 30.0) -> webclient.Answer:
        """Sends a caller's request to a node.

        Args:
            node: The node's name.
            path: Such as ``/services/assist-llm/v1/completions``.
            body: The body.
            key: The client account's key.
            method: The HTTP method.
            headers: Further header fields.
            timeout_s: After which the caller gives up.

        Raises:
            CommandError: No whole answer came.
        """
        return webclient.call(method,
                              f"http://{self.addresses[node].callers}{path}",
                              body=body,
                              headers={
                                  "Authorization": f"Bearer {key}",
                                  "Content-Type": "application/json",
                                  **(headers or {})
                              },
                              timeout_s=timeout_s)

    def command(self, node: str, *arguments: str) -> str:
        """Runs a command against a node's operators' port.

        Args:
            node: The node's name.
            *arguments: What follows ``cardamommill`` on the command line.

        Returns:
            What it printed.

        Raises:
            CommandError: It failed.
        """
        done = subprocess.run(
            [*(self.plan.program or processes.program()), *arguments],
            env=os.environ | {
                "CARDAMOMMILL_OPERATOR": self.addresses[node].operators,
                "CARDAMOMMILL_KEY": OPERATOR_KEY
            },
            capture_output=True,
            check=False,
            text=True,
            timeout=COMMAND_TIMEOUT_S)
        if done.returncode:
            raise exceptions.CommandError(
                f"exit code {done.returncode}: {done.stderr.strip()}",
                step=" ".join(arguments[:2]),
                peer=node)
        return done.stdout

    def apply(self, node: str, document: str, reason: str = "trial") -> str:
        """Applies a document through a node; returns what the command says.

        Args:
            node: The node's name.
            document: The document, as YAML.
            reason: Kept with the revision.

        Raises:
            CommandError: It was refused.
        """
        path = self.directory / f"{sha256(document)[:8]}.yaml"
        path.write_text(document, "utf-8")
        return self.command(node, "service", "apply", str(path),
                            "--author=trial", f"--reason={reason}")

    def status(self, node: str) -> Any:
        """Returns a node's status, as JSON."""
        address = self.addresses[node].operators
        return operatorclient.OperatorClient(address, OPERATOR_KEY).json(
            "GET", "status")

    # --- What the outside systems do ---

    def platform_call(self, method: str, path: str, body: object = None) -> Any:
        """Calls the platform's stand-in; returns its JSON answer, if any.

        Args:
            method: The HTTP method.
            path: Such as ``/counters``.
            body: Sent as JSON.

        Raises:
            CommandError: No whole answer came.
        """
        answer = webclient.call(method,
                                f"http://{self.platform_address}{path}",
                                body=json.dumps(body).encode())
        return answer.json() if answer.body else None

    def platform_faults(self, **faults: object) -> None:
        """Sets what the platform does wrong; nothing to make it well."""
        self.platform_call("PUT", "/faults", faults)

    def set_vm_state(self, vm_id: str, state: fleet.VmState) -> None:
        """Changes a VM's state on the platform's list."""
        self.platform_call("PUT", f"/vms/{vm_id}/state", state)

    def runner_call(self,
                    vm_id: str,
                    path: str,
                    body: object = None,
                    method: str = "GET") -> Any:
        """Calls a runner directly; returns its JSON answer, if any.

        Args:
            vm_id: Its VM.
            path: Such as ``/runs``.
            body: Sent as JSON; nothing for None.
            method: The HTTP method.

        Raises:
            CommandError: No whole answer came.
        """
        text = b"" if body is None else json.dumps(body).encode()
        answer = webclient.call(method,
                                f"http://{self.runner_addresses[vm_id]}{path}",
                                body=text)
        return answer.json() if answer.body else None

    def runs(self) -> dict[str, int]:
        """Returns how often each request ran, over all living runners."""
        total: dict[str, int] = {}
        for vm_id, process in self.runners.items():
            if not process.running():
                continue
            for key, count in self.runner_call(vm_id, "/runs")["runs"].items():
                total[key] = total.get(key, 0) + count
        return total
