"""A world with a fleet in it, for tests of the planner and its neighbours."""

import dataclasses

import yaml

from cardamommill import (
    assignments,
    configuration,
    decisions,
    documents,
    fakes,
    fakeworld,
    fleet,
    leases,
    lifecycle,
    membership,
    periods,
    planning,
    serving,
    store,
)

DC = "praha-a"
TIMING = periods.Timing()

KINDS = (membership.Membership, configuration.Configuration,
         assignments.Assignments, leases.Leases, planning.Planner,
         lifecycle.Lifecycle)


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


def apply(made, *wanted, revision=1):
    """Writes documents to the table, as ``service apply`` does."""
    revisions = {}
    for each in wanted:
        body = yaml.safe_dump(each.model_dump(mode="json"))
        row = store.DocumentRow(each.service, revision, "tester", "test", "",
                                body)
        made.table.put(store.Key(store.DOCUMENTS, each.service),
                       store.encode(row))
        revisions[each.service] = revision
    made.table.put(store.Key(store.INDEX, store.DOCUMENTS_INDEX),
                   store.encode(store.DocumentsIndex(revisions)))


def node(name, offset_ms=0, seed=1, incarnation=1, kinds=KINDS):
    """Returns a node of `DC`."""
    identity = fleet.NodeIdentity(name, DC, "cz-central", incarnation,
                                  f"127.0.0.{name[1:]}:1", f"{name}:2")
    return fakeworld.FakeNode(
        decisions.Decisions(identity, TIMING, seed, kinds), offset_ms)


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
    made = fakeworld.FakeWorld(TIMING, seed)
    made.add_vms(runners(domains, **fields))
    apply(made, *wanted)
    for index in range(nodes):
        made.add_node(
            f"n{index}",
            node(f"n{index}", offset_ms=7919 * index, seed=seed + index))
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


def holders(made):
    """Returns the names of nodes that take themselves for the planner."""
    return [
        name for name, each in made.nodes.items()
        if each.alive and not each.paused and
        leases.may_order(each.decisions.board.lease, made.local_ms(name))
    ]


def lose(made, vm_id):
    """Has a VM fall silent for good."""
    made.runners[vm_id].up = False


def set_state(made, vm_id, state):
    """Has the platform list a VM in another state."""
    runner = made.runners[vm_id]
    runner.vm = dataclasses.replace(runner.vm, state=state)


def causes(made):
    """Returns what happened to all replicas, in order."""
    return [cause.event for row in replicas(made) for cause in row.causes]


def down_ms(made, until_ms, service="assist-llm", name="n0", step_ms=100):
    """Returns for how long some wanted replica did not serve."""
    wanted = len(serving_now(made, service, name))
    lost_ms = 0
    for _ in range(0, until_ms, step_ms):
        made.run(step_ms)
        if len(serving_now(made, service, name)) < wanted:
            lost_ms += step_ms
    return lost_ms
