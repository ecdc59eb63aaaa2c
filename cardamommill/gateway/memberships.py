"""How what runners say of their places in groups follows one another."""

from cardamommill.gateway import model

_ORDER = {
    model.MemberState.JOINING: 0,
    model.MemberState.READY: 1,
    model.MemberState.OPEN: 2,
    model.MemberState.CLOSING: 3,
    model.MemberState.BROKEN: 4,
}
_SERVING = frozenset({model.MemberState.OPEN, model.MemberState.CLOSING})


def is_empty_status(status: model.RunnerStatus) -> bool:
    """Whether nobody can have ordered anything of a runner yet."""
    return not (status.staged or status.models or status.membership)


def place(membership: model.Membership | None) -> model.GroupKey | None:
    """Returns the group that a membership names, None for none."""
    return membership.key if membership is not None else None


def is_successor(before: model.Membership | None,
                 after: model.Membership | None,
                 said: model.Membership | None) -> bool:
    """Whether a place in a group is the same one, later.

    Args:
        before: What is believed.
        after: What its row says.
        said: What its row said before.
    """
    if before is None or after is None or before.key != after.key:
        return False
    if _ORDER[after.state] >= _ORDER[before.state]:
        return True
    # A head that has finished after its close says ready once more.
    return (after.state is model.MemberState.READY and said is not None and
            said.key == after.key and said.state in _SERVING)
