"""Evidence of which runners are cold, and until when.

A runner states in its row of the runner list, and in its answers, for how much
longer it is cold. Both are counted from when this node reads them, so that the
time is never too short.
"""

import dataclasses

from cardamommill.domain import model


@dataclasses.dataclass(slots=True)
class ColdPeriod:
    """When a runner is cold.

    Attributes:
        began_ms: When this node first learned of it.
        row_until_ms: When it ends according to the runner's row.
        answer_until_ms: When it ends according to the runner's answers.
        answer_ms: When the last answer that said so was received.
    """

    began_ms: float
    row_until_ms: float = float("-inf")
    answer_until_ms: float = float("-inf")
    answer_ms: float = float("-inf")

    @property
    def until_ms(self) -> float:
        """When it ends according to all evidence."""
        return max(self.row_until_ms, self.answer_until_ms)


class ColdPeriods:
    """The cold runners that this node knows of, by runner ID."""

    def __init__(self) -> None:
        self.periods: dict[str, ColdPeriod] = {}

    def receive_row(self, runner: model.Runner, last_listed_ms: float,
                    now_ms: float) -> None:
        """Processes a new or changed row of a runner.

        Args:
            runner: The runner as the row describes it.
            last_listed_ms: Time of the last list with the former row. An answer
                received before that time is older than this row.
            now_ms: When the row was read.
        """
        if runner.cold_left_ms > 0:
            period = self._current_period(runner.id, now_ms)
            period.row_until_ms = now_ms + runner.cold_left_ms
            return
        known = self.periods.get(runner.id)
        if known is None:
            return
        known.row_until_ms = min(known.row_until_ms, now_ms)
        if known.answer_ms < last_listed_ms:
            known.answer_until_ms = min(known.answer_until_ms, now_ms)

    def receive_answer(self, runner: str, left_ms: float,
                       now_ms: float) -> None:
        """Processes an answer of a runner.

        Answers can arrive out of order, so one that names no time ends nothing.

        Args:
            runner: The runner's ID.
            left_ms: For how much longer it is cold, by its answer; 0 if not.
            now_ms: When the answer arrived.
        """
        if left_ms <= 0:
            return
        period = self._current_period(runner, now_ms)
        period.answer_until_ms = max(period.answer_until_ms, now_ms + left_ms)
        period.answer_ms = now_ms

    def _current_period(self, runner: str, now_ms: float) -> ColdPeriod:
        """Returns the current period of a runner, or begins one."""
        known = self.periods.get(runner)
        if known is None or known.until_ms <= now_ms:
            known = self.periods[runner] = ColdPeriod(now_ms)
        return known

    def drop_expired(self, now_ms: float) -> None:
        """Drops the periods that have ended."""
        for runner, period in list(self.periods.items()):
            if period.until_ms <= now_ms:
                del self.periods[runner]
