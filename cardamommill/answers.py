"""The problems that a request can end in, as RFC 9457 answers."""

import dataclasses
import enum
import random

from cardamommill import requesting, units

# No advice is longer: by then the fleet looks different.
MAX_RETRY_AFTER_S = 300


class Reason(enum.Enum):
    """Why a request is not answered by a replica."""

    NOT_SERVING = enum.auto()
    UNKNOWN_SERVICE = enum.auto()
    NO_CAPACITY = enum.auto()
    LIMITED = enum.auto()
    OVERLOADED = enum.auto()
    DEADLINE = enum.auto()
    QUARANTINED = enum.auto()
    BROKEN = enum.auto()
    GONE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _Form:
    status: int
    title: str
    step: str


_FORMS = {
    Reason.NOT_SERVING:
        _Form(503, "This node takes no new requests", "admission"),
    Reason.UNKNOWN_SERVICE:
        _Form(404, "There is no such service", "admission"),
    Reason.NO_CAPACITY:
        _Form(503, "No replica of the service can be reached", "routing"),
    Reason.LIMITED:
        _Form(429, "The client account is over its limit", "limits"),
    Reason.OVERLOADED:
        _Form(503, "The service can't do it in time", "admission"),
    Reason.DEADLINE:
        _Form(504, "The deadline has passed", "deadline"),
    Reason.QUARANTINED:
        _Form(422, "The request has crashed backend servers", "quarantine"),
    Reason.BROKEN:
        _Form(503, "The replica gave no whole answer", "attempt"),
    # Nobody reads it, but whoever keeps something for the request frees it.
    Reason.GONE:
        _Form(499, "The caller has gone", "answer"),
}


def problem(
    reason: Reason,
    detail: str,
    *,
    outcome: requesting.Outcome = requesting.Outcome.NOT_RUN,
    peer: str = "",
    retry_after_s: int = 0,
) -> requesting.Problem:
    """Returns what to tell a caller.

    Args:
        reason: Why the request ended.
        detail: What happened this time.
        outcome: Whether the request may have run.
        peer: Who was spoken to.
        retry_after_s: When to come again, 0 for no advice.
    """
    form = _FORMS[reason]
    return requesting.Problem(form.status, form.title, detail, form.step, peer,
                              outcome, retry_after_s)


def retry_after_s(wait_ms: float, chance: random.Random) -> int:
    """Returns when to come again, spread over as long as the wait itself.

    All that are refused in one moment would come back in one moment, and be
    refused again: the spread makes them arrive at the rate of the work.

    Args:
        wait_ms: After which there should be room.
        chance: Where the spread comes from.
    """
    least_s = max(1, round(wait_ms / units.MS_PER_S))
    return min(MAX_RETRY_AFTER_S, least_s + chance.randint(0, least_s + 1))
