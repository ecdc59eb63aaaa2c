"""A node's part in the table of nodes: its own row, the others', dead ones.

Without the table nodes go on with the addresses of their settings and with
what peers tell one another.
"""

from collections.abc import Callable, Iterable
import random as random_lib

from cardamommill import actions, contacts, events, fleet, store, watching
from cardamommill import board as board_lib

# The own data centre's part of the table is read often, all of it seldom: at
# 330 nodes a row each, the whole is half the size of a large answer.
NODES_READ_MS = 30_000
ALL_NODES_READ_MS = 600_000
RETRY_MS = 2_000
# A row whose node was silent for so long is deleted. Entry VMs are replaced
# every day; their rows would else pile up, and every node ask all the dead.
ROW_EXPIRY_MS = 3_600_000
DELETIONS_AT_ONCE = 4

_OWN_ROW = "own-row"
_OWN_NODES = "own-nodes"
_ALL_NODES = "all-nodes"
_DEAD_ROWS = "dead-rows"
# Without an answer the next read comes sooner than it would otherwise.
_RETRIES_MS = {_OWN_NODES: 4_000, _ALL_NODES: 60_000}

MakeToken = Callable[[str], events.Token]


class NodeTable:
    """Reads and writes rows of nodes, and passes on what they say."""

    def __init__(self, identity: fleet.NodeIdentity, known: contacts.Contacts,
                 token: MakeToken, random: random_lib.Random) -> None:
        self._identity = identity
        self._contacts = known
        self._token = token
        self._random = random
        self._row_written = False
        self._due_ms: dict[str, int] = {}
        # Since when a row's node has been silent, by row.
        self._silent_ms: dict[str, int] = {}

    def calls(self, now_ms: int) -> Iterable[actions.Action]:
        """Yields the calls of the table that are due."""
        if not self._row_written and self._is_due(_OWN_ROW, RETRY_MS, now_ms):
            yield actions.Transact(
                self._token(_OWN_ROW), (),
                (store.Write(self._own_key(), store.encode(self._identity)),))
        if self._is_due(_OWN_NODES, NODES_READ_MS, now_ms):
            yield actions.ScanRows(self._token(_OWN_NODES), store.NODES,
                                   f"{self._identity.data_centre}/")
        if self._is_due(_ALL_NODES, ALL_NODES_READ_MS, now_ms):
            yield actions.ScanRows(self._token(_ALL_NODES), store.NODES, "")

    def _own_key(self) -> store.Key:
        return store.Key(
            store.NODES,
            f"{self._identity.data_centre}/{self._identity.node_id}")

    def _is_due(self, what: str, period_ms: int, now_ms: int) -> bool:
        if now_ms < self._due_ms.get(what, board_lib.NEVER_MS):
            return False
        # Spread, so that nodes that started together do not act together.
        self._due_ms[what] = now_ms + int(
            period_ms * self._random.uniform(0.8, 1.0))
        return True

    def written(self, event: events.TransactAnswered) -> None:
        """Takes the end of a transaction."""
        if (event.token.subject == _OWN_ROW and
                event.outcome is store.TransactOutcome.COMMITTED):
            self._row_written = True

    def read(self, event: events.RowsRead, alive: Iterable[str],
             now_ms: int) -> Iterable[actions.Action]:
        """Takes rows as read; yields what is to be done about them.

        Args:
            event: The answer to one of this object's reads.
            alive: The nodes of this data centre, with this one.
            now_ms: The local monotonic time.
        """
        if event.rows is None:
            # Uneven, so that its return is not met by all nodes at once.
            self._due_ms[event.token.subject] = now_ms + int(
                _RETRIES_MS[event.token.subject] *
                self._random.uniform(0.5, 1.0))
            return
        own_row = None
        for row in event.rows:
            if row.key == self._own_key():
                own_row = row
            else:
                identity = _identity(row)
                if identity is not None:
                    self._contacts.learn(identity, now_ms)
        if event.token.subject == _OWN_NODES:
            self._check_own(own_row)
            yield from self._deletions(event.rows, alive, now_ms)

    def _check_own(self, row: store.Row | None) -> None:
        # Deleted while this node was cut off for long, or overwritten by a
        # write of its former life that arrived late: others would not find
        # it, or at a wrong address.
        written = _identity(row) if row else None
        if written is None or written.incarnation < self._identity.incarnation:
            self._row_written = False

    def _deletions(self, rows: Iterable[store.Row], alive: Iterable[str],
                   now_ms: int) -> Iterable[actions.Action]:
        heard = self._contacts.heard_since(now_ms - ROW_EXPIRY_MS)
        self._silent_ms = {
            row.key.row: self._silent_ms.get(row.key.row, now_ms)
            for row in rows
            if row.key != self._own_key() and _node_id(row) not in heard
        }
        expired = [
            row for row in rows
            if now_ms - self._silent_ms.get(row.key.row, now_ms) > ROW_EXPIRY_MS
        ][:DELETIONS_AT_ONCE]
        # One node does it. Conditional, so that a node that has just written
        # its row again keeps it.
        if expired and self._identity.node_id in watching.chosen(
                "dead-rows", alive, 1):
            yield actions.Transact(
                self._token(_DEAD_ROWS),
                tuple(store.Condition(row.key, row.version) for row in expired),
                tuple(store.Write(row.key, None) for row in expired))


def _node_id(row: store.Row) -> str:
    return row.key.row.rpartition("/")[2]


def _identity(row: store.Row) -> fleet.NodeIdentity | None:
    try:
        return store.decode(fleet.NodeIdentity, row.value)
    except ValueError:
        return None
