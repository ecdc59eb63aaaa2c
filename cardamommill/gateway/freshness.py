"""How young the belief is that the configuration is still the newest."""

import dataclasses

# Less than the bound after which a key that was taken away must not work,
# by what a request may take from this check to the runner.
CONFIRMED_SLACK_MS = 600.0


@dataclasses.dataclass(slots=True)
class Freshness:
    """When the configuration in force was last known to be the newest.

    Attributes:
        revoke_ms: The bound for keys that were taken away.
        confirmed_ms: Until when nobody had accepted a newer one.
    """

    revoke_ms: float
    confirmed_ms: float = float("-inf")

    def confirm(self, as_of_ms: float) -> None:
        """Notes that the configuration in force was the newest then."""
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)

    def age_ms(self, now_ms: float) -> float:
        """Returns for how long a newer one may have been in force."""
        return now_ms - self.confirmed_ms

    def keys_may_be_trusted(self, now_ms: float) -> bool:
        """Whether no key can have been taken away for too long."""
        return self.age_ms(now_ms) < self.revoke_ms - CONFIRMED_SLACK_MS
