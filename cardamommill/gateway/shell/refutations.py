"""Announcements that a group serves although a peer could not reach it."""

from typing import Any

import logbook

from cardamommill import logs
from cardamommill.domain import clock, model
from cardamommill.gateway.nodes import peermessage

# Name of the section of datagrams that holds the groups.
SECTION = "sound"
# How long a refutation is repeated, since datagrams get lost, and how long
# alarms about its group are ignored.
ANNOUNCE_MS = 700.0
# Most groups in one message.
MAX_GROUPS = 4

_LOG = logbook.Logger("alarms")


class Refutations:
    """Groups that a node with newer evidence found to be sound.

    The load that it answers: a node that can't reach some runners raises one
    false alarm after the other, each of which costs all nodes a group.
    """

    def __init__(self) -> None:
        self._refuted_ms: dict[model.GroupKey, float] = {}

    def note(self, key: model.GroupKey, now_ms: float) -> bool:
        """Adds a group to announce to peers; returns whether it is new."""
        if self.is_refuted(key, now_ms):
            return False
        self._refuted_ms[key] = now_ms
        return True

    def is_refuted(self, key: model.GroupKey, now_ms: float) -> bool:
        """Whether alarms about a group are ignored at the moment."""
        return now_ms - self._refuted_ms.get(key, float("-inf")) < ANNOUNCE_MS

    def receive(self, message: peermessage.PeerMessage,
                now_ms: float) -> list[model.GroupKey]:
        """Returns the groups that a peer newly reports as sound."""
        found = [
            key for key in _decode(message.sections.get(SECTION))
            if self.note(key, now_ms)
        ]
        for key in found:
            _LOG.info(logs.line("alarm-refuted", group=key, peer=message.node))
        return found

    def section(self, now_ms: float) -> dict[str, Any]:
        """Returns the section with the groups to announce, if there are any."""
        recent = [[key.name, key.epoch]
                  for key in self._refuted_ms
                  if self.is_refuted(key, now_ms)]
        return {SECTION: recent[-MAX_GROUPS:]} if recent else {}

    def drop_expired(self, now_ms: float) -> None:
        """Drops announcements that are too old."""
        clock.drop_expired(self._refuted_ms, float, ANNOUNCE_MS, now_ms)


def _decode(section: Any) -> list[model.GroupKey]:
    """Returns the groups of a section, without malformed entries."""
    found = []
    for each in section if isinstance(section, list) else ():
        match each:
            case [str(name), int(epoch)]:
                found.append(model.GroupKey(name, epoch))
    return found[:MAX_GROUPS]
