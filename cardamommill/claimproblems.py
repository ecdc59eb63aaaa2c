"""What callers are told of a key that they may not run now."""

import random

from cardamommill import requesting, store

STEP = "claim"
TABLE = "platform"
# Spread, so that those who were refused together don't come back together.
RETRY_AFTER_S = (2, 6)
AGAIN_S = 2


def no_table(chance: random.Random) -> requesting.Problem:
    """Returns the answer while the table can't be written.

    Args:
        chance: Spreads the times at which callers come back.
    """
    return requesting.Problem(
        503,
        "Claims can't be written now",
        "this call was not run, since the table that keeps calls from running "
        "twice gives no answer; whether an earlier call with this key ran is "
        "not known here; send it again with the same key",
        step=STEP,
        peer=TABLE,
        retry_after_s=chance.randint(*RETRY_AFTER_S))


def in_progress(by: str) -> requesting.Problem:
    """Returns the answer to a repeat of a call that may still run.

    Args:
        by: The node that claimed the key.
    """
    return requesting.Problem(
        409,
        "In progress",
        "a call with this key was claimed and has no answer yet; this one was "
        "not sent on",
        step=STEP,
        peer=by,
        outcome=requesting.Outcome.UNKNOWN,
        retry_after_s=AGAIN_S)


def lost(row: store.ClaimRow) -> requesting.Problem:
    """Returns the answer to a repeat of a call whose end nobody knows.

    Args:
        row: The claim.
    """
    return requesting.Problem(
        409,
        "Outcome unknown",
        f"a call with this key, request {row.request_id}, may have run; its "
        "answer was lost, and it will not be run again",
        step=STEP,
        peer=row.node,
        outcome=requesting.Outcome.UNKNOWN)


def other_request(row: store.ClaimRow) -> requesting.Problem:
    """Returns the answer to another call with a key that is taken.

    Args:
        row: The claim.
    """
    return requesting.Problem(
        422,
        "Key used for another request",
        "this key belongs to a call with another method, path or body, "
        f"request {row.request_id}",
        step=STEP,
        peer=row.node)


def answer_not_kept(row: store.ClaimRow) -> requesting.Problem:
    """Returns the answer to a repeat whose first answer was not recorded.

    Args:
        row: The claim.
    """
    return requesting.Problem(
        409,
        "Already run",
        f"the call with this key, request {row.request_id}, ran; its answer "
        "could not be kept",
        step=STEP,
        peer=row.node,
        outcome=requesting.Outcome.RAN)


def answer_away(row: store.ClaimRow,
                chance: random.Random) -> requesting.Problem:
    """Returns the answer while a recorded answer can't be fetched.

    Args:
        row: The claim.
        chance: Spreads the times at which callers come back.
    """
    return requesting.Problem(
        503,
        "Answer can't be fetched now",
        f"the call with this key, request {row.request_id}, ran; the object "
        "store that has its answer can't be reached",
        step=STEP,
        peer=TABLE,
        outcome=requesting.Outcome.RAN,
        retry_after_s=chance.randint(*RETRY_AFTER_S))


def unreadable(key: store.Key) -> requesting.Problem:
    """Returns the answer where the claim's row is not of this version.

    Args:
        key: The row.
    """
    return requesting.Problem(
        409,
        "Outcome unknown",
        f"the row {key.table} of this key can't be understood by this node",
        step=STEP,
        peer=TABLE,
        outcome=requesting.Outcome.UNKNOWN)
