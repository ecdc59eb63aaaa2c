"""One node's request decisions, with the rest of its blackboard made up."""

import hashlib

from cardamommill import (
    actions,
    decisions,
    documents,
    events,
    fleet,
    limits,
    peering,
    periods,
    requesting,
    requests,
    routing,
    store,
)
from cardamommill import board as board_lib

SERVICE = "assist-llm"
KINDS = (limits.Limits, routing.Routing, requests.Requests)
DATA_CENTRE = "praha-a"


def document(replicas: int = 4, **fields) -> documents.Document:
    accounts = fields.pop("accounts", (account("office"), account("portal")))
    return documents.Document(
        service=SERVICE,
        pool="gpu",
        model="reviewer",
        version="1",
        capacity={DATA_CENTRE: documents.Capacity(replicas=replicas)},
        engine=fields.pop("engine", documents.Engine(can_resume=True)),
        accounts=accounts,
        **fields)


def account(name: str, **fields) -> documents.Account:
    wide = {"requests_per_s": 1e4, "burst": 10_000, "concurrent": 10_000}
    key_sha256 = hashlib.sha256(name.encode()).hexdigest()
    return documents.Account(name=name, key_sha256=key_sha256, **wide | fields)


def head(request_id: str, now_ms: int, **fields) -> requesting.RequestHead:
    values = {
        "trace_id": f"trace-{request_id}",
        "account": "office",
        "service": SERVICE,
        "method": "POST",
        "path": "/v1/completions",
        "digest": f"digest-{request_id}",
        "body_bytes": 100,
        "prefixes": (),
        "repeatable": True,
        "idempotency_key": "",
        "deadline_ms": now_ms + 60_000,
        "priority": 5,
        "streaming": True,
        "hop": 0,
        "received_ms": now_ms,
    }
    return requesting.RequestHead(request_id=request_id, **(values | fields))


class Node:
    """A node whose replicas serve as long as `refresh` is called.

    Attributes:
        decisions: Its decisions.
        now_ms: Its time.
        done: All actions so far.
        still: Replicas that stand still: `refresh` has no evidence of them.
    """

    def __init__(self,
                 replicas: int = 4,
                 slots: int = 4,
                 name: str = "node-1",
                 kinds=KINDS,
                 doc: documents.Document | None = None,
                 seed: int = 1) -> None:
        self.now_ms = 100_000
        self.done: list[actions.Action] = []
        self.still: set[str] = set()
        self.decisions = decisions.Decisions(
            fleet.NodeIdentity(name, DATA_CENTRE, "cz", 1, "127.0.0.1:1",
                               "127.0.0.1:2"), periods.Timing(), seed, kinds)
        self.board.life.phase = board_lib.NodePhase.SERVING
        self.obey(doc or document(replicas))
        self.slots = slots
        for number in range(replicas):
            self.add_replica(f"r{number}")
        self.refresh()

    @property
    def board(self) -> board_lib.Board:
        return self.decisions.board

    def obey(self, doc: documents.Document) -> None:
        row = store.DocumentRow(doc.service, 1, "", "", "", "")
        self.board.documents.in_force[doc.service] = (board_lib.DocumentInForce(
            doc, row, 0))

    def add_replica(self, name: str) -> None:
        vm_id = f"vm-{name}"
        self.board.assignments.replicas[name] = fleet.ReplicaRow(
            name, SERVICE, DATA_CENTRE, 1, 1, (vm_id,), (), "reviewer@1",
            fleet.ReplicaState.ASSIGNED, 1, "")
        self.board.vms.listed[vm_id] = fleet.Vm(vm_id, f"10.0.0.1:{name[1:]}",
                                                DATA_CENTRE, "f1", "gpu")

    def refresh(self, **reports: int) -> None:
        """Gives fresh evidence, with the running requests named."""
        for name, row in self.board.assignments.replicas.items():
            if name in self.still:
                continue
            report = fleet.RunnerReport(row.members[0],
                                        f"boot-{name}",
                                        name,
                                        row.epoch,
                                        row.formation,
                                        fleet.RunnerRole.MEMBER,
                                        "reviewer@1",
                                        True,
                                        self.slots,
                                        running=reports.get(name, 0))
            self.board.evidence.by_vm[row.members[0]] = fleet.Evidence(
                report, self.now_ms, "node-1")

    def peer(self, name: str, in_flight=(), uses=(), ready=True) -> None:
        self.board.peers.by_node[name] = board_lib.Peer(
            fleet.NodeIdentity(name, DATA_CENTRE, "cz", 1, "", ""), self.now_ms,
            ready, tuple(in_flight), tuple(uses))

    def summary(self,
                data_centre: str = "kladno",
                free_slots: int = 10) -> None:
        key = (data_centre, SERVICE)
        self.board.peers.summaries[key] = peering.ServiceSummary(
            SERVICE, data_centre, free_slots, 0, 1, 0, ("10.9.9.9:80",))
        self.board.peers.summaries_ms[key] = self.now_ms

    def step(self, event: events.Event, after_ms: int = 0) -> list:
        self.now_ms += after_ms
        done = list(self.decisions.step(event, self.now_ms))
        self.done += done
        return [each for each in done if not isinstance(each, actions.Record)]

    def tick(self, after_ms: int = 100, refresh: bool = True) -> list:
        self.now_ms += after_ms
        if refresh:
            self.refresh()
        return self.step(events.Tick())

    def arrive(self, request_id: str, **fields) -> list:
        return self.step(
            events.RequestArrived(head(request_id, self.now_ms, **fields)))

    def ended(self,
              dispatch: actions.Dispatch,
              outcome: requesting.Outcome = requesting.Outcome.RAN,
              whole: bool = True,
              after_ms: int = 10,
              **fields) -> list:
        fields.setdefault("status", 200 if whole else 0)
        return self.step(
            events.AttemptEnded(dispatch.request_id, dispatch.attempt_id,
                                outcome, whole, **fields), after_ms)


def only(done: list, kind: type):
    """Returns the one action of a kind."""
    found = [each for each in done if isinstance(each, kind)]
    assert len(found) == 1, done
    return found[0]


def kinds(done: list) -> list[str]:
    """Returns the names of actions."""
    return [type(each).__name__ for each in done]


def answered(done: list) -> dict[str, list[str]]:
    """Returns the final answers by request."""
    found: dict[str, list[str]] = {}
    for each in done:
        if isinstance(each, actions.Refuse | actions.Replay | actions.Finish):
            found.setdefault(each.request_id, []).append(type(each).__name__)
    return found


def counted(count: int, replica: str) -> peering.ReplicaInFlight:
    return peering.ReplicaInFlight(replica, count)
