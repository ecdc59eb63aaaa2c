"""Keeps requests that crash runners from all runners, for a time.

All nodes exchange their decisions. A decision ends with its time, or when the
request runs whole at any node. Of two different decisions about a request the
later one holds, so that they may arrive late, repeatedly and in any order.
"""

from collections.abc import Iterable
import dataclasses

QUARANTINE_MS = 600_000.0
# How long it is told that a request was found harmless.
CLEARED_MS = 30_000.0
# Times in messages are ages and lose the time on the way. A decision to clear a
# request holds against another one that seems to be later by less than this.
CLEARED_MARGIN_MS = 1000.0
MAX_REQUESTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision about a request.

    Attributes:
        digest: Identifies the copies of the request.
        at_ms: When it was decided.
        is_cleared: Whether the request was found harmless.
    """

    digest: int
    at_ms: float
    is_cleared: bool = False


class Quarantine:
    """The decisions in force on this node."""

    def __init__(self) -> None:
        self._decisions: dict[int, Decision] = {}

    def __len__(self) -> int:
        return sum(not each.is_cleared for each in self._decisions.values())

    def left_ms(self, digest: int, now_ms: float) -> float:
        """Returns for how much longer a request is kept; 0 if it is not."""
        decision = self._decisions.get(digest)
        if decision is None or decision.is_cleared:
            return 0.0
        return max(0.0, decision.at_ms + QUARANTINE_MS - now_ms)

    def receive(self, decision: Decision, now_ms: float) -> bool:
        """Puts a decision into force, unless a later one is.

        Returns:
            Whether it changes what is in force.
        """
        lifetime_ms = CLEARED_MS if decision.is_cleared else QUARANTINE_MS
        if now_ms - decision.at_ms > lifetime_ms:
            return False
        known = self._decisions.get(decision.digest)
        if known is not None and not _replaces(decision, known):
            return False
        self._decisions[decision.digest] = decision
        while len(self._decisions) > MAX_REQUESTS:
            oldest = min(self._decisions.values(), key=lambda each: each.at_ms)
            del self._decisions[oldest.digest]
        return True

    def decisions(self) -> Iterable[Decision]:
        """Returns all decisions in force."""
        return self._decisions.values()

    def drop_expired(self, now_ms: float) -> None:
        """Drops decisions whose time is over."""
        for decision in list(self._decisions.values()):
            lifetime_ms = CLEARED_MS if decision.is_cleared else QUARANTINE_MS
            if now_ms - decision.at_ms > lifetime_ms:
                del self._decisions[decision.digest]


def _replaces(decision: Decision, known: Decision) -> bool:
    """Whether a decision is to be in force instead of another one."""
    if known.is_cleared is decision.is_cleared:
        # A part of prompts that all requests share is cleared again and again.
        return (decision.is_cleared and
                decision.at_ms > known.at_ms + CLEARED_MARGIN_MS)
    return _order_ms(known) < _order_ms(decision)


def _order_ms(decision: Decision) -> float:
    margin_ms = CLEARED_MARGIN_MS if decision.is_cleared else 0.0
    return decision.at_ms + margin_ms
