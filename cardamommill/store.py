"""Keys and rows of the platform's tables, and the calls that reach them.

The tables and who writes them:

=============  =====================  ====================================
table          key                    written by
=============  =====================  ====================================
documents      service                operators' ``service apply``
history        service/revision       operators' ``service apply``
index          documents              ``service apply``: revision a service
index          fleet/DC               the planner of DC and operators'
                                      ``drain``: a count of changes
index          quarantine             whoever quarantines or lifts: a count
nodes          DC/node                that node, once a start; others delete
                                      it when it has long been dead
leases         DC                     the planner of DC
vms            DC/vm                  the planner of DC
replicas       DC/replica             the planner of DC
drains         DC/vm                  operators' ``drain``, ``undrain``
claims         service/account/key    the node that runs the request
quarantine     digest                 a node that saw the second crash, or
                                      that an operator told to lift it
=============  =====================  ====================================
"""

import dataclasses
import enum
from typing import Any, TypeVar

import pydantic

from cardamommill import requesting

DOCUMENTS = "documents"
HISTORY = "history"
INDEX = "index"
NODES = "nodes"
LEASES = "leases"
VMS = "vms"
REPLICAS = "replicas"
DRAINS = "drains"
CLAIMS = "claims"
QUARANTINE = "quarantine"

DOCUMENTS_INDEX = "documents"
QUARANTINE_INDEX = "quarantine"

T = TypeVar("T")

# The version of a row that is not there.
ABSENT = 0


def fleet_index(data_centre: str) -> str:
    """Returns the key of the index row of a data centre's fleet."""
    return f"fleet/{data_centre}"


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Names one row.

    Attributes:
        table: The table.
        row: The row's key in that table.
    """

    table: str
    row: str

    def __str__(self) -> str:
        return f"{self.table}/{self.row}"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read.

    Attributes:
        key: Which row.
        version: Grows with each write of the row; `ABSENT` if there is none.
        value: Its JSON text; empty if there is none.
    """

    key: Key
    version: int = ABSENT
    value: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentsIndex:
    """The row ``index/documents``.

    Attributes:
        revisions: The accepted revision of each service's document.
    """

    revisions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRow:
    """A row of ``documents`` and of ``history``.

    Attributes:
        service: Whose document it is.
        revision: Counts from 1; a roll back is a new revision.
        author: The operator who applied it.
        reason: Why, in the operator's words.
        at: Wall time in ISO 8601, for people only.
        body: The document as YAML.
        attempt: The token of the transaction that wrote the row.
    """

    service: str
    revision: int
    author: str
    reason: str
    at: str
    body: str
    attempt: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRow:
    """A row of ``drains``; the VM is drained while it is there.

    Attributes:
        vm_id: The VM.
        author: The operator who wants it emptied.
        reason: Why, in the operator's words.
        at: Wall time in ISO 8601, for people only.
    """

    vm_id: str
    author: str
    reason: str
    at: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCount:
    """An index row that counts changes of the rows that it stands for."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """A row of ``leases``.

    Attributes:
        holder: The node that plans the data centre.
        incarnation: Which life of that node.
        epoch: The fencing number; grows by one with each new holder.
        renewals: Grows with each renewal, so that the row is seen to move.
        attempt: The token of the transaction that wrote the row last.
    """

    holder: str
    incarnation: int
    epoch: int
    renewals: int
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A transaction commits only if the row has this version."""

    key: Key
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Writes a row, or deletes it where the value is None."""

    key: Key
    value: str | None


class ClaimState(enum.StrEnum):
    """How far a request is that may run once only."""

    # Its node may be running it, or have died at any step of it.
    RUNNING = "running"
    # It ran, and its answer is in the row if that could be kept.
    FINISHED = "finished"
    # Its node does not know whether it ran, and never will.
    LOST = "lost"
    # It did not run and its node will not run it: the key is free.
    RETURNED = "returned"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """A row of ``claims``.

    Attributes:
        digest: Of the request.
        attempt: The token of the claim; who can show it holds the key.
        node: The node that claimed.
        incarnation: Which life of that node.
        request_id: The id of the request there.
        state: How far it is.
        answer: What repeats get.
    """

    digest: str
    attempt: str
    node: str
    incarnation: int
    request_id: str
    state: ClaimState
    answer: requesting.RecordedAnswer | None = None


class TransactOutcome(enum.StrEnum):
    """How a transaction ended, as far as is known."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    # No answer: it may have taken effect. Read back, never repeat blindly.
    UNKNOWN = "unknown"
    # Certainly not sent or refused before it was looked at.
    NOT_RUN = "not-run"


def encode(value: Any) -> str:
    """Returns the JSON text of a dataclass from `fleet` or this module."""
    return _adapter(type(value)).dump_json(value).decode()


def decode(kind: type[T], text: str) -> T:
    """Returns the value of a row.

    Args:
        kind: A dataclass such as `fleet.ReplicaRow`.
        text: JSON as `encode` made it.

    Raises:
        ValueError: The text is not of that kind.
    """
    value: T = _adapter(kind).validate_json(text)
    return value


_adapters: dict[Any, pydantic.TypeAdapter[Any]] = {}


def _adapter(kind: Any) -> pydantic.TypeAdapter[Any]:
    if kind not in _adapters:
        _adapters[kind] = pydantic.TypeAdapter(kind)
    return _adapters[kind]
