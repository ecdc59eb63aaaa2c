"""The link to the platform: tables, objects and the list of VMs."""

from collections.abc import Callable
from concurrent import futures
import functools
import http
import itertools
import json
import secrets
from typing import Any, Literal
import urllib.parse

import pydantic
from returns import result

from cardamommill import actions, events, exceptions, fleet, httpcalls, store

SCAN_LIMIT = 10_000


class _RowAnswer(pydantic.BaseModel):
    table: str
    row: str
    version: int
    value: str | None = None

    def as_row(self) -> store.Row:
        return store.Row(store.Key(self.table, self.row), self.version,
                         self.value or "")


class _RowsAnswer(pydantic.BaseModel):
    rows: list[_RowAnswer]
    more: bool = False

    def as_rows(self) -> tuple[store.Row, ...]:
        return tuple(row.as_row() for row in self.rows)


class _TransactAnswer(pydantic.BaseModel):
    committed: bool
    rows: list[_RowAnswer] = []


class _VmAnswer(pydantic.BaseModel):
    vm_id: str
    address: str
    data_centre: str
    fabric_domain: str
    pool: str
    state: Literal["live", "leaving"]

    def as_vm(self) -> fleet.Vm:
        return fleet.Vm(self.vm_id, self.address,
                        self.data_centre, self.fabric_domain, self.pool,
                        fleet.VmState(self.state))


class _VmsAnswer(pydantic.BaseModel):
    vms: list[_VmAnswer]


class PlatformLink:
    """Performs actions on the platform and posts what came of them."""

    def __init__(self, calls: httpcalls.HttpCalls, address: str,
                 data_centre: str, timeout_ms: int) -> None:
        """Makes the link.

        Args:
            calls: Makes the calls.
            address: The platform's, ``ip:port``.
            data_centre: Whose VMs to list.
            timeout_ms: After which a call has failed.
        """
        self._calls = calls
        self._base = f"http://{address}"
        self._data_centre = data_centre
        self._timeout_ms = timeout_ms
        # Attempts are told apart over all nodes and all their lives: a
        # platform that drops repeats must not take one's write for another's.
        self._life = secrets.token_hex(8)
        self._serials = itertools.count(1)

    @functools.singledispatchmethod
    def perform(self, action: actions.Action, post: Callable[[events.Event],
                                                             None]) -> None:
        """Performs an action.

        Args:
            action: One of those on the platform.
            post: Takes the event that comes of it, once, on any thread.
        """
        raise NotImplementedError(type(action).__name__)

    @perform.register
    def _(self, action: actions.Transact, post: Callable[[events.Event],
                                                         None]) -> None:
        body = {
            "attempt":
                f"{self._life}/{next(self._serials)}",
            "conditions": [{
                "table": each.key.table,
                "row": each.key.row,
                "version": each.version
            } for each in action.conditions],
            "writes": [{
                "table": each.key.table,
                "row": each.key.row,
                "value": each.value
            } for each in action.writes],
        }
        self._call(
            "POST", "/tables/transact", _json(body),
            lambda outcome: post(_transact_answered(action.token, outcome)))

    @perform.register
    def _(self, action: actions.ReadRows, post: Callable[[events.Event],
                                                         None]) -> None:
        body = {
            "keys": [{
                "table": key.table,
                "row": key.row
            } for key in action.keys]
        }
        self._call("POST", "/tables/read", _json(body),
                   lambda outcome: post(_rows_read(action.token, outcome)))

    @perform.register
    def _(self, action: actions.ScanRows, post: Callable[[events.Event],
                                                         None]) -> None:
        query = urllib.parse.urlencode({
            "prefix": action.prefix,
            "limit": SCAN_LIMIT
        })
        self._call("GET", f"/tables/{action.table}?{query}", b"",
                   lambda outcome: post(_rows_read(action.token, outcome)))

    @perform.register
    def _(self, action: actions.PutObject, post: Callable[[events.Event],
                                                          None]) -> None:
        self._call(
            "PUT", _object_path(action.key), action.body, lambda outcome: post(
                events.ObjectAnswered(
                    action.token,
                    _status(outcome) == http.HTTPStatus.NO_CONTENT)))

    @perform.register
    def _(self, action: actions.GetObject, post: Callable[[events.Event],
                                                          None]) -> None:
        self._call(
            "GET", _object_path(action.key), b"", lambda outcome: post(
                events.ObjectAnswered(
                    action.token,
                    _status(outcome) == http.HTTPStatus.OK,
                    outcome.map(lambda answer: answer.body).value_or(b""))))

    @perform.register
    def _(self, action: actions.ListVms, post: Callable[[events.Event],
                                                        None]) -> None:
        query = urllib.parse.urlencode({"data_centre": self._data_centre})
        self._call("GET", f"/vms?{query}", b"",
                   lambda outcome: post(_vms_listed(outcome)))

    def _call(self, method: str, path: str, body: bytes,
              done: Callable[[httpcalls.Outcome], None]) -> None:
        self._calls.make(
            httpcalls.Call(method,
                           self._base + path,
                           self._timeout_ms,
                           body,
                           step=path.split("?")[0]), done)


