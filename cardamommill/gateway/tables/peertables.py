"""Passes tables of the store on from one node to another."""

from collections.abc import Callable, Coroutine
import dataclasses
from typing import Any
from urllib import parse

import msgpack

from cardamommill import exceptions
from cardamommill.domain import clock, eras
from cardamommill.gateway.tables import tablecopies
from cardamommill.platform import fetching, storecalls
from cardamommill.transport import callers, replies, upstream

PATH = "/rows"
_STEP = "peer rows"
# Peers answer from memory. One that does not answer is soon replaced by the
# store, since leaving runners must be known without much delay.
ANSWER_TIMEOUT_MS = 250.0
# How long a query waits for the first copy on a node that has just started.
FIRST_COPY_TIMEOUT_MS = 200.0
# Longest time for which a query is held while nothing changes.
MAX_WAIT_MS = 2000.0

_OK = 200
_GONE = 410
_NOT_READY = 503

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class PeerNotReady(exceptions.StoreError):
    """A peer has no usable copy of a table yet."""


class PeerTableClient:
    """Reads tables from one peer, with the same methods as the store."""

    def __init__(self, pool: upstream.Pool, address: upstream.Address,
                 known: eras.EraTracker) -> None:
        """Initialises the client.

        Args:
            pool: Connections to peers.
            address: Address of the peer.
            known: The eras that answers reported; each answer updates them.
        """
        self._pool = pool
        self._address = address
        self._eras = known
        self._peer = f"{address[0]}:{address[1]}"

    async def table(self, table: str) -> storecalls.Rows:
        """Returns all rows of a table.

        Raises:
            StoreError: There was no usable answer.
        """
        query = {"table": table, "era": self._eras.newest}
        return await self._fetch(query, ANSWER_TIMEOUT_MS)

    async def wait_for_changes(self, table: str, after: eras.TablePosition,
                               wait_ms: int) -> storecalls.Rows:
        """Returns the rows that changed, once there are any or at the timeout.

        Raises:
            HistoryLost: The whole table must be read.
            StoreError: There was no usable answer.
        """
        query = {
            "table": table,
            "era": after.era,
            "after": after.version,
            "wait_ms": wait_ms
        }
        rows = await self._fetch(query, wait_ms + ANSWER_TIMEOUT_MS)
        if rows.era != after.era:
            raise storecalls.StoreRestored(
                f"got rows of era {rows.era}, expected era {after.era}",
                step=_STEP,
                peer=self._peer)
        return rows

    async def _fetch(self, query: dict[str, Any],
                     timeout_ms: float) -> storecalls.Rows:
        request = fetching.request_bytes("GET",
                                         f"{PATH}?{parse.urlencode(query)}",
                                         [("Host", self._peer)])
        asked_ms = clock.now_ms()
        answer = await fetching.fetch(self._pool, self._address, request,
                                      timeout_ms)
        if answer.head.status == _NOT_READY:
            raise PeerNotReady(
                f"status {_NOT_READY}: peer has not read the table yet",
                step=_STEP,
                peer=self._peer)
        storecalls.check(answer, _STEP, self._peer)
        rows = self._decode(answer.body, asked_ms)
        self._eras.observe(rows.era)
        if rows.era < self._eras.newest:
            raise PeerNotReady(
                f"got rows of era {rows.era}, expected era {self._eras.newest}",
                step=_STEP,
                peer=self._peer)
        return rows

    def _decode(self, body: bytes, asked_ms: float) -> storecalls.Rows:
        try:
            version, age_ms, rows, *era = msgpack.unpackb(body)
            found = tuple(
                storecalls.Row(str(key), bytes(value), int(number), bool(gone))
                for key, value, number, gone in rows)
            # The peer computes the age at the arrival of the query, which is
            # after `asked_ms`. So the difference of the two is never later than
            # the time of the data.
            return storecalls.Rows(found, int(version),
                                   asked_ms - float(age_ms),
                                   int(era[0]) if era else self._eras.first)
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise exceptions.StoreError(f"malformed rows: {error!r}",
                                        step=_STEP,
                                        peer=self._peer) from error


