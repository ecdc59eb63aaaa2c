"""Tracks how long ago the configuration was confirmed as the newest."""

import dataclasses

# The longest time that a request may take from the check of its key to the
# runner. It is subtracted from the time after which a revoked key must no
# longer work.
REVOCATION_MARGIN_MS = 600.0


@dataclasses.dataclass(slots=True)
class Freshness:
    """When the configuration in force was last known to be the newest.

    Attributes:
        revoke_ms: The time after which a revoked key must no longer work.
        confirmed_ms: The latest time at which it is known to have been the
            newest.
    """

    revoke_ms: float
    confirmed_ms: float = float("-inf")

    def confirm(self, as_of_ms: float) -> None:
        """Records that the configuration in force was the newest at a time."""
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)

    def age_ms(self, now_ms: float) -> float:
        """Returns for how long a newer configuration may have existed."""
        return now_ms - self.confirmed_ms

    def may_accept_keys(self, now_ms: float) -> bool:
        """Whether the configuration is recent enough to accept its keys.

        If so, none of them was revoked longer ago than the limit.
        """
        return self.age_ms(now_ms) < self.revoke_ms - REVOCATION_MARGIN_MS
