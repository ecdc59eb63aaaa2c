"""Orders that a planner gives to runners."""

import dataclasses
import enum

from cardamommill.gateway import model


class Operation(enum.Enum):
    """What a runner is told to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one runner.

    Attributes:
        runner: Its id.
        operation: What to do.
        group: Which formation; none for `STAGE`.
        model: For `JOIN` and `STAGE`.
        members: For `JOIN`, ids in order of rank.
        expected_seq: The runner refuses where it has begun another order
            meanwhile. Two planners that don't know of each other, or an order
            that is carried out seconds late, then change nothing.
        reason: For the log.
    """

    runner: str
    operation: Operation
    group: model.GroupKey | None = None
    model: str = ""
    members: tuple[str, ...] = ()
    expected_seq: int | None = None
    reason: str = ""
