"""Membership and configuration of several nodes against a simple oracle."""

import hypothesis
from hypothesis import stateful, strategies
from returns import result

from cardamommill import applying, events, peering, store
from tests import fake_fleet, fake_table

SERVICES = ("desk", "portal")
SETTLE_MS = 3000
NODES = tuple(f"dc-a-{number}" for number in range(3)) + ("dc-b-0",)
VMS = tuple(f"dc-a-vm-{number}" for number in range(3))


def body(service: str, replicas: int) -> str:
    return (f"{{service: {service}, kind: plain, pool: small, accounts: [], "
            f"capacity: {{dc-a: {{replicas: {replicas}}}}}}}")


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Any order of faults; what must hold is looked at after each step."""

    def __init__(self):
        super().__init__()
        self.attempts = 0
        # Highest revision seen in force, by life of a node and service.
        self.held: dict[tuple[str, int, str], int] = {}
        self.accepted: dict[str, int] = {}
        self.accepted_ms: dict[tuple[str, int], int] = {}
        self.leaving_ms: dict[str, int] = {}
        self.drained: set[str] = set()
        # Since when no fault has been in force or begun.
        self.clean_ms = 0

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def start(self, seed):
        self.fleet = fake_fleet.FakeFleet(("dc-a",), 3, 3, seed)
        self.fleet.start_node("dc-b-0", "dc-b", 1, 0)
        for service in SERVICES:
            self._apply(service, 1, None, 0.0)
        self.run(3000)

    # --- Faults ---

    def _fault(self):
        self.clean_ms = None

    @stateful.rule(one=strategies.sampled_from(NODES),
                   other=strategies.sampled_from(NODES))
    def cut(self, one, other):
        self.fleet.cuts.add(frozenset((one, other)))
        self._fault()

    @stateful.rule(node=strategies.sampled_from(NODES))
    def cut_from_table(self, node):
        self.fleet.table_cuts.add(node)
        self._fault()

    @stateful.rule()
    def table_down(self):
        self.fleet.table.down = True
        self._fault()

    @stateful.rule(node=strategies.sampled_from(NODES))
    def pause(self, node):
        self.fleet.nodes[node].paused = True
        self._fault()

    @stateful.rule(node=strategies.sampled_from(NODES))
    def resume(self, node):
        self.fleet.nodes[node].paused = False

    @stateful.rule(node=strategies.sampled_from(NODES))
    def restart(self, node):
        self.fleet.restart_node(node)
        if self.clean_ms is not None:
            self.clean_ms = self.fleet.now_ms

    @stateful.rule(loss=strategies.sampled_from((0.0, 0.2, 0.6)),
                   repeats=strategies.sampled_from((0.0, 0.3)),
                   delay_ms=strategies.sampled_from((5, 400, 1500)))
    def weather(self, loss, repeats, delay_ms):
        self.fleet.loss = loss
        self.fleet.repeats = repeats
        self.fleet.max_delay_ms = delay_ms
        self._fault()

    @stateful.rule()
    def mend(self):
        self.fleet.cuts.clear()
        self.fleet.table_cuts.clear()
        self.fleet.table.down = False
        self.fleet.loss = self.fleet.repeats = 0.0
        self.fleet.max_delay_ms = 5
        for node in self.fleet.nodes.values():
            node.paused = False
        if self.clean_ms is None:
            self.clean_ms = self.fleet.now_ms

    # --- The world goes on ---

    @stateful.rule(vm_id=strategies.sampled_from(VMS),
                   formation=strategies.integers(0, 5),
                   running=strategies.integers(0, 3))
    def runner_changes(self, vm_id, formation, running):
        self.fleet.runners[vm_id].change(self.fleet.now_ms,
                                         formation=formation,
                                         running=running)

    @stateful.rule(vm_id=strategies.sampled_from(VMS))
    def runner_restarts(self, vm_id):
        runner = self.fleet.runners[vm_id]
        boot = int(runner.report.boot_id.split("-")[1]) + 1
        runner.change(self.fleet.now_ms, boot_id=f"boot-{boot}", formation=0)

    @stateful.rule(vm_id=strategies.sampled_from(VMS))
    def runner_is_told_to_leave(self, vm_id):
        runner = self.fleet.runners[vm_id]
        if not runner.report.leaving:
            runner.change(self.fleet.now_ms, leaving=True)
            self.leaving_ms[vm_id] = self.fleet.now_ms

    @stateful.rule(vm_id=strategies.sampled_from(VMS))
    def operator_drains(self, vm_id):
        if not self.fleet.table.down:
            self.drained.add(vm_id)
            self.leaving_ms.setdefault(vm_id, self.fleet.now_ms)

    def _read_drains(self):
        # As the controller of assignments does, which is not here.
        for node in self.fleet.nodes.values():
            if self.fleet.table_answers(node) and not node.paused:
                node.board.assignments.drained = set(self.drained)

    @stateful.rule(vm_id=strategies.sampled_from(VMS),
                   node=strategies.sampled_from(NODES[:3]))
    def false_accusation(self, vm_id, node):
        boot_id = self.fleet.runners[vm_id].report.boot_id
        sender = self.fleet.nodes[NODES[0]].identity
        notice = peering.Notice(peering.PROTOCOL_VERSION,
                                sender,
                                lost_vms=(peering.LostVm(vm_id, boot_id),))
        self.fleet._hand(self.fleet.nodes[node], events.PeerNotified(notice))

    @stateful.rule(service=strategies.sampled_from(SERVICES),
                   racers=strategies.integers(1, 3),
                   lose=strategies.sampled_from((0.0, 0.5)))
    def operators_race(self, service, racers, lose):
        if self.fleet.table.down:
            return
        base = self.accepted[service]
        outcomes = [
            self._apply(service, number, base, lose) for number in range(racers)
        ]
        winners = [
            each for each in outcomes if isinstance(each, result.Success)
        ]
        assert len(winners) <= 1
        assert lose or len(winners) == 1

    def _apply(self, service, replicas, base, lose):
        self.attempts += 1
        tables = fake_table.SyncTable(self.fleet.table, self.attempts, lose)
        outcome = applying.apply(
            tables,
            applying.Change(body(service, replicas), "op", "why", "",
                            f"{self.attempts}", base))
        tables.deliver_late()
        index = store.decode(
            store.DocumentsIndex,
            self.fleet.table.read(store.Key(store.INDEX,
                                            store.DOCUMENTS_INDEX)).value)
        revision = index.revisions.get(service, 0)
        if revision != self.accepted.get(service, 0):
            self.accepted[service] = revision
            self.accepted_ms[service, revision] = self.fleet.now_ms
        return outcome

    @stateful.rule(for_ms=strategies.sampled_from((100, 700, 1500, 4000)))
    def run(self, for_ms):
        for _ in range(0, for_ms, 100):
            self.fleet.advance(100)
            if self.fleet.now_ms % self.fleet.timing.fleet_read_ms == 0:
                self._read_drains()
            self._look()

    @stateful.rule()
    def calm(self):
        self.mend()
        self.run(SETTLE_MS + 500)

    @stateful.invariant()
    def time_passes(self):
        if hasattr(self, "fleet"):
            self.run(200)

    # --- What must hold ---

    def _look(self):
        for node in self.fleet.nodes.values():
            self._revisions_never_go_back(node)
            self._evidence_is_not_fresher_than_it_was(node)
        clean = self.clean_ms
        if clean is not None:
            for node in self.fleet.nodes.values():
                self._is_in_force_within_seconds(node, clean)
                if node.identity.data_centre == "dc-a":
                    self._is_seen_leaving_within_seconds(node, clean)
                    self._no_accusation_lasts(node, clean)

    def _revisions_never_go_back(self, node):
        for service, in_force in node.board.documents.in_force.items():
            key = (node.name, node.identity.incarnation, service)
            revision = in_force.row.revision
            assert revision >= self.held.get(key, 0)
            assert revision <= self.accepted[service]
            self.held[key] = revision
        if not node.board.documents.complete:
            return
        # A node that takes traffic has every service.
        assert set(node.board.documents.in_force) == set(SERVICES)

    def _evidence_is_not_fresher_than_it_was(self, node):
        for vm_id, each in node.board.evidence.by_vm.items():
            runner = self.fleet.runners[vm_id]
            true_ms = each.seen_ms - node.offset_ms
            assert true_ms <= runner.last_true_ms(each.report,
                                                  self.fleet.now_ms)

    def _is_in_force_within_seconds(self, node, clean):
        for service, revision in self.accepted.items():
            since_ms = max(clean, self.accepted_ms[service, revision])
            if self.fleet.now_ms - since_ms >= SETTLE_MS:
                held = node.board.documents.in_force.get(service)
                assert held is not None and held.row.revision == revision
                assert node.board.documents.complete

    def _is_seen_leaving_within_seconds(self, node, clean):
        for vm_id, leaving_ms in self.leaving_ms.items():
            if self.fleet.now_ms - max(clean, leaving_ms) >= SETTLE_MS:
                assert vm_id in node.board.vms.leaving

    def _no_accusation_lasts(self, node, clean):
        # Told to a node whose own watcher's next answer comes after it.
        if self.fleet.now_ms - clean < SETTLE_MS:
            return
        for vm_id in node.board.evidence.lost_boots:
            accused_ms = node.decided._controllers[0]._book._accused_ms[vm_id]
            assert (self.fleet.now_ms + node.offset_ms - accused_ms < SETTLE_MS)


TestMembership = MembershipMachine.TestCase
# A long fuzz brings its own numbers; see tests/prove.py.
if hypothesis.settings.get_current_profile_name() != "prove":
    TestMembership.settings = hypothesis.settings(max_examples=40,
                                                  stateful_step_count=40)
