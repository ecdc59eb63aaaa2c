"""Orders that a planner sends to runners."""

import dataclasses
import enum

from cardamommill.gateway import model


class Operation(enum.Enum):
    """The operation that a runner is ordered to carry out."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one runner.

    Attributes:
        runner: The runner's id.
        operation: The operation to carry out.
        group: The formation; none for `STAGE`.
        model: The model, for `JOIN` and `STAGE`.
        members: Ids of all members in order of rank, for `JOIN`.
        expected_seq: The order count that the runner must have; it refuses the
            order if it has started another one meanwhile. So conflicting orders
            of two planners, or an order that arrives seconds late, have no
            effect.
        reason: For the log.
    """

    runner: str
    operation: Operation
    group: model.GroupKey | None = None
    model: str = ""
    members: tuple[str, ...] = ()
    expected_seq: int | None = None
    reason: str = ""
