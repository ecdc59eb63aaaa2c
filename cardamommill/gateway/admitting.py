"""Whether a caller's request may be served, by the configuration in force."""

import dataclasses
import math
from typing import Protocol

from cardamommill.gateway import callers, httpheaders, model, routetable
from cardamommill.platform import configurations, words

DEFAULT_RETRY_AFTER_MS = 250.0
# A key or route that this node doesn't know may be in a newer configuration.
UNKNOWN_TRUST_MS = 2500.0


class ConfigurationState(Protocol):
    """What a node knows of the configuration, and since when."""

    def table(self) -> routetable.RouteTable | None:
        """Returns the configuration in force."""

    def config_age_ms(self) -> float:
        """Returns for how long a newer one may have been accepted."""

    def keys_may_be_trusted(self) -> bool:
        """Whether no key can have been taken away for too long."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be served.

    Attributes:
        route: Its route.
        deadline_at_ms: Until when it may be kept waiting.
        tenant: Who holds its key; None where it needs none.
        key_digest: Of its key, to be looked up again.
    """

    route: model.Route
    deadline_at_ms: float
    tenant: model.Tenant | None = None
    key_digest: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is answered at once.

    Attributes:
        route: Its route, where that is known.
        status: What the caller is told.
        reason: Why, for the caller and the log.
        retry_after_ms: When it is of use to come back; 0 for never.
    """

    route: model.Route | None
    status: int
    reason: str
    retry_after_ms: float = 0.0


def admit(node: ConfigurationState,
          request: callers.CallerRequest) -> Admitted | Rejection:
    """Returns what the configuration in force says of a request."""
    table = node.table()
    if table is None:
        return _come_back(None, "no configuration yet")
    route = table.route(request.get("host") or "", request.target)
    stale = node.config_age_ms() > UNKNOWN_TRUST_MS
    if route is None:
        if stale:
            return _come_back(None, "no such route in an old view")
        return Rejection(None, 404, "no such route")
    if not request.get(words.ATTEMPT_ID):
        return Rejection(route, 400, "no attempt id")
    if table.needs_keys and not route.public:
        return _admit_key(node, request, route, table, stale)
    return Admitted(route, _end_ms(request, route))


def _admit_key(node: ConfigurationState, request: callers.CallerRequest,
               route: model.Route, table: routetable.RouteTable,
               stale: bool) -> Admitted | Rejection:
    scheme, _, key = (request.get("authorization") or "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return Rejection(route, 401, "no key")
    if not node.keys_may_be_trusted():
        return _come_back(route, "keys not confirmed for too long")
    digest = configurations.key_digest(key.strip())
    tenant = table.tenant(digest)
    if tenant is None:
        if stale:
            return _come_back(route, "unknown key in an old view")
        return Rejection(route, 401, "unknown key")
    return Admitted(route, _end_ms(request, route), tenant, digest)


def _come_back(route: model.Route | None, reason: str) -> Rejection:
    return Rejection(route, 503, reason, DEFAULT_RETRY_AFTER_MS)


def _end_ms(request: callers.CallerRequest, route: model.Route) -> float:
    given_ms = httpheaders.number(request.get(words.DEADLINE_MS))
    limit_ms = min(given_ms if given_ms is not None else math.inf,
                   route.timeout_ms)
    return request.arrived_ms + limit_ms
