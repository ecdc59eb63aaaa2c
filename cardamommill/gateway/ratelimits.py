"""Which runners limit the rate of requests, as their answers say."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a runner said last of its limit.

    Attributes:
        per_s: Requests a second from all nodes; None where it has none.
        as_of_ms: When that was true at the latest.
    """

    per_s: float | None
    as_of_ms: float


class RateLimits:
    """Limits of runners by id."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    def per_s(self, runner: str) -> float | None:
        """Returns the limit of a runner, None for none."""
        limit = self._limits.get(runner)
        return limit.per_s if limit is not None else None

    def take_answer(self, runner: str, per_s: float | None, sent_ms: float,
                    now_ms: float) -> bool:
        """Takes what an answer says of its runner's limit.

        Answers overtake each other, so one without a limit lifts it only if its
        request was sent after the limit was last named.

        Args:
            runner: Who answered.
            per_s: The limit that it named, None for none.
            sent_ms: When the request was sent.
            now_ms: When the answer began to arrive.

        Returns:
            Whether the limit has changed.
        """
        before = self._limits.get(runner)
        as_of_ms = sent_ms if per_s is None else now_ms
        if before is None and per_s is None:
            return False
        if before is not None and as_of_ms <= before.as_of_ms:
            return False
        self._limits[runner] = RateLimit(per_s, as_of_ms)
        return before is None or before.per_s != per_s
