"""What the table says of a data centre's replicas and VMs, kept current."""

import functools
from typing import TypeVar, cast

from cardamommill import (
    actions,
    controller,
    events,
    fleet,
    peering,
    periods,
    store,
)
from cardamommill import board as board_lib

# A table not read for so many periods can't be read: peers' copies count.
STALE_READS = 3

INDEX = "index"
TABLES = (store.REPLICAS, store.VMS, store.DRAINS)

T = TypeVar("T")


class Assignments(controller.Controller):
    """Reads one index row often, and all rows only when it has moved."""

    name = "assignments"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._data_centre = board.identity.data_centre
        self._next_ms = 0
        self._sent_ms = 0
        self._index_version = store.ABSENT
        self._whole = False
        self._copied: set[str] = set()
        self._waiting: set[events.Token] = set()
        self._scans: dict[str, tuple[store.Row, ...]] = {}

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event; other types need nothing."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        if self._waiting or now_ms < self._next_ms:
            return ()
        self._sent_ms = now_ms
        self._next_ms = now_ms + self.timing.fleet_read_ms
        return (actions.ReadRows(
            self._ask(INDEX),
            (store.Key(store.INDEX, store.fleet_index(self._data_centre)),)),)

    @step.register
    def _(self, event: events.FleetChanged, now_ms: int) -> actions.Actions:
        del event
        self._next_ms = now_ms
        return ()

    @step.register
    def _(self, event: events.RowsRead, now_ms: int) -> actions.Actions:
        del now_ms
        if event.token not in self._waiting:
            return ()
        self._waiting.discard(event.token)
        if event.rows is None:
            self._waiting.clear()
        elif event.token.subject == INDEX:
            return self._take_index(event.rows[0].version)
        else:
            self._scans[event.token.subject] = event.rows
            if not self._waiting:
                self._take_scans()
        return ()

    @step.register
    def _(self, event: events.PeerPulled, now_ms: int) -> actions.Actions:
        if event.digest is None:
            return ()
        readable = self._readable(now_ms)
        for copy in event.digest.replicas:
            if copy.row.data_centre == self._data_centre:
                self._take_copy(copy, readable)
        return ()

    def _take_copy(self, copy: peering.ReplicaCopy, readable: bool) -> None:
        section = self.board.assignments
        replica_id = copy.row.replica_id
        known = section.replicas.get(replica_id)
        version = section.replica_versions.get(replica_id, store.ABSENT)
        if copy.version > version and not readable:
            section.replicas[replica_id] = copy.row
            section.replica_versions[replica_id] = copy.version
            # What was read last is no longer whole.
            self._whole = False
            self._copied.add(replica_id)
        elif copy.version == version and known is not None and (
                copy.row.formation > known.formation):
            # Formed without the table. Also a planner that reads the table
            # must know: it would form the table's members again, and nodes
            # that know better would never find them as they expect.
            self._take_formed(copy.row)

    @step.register
    def _(self, event: events.FormedWithoutTable,
          now_ms: int) -> actions.Actions:
        del now_ms
        self._take_formed(event.row)
        return ()

    def _take_formed(self, row: fleet.ReplicaRow) -> None:
        section = self.board.assignments
        section.replicas[row.replica_id] = row
        section.formed_without_table.add(row.replica_id)

    def _readable(self, now_ms: int) -> bool:
        stale_ms = STALE_READS * self.timing.fleet_read_ms
        return now_ms - self.board.assignments.read_ms <= stale_ms

    def _ask(self, subject: str) -> events.Token:
        token = self.token(subject)
        self._waiting.add(token)
        return token

    def _take_index(self, version: int) -> actions.Actions:
        section = self.board.assignments
        if self._whole and version == section.index_version:
            section.read_ms = self._sent_ms
            return ()
        self._index_version = version
        self._scans.clear()
        prefix = f"{self._data_centre}/"
        return tuple(
            actions.ScanRows(self._ask(table), table, prefix)
            for table in TABLES)

    def _take_scans(self) -> None:
        section = self.board.assignments
        self._look_at_copied(section)
        former = section.replica_versions
        section.replicas, section.replica_versions = self._newer(
            fleet.ReplicaRow, self._scans[store.REPLICAS], section.replicas,
            section.replica_versions)
        section.vms, section.vm_versions = self._newer(fleet.VmRow,
                                                       self._scans[store.VMS],
                                                       section.vms,
                                                       section.vm_versions)
        # A row keeps what was formed without the table until it is written.
        section.formed_without_table = {
            replica_id for replica_id in section.formed_without_table
            if section.replica_versions.get(replica_id) == former.get(
                replica_id, store.ABSENT)
        }
        section.drained = {
            _name(row) for row in self._scans[store.DRAINS] if row.version
        }
        # The index was read before the rows: whatever is written meanwhile
        # moves it again, and the next read sees that.
        section.index_version = self._index_version
        section.read_ms = self._sent_ms
        section.known = True
        self._whole = True

    def _look_at_copied(self, section: board_lib.AssignmentsSection) -> None:
        """Compares what peers told with the table's rows of that version.

        A peer's copy has a part of the causes only, and may be of a formation
        that the table doesn't know. Taken for the table's row, the members
        that went would keep their VMs' rows for ever.
        """
        for row in self._scans[store.REPLICAS]:
            replica_id = _name(row)
            copied = section.replicas.get(replica_id)
            if replica_id not in self._copied or copied is None or (
                    row.version != section.replica_versions[replica_id]):
                continue
            if copied.formation > self._formation(row):
                section.formed_without_table.add(replica_id)
            else:
                del section.replicas[replica_id]
        self._copied.clear()

    def _formation(self, row: store.Row) -> int:
        try:
            return store.decode(fleet.ReplicaRow, row.value).formation
        except ValueError:
            return 0

    def _newer(self, kind: type[T], rows: tuple[store.Row,
                                                ...], known: dict[str, T],
               versions: dict[str, int]) -> tuple[dict[str, T], dict[str, int]]:
        values: dict[str, T] = {}
        for row in rows:
            name = _name(row)
            if versions.get(name) == row.version and name in known:
                values[name] = known[name]
                continue
            try:
                values[name] = store.decode(kind, row.value)
            except ValueError:
                if kind is fleet.VmRow:
                    # Held by something that only a newer version can read.
                    values[name] = cast(T, _unreadable(name))
        return values, {_name(row): row.version for row in rows}


def _name(row: store.Row) -> str:
    return row.key.row.split("/", 1)[1]


def _unreadable(vm_id: str) -> fleet.VmRow:
    return fleet.VmRow(vm_id, fleet.VmUse.MEMBER, fleet.UNREADABLE, 0, "")
