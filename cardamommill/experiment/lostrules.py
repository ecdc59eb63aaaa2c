"""Rule on answers that a node ends while sound runners work on them."""

import collections

from cardamommill.domain import clock


class LostRules:
    """Records what may end an answer early, and checks answers that did."""

    def __init__(self, contact_ms: float) -> None:
        """Initialises the instance without disruptions.

        Args:
            contact_ms: A disruption excuses its machine for this long.
        """
        self._contact_ms = contact_ms
        self._arrived_at: dict[str, list[str]] = (collections.defaultdict(list))
        # The runner that sent the last event of each attempt.
        self._last_sender: dict[str, str] = {}
        self._disrupted_ms: dict[str, float] = {}

    def record_arrival(self, attempt: str, runner: str) -> None:
        """Records that an attempt of a client has reached a runner."""
        self._arrived_at[attempt].append(runner)

    def record_event(self, attempt: str, runner: str) -> None:
        """Records that a runner has sent an event of an attempt."""
        self._last_sender[attempt] = runner

    def record_disruption(self, name: str) -> None:
        """Records that a runner or a machine has just been disrupted.

        A runner is disrupted if it ends, breaks off an answer, can't be
        reached, or has lost a member of its group. One that is only silent, or
        that a node told to leave its group, is not.
        """
        self._disrupted_ms[name] = clock.now_ms()

    def check_broken_answer(self, attempt: str, machine: str,
                            sent_ms: float) -> str | None:
        """Returns what an answer that its node ended early breaks, or None.

        Args:
            attempt: The client's attempt.
            machine: The host that it was sent to.
            sent_ms: When it was sent.
        """
        runners = self._arrived_at.get(attempt, [])
        if attempt in self._last_sender:
            runners = [self._last_sender[attempt]]
        if not runners or self._was_disrupted(machine,
                                              sent_ms - self._contact_ms):
            return None
        if any(self._was_disrupted(each, sent_ms) for each in runners):
            return None
        return (f"the answer ended early, though {' and '.join(runners)} "
                "were sound")

    def _was_disrupted(self, name: str, since_ms: float) -> bool:
        return self._disrupted_ms.get(name, float("-inf")) >= since_ms
