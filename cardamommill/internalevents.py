"""Events that controllers send one another, through `actions.Notify`.

Other modules know them as `events.ClaimWanted` and so on.
"""

import dataclasses

from cardamommill import eventbase, fleet, peering, requesting


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWanted(eventbase.Event):
    """A request that may run once only was admitted."""

    head: requesting.RequestHead


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted(eventbase.Event):
    """This node, and no other, may run the request, once."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused(eventbase.Event):
    """The request must not run.

    Attributes:
        request_id: Whose.
        problem: What to tell the caller, unless there is a recorded answer.
        answer: The recorded answer of the first run.
    """

    request_id: str
    problem: requesting.Problem | None = None
    answer: requesting.RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettled(eventbase.Event):
    """How a claimed request ended, to be recorded or given back.

    Attributes:
        request_id: Whose.
        outcome: NOT_RUN gives the claim back.
        answer: What to keep for repeats.
    """

    request_id: str
    outcome: requesting.Outcome
    answer: requesting.RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded(eventbase.Event):
    """The caller has its final answer or has gone; sent for every request.

    Attributes:
        head: The request.
        outcome: Whether it ran, as far as is known.
        status: What the caller got.
        attempts: How often it was sent to a replica.
    """

    head: requesting.RequestHead
    outcome: requesting.Outcome
    status: int
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCrashed(eventbase.Event):
    """A replica's head broke the connection while it ran requests.

    Attributes:
        replica_id: The replica.
        epoch: Its epoch.
        formation: Its formation.
        digests: The digests of all requests of this node that ran on it.
    """

    replica_id: str
    epoch: int
    formation: int
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSent(eventbase.Event):
    """A request was sent to a replica or to a node of another data centre.

    Attributes:
        head: The request.
        attempt_id: Which attempt.
        target: Where it went.
        alone: Whether nothing else may be sent there while it runs.
    """

    head: requesting.RequestHead
    attempt_id: str
    target: requesting.Target
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptClosed(eventbase.Event):
    """An attempt that was sent has ended or was given up; once for each.

    Attributes:
        head: The request.
        attempt_id: Which attempt.
        target: Where it had gone.
        outcome: Whether it ran, as far as is known.
        whole: Whether the whole answer reached the caller.
        took_ms: From sending to the end.
    """

    head: requesting.RequestHead
    attempt_id: str
    target: requesting.Target
    outcome: requesting.Outcome
    whole: bool
    took_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNews(eventbase.Event):
    """News of crashes that nodes of other data centres must hear at once.

    Attributes:
        notice: The news; nodes of this data centre have been told.
    """

    notice: peering.Notice


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineLifted(eventbase.Event):
    """An operator wants a request to run again.

    Attributes:
        digest: Of the request.
        by: The operator.
    """

    digest: str
    by: str


@dataclasses.dataclass(frozen=True, slots=True)
class FleetChanged(eventbase.Event):
    """Rows of the fleet were written and are to be read again soon."""


@dataclasses.dataclass(frozen=True, slots=True)
class FormedWithoutTable(eventbase.Event):
    """A replica got other members, which the table doesn't know yet."""

    row: fleet.ReplicaRow
