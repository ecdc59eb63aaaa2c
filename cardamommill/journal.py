"""What happened lately on this node, by subject, in bounded memory."""

import collections
import dataclasses
import threading

import logbook

from cardamommill import actions, logs, walltime

# A subject that tells more than this forgets its oldest entries.
ENTRIES_PER_SUBJECT = 64
# With full subjects of some 300 bytes an entry this stays under 10 MB.
MAX_ENTRIES = 20_000

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


class Journal:
    """Keeps the newest entries; thread-safe."""

    def __init__(self,
                 max_entries: int = MAX_ENTRIES,
                 per_subject: int = ENTRIES_PER_SUBJECT) -> None:
        """Makes an empty journal.

        Args:
            max_entries: Over all subjects; beyond it the subject that has
                been silent for longest is forgotten whole.
            per_subject: Of one subject.
        """
        self._max_entries = max_entries
        self._per_subject = per_subject
        self._count = 0
        self._lock = threading.Lock()
        self._by_subject: collections.OrderedDict[
            str, collections.deque[Entry]] = collections.OrderedDict()

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
            entries = self._by_subject.setdefault(
                entry.subject, collections.deque(maxlen=self._per_subject))
            self._count += len(entries) < self._per_subject
            entries.append(entry)
            self._by_subject.move_to_end(entry.subject)
            while self._count > self._max_entries:
                _, forgotten = self._by_subject.popitem(last=False)
                self._count -= len(forgotten)

    def about(self, subject: str) -> tuple[Entry, ...]:
        """Returns what is known of a subject, oldest first."""
        with self._lock:
            return tuple(self._by_subject.get(subject, ()))

    def mentioning(self, name: str, limit: int) -> tuple[Entry, ...]:
        """Returns the newest entries on other subjects that name something.

        Args:
            name: Such as a VM or a replica.
            limit: How many at most.
        """
        with self._lock:
            found = [
                entry for subject, entries in self._by_subject.items()
                if not subject.endswith(f"/{name}") for entry in entries
                if name in entry.detail
            ]
        return tuple(sorted(found, key=lambda entry: entry.at)[-limit:])

    def __len__(self) -> int:
        with self._lock:
            return self._count
