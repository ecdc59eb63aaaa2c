"""Announcements of groups that their planners closed, to and from peers."""

from typing import Any

import logbook

from cardamommill import logs
from cardamommill.domain import clock, model
from cardamommill.gateway.fleet import availablegroups
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.shell import alarms

# Name of the section of datagrams that holds closed groups.
SECTION = "closed"

_EXPIRY_MS = 10 * alarms.ANNOUNCE_MS

_LOG = logbook.Logger("entry")


class ClosedGroups:
    """Closed groups to announce: this node's, and those it relays.

    The runner list shows a closed group up to a drain bound later. Until then
    its empty head attracted the requests of all nodes and refused them.
    """

    def __init__(self, available_groups: availablegroups.AvailableGroups,
                 drain_ms: float) -> None:
        """Initialises the instance without announcements.

        Args:
            available_groups: Updated with the groups that get no requests.
            drain_ms: The time within which the runner list is up to date.
        """
        self._available_groups = available_groups
        self._drain_ms = drain_ms
        self._closed_ms: dict[model.GroupKey, float] = {}

    def note(self, key: model.GroupKey, now_ms: float) -> bool:
        """Adds a group to announce to peers; returns whether it is new."""
        if key in self._closed_ms:
            return False
        self._closed_ms[key] = now_ms
        self._available_groups.mark_down(key, now_ms + self._drain_ms)
        return True

    def receive(self, message: peermessage.PeerMessage, is_remote: bool,
                now_ms: float) -> bool:
        """Processes a peer's announcements.

        Args:
            message: The peer's message.
            is_remote: Whether the peer is in a remote data centre; if so, its
                announcements are relayed within this one.
            now_ms: The time.

        Returns:
            Whether any of them was new.
        """
        is_any_new = False
        for key in _decode(message.sections.get(SECTION)):
            if self._available_groups.is_down(key, now_ms):
                continue
            is_any_new = True
            self._available_groups.mark_down(key, now_ms + self._drain_ms)
            _LOG.info(
                logs.line("group-closed-heard", group=key, peer=message.node))
            if is_remote:
                self._closed_ms.setdefault(key, now_ms)
        return is_any_new

    def section(self, now_ms: float) -> dict[str, Any]:
        """Returns the section with the groups to announce, if there are any."""
        recent = [[key.name, key.epoch]
                  for key, at_ms in self._closed_ms.items()
                  if now_ms - at_ms < alarms.ANNOUNCE_MS]
        return {SECTION: recent} if recent else {}

    def drop_expired(self, now_ms: float) -> None:
        """Drops announcements that are too old."""
        clock.drop_expired(self._closed_ms, float, _EXPIRY_MS, now_ms)


def _decode(section: Any) -> list[model.GroupKey]:
    """Returns the groups of a section, without malformed entries."""
    if not isinstance(section, list):
        return []
    return [
        model.GroupKey(each[0], each[1])
        for each in section
        if isinstance(each, list) and len(each) == 2 and
        isinstance(each[0], str) and isinstance(each[1], int)
    ]
