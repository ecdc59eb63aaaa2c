"""What operators do to a service's document: compare, set, look back.

Every change is one transaction on the document's row, its history row and the
index, so that a revision is either in all of them or in none.
"""

from collections.abc import Callable
import dataclasses
import difflib
from typing import Protocol, TypeVar

from returns import result

from cardamommill import documents, events, exceptions, store

HISTORY_DIGITS = 10
ATTEMPTS = 8

T = TypeVar("T")

_INDEX = store.Key(store.INDEX, store.DOCUMENTS_INDEX)

Failure = exceptions.CardamommillError
Applied = result.Result[store.DocumentRow, Failure]


class SyncStore(Protocol):
    """The platform's tables, as the operators' commands call them."""

    def read(self, keys: tuple[store.Key, ...]) -> tuple[store.Row, ...]:
        """Returns a row per key, in order.

        Raises:
            StoreError: The table gave no answer.
        """

    def scan(self, table: str, prefix: str) -> tuple[store.Row, ...]:
        """Returns all rows whose key starts with the prefix, by key.

        Raises:
            StoreError: The table gave no answer.
        """

    def transact(self, conditions: tuple[store.Condition, ...],
                 writes: tuple[store.Write, ...]) -> events.TransactAnswered:
        """Commits all writes if all conditions hold; raises nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What an operator wants.

    Attributes:
        body: The document as YAML.
        author: Who wants it.
        reason: Why, in the operator's words.
        at: Wall time in ISO 8601, for people only.
        attempt: Unique; by it a change whose answer was lost is found again.
        base_revision: The revision that it was made from, 0 for a new
            service; None for whatever is in force.
    """

    body: str
    author: str
    reason: str
    at: str
    attempt: str
    base_revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Current:
    """What the table holds just before a change."""

    document: store.Row
    index: store.Row
    row: store.DocumentRow | None
    revisions: dict[str, int]

    @property
    def revision(self) -> int:
        in_row = self.row.revision if self.row else 0
        service = self.document.key.row
        return max(in_row, self.revisions.get(service, 0))


def history_key(service: str, revision: int) -> store.Key:
    """Returns the key of a revision's row, so that keys sort by revision."""
    return store.Key(store.HISTORY, f"{service}/{revision:0{HISTORY_DIGITS}d}")


def apply(tables: SyncStore, change: Change) -> Applied:
    """Makes a document the accepted one of its service.

    Args:
        tables: The platform's tables.
        change: The document, who wants it, and from which revision.

    Returns:
        The accepted row; or `DocumentError` for a wrong document,
        `RevisionConflict` where somebody else's change came first (who, when,
        and what differs), `StoreError` where it can't be known.
    """
    try:
        service = documents.parse(change.body, "the document").service
        return _apply(tables, service, change)
    except Failure as error:
        return result.Failure(error)


def _apply(tables: SyncStore, service: str, change: Change) -> Applied:
    base = change.base_revision
    unknown = False
    for _ in range(ATTEMPTS):
        try:
            if unknown and base is not None:
                # The answer to the write before was lost, or is still on its
                # way. Taken for a failure, the operator would be told that
                # somebody else was faster, namely he himself; the token in
                # the history row, which stays as it was written, tells.
                written = _in_history(tables, service, base + 1)
                if written is not None and _is_of(written, change):
                    return result.Success(written)
            current = _read(tables, service)
        except exceptions.StoreError as error:
            if unknown:
                continue
            return result.Failure(error)
        if base is None:
            base = current.revision
        if current.revision != base:
            return result.Failure(_conflict(service, base, current.row, change))
        outcome, row = _commit(tables, service, current, change)
        if outcome is store.TransactOutcome.COMMITTED:
            return result.Success(row)
        # A write whose answer was lost may be sent again because it is
        # conditional on the same versions: of the two at most one commits.
        # After a conflict either another service's change moved the index,
        # which is no reason to refuse this one, or this document changed,
        # which the next round finds out.
        if outcome is store.TransactOutcome.UNKNOWN:
            unknown = True
    return result.Failure(_gave_up(service, unknown))


def _gave_up(service: str, unknown: bool) -> exceptions.StoreError:
    if unknown:
        return exceptions.StoreError(
            "no answer, so it may or may not have been accepted; look with "
            f"'service history {service}' before you apply it again",
            step="apply")
    return exceptions.StoreError(
        "the table refuses, or other changes are always faster; nothing was "
        "changed",
        step="apply")


def _in_history(tables: SyncStore, service: str,
                revision: int) -> store.DocumentRow | None:
    found, = tables.read((history_key(service, revision),))
    return _decode(found) if found.version else None


def _is_of(row: store.DocumentRow, change: Change) -> bool:
    return (row.author, row.reason,
            row.attempt) == (change.author, change.reason, change.attempt)


