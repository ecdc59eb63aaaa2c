"""Decides which requests a model takes while callers compete for its groups.

The load that it answers: a burst of the least urgent requests, then of the most
urgent, with callers who repeat refused requests at once.

The most urgent priority comes first. What it leaves, the next one gets, and the
client accounts of one priority get max-min fair shares. Each source of requests
is admitted with a probability, which follows from the rates of all sources at
all nodes. A limit on the requests in flight alone would oscillate: the nodes
learn of each other's requests up to 0.7 s late, and until then all of them
would admit or refuse everything.
"""

from collections.abc import Iterable
import dataclasses
import enum
import math

from cardamommill.gateway.requests import competingdemand, fairshares, placing

# Callers compete only if more than this part of a model's slots is in use or
# asked for.
COMPETING_PART = 0.75
# Reserved for more urgent priorities beyond their mean number of requests, in
# standard deviations of a Poisson process at each group. Nodes spread requests
# by old views, so a reservation for the sum of the groups alone leaves some
# groups full while others have free slots.
RESERVED_DEVIATIONS = 1.25
# Less urgent requests in a group's queue that a more urgent one disregards, as
# a fraction of the group's slots. It overtakes them in the queue; if they
# counted, all nodes would send urgent requests to the few groups without one.
OVERTAKEN_PART = 0.7
# Time in which unused slots are filled, or excess requests are drained. It is
# above the age of the loads that other nodes report, so that no oscillation
# builds up.
CORRECTION_MS = 1000.0
# An account is certain to be above its share only if its estimated demand is
# this many times an equal part of the slots: a node estimates the demand of one
# account of 24 from about two requests a second. While there is such an
# account, no smaller one is refused for its share.
LARGE_ACCOUNT_FACTOR = 2.0
# Base of the retry delay: each caller's delay is drawn between it and its
# double.
MAX_RETRY_BASE_MS = placing.MAX_FULL_RETRY_AFTER_MS / 2


class Action(enum.Enum):
    """What a request may do at most."""

    # Wait behind the requests that meet their objective, as without admission
    # control.
    DEFER = "defer"
    # Take a slot if it meets its objective there.
    PLACE = "place"
    REFUSE = "refuse"


class Cause(enum.Enum):
    """What limits a request."""

    NONE = "none"
    # More urgent requests need the capacity.
    PRIORITY = "priority"
    # The account asks for more than its fair share.
    SHARE = "share"


