"""News of groups that opened: which are told, and which were heard."""

import logbook

from cardamommill import logs
from cardamommill.gateway import alarms, clock, fleetview, model, peermessage

_FORGOTTEN_MS = 10 * alarms.ANNOUNCE_MS

_LOG = logbook.Logger("entry")


class OpenedGroups:
    """Groups opened by this node, or heard of from other data centres."""

    def __init__(self, view: fleetview.FleetView) -> None:
        self._view = view
        self._opened: dict[model.GroupKey, tuple[float,
                                                 peermessage.OpenedGroup]] = {}

    def note(self, opened: peermessage.OpenedGroup, now_ms: float) -> None:
        """Has a group told to other nodes."""
        self._opened[opened.key] = (now_ms, opened)

    def receive(self, opened: peermessage.OpenedGroup, peer: str,
                is_remote: bool, now_ms: float) -> bool:
        """Takes a peer's word; True where it is news.

        Args:
            opened: The group.
            peer: Who told.
            is_remote: Whether the peer stands in another data centre; then the
                nodes of this one are told, too.
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
        """Returns what other nodes should hear."""
        return tuple(opened for at_ms, opened in self._opened.values()
                     if now_ms - at_ms < alarms.ANNOUNCE_MS)

    def drop_expired(self, now_ms: float) -> None:
        """Forgets what is old."""
        clock.drop_expired(self._opened, lambda opened: opened[0],
                           _FORGOTTEN_MS, now_ms)
