"""A stand-in of the platform: tables, objects and the list of VMs.

For tests, benches and the quick start; docs/STANDINS.md has its interface.
"""

from collections.abc import Callable
import dataclasses
import random
import threading
import time
from typing import Any, Self

from cardamommill import fleet, standin_http

DEFAULT_SCAN_LIMIT = 1000
# Calls for tests and people; no fault touches these.
MANAGEMENT = frozenset({"faults", "counters"})


@dataclasses.dataclass(slots=True)
class Faults:
    """What the stand-in does wrong.

    Attributes:
        down: Refuses every call with 503.
        delay_ms: Answers each call so much later.
        lose_answers: The part of calls that take effect without an answer.
        seed: For the choice of those.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: float = 0.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Counters:
    """What the stand-in was asked to do, in rows, but for transactions."""

    reads: int = 0
    writes: int = 0
    transactions: int = 0
    conflicts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Stored:
    version: int
    value: str


class Tables:
    """Rows with versions, and transactions over them; thread-safe."""

    def __init__(self) -> None:
        self.counters = Counters()
        self._lock = threading.Lock()
        self._tables: dict[str, dict[str, _Stored]] = {}
        # One count for all rows: a row that was deleted and made again never
        # shows a version that it has had.
        self._last_version = 0

    def transact(self, conditions: list[dict[str, Any]],
                 writes: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Commits the writes, or returns the rows whose condition failed."""
        with self._lock:
            self.counters.transactions += 1
            failed = [
                self._row(each["table"], each["row"])
                for each in conditions
                if self._row(each["table"], each["row"])["version"] !=
                each["version"]
            ]
            if failed:
                self.counters.conflicts += 1
                return failed
            for each in writes:
                self._write(each["table"], each["row"], each["value"])
            return []

    def read(self, keys: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns a row per key, in order."""
        with self._lock:
            self.counters.reads += len(keys)
            return [self._row(each["table"], each["row"]) for each in keys]

    def scan(self, table: str, prefix: str, after: str,
             limit: int) -> tuple[list[dict[str, Any]], bool]:
        """Returns rows by key, and whether there are more."""
        with self._lock:
            names = sorted(name for name in self._tables.get(table, ())
                           if name.startswith(prefix) and name > after)
            rows = [self._row(table, name) for name in names[:limit]]
            self.counters.reads += len(rows)
            return rows, len(names) > limit

    def _row(self, table: str, name: str) -> dict[str, Any]:
        stored = self._tables.get(table, {}).get(name, _Stored(0, ""))
        return {
            "table": table,
            "row": name,
            "version": stored.version,
            "value": stored.value
        }

    def _write(self, table: str, name: str, value: str | None) -> None:
        self.counters.writes += 1
        rows = self._tables.setdefault(table, {})
        if value is None:
            rows.pop(name, None)
            return
        self._last_version += 1
        rows[name] = _Stored(self._last_version, value)


class VmList:
    """The list of VMs, which shows each change late; thread-safe."""

    def __init__(self, lag_ms: int) -> None:
        self._lag_s = lag_ms / 1000
        self._lock = threading.Lock()
        self._now: dict[str, fleet.Vm] = {}
        self._shown: dict[str, fleet.Vm] = {}
        self._pending: list[tuple[float, str, fleet.Vm | None]] = []

    def put(self, vm: fleet.Vm) -> None:
        """Adds or replaces a VM."""
        self._change(vm.vm_id, vm)

    def remove(self, vm_id: str) -> None:
        """Removes a VM."""
        self._change(vm_id, None)

    def set_state(self, vm_id: str, state: fleet.VmState) -> None:
        """Changes a VM's state; raises KeyError for an unknown one."""
        self._change(vm_id, dataclasses.replace(self._now[vm_id], state=state))

    def shown(self, data_centre: str) -> list[fleet.Vm]:
        """Returns what is visible by now; all where no data centre is named."""
        with self._lock:
            self._let_pass()
            return [
                vm for vm in self._shown.values()
                if data_centre in ("", vm.data_centre)
            ]

    def _change(self, vm_id: str, vm: fleet.Vm | None) -> None:
        with self._lock:
            _set(self._now, vm_id, vm)
            self._pending.append((time.monotonic() + self._lag_s, vm_id, vm))

    def _let_pass(self) -> None:
        now_s = time.monotonic()
        while self._pending and self._pending[0][0] <= now_s:
            _, vm_id, vm = self._pending.pop(0)
            _set(self._shown, vm_id, vm)


def _set(vms: dict[str, fleet.Vm], vm_id: str, vm: fleet.Vm | None) -> None:
    if vm is None:
        vms.pop(vm_id, None)
    else:
        vms[vm_id] = vm


class Platform:
    """The stand-in as a whole; a context manager.

    Attributes:
        address: Where it listens, ``ip:port``.
    """

    def __init__(self, port: int = 0, lag_ms: int = 0) -> None:
        """Makes it, without any rows or VMs.

        Args:
            port: The port on 127.0.0.1; 0 for any free one.
            lag_ms: How late the list of VMs shows a change.
        """
        self._tables = Tables()
        self._vms = VmList(lag_ms)
        self._objects: dict[str, bytes] = {}
        self._faults = Faults()
        self._random = random.Random(self._faults.seed)
        self._handlers: dict[str,
                             Callable[[standin_http.Call, str],
                                      standin_http.Reply]] = {
                                          "tables": self._answer_tables,
                                          "objects": self._answer_objects,
                                          "vms": self._answer_vms,
                                          "faults": self._answer_faults,
                                          "counters": self._answer_counters,
                                      }
        self._server = standin_http.Server(self._handle, port)
        self.address = self._server.address

    def __enter__(self) -> Self:
        self._server.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._server.__exit__(*exception)

    def _handle(self, call: standin_http.Call) -> standin_http.Reply:
        _, area, *rest = call.path.split("/", 2)
        handler = self._handlers.get(area)
        if handler is None:
            return standin_http.json_reply({"detail": "no such path"}, 404)
        name = rest[0] if rest else ""
        if area in MANAGEMENT or (area == "vms" and call.method != "GET"):
            return handler(call, name)
        if self._faults.down:
            return standin_http.json_reply({"detail": "down"}, 503)
        if self._faults.delay_ms:
            time.sleep(self._faults.delay_ms / 1000)
        reply = handler(call, name)
        if self._random.random() < self._faults.lose_answers:
            raise standin_http.BrokenAnswer
        return reply

    def _answer_tables(self, call: standin_http.Call,
                       name: str) -> standin_http.Reply:
        if (call.method, name) == ("POST", "transact"):
            body = call.json()
            failed = self._tables.transact(body["conditions"], body["writes"])
            if failed:
                return standin_http.json_reply(
                    {
                        "committed": False,
                        "rows": failed
                    }, 409)
            return standin_http.json_reply({"committed": True})
        if (call.method, name) == ("POST", "read"):
            rows = self._tables.read(call.json()["keys"])
            return standin_http.json_reply({"rows": rows})
        rows, more = self._tables.scan(
            name, call.query.get("prefix", ""), call.query.get("after", ""),
            int(call.query.get("limit", DEFAULT_SCAN_LIMIT)))
        return standin_http.json_reply({"rows": rows, "more": more})

    def _answer_objects(self, call: standin_http.Call,
                        name: str) -> standin_http.Reply:
        if call.method == "PUT":
            self._objects[name] = call.body
            return standin_http.Reply(204)
        if name not in self._objects:
            return standin_http.json_reply({"detail": "no such object"}, 404)
        if call.method == "DELETE":
            self._objects.pop(name, None)
            return standin_http.Reply(204)
        return standin_http.Reply(200, self._objects[name],
                                  "application/octet-stream")

    def _answer_vms(self, call: standin_http.Call,
                    name: str) -> standin_http.Reply:
        if call.method == "GET":
            shown = self._vms.shown(call.query.get("data_centre", ""))
            return standin_http.json_reply(
                {"vms": [dataclasses.asdict(vm) for vm in shown]})
        vm_id, _, part = name.partition("/")
        if call.method == "DELETE":
            self._vms.remove(vm_id)
        elif part == "state":
            self._vms.set_state(vm_id, fleet.VmState(call.json()))
        else:
            fields = call.json()
            fields["state"] = fleet.VmState(fields.get("state", "live"))
            self._vms.put(fleet.Vm(**fields))
        return standin_http.Reply(204)

    def _answer_faults(self, call: standin_http.Call,
                       name: str) -> standin_http.Reply:
        del name
        self._faults = Faults(**call.json())
        self._random = random.Random(self._faults.seed)
        return standin_http.Reply(204)

    def _answer_counters(self, call: standin_http.Call,
                         name: str) -> standin_http.Reply:
        del call, name
        return standin_http.json_reply(dataclasses.asdict(
            self._tables.counters))
