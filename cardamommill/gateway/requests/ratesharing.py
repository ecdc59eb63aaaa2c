"""Shares of a runner's permitted request rate among nodes.

A few nodes, chosen by a hash on which all nodes agree, send to a runner; each
of them has a token bucket for its share of the rate.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import zlib

from cardamommill import units


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket for the requests of this node to a runner.

    Attributes:
        at_ms: When tokens were last added.
        tokens: Requests that may be sent now.
        share_per_s: Tokens added per second.
        share_set_ms: When the share was last computed.
        burst_s: Tokens that may be saved up, in seconds of the share; at least
            one token.
    """

    at_ms: float
    tokens: float = 0.0
    share_per_s: float = 0.0
    share_set_ms: float = float("-inf")
    burst_s: float = 0.0

    def refill(self, now_ms: float) -> None:
        """Adds the tokens for the time since the last refill."""
        added = (now_ms - self.at_ms) / units.MS_PER_S * self.share_per_s
        self._add(added)
        self.at_ms = now_ms

    def set_share(self, share_per_s: float, now_ms: float) -> None:
        """Sets the share; a node without one keeps no tokens."""
        if not share_per_s:
            self.tokens = min(0.0, self.tokens)
        self.share_per_s = share_per_s
        self.share_set_ms = now_ms

    def take(self, now_ms: float) -> None:
        """Takes the token of a request that is sent."""
        self.refill(now_ms)
        self.tokens -= 1

    def give_back(self) -> None:
        """Returns the token of a request that does not count."""
        if self.share_per_s:
            self._add(1.0)

    def wait_ms(self) -> float:
        """Returns the time until the next token; the share must not be 0."""
        if self.tokens >= 1:
            return 0.0
        return units.MS_PER_S * (1 - self.tokens) / self.share_per_s

    def _add(self, tokens: float) -> None:
        max_tokens = max(1.0, self.burst_s * self.share_per_s)
        self.tokens = min(max_tokens, self.tokens + tokens)


def choose_senders(runner: str, nodes: Iterable[str], count: int) -> list[str]:
    """Returns the nodes that send to a runner, the same on every node.

    Args:
        runner: The runner's ID.
        nodes: The names of the nodes to choose from.
        count: The number of senders; at least one is chosen.
    """
    return heapq.nlargest(max(1, count), nodes,
                          lambda node: zlib.crc32(f"{runner} {node}".encode()))
