"""Counts the runs of a request towards its route's limit on attempts.

The load that it answers: groups that die one after the other, whose requests
must not use up their attempts at heads that never began to run them.
"""

import dataclasses

from cardamommill.gateway.fleet import fleetview


@dataclasses.dataclass(frozen=True, slots=True)
class _PossibleRun:
    """An attempt that may have run the request.

    Attributes:
        known: The runner.
        is_unlikely: Whether the group lost a member before its first event.
    """

    known: fleetview.RunnerRecord
    is_unlikely: bool


class AttemptLimit:
    """The attempts of one request that may have run it."""

    def __init__(self, by_peers: int = 0) -> None:
        """Initialises the instance.

        Args:
            by_peers: How many attempts other nodes have made for the request.
        """
        self._runs: list[_PossibleRun] = []
        self._by_peers = by_peers

    def record_by_peer(self, attempts: int) -> None:
        """Records attempts that another node made for the request."""
        self._by_peers += attempts

    def record(self, known: fleetview.RunnerRecord, is_unlikely: bool) -> None:
        """Records an attempt that may have run the request.

        Args:
            known: The runner.
            is_unlikely: Whether the group lost a member before its first event.
        """
        self._runs.append(_PossibleRun(known, is_unlikely))

    def count(self, is_isolated: bool) -> int:
        """Returns how many attempts count towards the limit.

        Attempts at dead groups that gave no event, and at runners that are
        down, do not count. A node that may itself be cut off can't know either,
        so for it all count: otherwise its requests ran on three runners where
        their routes allow two.

        Args:
            is_isolated: Whether the node suspects its own isolation.
        """
        return self._by_peers + sum(
            is_isolated or not (each.is_unlikely or each.known.down_ms)
            for each in self._runs)
