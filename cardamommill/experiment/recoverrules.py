"""Rule on nodes that are cut off from runners while callers reach them."""

import dataclasses

from cardamommill.domain import clock

# A cut breaks the rule if the first tries at the machines that are cut off are
# served less than this fraction as often as those at the others, ...
MIN_RELATIVE_SERVED = 2 / 3
# ... and more of them fail than this, plus this fraction of all first tries.
MAX_FAILED = 10
MAX_FAILED_FRACTION = 1 / 50


@dataclasses.dataclass(slots=True)
class _Tries:
    """First tries at some machines, and how many of them were served."""

    total: int = 0
    served: int = 0

    @property
    def failed(self) -> int:
        """How many were not served."""
        return self.total - self.served

    @property
    def served_fraction(self) -> float:
        """The fraction that was served; 1 without any."""
        return self.served / self.total if self.total else 1.0


@dataclasses.dataclass(slots=True)
class _Cut:
    """A cut of some machines from runners.

    Attributes:
        machines: The hosts that are cut off.
        from_ms: First tries sent from then on count.
        until_ms: First tries sent from then on don't count.
        is_broken: Whether the rule is known to be broken.
    """

    machines: frozenset[str]
    from_ms: float
    until_ms: float
    inside: _Tries = dataclasses.field(default_factory=_Tries)
    outside: _Tries = dataclasses.field(default_factory=_Tries)
    is_broken: bool = False


class RecoverRules:
    """Compares the first tries at machines that are cut off with the others."""

    def __init__(self, contact_ms: float) -> None:
        """Initialises the instance without cuts.

        Args:
            contact_ms: First tries sent this long after the start of a cut and
                later count.
        """
        self._contact_ms = contact_ms
        self._cuts: list[_Cut] = []

    def record_cut(self, machines: frozenset[str], for_ms: float) -> None:
        """Records that machines are cut off from now on, for some time."""
        now_ms = clock.now_ms()
        self._cuts.append(
            _Cut(machines, now_ms + self._contact_ms, now_ms + for_ms))

    def check_first_try(self, machine: str, sent_ms: float,
                        is_served: bool) -> str | None:
        """Counts a first try that has ended; returns what it breaks, or None.

        Args:
            machine: The host that it was sent to.
            sent_ms: When it was sent.
            is_served: Whether the client got its whole answer.
        """
        text = None
        for cut in self._cuts:
            if cut.from_ms <= sent_ms < cut.until_ms:
                tries = (cut.inside if machine in cut.machines else cut.outside)
                tries.total += 1
                tries.served += is_served
                text = self._newly_broken(cut) or text
        return text

    def _newly_broken(self, cut: _Cut) -> str | None:
        inside, outside = cut.inside, cut.outside
        allowed = MAX_FAILED + MAX_FAILED_FRACTION * (inside.total +
                                                      outside.total)
        if (cut.is_broken or inside.failed <= allowed or inside.served_fraction
                >= MIN_RELATIVE_SERVED * outside.served_fraction):
            return None
        cut.is_broken = True
        return (f"nodes cut off from runners served {inside.served} of "
                f"{inside.total} first tries, the others {outside.served} of "
                f"{outside.total}")
