"""Keeps the decisions about harmful requests in the store.

Nodes tell each other of these decisions, so the store is only needed if all of
them restart. One row holds all decisions, since it is written as a whole by
whichever node is the first by name.
"""

import asyncio
from collections.abc import Iterator
import json
from typing import Any

import logbook

from cardamommill import exceptions, logs
from cardamommill.domain import clock
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.requests import quarantine
from cardamommill.gateway.shell import crashes
from cardamommill.platform import storecalls, wirenames

# A node that has started reads the row once it knows the other nodes.
READ_DELAY_MS = 500.0
CHECK_INTERVAL_MS = 500.0
RETRY_INTERVAL_MS = 2000.0
# How many decisions the row holds, the newest first.
MAX_DECISIONS = 64

_LOG = logbook.Logger("crashes")


class QuarantineTable:
    """Reads the row after the start, and writes it after each decision."""

    def __init__(self, store: storecalls.StoreClient,
                 runner_crashes: crashes.Crashes, node_peers: peers.Peers,
                 node: str) -> None:
        """Initialises the instance without reading anything.

        Args:
            store: The platform's store.
            runner_crashes: Has the decisions in force.
            node_peers: The other nodes.
            node: The name of this node.
        """
        self._store = store
        self._crashes = runner_crashes
        self._peers = node_peers
        self._node = node
        self._saved_count = 0

    async def follow(self) -> None:
        """Reads the row, then keeps it up to date; never returns."""
        await asyncio.sleep(READ_DELAY_MS / 1000)
        # The reporters tell the other nodes of their data centre.
        if self._peers.is_reporter:
            while not await self._read():
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            if self._should_write() and not await self._write():
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)

    def _should_write(self) -> bool:
        if self._saved_count == self._crashes.decision_count:
            return False
        live_nodes = self._peers.live_nodes(clock.now_ms()).values()
        return self._node == min(name for names in live_nodes for name in names)

    async def _read(self) -> bool:
        """Reads the row; returns whether the store answered."""
        try:
            rows = await self._store.table(wirenames.QUARANTINE_TABLE)
        except exceptions.StoreError as error:
            _LOG.warning(logs.line("quarantine-unread", reason=str(error)))
            return False
        now_ms = clock.now_ms()
        for row in rows.rows:
            if row.key == wirenames.QUARANTINE_KEY:
                self._crashes.restore(_decode(row.value, rows.store_ms, now_ms),
                                      now_ms)
        return True

    async def _write(self) -> bool:
        """Writes the row; returns whether the store has it."""
        count, now_ms = self._crashes.decision_count, clock.now_ms()
        store_ms = self._store.store_time_ms(now_ms)
        if store_ms is None:
            return False
        decisions = sorted(self._crashes.quarantine.decisions(),
                           key=lambda each: -each.at_ms)[:MAX_DECISIONS]
        value = [[
            each.digest,
            int(store_ms - (now_ms - each.at_ms)), each.is_cleared
        ] for each in decisions]
        try:
            await self._store.put(wirenames.QUARANTINE_TABLE,
                                  wirenames.QUARANTINE_KEY,
                                  json.dumps(value).encode())
        except exceptions.StoreError as error:
            _LOG.warning(logs.line("quarantine-unwritten", reason=str(error)))
            return False
        self._saved_count = count
        return True


def _decode(value: bytes, store_ms: float,
            now_ms: float) -> Iterator[quarantine.Decision]:
    """Yields the decisions of a row, without malformed ones.

    Args:
        value: The value of the row.
        store_ms: The store's clock when it answered. It may have jumped back in
            a restore, so that a decision seems to be made later.
        now_ms: This node's clock at the same time.
    """
    try:
        told: Any = json.loads(value)
    except ValueError:
        return
    for each in told if isinstance(told, list) else ():
        match each:
            case [int(digest), int(at_ms), bool(is_cleared)]:
                age_ms = max(0.0, store_ms - at_ms)
                yield quarantine.Decision(digest, now_ms - age_ms, is_cleared)
