"""What happened lately on this node, by subject, in bounded memory."""

import collections
import dataclasses
import threading

import logbook

from cardamommill import actions, logs, walltime

# A subject that tells more than this forgets its oldest entries.
ENTRIES_PER_SUBJECT = 64
# Requests have a place of their own: at 50 a second they would push all that
# is known of replicas and VMs out within minutes.
REQUEST_KIND = "request"
MAX_REQUEST_ENTRIES = 8000
MAX_OTHER_ENTRIES = 4000

log = logbook.Logger("journal")


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Something that happened.

    Attributes:
        at: Wall time in ISO 8601, for people only.
        subject: What it is about, such as ``request/ID``.
        event: A short name, such as ``member-lost``.
        detail: A sentence.
        trace_id: The trace that it belongs to, or empty.
    """

    at: str
    subject: str
    event: str
    detail: str
    trace_id: str = ""


class _Place:
    """Entries of some kinds of subjects, within a bound over all of them."""

    def __init__(self, max_entries: int, per_subject: int) -> None:
        self.max_entries = max_entries
        self.per_subject = per_subject
        self.count = 0
        # Lists and no deques: an empty deque takes 600 bytes.
        self.by_subject: collections.OrderedDict[
            str, list[Entry]] = collections.OrderedDict()

    def add(self, entry: Entry) -> None:
        entries = self.by_subject.setdefault(entry.subject, [])
        entries.append(entry)
        self.count += 1
        if len(entries) > self.per_subject:
            del entries[0]
            self.count -= 1
        self.by_subject.move_to_end(entry.subject)
        while self.count > self.max_entries:
            _, forgotten = self.by_subject.popitem(last=False)
            self.count -= len(forgotten)


class Journal:
    """Keeps the newest entries; thread-safe."""

    def __init__(self,
                 max_requests: int = MAX_REQUEST_ENTRIES,
                 max_others: int = MAX_OTHER_ENTRIES,
                 per_subject: int = ENTRIES_PER_SUBJECT) -> None:
        """Makes an empty journal.

        Args:
            max_requests: Entries on requests; beyond it the request that has
                been silent for longest is forgotten whole.
            max_others: The same for all other subjects.
            per_subject: Entries on one subject.
        """
        self._lock = threading.Lock()
        self._requests = _Place(max_requests, per_subject)
        self._others = _Place(max_others, per_subject)

    def record(self, action: actions.Record) -> None:
        """Keeps an entry and writes it to the log."""
        entry = Entry(walltime.now(), action.subject, action.event,
                      action.detail, action.trace_id)
        self.add(entry)
        log.info(
            logs.line(action.event,
                      subject=action.subject,
                      detail=action.detail,
                      trace=action.trace_id))

    def add(self, entry: Entry) -> None:
        """Keeps an entry."""
        with self._lock:
            self._place(entry.subject).add(entry)

    def about(self, subject: str) -> tuple[Entry, ...]:
        """Returns what is known of a subject, oldest first."""
        with self._lock:
            return tuple(self._place(subject).by_subject.get(subject, ()))

    def mentioning(self, name: str, limit: int) -> tuple[Entry, ...]:
        """Returns the newest entries on other subjects that name something.

        Args:
            name: Such as a VM or a replica.
            limit: How many at most.
        """
        with self._lock:
            found = [
                entry for place in (self._requests, self._others)
                for subject, entries in place.by_subject.items()
                if not subject.endswith(f"/{name}") for entry in entries
                if name in entry.detail
            ]
        return tuple(sorted(found, key=lambda entry: entry.at)[-limit:])

    def __len__(self) -> int:
        with self._lock:
            return self._requests.count + self._others.count

    def _place(self, subject: str) -> _Place:
        kind = subject.partition("/")[0]
        return self._requests if kind == REQUEST_KIND else self._others
