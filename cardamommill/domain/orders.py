"""Orders that a planner sends to runners."""

import dataclasses
import enum

from cardamommill.domain import model


class Operation(enum.Enum):
    """The operation that a runner is ordered to carry out.

    Attributes:
        JOIN: Joins a group as one of its members.
        OPEN: Starts to take requests, as the head of a group.
        CLOSE: Takes no further requests and finishes those that it has, as the
            head of a group.
        LEAVE: Leaves its group.
        STAGE: Loads a model from the weight store onto the host.
    """

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one runner.

    Attributes:
        runner: The runner's incarnation id.
        operation: The operation to carry out.
        group: The group; none for `STAGE`.
        model: The model, for `JOIN` and `STAGE`.
        members: Incarnation ids of all members in order of rank, for `JOIN`.
        expected_seq: The order count that the runner must have, which is the
            number of orders that it has started. It refuses the order if it has
            started another one meanwhile. So conflicting orders of two
            planners, or an order that arrives seconds late, have no effect.
        reason: For the log.
    """

    runner: str
    operation: Operation
    group: model.GroupKey | None = None
    model: str = ""
    members: tuple[str, ...] = ()
    expected_seq: int | None = None
    reason: str = ""
