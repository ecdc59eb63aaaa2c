"""What all controllers have in common."""

import functools
import random

from cardamommill import actions, events, periods
from cardamommill import board as board_lib


class Controller:
    """Decides on one subject; pure: no clock, socket, thread or global chance.

    A subclass registers a handler for each type of event that it wants::

        @controller.Controller.step.register
        def _(self, event: events.Tick, now_ms: int) -> actions.Actions: ...

    Since a registration would be shared by all subclasses, each subclass
    defines its own ``step`` as a `functools.singledispatchmethod`.

    Attributes:
        name: The owner of its tokens.
        board: The blackboard; it writes only its own sections.
        timing: The periods in force.
        random: The generator for all its chance.
    """

    name = "controller"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        self.board = board
        self.timing = timing
        self.random = random.Random(f"{self.name}/{seed}")
        self._serial = 0

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event.

        Args:
            event: What happened.
            now_ms: The local monotonic time.
        """
        del event, now_ms
        return ()

    def token(self, subject: str = "") -> events.Token:
        """Returns a new token of this controller."""
        self._serial += 1
        return events.Token(self.name, self._serial, subject)

    def owns(self, token: events.Token) -> bool:
        """Tells whether this controller asked what the token answers."""
        return token.owner == self.name
