"""Moves a request from a silent or dead group to another one."""

import asyncio
from collections.abc import Callable

from cardamommill.gateway.requests import attemptresult
from cardamommill.gateway.shell import attempts, targets

# Interval of the search for a group to continue at.
POLL_MS = 40.0


class Diversion:
    """The diversion of one request, if there is one.

    Attributes:
        has_lost_member: Whether the group of the current attempt has lost a
            member.
    """

    def __init__(self, find_target: Callable[[], targets.Target |
                                             targets.PeerTarget | None],
                 is_started: Callable[[], bool]) -> None:
        """Initialises the instance without a diversion.

        Args:
            find_target: Returns a target to divert the request to, or None.
            is_started: Returns whether the answer to the caller has started.
        """
        self._find_target = find_target
        self._is_started = is_started
        self._target: targets.Target | targets.PeerTarget | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.has_lost_member = False

    def begin_attempt(self) -> None:
        """Prepares for another attempt, whose group is not known to be dead."""
        self.has_lost_member = False

    def start(self, attempt: attempts.Attempt, reason: str,
              is_dead: bool) -> None:
        """Ends an attempt as soon as another group can take the request.

        Until then the attempt continues: a silent runner may still finish an
        answer that no other runner can continue. Without this wait, a stream
        was cut off at a healthy runner because its node could not confirm the
        API key for another 14 ms.

        Args:
            attempt: The attempt.
            reason: The reason for the log.
            is_dead: Whether the group has lost a member. If the answer has not
                started, the attempt then ends at once even if no other group
                can take the request: holding it until its caller leaves gains
                nothing.
        """
        self.cancel()
        self.has_lost_member = is_dead
        self._try(attempt, reason)

    def _try(self, attempt: attempts.Attempt, reason: str) -> None:
        if attempt.done.done():
            return
        target = self._find_target()
        if target is not None or (self.has_lost_member and
                                  not self._is_started()):
            self._target = target
            attempt.cancel(attemptresult.Result.DIVERTED, reason)
            return
        self._timer = asyncio.get_running_loop().call_later(
            POLL_MS / 1000, self._try, attempt, reason)

    def cancel(self) -> None:
        """Stops the search for another group."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def take_target(self) -> targets.Target | targets.PeerTarget | None:
        """Returns the target that was found, once."""
        target, self._target = self._target, None
        return target