@dataclasses.dataclass(frozen=True, slots=True)
class _RowsQuery:
    """A follower's query.

    Attributes:
        after: Version after which changes are wanted; None for all rows.
        era: Era of that version; None from a follower that uses the previous
            format, whose answers contain no era.
        wait_ms: How long the query is held while nothing changes.
        received_ms: When the query was received.
    """

    after: int | None
    era: int | None
    wait_ms: float
    received_ms: float

    def has_other_era(self, era: int) -> bool:
        """Whether the query's version was assigned in another era than this."""
        return self.era is not None and self.era != era


class _PendingAnswer:
    """A query that is held until there is an answer."""

    def __init__(self) -> None:
        self.left = False

    def caller_left(self) -> None:
        """Records that the follower has closed the connection."""
        self.left = True


class PeerTableServer:
    """Answers queries of peers from this node's copies."""

    def __init__(self, copies: tablecopies.TableCopies, spawn: Spawn) -> None:
        self._copies = copies
        self._spawn = spawn

    def on_request(self, request: callers.CallerRequest,
                   reply: replies.Reply) -> callers.ActiveRequest | None:
        """Answers a query, at once or when there are changes."""
        path, _, query = request.target.partition("?")
        fields = dict(parse.parse_qsl(query))
        try:
            name = fields["table"]
            rows_query = _RowsQuery(
                int(fields["after"]) if "after" in fields else None,
                int(fields["era"]) if "era" in fields else None,
                min(MAX_WAIT_MS, float(fields.get("wait_ms", 0))),
                clock.now_ms())
        except (KeyError, ValueError):
            reply.send(400, [], b"no table, or no number\n")
            return None
        if path != PATH:
            reply.send(404, [], b"no such page\n")
            return None
        table = self._copies.table(name)
        if table.is_loaded and rows_query.after is None:
            _answer(reply, table, table.all_rows(), rows_query)
            return None
        pending = _PendingAnswer()
        if table.is_loaded:
            answering = _answer_changes(reply, table, pending, rows_query)
        else:
            answering = _answer_first_copy(reply, table, pending, rows_query)
        self._spawn(answering)
        return pending


async def _answer_first_copy(reply: replies.Reply, table: tablecopies.TableCopy,
                             pending: _PendingAnswer,
                             rows_query: _RowsQuery) -> None:
    """Waits for this node's first copy and answers with it.

    When nodes start together, followers query a reader before it has a copy.
    When they were refused at once, all of them turned to the store.
    """
    await table.wait_for_change(FIRST_COPY_TIMEOUT_MS)
    if pending.left:
        return
    if table.is_loaded:
        _answer(reply, table, table.all_rows(), rows_query)
    else:
        reply.send(_NOT_READY, [], b"not read yet\n")


async def _answer_changes(reply: replies.Reply, table: tablecopies.TableCopy,
                          pending: _PendingAnswer,
                          rows_query: _RowsQuery) -> None:
    until_ms = rows_query.received_ms + rows_query.wait_ms
    while not pending.left:
        rows = table.changes_since(rows_query.after or 0)
        if rows is None or rows_query.has_other_era(table.era):
            reply.send(_GONE, [], b"forgotten\n")
            return
        remaining_ms = until_ms - clock.now_ms()
        if rows or remaining_ms <= 0:
            _answer(reply, table, rows, rows_query)
            return
        await table.wait_for_change(remaining_ms)


def _answer(reply: replies.Reply, table: tablecopies.TableCopy,
            rows: tuple[storecalls.Row, ...], rows_query: _RowsQuery) -> None:
    """Answers with rows and their age at the time when the query was received.

    The follower subtracts the age from the time at which it sent the query.
    With the age at the time of the answer, data appeared older by the time for
    which the query was held, and followers abandoned working readers.
    """
    told = [
        table.version, rows_query.received_ms - table.as_of_ms,
        [[each.key, each.value, each.version, each.deleted] for each in rows]
    ]
    if rows_query.era is not None:
        told.append(table.era)
    body = msgpack.packb(told)
    reply.send(_OK, [("Content-Type", "application/msgpack")], body)
