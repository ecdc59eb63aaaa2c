"""Admits or rejects callers' requests by the configuration in force."""

import dataclasses
import math
from typing import Protocol

from cardamommill.domain import model
from cardamommill.gateway.requests import routetable
from cardamommill.platform import configurations, wirenames
from cardamommill.transport import callers, httpheaders

DEFAULT_RETRY_AFTER_MS = 250.0
# An unknown key or route may exist in a newer configuration. If the one in
# force was last confirmed as the newest longer ago than this, the caller is
# told to retry later and not that the key or route does not exist.
MAX_STALENESS_TO_REJECT_MS = 2500.0


class ConfigurationState(Protocol):
    """The configuration that a node knows, and its staleness."""

    def table(self) -> routetable.RouteTable | None:
        """Returns the configuration in force, or None before it was read."""

    def config_age_ms(self) -> float:
        """Returns for how long a newer configuration may have existed."""

    def may_accept_keys(self) -> bool:
        """Whether the configuration is recent enough to accept its keys.

        If so, none of them was revoked longer ago than the limit.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be served.

    Attributes:
        route: Its route.
        deadline_at_ms: The time by which it has to be answered.
        tenant: The client account of its key; None if it needs no key.
        key_digest: The digest of its key, for later checks whether it is still
            valid.
    """

    route: model.Route
    deadline_at_ms: float
    tenant: model.Tenant | None = None
    key_digest: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is refused without an attempt.

    Attributes:
        route: Its route, if known.
        status: The HTTP status of the answer.
        reason: The reason, for the caller and the log.
        retry_after_ms: When the caller may retry; 0 if a retry is of no use.
    """

    route: model.Route | None
    status: int
    reason: str
    retry_after_ms: float = 0.0


def admit(node: ConfigurationState,
          request: callers.CallerRequest) -> Admitted | Rejection:
    """Checks a request against the configuration in force."""
    table = node.table()
    if table is None:
        return _retry_later(None, "no configuration yet")
    route = table.route(request.get("host") or "", request.target)
    stale = node.config_age_ms() > MAX_STALENESS_TO_REJECT_MS
    if route is None:
        if stale:
            return _retry_later(None, "no such route in an old view")
        return Rejection(None, 404, "no such route")
    if not request.get(wirenames.ATTEMPT_ID):
        return Rejection(route, 400, "no attempt id")
    if table.needs_keys and not route.public:
        return _admit_key(node, request, route, table, stale)
    return Admitted(route, _deadline_at_ms(request, route))


def _admit_key(node: ConfigurationState, request: callers.CallerRequest,
               route: model.Route, table: routetable.RouteTable,
               stale: bool) -> Admitted | Rejection:
    scheme, _, key = (request.get("authorization") or "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return Rejection(route, 401, "no key")
    if not node.may_accept_keys():
        return _retry_later(route, "keys not confirmed for too long")
    digest = configurations.key_digest(key.strip())
    tenant = table.tenant(digest)
    if tenant is None:
        if stale:
            return _retry_later(route, "unknown key in an old view")
        return Rejection(route, 401, "unknown key")
    return Admitted(route, _deadline_at_ms(request, route), tenant, digest)


def _retry_later(route: model.Route | None, reason: str) -> Rejection:
    return Rejection(route, 503, reason, DEFAULT_RETRY_AFTER_MS)


def _deadline_at_ms(request: callers.CallerRequest,
                    route: model.Route) -> float:
    given_ms = httpheaders.number(request.get(wirenames.DEADLINE_MS))
    limit_ms = min(given_ms if given_ms is not None else math.inf,
                   route.timeout_ms)
    return request.arrived_ms + limit_ms
