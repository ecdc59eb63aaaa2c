"""Suspects that this node is cut off, rather than the groups it can't reach.

A node whose own link is cut or too narrow gets no answer from any runner. It
can't tell that from the death of the groups, whose heads may still be running
its requests.
"""

from collections.abc import Iterator
import contextlib
import dataclasses

from cardamommill.gateway.fleet import fleetview

# Unreachable groups count for this long. A cut of the node's link is noticed at
# one group after the other, as requests are sent there.
WINDOW_MS = 3000.0

Domains = frozenset[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class _UnreachableGroup:
    """A group none of whose members answered.

    Attributes:
        at_ms: When that was found.
        domains: Data centre and fabric domain of its members.
    """

    at_ms: float
    domains: Domains


class Isolation:
    """The groups that this node could not reach at all, lately."""

    def __init__(self) -> None:
        self._unreachable: list[_UnreachableGroup] = []
        self._unconnected_ms = float("-inf")
        self._open_questions = 0

    def record_unreachable(self, members: list[fleetview.RunnerRecord],
                           now_ms: float) -> bool:
        """Records a group none of whose members answered this node.

        Returns:
            Whether this node suspects its own isolation only since then.
        """
        before = self.is_suspected(now_ms)
        domains = frozenset(
            (each.runner.data_centre, each.status.domain) for each in members)
        self._unreachable.append(_UnreachableGroup(now_ms, domains))
        return self.is_suspected(now_ms) and not before

    def record_no_connection(self, now_ms: float) -> None:
        """Records that runners of several places took no connection."""
        self._unconnected_ms = now_ms

    def record_answer(self) -> None:
        """Records that some member of a group answered: the link works."""
        self._unreachable.clear()
        self._unconnected_ms = float("-inf")

    @contextlib.contextmanager
    def in_question(self) -> Iterator[None]:
        """Marks the time in which unreachable runners are looked into."""
        self._open_questions += 1
        try:
            yield
        finally:
            self._open_questions -= 1

    @property
    def is_in_question(self) -> bool:
        """Whether it is being found out if runners or the link have failed."""
        return self._open_questions > 0

    def is_cut_off(self, now_ms: float) -> bool:
        """Whether most runners tried lately took no connection."""
        return now_ms - self._unconnected_ms < WINDOW_MS

    def is_suspected(self, now_ms: float) -> bool:
        """Whether no runner or no two unrelated groups can be reached.

        Groups are related if they share a fabric domain: they may have failed
        together.
        """
        if self.is_cut_off(now_ms):
            return True
        self._unreachable = [
            each for each in self._unreachable
            if now_ms - each.at_ms < WINDOW_MS
        ]
        return any(
            one.domains.isdisjoint(other.domains)
            for index, one in enumerate(self._unreachable)
            for other in self._unreachable[:index])
