"""Tables of the store as nodes pass them on to each other."""

from collections.abc import Callable, Coroutine
import dataclasses
from typing import Any
from urllib import parse

import msgpack

from cardamommill import exceptions
from cardamommill.gateway import (
    callers,
    clock,
    eras,
    fetching,
    replies,
    tablecopies,
    upstream,
)
from cardamommill.platform import storecalls

PATH = "/rows"
_STEP = "peer rows"
# A peer answers from its memory; one that has fallen silent is left for the
# store soon, since what is known of leaving runners must stay young.
ANSWER_TIMEOUT_MS = 250.0
# A peer that has just started may read its first copy within this.
FIRST_COPY_TIMEOUT_MS = 200.0
# The longest that anybody waits for news in one call.
MAX_WAIT_MS = 2000.0

_OK = 200
_GONE = 410
_UNREADY = 503

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class PeerNotReady(exceptions.StoreError):
    """A peer has no copy of a table yet."""


class PeerTableClient:
    """The tables of one peer; asked like the store."""

    def __init__(self, pool: upstream.Pool, address: upstream.Address,
                 known: eras.EraTracker) -> None:
        """Makes it.

        Args:
            pool: Connections.
            address: Of the peer.
            known: The store's eras; kept up to date.
        """
        self._pool = pool
        self._address = address
        self._eras = known
        self._peer = f"{address[0]}:{address[1]}"

    async def table(self, table: str) -> storecalls.Rows:
        """Returns all rows of a table.

        Raises:
            StoreError: No answer that can be used.
        """
        query = {"table": table, "era": self._eras.newest}
        return await self._ask(query, ANSWER_TIMEOUT_MS)

    async def feed(self, table: str, after: eras.TablePosition,
                   wait_ms: int) -> storecalls.Rows:
        """Returns what changed in a table, when something has.

        Raises:
            HistoryLost: The table must be read whole.
            StoreError: No answer that can be used.
        """
        query = {
            "table": table,
            "era": after.era,
            "after": after.version,
            "wait_ms": wait_ms
        }
        rows = await self._ask(query, wait_ms + ANSWER_TIMEOUT_MS)
        if rows.era != after.era:
            raise storecalls.Restored(f"era {rows.era} in place of {after.era}",
                                      step=_STEP,
                                      peer=self._peer)
        return rows

    async def _ask(self, query: dict[str, Any],
                   timeout_ms: float) -> storecalls.Rows:
        request = fetching.request_bytes("GET",
                                         f"{PATH}?{parse.urlencode(query)}",
                                         [("Host", self._peer)])
        asked_ms = clock.now_ms()
        answer = await fetching.fetch(self._pool, self._address, request,
                                      timeout_ms)
        if answer.head.status == _UNREADY:
            raise PeerNotReady(f"status {_UNREADY}: not read yet",
                               step=_STEP,
                               peer=self._peer)
        storecalls.check(answer, _STEP, self._peer)
        rows = self._decoded(answer.body, asked_ms)
        self._eras.observe(rows.era)
        if rows.era < self._eras.newest:
            raise PeerNotReady(f"of era {rows.era}, not {self._eras.newest}",
                               step=_STEP,
                               peer=self._peer)
        return rows

    def _decoded(self, body: bytes, asked_ms: float) -> storecalls.Rows:
        try:
            version, age_ms, rows, *era = msgpack.unpackb(body)
            found = tuple(
                storecalls.Row(str(key), bytes(value), int(number), bool(gone))
                for key, value, number, gone in rows)
            # The peer answered after it was asked, so the time at which this
            # was true is not later than this.
            return storecalls.Rows(found, int(version),
                                   asked_ms - float(age_ms),
                                   int(era[0]) if era else self._eras.first)
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise exceptions.StoreError(f"malformed rows: {error!r}",
                                        step=_STEP,
                                        peer=self._peer) from error


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """What a follower asks.

    Attributes:
        after: The version up to which it knows all; None for none.
        era: Of that version; None from a follower of the former format, which
            is not told of eras.
        wait_ms: How long it waits for news.
        asked_ms: When it asked.
    """

    after: int | None
    era: int | None
    wait_ms: float
    asked_ms: float

    def is_of_other_era(self, era: int) -> bool:
        """Whether its version was given out in another era than this."""
        return self.era is not None and self.era != era


class _Waiting:
    """An answer that waits for news."""

    def __init__(self) -> None:
        self.left = False

    def caller_left(self) -> None:
        """Notes that nobody waits any more."""
        self.left = True


class PeerTableServer:
    """Answers peers from this node's copies."""

    def __init__(self, copies: tablecopies.TableCopies, spawn: Spawn) -> None:
        self._copies = copies
        self._spawn = spawn

    def on_request(self, request: callers.CallerRequest,
                   reply: replies.Reply) -> callers.ActiveRequest | None:
        """Answers at once, or once there is news."""
        path, _, query = request.target.partition("?")
        fields = dict(parse.parse_qsl(query))
        try:
            name = fields["table"]
            question = _Question(
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
        if table.is_loaded and question.after is None:
            _answer(reply, table, table.whole(), question)
            return None
        waiting = _Waiting()
        if table.is_loaded:
            later = _answer_changes(reply, table, waiting, question)
        else:
            later = _answer_first(reply, table, waiting, question)
        self._spawn(later)
        return waiting


async def _answer_first(reply: replies.Reply, table: tablecopies.TableCopy,
                        waiting: _Waiting, question: _Question) -> None:
    """Answers once there is a copy.

    Of nodes that start together those that read are no sooner than those that
    follow them; told that there is nothing yet, all turned to the store.
    """
    await table.wait_for_change(FIRST_COPY_TIMEOUT_MS)
    if waiting.left:
        return
    if table.is_loaded:
        _answer(reply, table, table.whole(), question)
    else:
        reply.send(_UNREADY, [], b"not read yet\n")


async def _answer_changes(reply: replies.Reply, table: tablecopies.TableCopy,
                          waiting: _Waiting, question: _Question) -> None:
    until_ms = question.asked_ms + question.wait_ms
    while not waiting.left:
        rows = table.changes_since(question.after or 0)
        if rows is None or question.is_of_other_era(table.era):
            reply.send(_GONE, [], b"forgotten\n")
            return
        left_ms = until_ms - clock.now_ms()
        if rows or left_ms <= 0:
            _answer(reply, table, rows, question)
            return
        await table.wait_for_change(left_ms)


def _answer(reply: replies.Reply, table: tablecopies.TableCopy,
            rows: tuple[storecalls.Row, ...], question: _Question) -> None:
    """Answers with rows, and their age as of the question.

    The asker dates them by its question, which came here no sooner: by their
    age as of the answer, the time that it waited here made them that much too
    old, and followers left sound readers.
    """
    told = [
        table.version, question.asked_ms - table.as_of_ms,
        [[each.key, each.value, each.version, each.deleted] for each in rows]
    ]
    if question.era is not None:
        told.append(table.era)
    body = msgpack.packb(told)
    reply.send(_OK, [("Content-Type", "application/msgpack")], body)
