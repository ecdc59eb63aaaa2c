"""Types for requests: what came in, what was tried, how it ended."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known of whether a backend server ran a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Stage(enum.StrEnum):
    """Where a request is in this node."""

    ADMITTING = "admitting"
    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """A request whose body has arrived whole and within its limits.

    Attributes:
        request_id: Unique; given by this node.
        trace_id: From the caller's ``traceparent``, or new.
        account: The client account, known by its key.
        service: The service.
        method: The HTTP method.
        path: What follows the service's name, with its query.
        digest: Hexadecimal SHA-256 of method, path and body.
        body_bytes: The body's size.
        prefixes: Hashes of growing prefixes of a prompt, shortest first.
        repeatable: Whether it may be sent to a second replica.
        idempotency_key: From the caller; empty if there is none.
        deadline_ms: Local monotonic time by which the caller wants it.
        priority: 1 the most urgent, 9 the least.
        streaming: Whether the answer comes as a stream of events.
        hop: 0 from a caller, 1 from a node of another data centre.
        received_ms: Local monotonic time of arrival.
        caller_span: The caller's span in that trace, or empty.
    """

    request_id: str
    trace_id: str
    account: str
    service: str
    method: str
    path: str
    digest: str
    body_bytes: int
    prefixes: tuple[str, ...]
    repeatable: bool
    idempotency_key: str
    deadline_ms: int
    priority: int
    streaming: bool
    hop: int
    received_ms: int
    caller_span: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An RFC 9457 answer.

    Attributes:
        status: The HTTP status.
        title: A short line that is the same each time.
        detail: What happened this time.
        step: The step at which the request ended.
        peer: Who was spoken to; may be empty.
        outcome: Whether the request may have run.
        retry_after_s: When to come again; 0 for no such advice.
    """

    status: int
    title: str
    detail: str
    step: str
    peer: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer to a request that may run once only, kept for repeats.

    Attributes:
        status: The HTTP status.
        content_type: Of the body.
        body: The body, as text in Latin-1 so that it survives JSON.
        object_key: Where a large body is in the object store, or empty.
    """

    status: int
    content_type: str
    body: str = ""
    object_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where an attempt goes.

    Attributes:
        address: ``ip:port`` of a replica's head runner, or of a node.
        vm_id: The head's VM; empty for a node.
        replica_id: The replica, or the node's name.
        epoch: The replica's epoch; 0 for a node.
        formation: The replica's formation; 0 for a node.
        valid_until_ms: Local monotonic time after which the evidence for this
            choice has run out and nothing may be sent.
        remote_node: Whether this is a node of another data centre.
    """

    address: str
    vm_id: str
    replica_id: str
    epoch: int
    formation: int
    valid_until_ms: int
    remote_node: bool = False
