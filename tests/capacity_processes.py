"""Capacity of whole nodes: real processes with idle runners, on one machine."""

import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import time

from cardamommill import launching, processes

SETTLE_S = 12
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class NodeUse:
    """What a node of a data centre uses, on average over its nodes.

    Attributes:
        peers: Other nodes of the data centre.
        watched: Runners that each node asks.
        cpu_percent: Of a core.
        resident_mb: Resident memory.
        private_mb: Of that, what is no file's page.
        tcp_sent_bytes_per_s: Payload over TCP; NaN without the program ss.
        tcp_received_bytes_per_s: The same, received.
    """

    peers: int
    watched: float
    cpu_percent: float
    resident_mb: float
    private_mb: float
    tcp_sent_bytes_per_s: float
    tcp_received_bytes_per_s: float


def document(vms: int) -> str:
    return (f"{{service: llm, kind: model, pool: gpu, model: m, version: '1', "
            f"replica_vms: 4, fabric: prefer, accounts: [], "
            f"capacity: {{dc: {{replicas: {max(1, vms // 4 - 1)}, "
            f"spares: 2}}}}}}")


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_mb(pid: int) -> tuple[float, float]:
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    sizes = dict(re.findall(r"^(\w+):\s+(\d+) kB", text, re.M))
    return int(sizes["Rss"]) / 1024, int(sizes["Anonymous"]) / 1024


def _tcp_bytes(pids: set[int]) -> tuple[float, float]:
    """Returns all bytes sent and received over TCP since the start."""
    if not shutil.which("ss"):
        return float("nan"), float("nan")
    lines = subprocess.run(["ss", "-tinpH"],
                           capture_output=True,
                           text=True,
                           check=True).stdout.splitlines()
    sent = received = 0
    for head, detail in zip(lines[::2], lines[1::2], strict=False):
        found = re.search(r"pid=(\d+)", head)
        if found and int(found[1]) in pids:
            numbers = dict(re.findall(r"(bytes_\w+):(\d+)", detail))
            sent += int(numbers.get("bytes_sent", 0))
            received += int(numbers.get("bytes_received", 0))
    return sent, received


def measure(nodes: int, vms: int, for_s: float) -> NodeUse:
    """Returns what a node of one data centre uses.

    Args:
        nodes: How many nodes it has.
        vms: How many runners.
        for_s: For how long to look, in seconds.
    """
    plan = launching.Plan("region", {f"n{n}": "dc" for n in range(nodes)}, ())
    with launching.Deployment(plan) as deployment, processes.Process(
            "runners",
        ("standin", "runner", "--vm=vm", f"--count={vms}", "--load-ms=500"),
            deployment.directory) as runners:
        for number, address in enumerate(runners.ready_addresses(vms)):
            deployment.platform_call(
                "PUT", f"/vms/vm-{number}", {
                    "vm_id": f"vm-{number}",
                    "address": address,
                    "data_centre": "dc",
                    "fabric_domain": f"fabric-{number // 16}",
                    "pool": "gpu",
                    "state": "live"
                })
        deployment.wait_ready(60)
        deployment.apply("n0", document(vms))
        time.sleep(SETTLE_S)
        pids = {process.pid for process in deployment.nodes.values()}
        before_s, start_s = sum(map(_cpu_s, pids)), time.monotonic()
        tcp_before = _tcp_bytes(pids)
        time.sleep(for_s)
        took_s = (time.monotonic() - start_s) * nodes
        tcp = _tcp_bytes(pids)
        memory = [_memory_mb(pid) for pid in pids]
        return NodeUse(nodes - 1,
                       vms * min(2, nodes) / nodes,
                       (sum(map(_cpu_s, pids)) - before_s) / took_s * 100,
                       max(each[0] for each in memory),
                       max(each[1] for each in memory),
                       (tcp[0] - tcp_before[0]) / took_s,
                       (tcp[1] - tcp_before[1]) / took_s)
