"""Formats the log line for the end of a request."""

from cardamommill import logs
from cardamommill.gateway.requests import requestdigest
from cardamommill.gateway.shell import relay


def ended(one: relay.Relay,
          status: int,
          reason: str,
          version: int,
          now_ms: float,
          is_isolated: bool = False) -> str:
    """Returns the log line for a request that ended.

    Args:
        one: The relay of the request.
        status: Status of the answer; 0 for no complete answer.
        reason: Why the request was not served; empty if it was.
        version: Version of the configuration in force; 0 for none.
        now_ms: The current time.
        is_isolated: Whether the node suspects that it is itself cut off.
    """
    arrived_ms = one.request.arrived_ms
    first_event_at_ms = one.first_event_ms
    return logs.line(
        "request-ended",
        request=one.attempt_id,
        digest=requestdigest.text(one.digest),
        route=one.route.name if one.route else "",
        tenant=one.tenant.name if one.tenant else "",
        status=status,
        reason=reason,
        targets=",".join(each.name for each in one.attempted),
        answered_by=one.answered_by if len(one.attempted) +
        len(one.hops) > 1 else None,
        events=one.progress.events,
        first_event_ms=int(first_event_at_ms -
                           arrived_ms) if first_event_at_ms else "",
        goal_ms=one.route.goal_ms if one.route else "",
        **_estimate_fields(one),
        admission=one.admission,
        took_ms=int(now_ms - arrived_ms),
        silent_ms=None if status else one.silent_ms(now_ms),
        version=version,
        **({
            "isolated": True
        } if is_isolated else {}))


def _estimate_fields(one: relay.Relay) -> dict[str, object]:
    """Returns the log fields for the estimate of the last attempt, if any."""
    placed = one.attempted[-1].placed if one.attempted else None
    if placed is None:
        return {}
    return {
        "expected_ms": int(placed.first_event_ms),
        "patient": placed.is_deferred
    }
