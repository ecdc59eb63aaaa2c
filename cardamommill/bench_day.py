"""A day of failures that one planner lives through, under a virtual clock.

Small fakes, and quiet time is skipped: time passes in fine steps only while
something happens.
"""

from collections.abc import Sequence
import dataclasses
import time
from typing import TypeVar

from cardamommill import (
    actions,
    bench_failures,
    decisions,
    documents,
    events,
    fakes,
    fleet,
    periods,
    planning,
    store,
)
from cardamommill import board as board_lib

T = TypeVar("T")

DC = "dc"
SERVICE = "model"
LOAD_MS = 120_000
FORM_MS = 2_000
FINE_MS = 500
# For so long after something happened time passes in fine steps; after so
# long without anything, the planner has nothing more to wait for.
FINE_FOR_MS = 5_000
QUIET_MS = 200_000
TIMING = periods.Timing()


@dataclasses.dataclass
class Tally:
    """What a day cost.

    Attributes:
        down_ms: Time in which a wanted replica did not serve, summed.
        dark_ms: The part of it in which a whole domain was dark.
        assigned_ms: Time of living VMs that were assigned, spare or being
            released and belonged to no serving replica, summed.
        idle_ms: The same with VMs that were free.
        outages_ms: How long each loss of a replica lasted.
        failures: Failures that happened.
        rows: Rows written to the table.
        loads: Most VMs that loaded weights at once.
        cpu_s: Processor time of the planner.
        steps: Steps of the planner.
    """

    down_ms: int = 0
    dark_ms: int = 0
    assigned_ms: int = 0
    idle_ms: int = 0
    outages_ms: list[int] = dataclasses.field(default_factory=list)
    failures: int = 0
    rows: int = 0
    loads: int = 0
    cpu_s: float = 0.0
    steps: int = 0


