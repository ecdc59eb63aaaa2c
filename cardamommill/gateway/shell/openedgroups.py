"""Announcements of newly opened groups, sent to and received from peers."""

import logbook

from cardamommill import logs
from cardamommill.domain import clock, model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.shell import alarms

_EXPIRY_MS = 10 * alarms.ANNOUNCE_MS

_LOG = logbook.Logger("entry")


class OpenedGroups:
    """Opened groups to announce: this node's, and those it relays."""

    def __init__(self, view: fleetview.FleetView) -> None:
        self._view = view
        self._opened: dict[model.GroupKey, tuple[float,
                                                 peermessage.OpenedGroup]] = {}

    def note(self, opened: peermessage.OpenedGroup, now_ms: float) -> None:
        """Adds a group to announce to peers."""
        self._opened[opened.key] = (now_ms, opened)

    def receive(self, opened: peermessage.OpenedGroup, peer: str,
                is_remote: bool, now_ms: float) -> bool:
        """Processes a peer's announcement; returns whether it was new.

        Args:
            opened: The group.
            peer: The peer's name.
            is_remote: Whether the peer is in a remote data centre; if so, the
                announcement is relayed within this one.
            now_ms: The time.
        """
        if not self._view.record_open_group(opened.head, opened.key,
                                            opened.model):
            return False
        _LOG.info(logs.line("group-open-heard", group=opened.key, peer=peer))
        if is_remote:
            self.note(opened, now_ms)
        return True

    def updates_for_peers(self,
                          now_ms: float) -> tuple[peermessage.OpenedGroup, ...]:
        """Returns the groups to announce to peers."""
        return tuple(opened for at_ms, opened in self._opened.values()
                     if now_ms - at_ms < alarms.ANNOUNCE_MS)

    def drop_expired(self, now_ms: float) -> None:
        """Drops announcements that are too old."""
        clock.drop_expired(self._opened, lambda opened: opened[0], _EXPIRY_MS,
                           now_ms)
