"""What happens to a node: all that controllers are told.

The shell turns every outside happening into one of these. What controllers
tell one another is in `internalevents`, and goes by its name here as well, so
that who handles events needs this one module. Times are local monotonic
milliseconds.
"""

import dataclasses

from cardamommill import (
    eventbase,
    fleet,
    internalevents,
    peering,
    requesting,
    store,
)

Token = eventbase.Token
Event = eventbase.Event

ClaimWanted = internalevents.ClaimWanted
ClaimGranted = internalevents.ClaimGranted
ClaimRefused = internalevents.ClaimRefused
ClaimSettled = internalevents.ClaimSettled
RequestEnded = internalevents.RequestEnded
RunnerCrashed = internalevents.RunnerCrashed
AttemptSent = internalevents.AttemptSent
AttemptClosed = internalevents.AttemptClosed
CrashNews = internalevents.CrashNews
QuarantineLifted = internalevents.QuarantineLifted
FleetChanged = internalevents.FleetChanged
FormedWithoutTable = internalevents.FormedWithoutTable


@dataclasses.dataclass(frozen=True, slots=True)
class Started(Event):
    """The node has started; the first event where there are known peers.

    Attributes:
        known_addresses: Peers' addresses from the settings, for when the
            table can't be read.
    """

    known_addresses: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed.

    Attributes:
        at: Wall time in ISO 8601, for people only; empty where there is none.
    """

    at: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TransactAnswered(Event):
    """A transaction ended.

    Attributes:
        token: Of the `actions.Transact`.
        outcome: How it ended.
        rows: With CONFLICT, the rows whose condition failed, as they are.
    """

    token: Token
    outcome: store.TransactOutcome
    rows: tuple[store.Row, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead(Event):
    """Rows were read, or could not be.

    Attributes:
        token: Of the `actions.ReadRows` or `actions.ScanRows`.
        rows: The rows; None if the table gave no answer. For `ReadRows` one
            per key, in order, with `store.ABSENT` where there is none.
    """

    token: Token
    rows: tuple[store.Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectAnswered(Event):
    """An object was put or fetched, or could not be.

    Attributes:
        token: Of the `actions.PutObject` or `actions.GetObject`.
        done: Whether it was.
        body: What was fetched.
    """

    token: Token
    done: bool
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class VmsListed(Event):
    """The platform's list of VMs of this data centre came.

    Attributes:
        vms: All VMs on it; None if the platform gave no answer.
    """

    vms: tuple[fleet.Vm, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPolled(Event):
    """A runner was asked for its state.

    Attributes:
        vm_id: Its VM.
        report: Its answer; None if there was none in time.
        sent_ms: When the question was sent.
    """

    vm_id: str
    report: fleet.RunnerReport | None
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered(Event):
    """An order to a runner ended.

    Attributes:
        order: The order.
        outcome: RAN if the runner took it, NOT_RUN if it refused it.
        detail: What the runner said.
    """

    order: fleet.Order
    outcome: requesting.Outcome
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsRead(Event):
    """A runner's cache events came, late and maybe with gaps.

    Attributes:
        vm_id: The head's VM.
        boot_id: Which life of the runner.
        first_sequence: Number of the first event.
        stored: Prefix hashes that were stored, in order.
        evicted: Prefix hashes that were dropped.
        next_sequence: What to ask for next.
    """

    vm_id: str
    boot_id: str
    first_sequence: int
    stored: tuple[str, ...]
    evicted: tuple[str, ...]
    next_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAsked(Event):
    """Another node pulls; answered by `actions.AnswerPeer`.

    Attributes:
        token: To answer with.
        request: What it asked.
    """

    token: Token
    request: peering.PullRequest


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPulled(Event):
    """A pull from another node ended.

    Attributes:
        address: The peer's address.
        digest: Its answer; None if there was none in time.
        sent_ms: When the question was sent: what the digest calls N ms old
            was true at or before ``sent_ms - N``.
    """

    address: str
    digest: peering.Digest | None
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerNotified(Event):
    """Another node sent news that must not wait for a pull.

    Attributes:
        notice: The news; it only ever takes trust away.
    """

    notice: peering.Notice


@dataclasses.dataclass(frozen=True, slots=True)
class Paused(Event):
    """This node stood still; all its evidence may be stale.

    Attributes:
        for_ms: For how long.
    """

    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownAsked(Event):
    """The process was asked to end gracefully."""


# --- Requests, from the shell ---


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller's request is here, whole and checked."""

    head: requesting.RequestHead


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before its answer was whole."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStarted(Event):
    """The answer's head came and named the right replica and epoch."""

    request_id: str
    attempt_id: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt is over.

    Attributes:
        request_id: Whose.
        attempt_id: Which; late ends of former attempts are told apart.
        outcome: Whether it ran, as far as is known.
        whole: Whether the whole answer reached the caller.
        status: The HTTP status, 0 if no head came.
        delivered: Stream events that reached the caller, over all attempts.
        first_byte_ms: Time from sending to the first byte; 0 if none.
        took_ms: Time from sending to the end.
        connection_lost: Whether the connection broke, which a crash of the
            runner does.
        silent: Whether it was given up for its silence alone.
        answer: The answer, if its `actions.Dispatch` asked to keep it.
        detail: What was seen, for the journal.
    """

    request_id: str
    attempt_id: str
    outcome: requesting.Outcome
    whole: bool
    status: int = 0
    delivered: int = 0
    first_byte_ms: int = 0
    took_ms: int = 0
    connection_lost: bool = False
    silent: bool = False
    answer: requesting.RecordedAnswer | None = None
    detail: str = ""