class Day:
    """Lets one planner live through a day."""

    def __init__(self, size: bench_failures.Size,
                 planner: type[planning.Planner], spares: int,
                 seed: int) -> None:
        self._size = size
        self._table = fakes.FakeTable()
        self._runners = {
            vm_id:
                fakes.FakeRunner(fleet.Vm(vm_id, f"{vm_id}:1", DC,
                                          vm_id.split("-")[0], "gpu"),
                                 load_ms=LOAD_MS,
                                 form_ms=FORM_MS)
            for domain, count in enumerate(size.domains)
            for vm_id in (f"d{domain}-{index}" for index in range(count))
        }
        identity = fleet.NodeIdentity("n0", DC, "r", 1, "", "")
        self._node = decisions.Decisions(identity, TIMING, seed, (planner,))
        self._board = self._node.board
        self._put_in_force(_document(size, spares))
        self._now_ms = 1_000_000
        self._changed_ms = self._now_ms
        self._down_since_ms: dict[str, int] = {}
        self._was_serving: frozenset[str] = frozenset()
        self._dark = False
        self.tally = Tally()

    def _put_in_force(self, document: documents.Document) -> None:
        row = store.DocumentRow(SERVICE, 1, "", "", "", "")
        self._board.documents.in_force[SERVICE] = board_lib.DocumentInForce(
            document, row, 0)
        self._board.documents.complete = True
        lease = self._board.lease
        lease.held, lease.epoch, lease.valid_until_ms = True, 1, 10**15
        self._table.put(store.Key(store.LEASES, DC), "{}")
        lease.version = self._table.read(store.Key(store.LEASES, DC)).version
        self._read()

    def live(self, happening: Sequence[bench_failures.Failure]) -> Tally:
        """Returns what the day cost, after everything had been placed."""
        self._pass_until(self._now_ms + 400_000)
        self.tally = Tally(failures=len(happening))
        written = self._table.writes
        start_ms = self._now_ms
        turns = [(each.at_ms, each, True) for each in happening]
        turns += [(each.at_ms + each.for_ms, each, False) for each in happening]
        for at_ms, failure, begins in sorted(turns, key=lambda turn: turn[0]):
            self._pass_until(start_ms + at_ms)
            self._turn(failure, begins)
            self._look_for_dark()
            self._changed_ms = self._now_ms
        self._pass_until(
            max(self._now_ms + 400_000, start_ms + bench_failures.DAY_MS))
        self.tally.rows = self._table.writes - written
        return self.tally

    def _look_for_dark(self) -> None:
        heard = {
            runner.vm.fabric_domain
            for runner in self._runners.values()
            if runner.up and not runner.paused
        }
        self._dark = len(heard) < len(self._size.domains)

    def _turn(self, failure: bench_failures.Failure, begins: bool) -> None:
        for vm_id in failure.vm_ids:
            runner = self._runners[vm_id]
            if failure.kind == "pause":
                runner.paused = begins
            elif failure.kind == "leaving" and begins:
                runner.leaving = True
                runner.vm = dataclasses.replace(runner.vm,
                                                state=fleet.VmState.LEAVING)
            elif failure.kind == "leaving":
                # A new VM takes the name of the one that went.
                runner.leaving = False
                runner.vm = dataclasses.replace(runner.vm,
                                                state=fleet.VmState.LIVE)
                runner.restart()
            elif begins:
                runner.up = False
            else:
                runner.restart()

    def _pass_until(self, end_ms: int) -> None:
        while self._now_ms < end_ms:
            quiet_ms = self._now_ms - self._changed_ms
            if quiet_ms > QUIET_MS:
                step_ms = end_ms - self._now_ms
            elif quiet_ms > FINE_FOR_MS:
                # The planner's waits grow likewise, so that this rounds each
                # of them by a quarter at most.
                step_ms = self._until_ready(quiet_ms // 4)
            else:
                step_ms = FINE_MS
            self._step(min(step_ms, end_ms - self._now_ms))

    def _until_ready(self, most_ms: int) -> int:
        coming = [
            runner.ready_ms - self._now_ms
            for runner in self._runners.values()
            if runner.ready_ms > self._now_ms
        ]
        return max(FINE_MS, min([most_ms, *coming]))

    def _step(self, step_ms: int) -> None:
        self._count(step_ms)
        self._now_ms += step_ms
        self._look()
        begun_s = time.process_time()
        wanted = self._node.step(events.Tick(), self._now_ms)
        self.tally.cpu_s += time.process_time() - begun_s
        self.tally.steps += 1
        for action in wanted:
            self._perform(action)

    def _look(self) -> None:
        """Brings the board up to date, as membership does."""
        vms = self._board.vms
        vms.listed = {
            vm_id: runner.vm for vm_id, runner in self._runners.items()
        }
        vms.listed_ms = self._now_ms
        vms.leaving = {
            vm_id for vm_id, runner in self._runners.items() if runner.leaving
        }
        for vm_id, runner in self._runners.items():
            if runner.up and not runner.paused:
                self._board.evidence.by_vm[vm_id] = fleet.Evidence(
                    runner.report(self._now_ms),
                    self._now_ms - TIMING.poll_ms // 2, "n0")

    def _perform(self, action: actions.Action) -> None:
        if isinstance(action, actions.Transact):
            self._changed_ms = self._now_ms
            failed = self._table.transact(action)
            self._read()
            outcome = (store.TransactOutcome.CONFLICT
                       if failed else store.TransactOutcome.COMMITTED)
            self._node.step(events.TransactAnswered(action.token, outcome),
                            self._now_ms)
        elif isinstance(action, actions.SendOrder):
            self._changed_ms = self._now_ms
            runner = self._runners[action.order.vm_id]
            if runner.up and not runner.paused:
                runner.take(action.order, self._now_ms)

    def _read(self) -> None:
        section = self._board.assignments
        rows = self._table.scan(store.REPLICAS, DC)
        section.replicas, section.replica_versions = _decoded(
            fleet.ReplicaRow, rows)
        rows = self._table.scan(store.VMS, DC)
        section.vms, section.vm_versions = _decoded(fleet.VmRow, rows)
        section.known = True

    def _count(self, step_ms: int) -> None:
        """Counts what the time to the next step costs, as things are."""
        serving = [
            row for row in self._board.assignments.replicas.values()
            if row.state is fleet.ReplicaState.ASSIGNED and all(
                self._present(row, vm_id) for vm_id in row.members)
        ]
        members = {vm_id for row in serving for vm_id in row.members}
        lacking = max(0, self._size.replicas - len(serving))
        self.tally.down_ms += lacking * step_ms
        if self._dark:
            self.tally.dark_ms += lacking * step_ms
        alive = [
            vm_id for vm_id, runner in self._runners.items()
            if runner.up and not runner.paused and vm_id not in members
        ]
        free = (fleet.VmUse.FREE, None)
        held = [
            vm_id for vm_id in alive
            if (row := self._board.assignments.vms.get(vm_id)) and
            row.use not in free
        ]
        self.tally.idle_ms += step_ms * len(alive)
        self.tally.assigned_ms += step_ms * len(held)
        self.tally.loads = max(
            self.tally.loads,
            sum(runner.loaded_ms > self._now_ms
                for runner in self._runners.values()))
        self._count_outages(frozenset(row.replica_id for row in serving))

    def _count_outages(self, serving: frozenset[str]) -> None:
        if serving != self._was_serving:
            self._changed_ms = self._now_ms
            for replica_id in self._was_serving - serving:
                self._down_since_ms[replica_id] = self._now_ms
        # A replica that was made anew ends the outage of the oldest one lost.
        lacking = max(0, self._size.replicas - len(serving))
        back = [each for each in self._down_since_ms if each in serving]
        older = [each for each in self._down_since_ms if each not in serving]
        ended = back + older[:max(0, len(older) - lacking)]
        for replica_id in ended:
            self.tally.outages_ms.append(self._now_ms -
                                         self._down_since_ms.pop(replica_id))
        self._was_serving = serving

    def _present(self, row: fleet.ReplicaRow, vm_id: str) -> bool:
        runner = self._runners[vm_id]
        order = runner.order
        return (runner.up and not runner.paused and not runner.leaving and
                order is not None and
                (order.replica_id, order.formation, order.role)
                == (row.replica_id, row.formation, fleet.RunnerRole.MEMBER) and
                self._now_ms >= runner.ready_ms)


def _document(size: bench_failures.Size, spares: int) -> documents.Document:
    account = documents.Account(name="bench", key_sha256="0" * 64)
    return documents.Document(service=SERVICE,
                              pool="gpu",
                              model="m",
                              version="1",
                              replica_vms=size.replica_vms,
                              capacity={
                                  DC:
                                      documents.Capacity(replicas=size.replicas,
                                                         spares=spares)
                              },
                              accounts=(account,),
                              costs=documents.Costs(load_s=LOAD_MS / 1000))


def _decoded(kind: type[T],
             rows: Sequence[store.Row]) -> tuple[dict[str, T], dict[str, int]]:
    names = [row.key.row.split("/", 1)[1] for row in rows]
    values = [store.decode(kind, row.value) for row in rows]
    versions = [row.version for row in rows]
    return (dict(zip(names, values,
                     strict=True)), dict(zip(names, versions, strict=True)))
