"""Tests of repairs with real processes: planner, platform and VMs that fail."""

import dataclasses
import functools
import json

import pytest

from cardamommill import exceptions, fleet, launching, processes
from tests import relay

KEY = "clerk"
NODES = ("entry-1", "entry-2", "entry-3")
PATIENCE_S = 60
VMS = tuple(
    launching.VmPlan(f"gpu-{number}", "kladno", "fabric-1", "gpu", {
        "load_ms": 300,
        "token_ms": 5
    }) for number in range(6))
PLAN = launching.Plan("cz", dict.fromkeys(NODES, "kladno"), VMS)


@dataclasses.dataclass(frozen=True)
class Document:
    """The one service of these tests."""

    replicas: int = 1
    spares: int = 1

    def text(self):
        return f"""
service: assist
priority: 1
pool: gpu
model: drafter
version: "1"
replica_vms: 2
capacity: {{kladno: {{replicas: {self.replicas}, spares: {self.spares}}}}}
accounts: [{{name: lir, key_sha256: {launching.sha256(KEY)},
            requests_per_s: 100000, burst: 100000}}]
"""


class Fleet:
    """A deployment and what these tests ask of it."""

    def __init__(self, deployment):
        self.deployment = deployment

    def start(self, document):
        self.deployment.wait_ready()
        self.deployment.apply(NODES[0], document.text())
        self.wait(
            lambda: all(
                len(self.serving(name)) == document.replicas for name in NODES),
            "all nodes can send work")
        self.wait(
            lambda: sum(
                len(each["spares"]) for each in self.status(NODES[0])[
                    "replicas"]) == document.spares, "spares stand by")
        return self

    def wait(self, condition, what):
        processes.wait_until(condition, what, PATIENCE_S)

    def status(self, name):
        return self.deployment.status(name)

    def serving(self, name):
        """Returns the replicas that a node would send work to, by name."""
        return {
            each["replica_id"]: each
            for each in self.status(name)["replicas"]
            if each["serving"]
        }

    def planner(self, name):
        return self.status(name)["node"]["planner"]

    def answered(self, name):
        """Tells whether a streamed request through a node comes back whole."""
        body = {"prompt": "x", "max_tokens": 3, "stream": True}
        try:
            answer = self.deployment.request(name,
                                             "/services/assist/v1/completions",
                                             json.dumps(body).encode(),
                                             key=KEY)
        except exceptions.CommandError:
            return False
        return answer.body.endswith(b"data: [DONE]\n\n")

    def replaced(self, name, vm_id):
        return any(vm_id not in each["members"]
                   for each in self.serving(name).values())


@pytest.fixture(name="fleet_of")
def _fleet_of():
    with launching.Deployment(PLAN) as deployment:
        yield functools.partial(Fleet.start, Fleet(deployment))


@pytest.mark.xdist_group("repairs-1")
def test_next_planner_repairs_after_the_planner_was_killed(fleet_of):
    """The planner's process is killed, and then a member's VM.

    Another node takes the lease once the row has stood still for a whole
    lease, with a higher fencing number, and puts the spare in. Callers of the
    other nodes get whole answers again.
    """
    world = fleet_of(Document())
    planner = world.planner(NODES[0])
    left = [name for name in NODES if name != planner]
    (replica,) = world.serving(left[0]).values()
    epoch = world.status(left[0])["node"]["planner_epoch"]
    world.deployment.nodes[planner].kill()
    world.deployment.runners[replica["members"][1]].kill()
    for name in left:
        world.wait(
            lambda name=name: world.replaced(name, replica["members"][1]),
            "the replica serves with another member")
        assert world.answered(name)
    # Nodes look at somebody else's lease less often than at replicas.
    world.wait(
        lambda: world.status(left[0])["node"]["planner_epoch"] > epoch and world
        .planner(left[0]) in left, "the lease is seen to be another node's")


@pytest.mark.xdist_group("repairs-2")
def test_planner_stopped_past_its_lease_gives_no_order(fleet_of):
    """The planner is stopped, a member dies, a successor repairs.

    The former planner goes on while it takes itself for the planner. It must
    neither order the runners back nor change the table: the formation that
    its successor made stays, and the former planner sends work there.
    """
    world = fleet_of(Document())
    planner = world.planner(NODES[0])
    other = next(name for name in NODES if name != planner)
    (replica,) = world.serving(other).values()
    world.deployment.nodes[planner].pause()
    world.deployment.runners[replica["members"][1]].kill()
    world.wait(lambda: world.replaced(other, replica["members"][1]),
               "the successor has repaired")
    (repaired,) = world.serving(other).values()
    fences = [_fence(world, vm_id) for vm_id in repaired["members"]]
    world.deployment.nodes[planner].resume()
    world.wait(lambda: world.serving(planner) and world.answered(planner),
               "the former planner sends work again")
    (seen,) = world.serving(planner).values()
    assert (seen["members"], seen["formation"]) == (repaired["members"],
                                                    repaired["formation"])
    assert [_fence(world, vm_id) for vm_id in repaired["members"]] == fences
    world.wait(lambda: world.planner(planner) != planner,
               "the former planner sees that it is not")


