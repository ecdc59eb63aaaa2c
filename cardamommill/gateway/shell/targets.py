"""The targets of attempts, and what a relay uses of its node."""

from collections.abc import Coroutine
import dataclasses
from typing import TYPE_CHECKING, Any, Protocol

from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.requests import placing
from cardamommill.gateway.shell import admitting, attempts
from cardamommill.transport import upstream

if TYPE_CHECKING:
    from cardamommill.gateway.shell.relay import Relay


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The target of an attempt.

    Attributes:
        known: The runner that gets the request.
        key: The key of the runner's group; None if it serves without a group.
        placed: The placement at the group; None without a group.
    """

    known: fleetview.RunnerRecord
    key: model.GroupKey | None = None
    placed: placing.Placed | None = None

    @property
    def name(self) -> str:
        """The name of the target in the log."""
        return str(self.key) if self.key else self.known.runner.id


@dataclasses.dataclass(frozen=True, slots=True)
class PeerTarget:
    """A peer that serves a request which this node can't serve.

    Attributes:
        name: The peer's name.
        address: Its address for messages between nodes.
        config_version: The configuration by which this node admitted the
            request.
    """

    name: str
    address: upstream.Address
    config_version: int


class RelayContext(admitting.ConfigurationState, Protocol):
    """The services that a relay uses of its node."""

    pool: upstream.Pool

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the background until the node stops."""

    def find_target(self,
                    relay: "Relay") -> Target | PeerTarget | placing.Refused:
        """Returns the target of a request's next attempt, or a refusal."""

    def quarantine_left_ms(self, relay: "Relay") -> float:
        """Returns for how long a request is still refused; 0 if it is not."""

    def is_crash_suspect(self, relay: "Relay") -> bool:
        """Whether a request seems to crash the runners that run it."""

    def repeat_delay_ms(self, relay: "Relay") -> float:
        """Returns how long a request whose attempt broke waits for evidence."""

    def may_retry(self, service: str) -> bool:
        """Whether the retry budget of a service allows one more retry."""

    def reaches_no_runner(self) -> bool:
        """Whether this node has lately reached no runner anywhere."""

    def is_isolated(self) -> bool:
        """Whether this node suspects that it is itself cut off."""

    def hop_request_bytes(self, relay: "Relay", target: PeerTarget,
                          attempts: int, has_arrived: bool) -> bytes:
        """Returns a request for a peer; see `hopheaders.Hop`."""

    def on_hop_start(self, relay: "Relay", target: PeerTarget) -> None:
        """Records that a request is sent to a peer."""

    def on_hop_end(self, relay: "Relay", target: PeerTarget,
                   outcome: attempts.Outcome) -> None:
        """Records the end of a hop."""

    def on_attempt_start(self, relay: "Relay", target: Target,
                         repeat: bool) -> None:
        """Records the start of an attempt; `repeat` marks a retry."""

    def on_attempt_end(self, relay: "Relay", target: Target,
                       outcome: attempts.Outcome) -> None:
        """Records the end of an attempt."""

    def on_answer_head(self, relay: "Relay", target: Target,
                       head: upstream.Head, sent_ms: float) -> None:
        """Records the head of an answer to an attempt sent at `sent_ms`."""

    def on_stream_event(self, relay: "Relay", target: Target) -> None:
        """Records an event of a stream."""

    def ended(self, relay: "Relay", status: int, reason: str) -> None:
        """Records the end of a request; status 0 means no complete answer."""
