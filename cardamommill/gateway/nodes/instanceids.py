"""Reads the runner ids in datagrams of nodes of the former version.

Those nodes name a runner by its instance id, also where it states the time of
its start. Their evidence may be about any of its incarnations.
"""

from collections.abc import Iterator
import dataclasses

from cardamommill.domain import incarnations
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.requests import ratelimits


def resolved(message: peermessage.PeerMessage,
             view: fleetview.FleetView) -> peermessage.PeerMessage:
    """Returns a message in which all ids of known runners are incarnation ids.

    Rate limits by instance id are taken to be those of the listed incarnation,
    since sending too little is safe. All else by instance id is left out. Ids
    of runners without a time of birth are incarnation ids already.

    Args:
        message: A peer's message.
        view: Knows the listed incarnations.
    """

    def is_plain(runner: str) -> bool:
        return _listed_other(runner, view) is not None

    if not any(map(is_plain, _runner_ids(message))):
        return message
    return dataclasses.replace(
        message,
        alarms=tuple(
            dataclasses.replace(each,
                                silent=tuple(runner
                                             for runner in each.silent
                                             if not is_plain(runner)))
            for each in message.alarms),
        opened_groups=tuple(
            each for each in message.opened_groups if not is_plain(each.head)),
        attempt_histories=tuple(each for each in message.attempt_histories
                                if not is_plain(each.runner)),
        limits=tuple(_limits(message, view)))


def _runner_ids(message: peermessage.PeerMessage) -> Iterator[str]:
    for alarm in message.alarms:
        yield from alarm.silent
    yield from (each.head for each in message.opened_groups)
    yield from (each.runner for each in message.attempt_histories)
    yield from (each.runner for each in message.limits)


def _listed_other(runner: str, view: fleetview.FleetView) -> str | None:
    """Returns the listed incarnation if an id only names its instance."""
    named = incarnations.parse(runner)
    if named.born_ms is not None:
        return None
    listed = view.incarnations.listed_id(named.instance)
    return None if listed == runner else listed


def _limits(message: peermessage.PeerMessage,
            view: fleetview.FleetView) -> Iterator[ratelimits.RateLimit]:
    for limit in message.limits:
        listed = _listed_other(limit.runner, view)
        if listed is None:
            yield limit
        elif limit.per_s is not None:
            # A lifted limit may have been that of a former incarnation.
            yield dataclasses.replace(limit, runner=listed)