@dataclasses.dataclass(frozen=True, slots=True)
class ModelState:
    """The load of a model's groups.

    Attributes:
        slots_per_group: Number of requests that a group runs concurrently.
        groups: Number of groups.
        in_flight: Number of requests of all nodes at its groups, without
            deferred ones.
        demand: The demand at all nodes.
    """

    slots_per_group: int
    groups: int
    in_flight: int
    demand: competingdemand.ModelDemand

    @property
    def slots(self) -> int:
        """Number of requests that all groups run concurrently."""
        return self.slots_per_group * self.groups

    @property
    def offered(self) -> dict[competingdemand.Source, float]:
        """The slots that each source would use if it was never refused."""
        hold_s = self.demand.hold_ms / 1000
        return {
            source: per_s * hold_s
            for source, per_s in self.demand.per_s.items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a request may do.

    Attributes:
        action: The most that it may do.
        cause: What limits it.
        admitted_part: Part of the requests of its source that are admitted.
        reserved: Slots reserved for more urgent priorities.
        retry_after_ms: When a refused caller should come back.
        overtaken: Number of less urgent requests in each group's queue that
            the request overtakes.
    """

    action: Action
    cause: Cause = Cause.NONE
    admitted_part: float = 1.0
    reserved: float = 0.0
    retry_after_ms: float = 0.0
    overtaken: int = 0


UNLIMITED = Decision(Action.DEFER)


def decide(source: competingdemand.Source, state: ModelState, draw: float,
           jitter: float) -> Decision:
    """Decides about one request, which the demand already includes.

    Args:
        source: The request's priority and account.
        state: The load of the model's groups.
        draw: Random number from 0 to 1, compared with the admitted part.
        jitter: Random number from 0 to 1 that spreads the callers' retries.
    """
    offered = state.offered
    if not _is_contended(state, offered):
        return UNLIMITED
    reserved = reserved_slots(source.priority, state)
    accounts = {
        each.account: slots
        for each, slots in offered.items()
        if each.priority == source.priority
    }
    own = accounts.get(source.account, 0.0)
    available = max(0.0, _fillable_slots(source.priority, state) - reserved)
    level = fairshares.max_min_level(accounts.values(), available)
    equal = max(0.0, state.slots - reserved) / max(1, len(accounts))
    if _is_small_beside_large(own, accounts.values(), equal):
        part = 1.0
    elif not available:
        part = 0.0
    else:
        part = min(1.0, level / own) if own else 1.0
    if draw < part:
        return Decision(Action.PLACE if reserved else Action.DEFER,
                        admitted_part=part,
                        reserved=reserved,
                        overtaken=_overtaken(source.priority, state),
                        retry_after_ms=_retry_after_ms(state,
                                                       sum(accounts.values()),
                                                       available, jitter))
    return Decision(
        Action.REFUSE, _cause(reserved, accounts, level), part, reserved,
        _retry_after_ms(state, sum(accounts.values()), available, jitter))


def _is_small_beside_large(own: float, offered: Iterable[float],
                           equal: float) -> bool:
    """Whether an account is not refused, since others are far above its share.

    Args:
        own: The slots that the account would use.
        offered: The slots that each account of the priority would use.
        equal: The slots of each account if they had equal parts.
    """
    large = LARGE_ACCOUNT_FACTOR * equal
    return 0 < own <= large < max(offered)


def reserved_slots(priority: int, state: ModelState) -> float:
    """Returns the slots to keep for more urgent priorities.

    Args:
        priority: The priority of a request.
        state: The load of the model's groups.
    """
    urgent = sum(slots for each, slots in state.offered.items()
                 if each.priority < priority)
    return urgent + RESERVED_DEVIATIONS * math.sqrt(urgent * state.groups)


def max_reserved_slots(state: ModelState) -> float:
    """Returns the slots that the least urgent priority may not use."""
    return reserved_slots(max(each.priority for each in state.demand.per_s),
                          state)


def _overtaken(priority: int, state: ModelState) -> int:
    """Returns the number of less urgent requests to disregard at a group.

    If requests of this and of more urgent priorities need all slots, the queues
    consist of these.
    """
    offered = state.offered
    lower = sum(
        slots for each, slots in offered.items() if each.priority > priority)
    if not state.groups or sum(offered.values()) - lower > state.slots:
        return 0
    return round(
        min(OVERTAKEN_PART * state.slots_per_group, lower / state.groups))


def _is_contended(state: ModelState, offered: dict[competingdemand.Source,
                                                   float]) -> bool:
    if len(offered) < 2 or not state.demand.hold_ms or not state.slots:
        return False
    limit = COMPETING_PART * state.slots
    return state.in_flight > limit or sum(offered.values()) > limit


def _fillable_slots(priority: int, state: ModelState) -> float:
    """Returns the slots to fill, corrected by what is in use.

    More than the slots if some are unused, and less if there are more requests
    in flight than slots, so that the queues at the groups are drained. The
    excess counts as less urgent requests first: these may be refused for it,
    but the more urgent ones overtake them.
    """
    unused = float(state.slots - state.in_flight)
    if unused < 0:
        lower = sum(slots for each, slots in state.offered.items()
                    if each.priority > priority)
        unused = min(0.0, unused + lower)
    return state.slots + state.demand.hold_ms / CORRECTION_MS * unused


def _cause(reserved: float, accounts: dict[int, float], level: float) -> Cause:
    if any(each <= level for each in accounts.values()) or not reserved:
        return Cause.SHARE
    return Cause.PRIORITY


def _retry_after_ms(state: ModelState, asked: float, available: float,
                    jitter: float) -> float:
    """Returns the time until the requests refused in a second have fitted in.

    More urgent priorities have more capacity available, so their callers are
    asked to come back sooner.
    """
    base_ms = MAX_RETRY_BASE_MS
    if available > 0:
        refused_per_slot = max(0.0, asked - available) / available
        base_ms = state.demand.hold_ms * refused_per_slot
    base_ms = min(max(base_ms, placing.MIN_FULL_RETRY_AFTER_MS),
                  MAX_RETRY_BASE_MS)
    return base_ms * (1 + jitter)
