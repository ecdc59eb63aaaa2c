"""What controllers want done; the shell performs each by its type."""

import dataclasses

from cardamommill import events, fleet, peering, requesting, store


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """The base of all actions."""


Actions = tuple[Action, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Notify(Action):
    """Tells the other controllers of this node; never reaches the shell."""

    event: events.Event


# --- The platform ---


@dataclasses.dataclass(frozen=True, slots=True)
class Transact(Action):
    """Commits all writes if all conditions hold; `events.TransactAnswered`."""

    token: events.Token
    conditions: tuple[store.Condition, ...]
    writes: tuple[store.Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows(Action):
    """Reads rows by key; `events.RowsRead`."""

    token: events.Token
    keys: tuple[store.Key, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScanRows(Action):
    """Reads all rows of a table whose key has a prefix; `events.RowsRead`."""

    token: events.Token
    table: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutObject(Action):
    """Keeps a body in the object store; `events.ObjectAnswered`."""

    token: events.Token
    key: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GetObject(Action):
    """Fetches a body from the object store; `events.ObjectAnswered`."""

    token: events.Token
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListVms(Action):
    """Asks for the VMs of this data centre; `events.VmsListed`."""


# --- Runners ---


@dataclasses.dataclass(frozen=True, slots=True)
class PollRunner(Action):
    """Asks a runner for its state; `events.RunnerPolled`."""

    vm_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder(Action):
    """Gives a runner an order; `events.OrderAnswered`.

    Attributes:
        address: The runner's address.
        order: What to do.
        valid_until_ms: Local monotonic time after which it must not be sent.
    """

    address: str
    order: fleet.Order
    valid_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCacheEvents(Action):
    """Asks a head for its cache events; `events.CacheEventsRead`."""

    vm_id: str
    address: str
    after_sequence: int


# --- Peers ---


@dataclasses.dataclass(frozen=True, slots=True)
class PullPeer(Action):
    """Asks another node what it knows; `events.PeerPulled`."""

    address: str
    request: peering.PullRequest


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPeer(Action):
    """Answers `events.PeerAsked`."""

    token: events.Token
    digest: peering.Digest


@dataclasses.dataclass(frozen=True, slots=True)
class NotifyPeer(Action):
    """Sends news to another node, without waiting for an answer."""

    address: str
    notice: peering.Notice


# --- Requests ---


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch(Action):
    """Sends a request to a replica; `events.AttemptEnded` in any case.

    Attributes:
        request_id: Which request; the shell has its body.
        attempt_id: Unique; late bytes of another attempt are dropped.
        target: Where it goes.
        resume_from: Stream events that the caller already has.
        deadline_ms: Local monotonic time at which the attempt is given up.
        keep_answer: Whether to hand the answer back for recording.
    """

    request_id: str
    attempt_id: str
    target: requesting.Target
    resume_from: int
    deadline_ms: int
    keep_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """Gives an attempt up, also at the engine; no event follows it."""

    request_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonAttempt(Action):
    """Ends an attempt if it is silent; its `events.AttemptEnded` follows.

    Attributes:
        request_id: Whose.
        attempt_id: Which; nothing happens if it has ended.
        silent_ms: How long nothing may have come of it.
        reason: Why, for the journal.
    """

    request_id: str
    attempt_id: str
    silent_ms: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(Action):
    """Gives the caller its final answer, at once.

    Where a stream has begun, the problem goes out as an explicit error event.
    """

    request_id: str
    problem: requesting.Problem
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Replay(Action):
    """Gives the caller the recorded answer of the first run."""

    request_id: str
    answer: requesting.RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Finish(Action):
    """Ends an answer that has reached the caller whole."""

    request_id: str
    attempts: int


# --- The node itself ---


@dataclasses.dataclass(frozen=True, slots=True)
class Record(Action):
    """Writes a line to the journal and the log.

    Attributes:
        subject: What it is about, as ``replica/ID``, ``vm/ID`` or
            ``request/ID``.
        event: A short name, such as ``member-lost``.
        detail: A sentence for a person.
        trace_id: The trace that it belongs to, or empty.
    """

    subject: str
    event: str
    detail: str
    trace_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EndProcess(Action):
    """Ends the node; what was cut off is told in the log."""

    cut: tuple[str, ...]
