"""Small fakes of what nodes talk to: a table, and runners."""

from collections.abc import Iterable
import dataclasses
import itertools

from cardamommill import actions, fleet, store


class FakeTable:
    """Rows with versions; transactions are atomic.

    Attributes:
        rows: Value and version by key.
        writes: Rows written so far.
        transactions: Transactions committed so far.
        asked: Transactions tried so far, those that met a conflict included.
    """

    def __init__(self) -> None:
        self.rows: dict[store.Key, store.Row] = {}
        self.writes = 0
        self.transactions = 0
        self.asked = 0
        self._versions = itertools.count(1)

    def read(self, key: store.Key) -> store.Row:
        """Returns a row, with `store.ABSENT` where there is none."""
        return self.rows.get(key, store.Row(key))

    def scan(self, table: str, prefix: str) -> tuple[store.Row, ...]:
        """Returns the rows of a table whose key has a prefix."""
        return tuple(row for key, row in sorted(self.rows.items(),
                                                key=lambda item: item[0].row)
                     if key.table == table and key.row.startswith(prefix))

    def put(self, key: store.Key, value: str | None) -> None:
        """Writes a row, or deletes it where the value is None."""
        version = next(self._versions)
        self.writes += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = store.Row(key, version, value)

    def transact(self, wanted: actions.Transact) -> tuple[store.Row, ...]:
        """Commits, or returns the rows whose condition failed."""
        return self.commit(wanted.conditions, wanted.writes)

    def commit(self, conditions: Iterable[store.Condition],
               writes: Iterable[store.Write]) -> tuple[store.Row, ...]:
        """Writes all, or returns the rows whose condition failed."""
        self.asked += 1
        failed = tuple(
            self.read(each.key)
            for each in conditions
            if self.read(each.key).version != each.version)
        if not failed:
            self.transactions += 1
            for write in writes:
                self.put(write.key, write.value)
        return failed


@dataclasses.dataclass(slots=True)
class FakeRunner:
    """A runner: what it believes, and how long its orders take.

    Attributes:
        vm: Its VM.
        load_ms: How long it takes to load weights.
        form_ms: How long it takes to join its members.
        checks_fencing: Whether it refuses an order with an old number.
        up: Whether it runs; one that went down comes back with a new boot.
        paused: Whether it stands still.
        boots: How often it started.
        order: The last order that it took.
        loaded: The weights that it holds or is loading.
        loaded_ms: When it holds them.
        ready_ms: When it has done what it was ordered.
        fence: The highest fencing number that it took.
        leaving: Whether it says that its VM will go.
        running: How many requests it says that it runs.
        adapters: The adapters that it was ordered to load, in order.
    """

    vm: fleet.Vm
    load_ms: int = 20_000
    form_ms: int = 500
    checks_fencing: bool = True
    up: bool = True
    paused: bool = False
    boots: int = 1
    order: fleet.Order | None = None
    loaded: str = ""
    loaded_ms: int = 0
    ready_ms: int = 0
    fence: int = 0
    leaving: bool = False
    running: int = 0
    adapters: list[str] = dataclasses.field(default_factory=list)

    def take(self, order: fleet.Order, now_ms: int) -> bool:
        """Tells whether it takes an order, and takes it."""
        if self.checks_fencing and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        if order.kind is fleet.OrderKind.LOAD_ADAPTER:
            self.adapters.append(order.adapter)
            return True
        if self._same(order):
            return True
        if order.kind is fleet.OrderKind.RELEASE:
            self.order = None
            if now_ms < self.loaded_ms:
                self.loaded = ""
            return True
        if order.model != self.loaded:
            self.loaded = order.model
            self.loaded_ms = now_ms + (self.load_ms if order.model else 0)
        self.ready_ms = max(now_ms, self.loaded_ms) + self.form_ms
        self.order = order
        return True

    def restart(self) -> None:
        """Starts again with nothing loaded and nothing believed."""
        self.boots += 1
        self.up = True
        self.order = None
        self.loaded = ""
        self.loaded_ms = 0
        self.fence = 0

    def report(self, now_ms: int) -> fleet.RunnerReport:
        """Returns what it says of itself."""
        order = self.order or fleet.Order("", fleet.OrderKind.RELEASE,
                                          self.vm.vm_id, 0)
        return fleet.RunnerReport(
            self.vm.vm_id,
            f"{self.vm.vm_id}/{self.boots}",
            order.replica_id,
            order.epoch,
            order.formation,
            order.role,
            self.loaded if now_ms >= self.loaded_ms else "",
            self.order is not None and now_ms >= self.ready_ms,
            8,
            self.running,
            leaving=self.leaving,
            highest_fence=self.fence)

    def _same(self, order: fleet.Order) -> bool:
        return self.order is not None and dataclasses.replace(
            order, order_id="", fence=0) == dataclasses.replace(
                self.order, order_id="", fence=0)
