"""Tests of what operators do, with real processes."""

import hashlib
import json

import pytest

from cardamommill import exceptions, launching, processes

KEY = "desk-s3cret"
TRACE = "ab" * 16
SPAN = "cd" * 8
PARENT = f"00-{TRACE}-{SPAN}-01"
DOCUMENT = f"""
service: portal
kind: plain
pool: cpu
capacity: {{dc: {{replicas: 1}}}}
routes: [{{prefix: /, repeatable: false}}]
accounts:
  - {{name: desk, key_sha256: {hashlib.sha256(KEY.encode()).hexdigest()}}}
"""


def serving(deployment, node):
    services = deployment.status(node)["services"]
    return [each["serving"] for each in services] == [1]


@pytest.mark.xdist_group("operating")
def test_an_operators_day(tmp_path):
    """Two nodes, two VMs; a document, a call, a drain, an outage.

    The call goes through one node and is explained by the other. The drained
    VM's replica moves. While the table is down, status says how old it all
    is, and a document is not accepted rather than half accepted.
    """
    vms = tuple(
        launching.VmPlan(name, "dc", "f1", "cpu", {"kind": "plain"})
        for name in ("v1", "v2"))
    spans = tmp_path / "spans"
    timing = {"balancer_ms": 200, "index_read_ms": 300}
    plan = launching.Plan("region", {
        "n1": "dc",
        "n2": "dc"
    },
                          vms,
                          settings={
                              "timing": timing,
                              "tracing": {
                                  "file": str(spans)
                              }
                          })
    with launching.Deployment(plan) as deployment:
        deployment.wait_ready()
        assert "portal revision 1" in deployment.apply("n1", DOCUMENT)
        for node in plan.nodes:
            processes.wait_until(lambda node=node: serving(deployment, node),
                                 f"{node} serves")
        answer = deployment.request("n1",
                                    "/services/portal/filings/1",
                                    b"{}",
                                    key=KEY,
                                    headers={
                                        "Idempotency-Key": "k1",
                                        "traceparent": PARENT
                                    })
        assert answer.status == 200
        request_id = answer.headers["cardamommill-request"]
        told = deployment.command("n2", "explain", "request", request_id)
        assert "n1" in told
        (replica,) = deployment.status("n2")["replicas"]
        assert replica["replica_id"] in told

        (drained,) = replica["members"]
        deployment.command("n2", "drain", drained, "--reason=disk")
        processes.wait_until(
            lambda: any(each["serving"] and drained not in each["members"]
                        for each in deployment.status("n1")["replicas"]),
            "the replica has moved")
        assert "Operators drain it." in deployment.command(
            "n1", "explain", "vm", drained)

        deployment.platform_faults(down=True)
        processes.wait_until(lambda: deployment.status("n2")["node"]["cut_off"],
                             "the outage is seen")
        assert "THE TABLE IS OUT OF REACH" in deployment.command("n2", "status")
        with pytest.raises(exceptions.CommandError, match="apply"):
            deployment.apply("n2", DOCUMENT.replace("replicas: 1",
                                                    "replicas: 2"))
        assert serving(deployment, "n1")
        deployment.platform_faults()
        processes.wait_until(
            lambda: deployment.command("n1", "service", "list") ==
            "portal revision 1\n", "the table is back")
        for node in deployment.nodes.values():
            node.terminate()
        assert [node.wait(20) for node in deployment.nodes.values()] == [0, 0]
        logs = "".join(
            node.log.read_text("utf-8") for node in deployment.nodes.values())
    told = [json.loads(line) for line in spans.read_text("utf-8").splitlines()]
    ours = {span["name"]: span for span in told if span["traceId"] == TRACE}
    assert ours["request"]["parentSpanId"] == SPAN
    assert ours["attempt"]["parentSpanId"] == ours["request"]["spanId"]
    assert request_id in logs
    for secret in (KEY, launching.OPERATOR_KEY):
        assert secret not in logs + spans.read_text("utf-8")