def _fence(world, vm_id):
    return world.deployment.runner_call(vm_id, "/state")["highest_fence"]


@pytest.mark.xdist_group("repairs-3")
def test_replica_uses_its_own_spare_while_the_platform_is_down(fleet_of):
    """The platform goes down, and then a VM of a replica that has a spare.

    Nothing can be assigned, but the spare belongs to the replica already: it
    serves again on it. When the platform is back the table says so too, and
    nothing is formed a second time.
    """
    world = fleet_of(Document())
    (replica,) = world.serving(NODES[0]).values()
    world.deployment.platform_faults(down=True)
    lost = replica["members"][1]
    world.deployment.runners[lost].kill()
    for name in NODES:
        world.wait(lambda name=name: world.replaced(name, lost),
                   "the replica serves on its spare")
        assert world.answered(name)
    (during,) = world.serving(NODES[0]).values()
    assert set(during["members"]) <= {*replica["members"], *replica["spares"]}
    world.deployment.platform_faults()
    world.wait(lambda: not world.status(NODES[0])["node"]["cut_off"],
               "the table is read again")
    world.wait(lambda: _in_table(world)["members"] == during["members"],
               "the table says what serves")
    assert world.answered(NODES[0])
    assert _in_table(world)["formation"] == during["formation"]


def _in_table(world):
    answer = world.deployment.platform_call("GET",
                                            "/tables/replicas?prefix=kladno")
    (row,) = answer["rows"]
    return json.loads(row["value"])


class Relayed(launching.Deployment):
    """A deployment in which one node has a line of its own to the platform."""

    line = None

    def node_settings(self, name):
        settings = super().node_settings(name)
        if name == NODES[0]:
            if self.line is None:
                self.line = self._stack.enter_context(
                    relay.Relay(self.platform_address))
            settings["platform"] = {"address": self.line.address}
        return settings


@pytest.mark.xdist_group("repairs-5")
def test_planner_cut_off_from_the_table_alone():
    """The planner can't reach the platform, while all others can.

    Another node becomes the planner and repairs. The one that is cut off goes
    on serving, sends work to what the new planner formed, and obeys a document
    that was applied meanwhile, all from its peers; it says that it is cut off.
    """
    with Relayed(PLAN) as deployment:
        world = Fleet(deployment).start(Document())
        _make_planner(world, NODES[0])
        (replica,) = world.serving(NODES[0]).values()
        deployment.line.cut()
        lost = replica["members"][1]
        deployment.runners[lost].kill()
        for name in NODES:
            world.wait(lambda name=name: world.replaced(name, lost),
                       "the replica serves with another member")
            assert world.answered(name)
        world.wait(lambda: world.planner(NODES[1]) in NODES[1:],
                   "the lease is seen to be another node's")
        deployment.apply(NODES[1], Document(spares=0).text())
        world.wait(lambda: _revision(world, NODES[0]) == 2,
                   "the node that is cut off obeys the document")
        assert world.status(NODES[0])["node"]["cut_off"]
        deployment.line.mend()
        world.wait(lambda: not world.status(NODES[0])["node"]["cut_off"],
                   "the table is read again")


def _revision(world, name):
    (service,) = world.status(name)["services"]
    return service["revision"]


def _make_planner(world, name):
    """Stops the other nodes until the lease is a certain node's."""
    others = [each for each in NODES if each != name]
    for each in others:
        world.deployment.nodes[each].pause()
    world.wait(lambda: world.planner(name) == name, f"{name} plans")
    for each in others:
        world.deployment.nodes[each].resume()
    world.wait(lambda: all(world.serving(each) for each in NODES),
               "all nodes can send work again")


@pytest.mark.xdist_group("repairs-4")
def test_leaving_vm_is_replaced_and_callers_see_nothing(fleet_of):
    """The platform wants a VM back while callers keep calling.

    There are two replicas. The one with the leaving VM gets no new work, is
    formed anew with a spare, and no caller is refused or cut off meanwhile.
    """
    world = fleet_of(Document(replicas=2))
    leaving = next(iter(world.serving(NODES[0]).values()))["members"][0]
    world.deployment.set_vm_state(leaving, fleet.VmState.LEAVING)

    def moved():
        assert all(world.answered(name) for name in NODES)
        serving = world.serving(NODES[1]).values()
        return len(serving) == 2 and not any(leaving in each["members"]
                                             for each in serving)

    world.wait(moved, "both replicas serve without the leaving VM")