class SyncPlatform:
    """Waits for answers of the platform; not for the control thread."""

    def __init__(self, link: PlatformLink) -> None:
        self._link = link
        self._serial = 0

    def read(self, keys: tuple[store.Key, ...]) -> tuple[store.Row, ...]:
        """Returns the rows, in the order of the keys.

        Raises:
            StoreError: No answer came.
        """
        answer = self._wait(actions.ReadRows(self._token(), keys))
        return self._rows(answer, "read")

    def scan(self, table: str, prefix: str) -> tuple[store.Row, ...]:
        """Returns the rows whose key starts with the prefix.

        Raises:
            StoreError: No answer came.
        """
        answer = self._wait(actions.ScanRows(self._token(), table, prefix))
        return self._rows(answer, "scan")

    def transact(self, conditions: tuple[store.Condition, ...],
                 writes: tuple[store.Write, ...]) -> events.TransactAnswered:
        """Returns how the transaction ended."""
        answer = self._wait(actions.Transact(self._token(), conditions, writes))
        assert isinstance(answer, events.TransactAnswered)
        return answer

    def _token(self) -> events.Token:
        self._serial += 1
        return events.Token("sync", self._serial)

    def _wait(self, action: actions.Action) -> events.Event:
        answer: futures.Future[events.Event] = futures.Future()
        self._link.perform(action, answer.set_result)
        return answer.result()

    def _rows(self, answer: events.Event, step: str) -> tuple[store.Row, ...]:
        if not isinstance(answer, events.RowsRead) or answer.rows is None:
            raise exceptions.StoreError("the platform gave no answer",
                                        step=step,
                                        peer="platform")
        return answer.rows


def _json(body: Any) -> bytes:
    return json.dumps(body).encode()


def _object_path(key: str) -> str:
    return f"/objects/{urllib.parse.quote(key)}"


def _status(outcome: httpcalls.Outcome) -> int:
    return outcome.map(lambda answer: answer.status).value_or(0)


def _transact_answered(token: events.Token,
                       outcome: httpcalls.Outcome) -> events.TransactAnswered:
    if isinstance(outcome, result.Failure):
        not_sent = outcome.failure().not_sent
        return events.TransactAnswered(
            token, store.TransactOutcome.NOT_RUN
            if not_sent else store.TransactOutcome.UNKNOWN)
    answer = outcome.unwrap()
    if answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return events.TransactAnswered(token, store.TransactOutcome.NOT_RUN)
    try:
        parsed = _TransactAnswer.model_validate_json(answer.body)
    except pydantic.ValidationError:
        # An answer that makes no sense says nothing of what was done.
        return events.TransactAnswered(token, store.TransactOutcome.UNKNOWN)
    return events.TransactAnswered(
        token, store.TransactOutcome.COMMITTED
        if parsed.committed else store.TransactOutcome.CONFLICT,
        tuple(row.as_row() for row in parsed.rows))


def _rows_read(token: events.Token,
               outcome: httpcalls.Outcome) -> events.RowsRead:
    if _status(outcome) != http.HTTPStatus.OK:
        return events.RowsRead(token, None)
    try:
        parsed = _RowsAnswer.model_validate_json(outcome.unwrap().body)
    except pydantic.ValidationError:
        return events.RowsRead(token, None)
    # A list that was cut must not pass for a whole one: rows that are missing
    # from it would be taken for deleted.
    return events.RowsRead(token, None if parsed.more else parsed.as_rows())


def _vms_listed(outcome: httpcalls.Outcome) -> events.VmsListed:
    if _status(outcome) != http.HTTPStatus.OK:
        return events.VmsListed(None)
    try:
        parsed = _VmsAnswer.model_validate_json(outcome.unwrap().body)
    except pydantic.ValidationError:
        return events.VmsListed(None)
    return events.VmsListed(tuple(vm.as_vm() for vm in parsed.vms))
