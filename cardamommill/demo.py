"""The main job, shown on this machine with real processes and sockets."""

from collections.abc import Callable, Iterator
import contextlib
import json
import time
from typing import Any

from cardamommill import (
    boottime,
    exceptions,
    launching,
    processes,
    units,
    webclient,
)

REGION = "cz-central"
DATA_CENTRES = ("praha-a", "praha-b", "kladno")
DESK_KEY = "allocation-desk-key"
PROMPT = "Draft a justification review of the address request of member 4711. "
TOKENS = 40
REPAIR_TIMEOUT_S = 30.0
IN_PROGRESS = 409
SENDINGS = 5

DOCUMENTS = f"""
service: assist-llm
kind: model
priority: 2
pool: gpu
model: assist
version: "7"
replica_vms: 4
capacity:
  praha-a: {{replicas: 1, spares: 1}}
engine: {{can_resume: true}}
routes:
  - {{prefix: /v1/, repeatable: true}}
accounts:
  - {{name: allocation-desk, key_sha256: {launching.sha256(DESK_KEY)}}}
costs: {{load_s: 1}}
""", f"""
service: registry-portal
kind: plain
priority: 4
pool: cpu
capacity:
  praha-a: {{replicas: 1}}
  praha-b: {{replicas: 1}}
routes:
  - {{prefix: /lookups/, repeatable: true}}
  - {{prefix: /filings/, repeatable: false}}
accounts:
  - {{name: allocation-desk, key_sha256: {launching.sha256(DESK_KEY)}}}
"""


def plan() -> launching.Plan:
    """Returns two nodes in each data centre and seven VMs."""
    engine = {"load_ms": 500, "token_ms": 10, "can_resume": "yes"}
    gpus = tuple(
        launching.VmPlan(f"gpu-{n}", "praha-a", "fabric-1", "gpu", engine)
        for n in range(1, 7))
    cpus = tuple(
        launching.VmPlan(f"cpu-{centre}", centre, "fabric-0", "cpu",
                         {"kind": "plain"}) for centre in DATA_CENTRES[:2])
    nodes = {
        f"entry-{centre}-{n}": centre for centre in DATA_CENTRES for n in (1, 2)
    }
    return launching.Plan(REGION, nodes, gpus + cpus)


def run() -> None:
    """Shows the main job, step by step.

    Raises:
        CommandError: A step failed; its name is the error's step.
    """
    start_ms = boottime.now_ms()
    with launching.Deployment(plan()) as deployment:
        _Demo(deployment).run()
    took_s = (boottime.now_ms() - start_ms) / units.MS_PER_S
    print(f"\nAll of it held; {took_s:.0f} s, and nothing "
          "is left running.")


