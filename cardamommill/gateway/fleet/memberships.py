"""Compares successive states of a runner's membership of a group."""

from cardamommill.domain import model

_STATE_ORDER = {
    model.MemberState.JOINING: 0,
    model.MemberState.READY: 1,
    model.MemberState.OPEN: 2,
    model.MemberState.CLOSING: 3,
    model.MemberState.BROKEN: 4,
}
_SERVING = frozenset({model.MemberState.OPEN, model.MemberState.CLOSING})


def is_empty_status(status: model.RunnerStatus) -> bool:
    """Whether a status shows no effect of any order to the runner."""
    return not (status.staged or status.models or status.membership)


def place(membership: model.Membership | None) -> model.GroupKey | None:
    """Returns the group of a membership, or None without one."""
    return membership.key if membership is not None else None


def is_successor(before: model.Membership | None,
                 after: model.Membership | None,
                 previous: model.Membership | None) -> bool:
    """Whether a row shows the known membership in the same or a later state.

    Args:
        before: The membership according to all earlier evidence.
        after: The membership in the runner's new row.
        previous: The membership in the runner's previous row.
    """
    if before is None or after is None or before.key != after.key:
        return False
    if _STATE_ORDER[after.state] >= _STATE_ORDER[before.state]:
        return True
    # A head that was closed returns to READY once it has drained.
    return (after.state is model.MemberState.READY and previous is not None and
            previous.key == after.key and previous.state in _SERVING)
