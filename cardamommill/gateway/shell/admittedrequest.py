"""A request of a caller with its route, its account and its time limits."""

import functools
import math

from cardamommill.domain import clock, model
from cardamommill.gateway.requests import placing, requestdigest
from cardamommill.gateway.shell import admitting, forwarding, targets
from cardamommill.platform import promptparts, wirenames
from cardamommill.transport import callers, replies

# Maximum estimated time to the first event of a deferred request: callers leave
# after two seconds without an event.
PATIENCE_MS = 1600.0


class AdmittedRequest:
    """What a node knows of a request, apart from its attempts.

    Attributes:
        request: The request.
        reply: The answer to the caller.
        attempt_id: The id that the caller gave the request; the same in all
            attempts.
        route: The route of the request, once it is known.
        tenant: The holder of the API key; None where no key is needed.
        request_tokens: Prompt length and expected length of the answer.
        model_name: The name of the requested model; empty for none.
        deadline_at_ms: When the request times out.
    """

    def __init__(self, node: targets.RelayContext,
                 request: callers.CallerRequest, reply: replies.Reply) -> None:
        self._node = node
        self.request = request
        self.reply = reply
        self.attempt_id = request.get(wirenames.ATTEMPT_ID) or ""
        self.route: model.Route | None = None
        self.tenant: model.Tenant | None = None
        self._key_digest = b""
        self.request_tokens = forwarding.request_tokens(request)
        self.model_name = request.get(wirenames.MODEL) or ""
        self.deadline_at_ms = math.inf

    def record_admission(self, found: admitting.Admitted) -> None:
        """Records by what the request was admitted."""
        self.route = found.route
        self.tenant = found.tenant
        self._key_digest = found.key_digest
        self.deadline_at_ms = found.deadline_at_ms

    @functools.cached_property
    def digest(self) -> int:
        """Identifies copies of the request; valid once it is admitted."""
        request = self.request
        return requestdigest.digest(request.method,
                                    request.get("host") or "", request.target,
                                    self.tenant.name if self.tenant else "",
                                    request.body)

    @functools.cached_property
    def part_digests(self) -> tuple[int, ...]:
        """Identify the parts of its prompt that other requests may share."""
        return tuple(
            map(
                requestdigest.part_digest,
                promptparts.shared_parts(
                    self.request.get(wirenames.PROMPT_PREFIX))))

    def is_key_valid(self) -> bool:
        """Whether the API key is valid at the moment."""
        return self.tenant is None or (self.is_key_known() and
                                       self._node.may_accept_keys())

    def is_key_known(self) -> bool:
        """Whether the configuration in force has the API key."""
        table = self._node.table()
        return (table is not None and
                table.tenant(self._key_digest) is not None)

    @property
    def priority(self) -> int:
        """The rank in queues: 0 is first; ranks after 9 count as 9."""
        rank = None if self.tenant is None else self.tenant.priority
        if rank is None:
            rank = self.route.priority if self.route else 5
        return min(9, max(0, rank))

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of events."""
        return (self.route is not None and
                self.route.kind is model.RouteKind.STREAMING)

    def requirements(self, jitter: float) -> placing.Requirements:
        """Returns the current time limits of the request.

        A started stream, or a request without a latency objective, is limited
        only by its deadline.

        Args:
            jitter: Random number from 0 to 1; see `placing.Requirements`.
        """
        now_ms = clock.now_ms()
        remaining_ms = self.deadline_at_ms - now_ms
        if self.reply.started or self.route is None or not self.route.goal_ms:
            return placing.Requirements(remaining_ms, remaining_ms,
                                        remaining_ms, jitter)
        goal_ms = self.request.arrived_ms + self.route.goal_ms - now_ms
        return placing.Requirements(goal_ms, min(remaining_ms, PATIENCE_MS),
                                    remaining_ms, jitter)
