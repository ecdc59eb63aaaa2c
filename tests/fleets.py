"""A world with a fleet in it, for tests of the planner and its neighbours."""

import functools

from cardamommill import (
    actions,
    assignments,
    controller,
    decisions,
    documents,
    events,
    fakes,
    fleet,
    leases,
    periods,
    planning,
    serving,
    store,
)
from cardamommill import board as board_lib

DC = "praha-a"
TIMING = periods.Timing()


class Watching(controller.Controller):
    """Polls every runner and lists VMs: what membership does, alone."""

    name = "membership"
    next_poll_ms = 0
    next_list_ms = 0

    @functools.singledispatchmethod
    def step(self, event, now_ms):
        return ()

    @step.register
    def _(self, event: events.Tick, now_ms):
        found = []
        if now_ms >= self.next_list_ms:
            self.next_list_ms = now_ms + self.timing.vm_list_ms
            found.append(actions.ListVms())
        if now_ms >= self.next_poll_ms:
            self.next_poll_ms = now_ms + self.timing.poll_ms
            found += [
                actions.PollRunner(vm.vm_id, vm.address)
                for vm in self.board.vms.listed.values()
            ]
        return tuple(found)

    @step.register
    def _(self, event: events.VmsListed, now_ms):
        if event.vms is not None:
            section = self.board.vms
            section.listed = {vm.vm_id: vm for vm in event.vms}
            section.leaving = {
                vm.vm_id
                for vm in event.vms
                if vm.state is fleet.VmState.LEAVING
            }
            section.listed_ms = now_ms
        return ()

    @step.register
    def _(self, event: events.RunnerPolled, now_ms):
        if event.report is not None:
            self.board.evidence.by_vm[event.vm_id] = fleet.Evidence(
                event.report, event.sent_ms, self.board.identity.node_id)
        return ()

    @step.register
    def _(self, event: events.Paused, now_ms):
        self.board.life.not_before_ms = now_ms
        return ()


KINDS = (Watching, assignments.Assignments, leases.Leases, planning.Planner)


def document(**fields):
    """Returns a document of a service that wants replicas of 4 in `DC`."""
    wanted = {
        "replicas": fields.pop("replicas", 2),
        "spares": fields.pop("spares", 0)
    }
    base = {
        "service": "assist-llm",
        "pool": "gpu",
        "model": "llm",
        "version": "1",
        "replica_vms": 4,
        "capacity": {
            DC: wanted
        },
        "accounts": [{
            "name": "registry",
            "key_sha256": "a" * 64
        }]
    }
    return documents.Document.model_validate({**base, **fields})


def put_in_force(board, *wanted, revision=1):
    """Puts documents in force on a node, as configuration does."""
    for each in wanted:
        row = store.DocumentRow(each.service, revision, "tester", "test", "",
                                "")
        board.documents.in_force[each.service] = board_lib.DocumentInForce(
            each, row, 0)
    board.documents.complete = True


def node(name, offset_ms=0, seed=1, incarnation=1, kinds=KINDS):
    """Returns a node of `DC`."""
    identity = fleet.NodeIdentity(name, DC, "cz-central", incarnation,
                                  f"{name}:1", f"{name}:2")
    return fakes.FakeNode(decisions.Decisions(identity, TIMING, seed, kinds),
                          offset_ms)


def runners(domains, pool="gpu", **fields):
    """Returns runners on VMs: a count for each fabric domain's name."""
    return [
        fakes.FakeRunner(
            fleet.Vm(f"{domain}-{index:02}", f"{domain}-{index:02}:1", DC,
                     domain, pool), **fields)
        for domain, count in domains.items()
        for index in range(count)
    ]


def world(domains, *wanted, nodes=2, seed=1, **fields):
    """Returns a world with nodes, VMs and documents in force."""
    made = fakes.FakeWorld(TIMING, seed)
    made.add_vms(runners(domains, **fields))
    for index in range(nodes):
        each = node(f"n{index}", offset_ms=7919 * index, seed=seed + index)
        put_in_force(each.decisions.board, *wanted)
        made.add_node(f"n{index}", each)
    return made


def board(made, name="n0"):
    """Returns a node's blackboard."""
    return made.nodes[name].decisions.board


def serving_now(made, service="assist-llm", name="n0"):
    """Returns the replicas of a service that a node would send work to."""
    return serving.serving_replicas(board(made, name), service, TIMING,
                                    made.local_ms(name))


def rows(made, kind, table):
    """Returns the decoded rows of a table."""
    return [store.decode(kind, row.value) for row in made.table.scan(table, DC)]


def replicas(made):
    """Returns the rows of replicas in the table."""
    return rows(made, fleet.ReplicaRow, store.REPLICAS)


def planner(made):
    """Returns the name of the node that holds the lease."""
    return next(name for name, each in made.nodes.items()
                if each.decisions.board.lease.held)
