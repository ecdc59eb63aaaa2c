"""A node's decisions, whole and pure: the entry for any bench.

Drive any number of nodes in one thread, with a clock and a transport of your
own::

    node = decisions.Decisions(identity, periods.Timing(), seed=1)
    for action in node.step(events.Tick(), now_ms):
        ...  # Perform it, and hand what comes of it to node.step.

Same events, times and seed: same actions.
"""

import collections
from collections.abc import Callable
import functools
import inspect

from cardamommill import (
    actions,
    assignments,
    claims,
    configuration,
    controller,
    events,
    fleet,
    leases,
    lifecycle,
    limits,
    membership,
    periods,
    planning,
    requests,
    routing,
    suspects,
)
from cardamommill import board as board_lib

# A chain of notices that is longer than this never ends.
MAX_NOTICES = 10_000

_Handler = Callable[[events.Event, int], actions.Actions]


class Decisions:
    """All controllers of one node around one blackboard.

    Attributes:
        board: What the node knows.
        timing: The periods in force.
    """

    def __init__(
        self,
        identity: fleet.NodeIdentity,
        timing: periods.Timing,
        seed: int,
        kinds: tuple[type[controller.Controller], ...] = ()) -> None:
        """Makes the decisions of a node that has just started.

        Args:
            identity: Who the node is.
            timing: The periods in force.
            seed: For all chance in it.
            kinds: The controllers, in the order in which they see an event;
                empty for all that a node has.
        """
        self.board = board_lib.Board(identity)
        self.timing = timing
        self._controllers = tuple(
            kind(self.board, timing, seed) for kind in kinds or node_kinds())
        self._handlers: dict[type[events.Event], tuple[_Handler, ...]] = {}

    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what the shell has to do about an event.

        Args:
            event: What happened.
            now_ms: The local monotonic time.
        """
        wanted: list[actions.Action] = []
        pending = collections.deque([event])
        for _ in range(MAX_NOTICES):
            if not pending:
                break
            current = pending.popleft()
            for handle in self._handlers_of(type(current)):
                for action in handle(current, now_ms):
                    if isinstance(action, actions.Notify):
                        pending.append(action.event)
                    else:
                        wanted.append(action)
        return tuple(wanted)

    def _handlers_of(self, kind: type[events.Event]) -> tuple[_Handler, ...]:
        """Returns what each controller does about a type of event, in order."""
        handlers = self._handlers.get(kind)
        if handlers is None:
            handlers = self._handlers[kind] = tuple(
                _handler(each, kind) for each in self._controllers)
        return handlers


def _handler(each: controller.Controller, kind: type[events.Event]) -> _Handler:
    """Returns a controller's step for a type of event.

    A `functools.singledispatchmethod` makes a new function for each call,
    which took a third of the decisions' processor time; so the choice is
    made once for each type.
    """
    step = inspect.getattr_static(each, "step")
    if isinstance(step, functools.singledispatchmethod):
        return functools.partial(step.dispatcher.dispatch(kind), each)
    return each.step


def node_kinds() -> tuple[type[controller.Controller], ...]:
    """Returns the controllers of a node, in the order in which they act."""
    return (
        membership.Membership,
        configuration.Configuration,
        assignments.Assignments,
        leases.Leases,
        planning.Planner,
        lifecycle.Lifecycle,
        claims.Claims,
        suspects.Suspects,
        limits.Limits,
        routing.Routing,
        requests.Requests,
    )
