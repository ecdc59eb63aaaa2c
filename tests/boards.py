"""Decisions that decide nothing, around a board filled by hand."""

import functools

from cardamommill import (
    actions,
    board,
    controller,
    decisions,
    documents,
    events,
    fleet,
    peering,
    periods,
    store,
)

NOW_MS = 100_000
DOCUMENT = """
service: assist-llm
pool: gpu
model: assist
version: "1"
replica_vms: 2
capacity: {praha-a: {replicas: 2, spares: 1}}
accounts: [{name: desk, key_sha256: "%s"}]
""" % ("a" * 64)


class _Quiet(controller.Controller):
    """Decides nothing."""

    name = "quiet"

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.seen = []

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        self.seen.append(event)
        return ()


def seen(made):
    """Returns the events that decisions made here have seen so far."""
    (quiet,) = made._controllers
    return quiet.seen


def identity(node="n1"):
    return fleet.NodeIdentity(node, "praha-a", "cz-central", 1, "127.0.0.1:1",
                              "127.0.0.1:2")


def row(replica_id="r1", members=("v1", "v2"), **more):
    cause = fleet.Cause("2026-01-01T00:00:00Z", "assigned", "n2",
                        "one replica too few")
    fields = {
        "service": "assist-llm",
        "data_centre": "praha-a",
        "epoch": 3,
        "formation": 1,
        "spares": ("v3",),
        "model": "assist@1",
        "state": fleet.ReplicaState.ASSIGNED,
        "revision": 1,
        "attempt": "t",
        "causes": (cause,)
    } | more
    return fleet.ReplicaRow(replica_id, members=members, **fields)


def evidence(vm_id, age_ms=0, **more):
    fields = {
        "replica_id": "r1",
        "epoch": 3,
        "formation": 1,
        "role": fleet.RunnerRole.MEMBER,
        "ready": True,
        "slots": 8
    } | more
    return fleet.Evidence(fleet.RunnerReport(vm_id, "boot", **fields),
                          NOW_MS - age_ms, "n2")


def decided(fill=lambda board: None):
    """Returns decisions whose board shows one whole replica of two VMs.

    Args:
        fill: Changes the board before anybody sees it.
    """
    made = decisions.Decisions(identity(), periods.Timing(), 1, (_Quiet,))
    shown = made.board
    document = documents.parse(DOCUMENT, "trial")
    document_row = store.DocumentRow("assist-llm", 1, "eva", "first", "",
                                     DOCUMENT)
    shown.documents.in_force["assist-llm"] = board.DocumentInForce(
        document, document_row, NOW_MS - 5000)
    shown.documents.complete = True
    shown.life.phase = board.NodePhase.SERVING
    shown.store.answered_ms = NOW_MS - 100
    shown.lease.row = store.LeaseRow("n2", 1, 3, 9, "t")
    shown.assignments.replicas["r1"] = row()
    for vm_id in ("v1", "v2", "v3"):
        shown.vms.listed[vm_id] = fleet.Vm(vm_id, "127.0.0.1:9", "praha-a",
                                           "f1", "gpu")
        use = fleet.VmUse.SPARE if vm_id == "v3" else fleet.VmUse.MEMBER
        shown.assignments.vms[vm_id] = fleet.VmRow(vm_id, use, "r1", 3, "t")
        shown.evidence.by_vm[vm_id] = evidence(vm_id)
    shown.peers.by_node["n2"] = board.Peer(identity("n2"), NOW_MS - 300)
    shown.suspects.by_digest["d1"] = peering.Suspicion(
        "d1", peering.SuspectState.QUARANTINED, ("r0/1/1", "r1/1/1"))
    fill(shown)
    return made