class _Demo:
    """The steps, each on what the steps before have left."""

    def __init__(self, deployment: launching.Deployment) -> None:
        self._deployment = deployment
        self._entry, self._other = list(deployment.plan.nodes)[:2]

    def run(self) -> None:
        steps: tuple[tuple[str, Callable[[], None]], ...] = (
            ("six nodes in three data centres", self._wait_ready),
            ("two documents applied", self._apply),
            ("a streamed answer, whole", self._stream),
            ("a filing sent twice, run once", self._file_twice),
            ("one VM killed: its replica is out of service at once, and back "
             "on another VM", self._kill_a_member),
            ("why, from another node", self._explain),
        )
        for number, (title, step) in enumerate(steps, 1):
            print(f"\n{number}. {title}", flush=True)
            with _named(title):
                step()

    def _wait_ready(self) -> None:
        deployment = self._deployment
        processes.wait_until(lambda: all(map(self._alive, deployment.nodes)),
                             "all nodes answer")
        print("   " + ", ".join(deployment.nodes))

    def _alive(self, node: str) -> bool:
        addresses = self._deployment.addresses[node]
        if not self._deployment.nodes[node].running():
            log = self._deployment.nodes[node].log.read_text("utf-8")
            raise exceptions.CommandError(f"ended: {log[-1000:]}",
                                          step="start",
                                          peer=node)
        with contextlib.suppress(exceptions.CommandError):
            webclient.call("GET",
                           f"http://{addresses.callers}/healthz",
                           timeout_s=1)
            return True
        return False

    def _apply(self) -> None:
        for document in DOCUMENTS:
            said = self._deployment.apply(self._entry, document, "demo")
            print(f"   {said.strip()}")
        waited_s = processes.wait_until(
            lambda: self._serving("assist-llm") and self._serving(
                "registry-portal"), "both services are served",
            REPAIR_TIMEOUT_S, 0.2)
        self._deployment.wait_ready()
        replica = self._replica()
        print(f"   served after {waited_s:.1f} s; replica "
              f"{replica['replica_id']} on {', '.join(replica['members'])}, "
              f"spare {', '.join(replica['spares']) or '-'}")

    def _stream(self) -> None:
        answer = self._complete(self._entry)
        _check(answer.status == 200, f"status {answer.status}: {answer.text()}")
        texts = list(_texts(answer))
        _check(len(texts) == TOKENS, f"{len(texts)} of {TOKENS} events came")
        print(f"   {TOKENS} events, each once and in order, request "
              f"{answer.headers['cardamommill-request']}")

    def _complete(self, node: str) -> webclient.Answer:
        body = {"prompt": PROMPT, "max_tokens": TOKENS, "stream": True}
        return self._deployment.request(node,
                                        "/services/assist-llm/v1/completions",
                                        json.dumps(body).encode(),
                                        key=DESK_KEY)

    def _file(self, node: str) -> webclient.Answer:
        """Sends the filing, and comes again when told to."""
        for _ in range(SENDINGS):
            answer = self._deployment.request(
                node,
                "/services/registry-portal/filings/4711",
                b"{}",
                key=DESK_KEY,
                headers={"Idempotency-Key": "filing-4711"})
            # Its first run may be answered and not yet written down.
            if answer.status != IN_PROGRESS:
                break
            time.sleep(float(answer.headers.get("retry-after", 1)))
        return answer

    def _file_twice(self) -> None:
        answers = [self._file(node) for node in (self._entry, self._other)]
        for answer in answers:
            _check(answer.status == 200,
                   f"status {answer.status}: {answer.text()}")
        _check(answers[0].body == answers[1].body, "the two answers differ")
        runs = self._deployment.runs()["filing-4711"]
        _check(runs == 1, f"it ran {runs} times")
        print(f"   through {self._entry} and {self._other}: the same answer, "
              f"run {runs} time")

    def _kill_a_member(self) -> None:
        deployment, before = self._deployment, self._replica()
        lost = before["members"][-1]
        deployment.runners[lost].kill()
        out_s = processes.wait_until(lambda: not self._serving("assist-llm"),
                                     "it is out of service",
                                     every_s=0.05)
        back_s = processes.wait_until(lambda: self._serving("assist-llm"),
                                      "it is back", REPAIR_TIMEOUT_S, 0.1)
        after = self._replica()
        _check(lost not in after["members"], f"{lost} is still a member")
        answer = self._complete(self._other)
        _check(
            len(list(_texts(answer))) == TOKENS,
            f"no whole answer afterwards: {answer.text()[:200]}")
        print(f"   {lost} killed; out of service after {out_s:.1f} s, back "
              f"after {back_s:.1f} s more on {', '.join(after['members'])}; "
              "whole answers again")

    def _explain(self) -> None:
        said = self._deployment.command(self._other, "explain", "replica",
                                        self._replica()["replica_id"])
        _check("How it came to be:" in said, f"nothing is explained: {said}")
        print("\n".join(f"   {line}" for line in said.splitlines()))

    def _replica(self) -> Any:
        replicas = [
            each for each in self._deployment.status(self._entry)["replicas"]
            if each["service"] == "assist-llm"
        ]
        _check(len(replicas) > 0, "there is no replica")
        return replicas[-1]

    def _serving(self, service: str) -> bool:
        for each in self._deployment.status(self._entry)["services"]:
            if each["service"] == service:
                return bool(each["wanted"] and
                            each["serving"] >= each["wanted"])
        return False


def _texts(answer: webclient.Answer) -> Iterator[str]:
    events = answer.text().strip().split("\n\n")
    _check(events[-1] == "data: [DONE]",
           f"the stream ends in {events[-1][:200]!r}")
    for index, event in enumerate(events[:-1]):
        fields = json.loads(event.removeprefix("data: "))
        _check(fields["index"] == index,
               f"event {fields['index']} came in place of {index}")
        _check(fields["request"] == answer.headers["cardamommill-request"],
               "an event of another request came")
        yield fields["text"]


def _check(holds: bool, message: str) -> None:
    if not holds:
        raise exceptions.CommandError(message, step="check")


@contextlib.contextmanager
def _named(title: str) -> Iterator[None]:
    try:
        yield
    except exceptions.CardamommillError as error:
        raise exceptions.CommandError(str(error), step=title) from error