def _read(tables: SyncStore, service: str) -> _Current:
    document, index = tables.read((store.Key(store.DOCUMENTS, service), _INDEX))
    row = _decode(document) if document.version else None
    revisions = (store.decode(store.DocumentsIndex, index.value).revisions
                 if index.version else {})
    return _Current(document, index, row, dict(revisions))


def _decode(row: store.Row) -> store.DocumentRow:
    try:
        return store.decode(store.DocumentRow, row.value)
    except ValueError as error:
        raise exceptions.StoreError(f"not a document's row: {error}",
                                    step="documents",
                                    peer=str(row.key)) from error


def _commit(tables: SyncStore, service: str, current: _Current,
            change: Change) -> tuple[store.TransactOutcome, store.DocumentRow]:
    revision = current.revision + 1
    row = store.DocumentRow(service, revision, change.author, change.reason,
                            change.at, change.body, change.attempt)
    index = store.DocumentsIndex({**current.revisions, service: revision})
    text = store.encode(row)
    answer = tables.transact((
        store.Condition(current.document.key, current.document.version),
        store.Condition(_INDEX, current.index.version),
    ), (
        store.Write(current.document.key, text),
        store.Write(history_key(service, revision), text),
        store.Write(_INDEX, store.encode(index)),
    ))
    return answer.outcome, row


def _conflict(service: str, base: int, theirs: store.DocumentRow | None,
              change: Change) -> exceptions.RevisionConflict:
    if theirs is None:
        return exceptions.RevisionConflict(
            f"there is no revision {base} of {service}",
            step="apply",
            peer=service)
    changes = unified(theirs.body, change.body,
                      f"{service} revision {theirs.revision}", "yours")
    return exceptions.RevisionConflict(
        f"made from revision {base}, but revision {theirs.revision} was "
        f"accepted from {theirs.author} at {theirs.at} "
        f"({theirs.reason}); it differs from yours:\n{changes}",
        step="apply",
        peer=service)


def unified(old: str, new: str, old_name: str, new_name: str) -> str:
    """Returns the lines in which two texts differ, as a unified diff.

    Args:
        old: The former text.
        new: The later one.
        old_name: What the diff's first line calls the former.
        new_name: What its second line calls the later.
    """
    return "\n".join(
        difflib.unified_diff(old.splitlines(),
                             new.splitlines(),
                             old_name,
                             new_name,
                             lineterm=""))


def get(tables: SyncStore, service: str, revision: int = 0) -> Applied:
    """Returns a revision of a service's document.

    Args:
        tables: The platform's tables.
        service: Whose.
        revision: Which; 0 for the accepted one.
    """
    key = (history_key(service, revision) if revision else store.Key(
        store.DOCUMENTS, service))

    def read() -> store.DocumentRow:
        found, = tables.read((key,))
        if not found.version:
            raise exceptions.CommandError("no such document",
                                          step="get",
                                          peer=str(key))
        return _decode(found)

    return _caught(read)


def revisions(tables: SyncStore) -> result.Result[dict[str, int], Failure]:
    """Returns the accepted revision of each service."""

    def read() -> dict[str, int]:
        index, = tables.read((_INDEX,))
        if not index.version:
            return {}
        return store.decode(store.DocumentsIndex, index.value).revisions

    return _caught(read)


def history(
        tables: SyncStore,
        service: str) -> result.Result[tuple[store.DocumentRow, ...], Failure]:
    """Returns all revisions of a service's document, oldest first."""
    return _caught(lambda: tuple(
        _decode(row) for row in tables.scan(store.HISTORY, f"{service}/")))


def diff(tables: SyncStore, service: str, old: int,
         new: int) -> result.Result[str, Failure]:
    """Returns how two revisions of a document differ.

    Args:
        tables: The platform's tables.
        service: Whose.
        old: A revision; 0 for the accepted one.
        new: Another.
    """
    return get(tables, service, old).bind(
        lambda left: get(tables, service, new).map(lambda right: unified(
            left.body, right.body, f"{service} revision {left.revision}",
            f"{service} revision {right.revision}")))


def roll_back(tables: SyncStore, service: str, revision: int,
              change: Change) -> Applied:
    """Makes an old document a new revision; nothing is ever taken back.

    Args:
        tables: The platform's tables.
        service: Whose.
        revision: The revision whose body is to be in force again.
        change: Who wants it and why; its body is not looked at.
    """
    return get(tables, service, revision).bind(
        lambda old: apply(tables, dataclasses.replace(change, body=old.body)))


def _caught(call: Callable[[], T]) -> result.Result[T, Failure]:
    try:
        return result.Success(call())
    except Failure as error:
        return result.Failure(error)
    except ValueError as error:
        return result.Failure(
            exceptions.StoreError(f"not a row of this version: {error}",
                                  step="documents"))
