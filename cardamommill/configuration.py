"""The controller of documents: which revisions this node obeys.

A revision only ever grows here, whether it comes from the table or from a
peer. Sections `documents` and `store` of the board are its own.
"""

import functools

from cardamommill import (
    actions,
    controller,
    documents,
    events,
    exceptions,
    peering,
    periods,
    store,
)
from cardamommill import board as board_lib

FETCH_AT_ONCE = 32
MAX_READS = 16
_INDEX = store.Key(store.INDEX, store.DOCUMENTS_INDEX)
_INDEX_SUBJECT = "index"
_FETCH_SUBJECT = "documents"


class Configuration(controller.Controller):
    """Takes higher revisions of documents and never goes back."""

    name = "configuration"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._started_ms: int | None = None
        self._read_due_ms = board_lib.NEVER_MS
        self._read_sent: dict[int, int] = {}
        # The revisions that the index, or else a peer, has named.
        self._wanted: dict[str, int] = {}
        self._wanted_by_peers: dict[str, int] = {}
        self._index_known = False
        self._peer_complete = False
        # Revisions that can't be used, and those whose alarm was raised.
        self._refused: dict[str, int] = {}
        self._alarmed: dict[str, int] = {}

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _tick(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        if self._started_ms is None:
            self._started_ms = now_ms
        self._look_whether_complete(now_ms)
        if now_ms < self._read_due_ms:
            return ()
        # Drawn anew each time, so that nodes that were started or cut off
        # together do not read in step.
        period_ms = self.timing.index_read_ms
        self._read_due_ms = now_ms + int(
            period_ms * self.random.uniform(0.8, 1.0))
        token = self.token(_INDEX_SUBJECT)
        self._read_sent[token.serial] = now_ms
        while len(self._read_sent) > MAX_READS:
            del self._read_sent[min(self._read_sent)]
        return (actions.ReadRows(token, (_INDEX,)),)

    @step.register
    def _read(self, event: events.RowsRead, now_ms: int) -> actions.Actions:
        if not self.owns(event.token) or event.rows is None:
            return ()
        self.board.store.answered_ms = max(self.board.store.answered_ms, now_ms)
        if event.token.subject == _INDEX_SUBJECT:
            sent_ms = self._read_sent.pop(event.token.serial,
                                          board_lib.NEVER_MS)
            return self._take_index(event.rows[0], sent_ms, now_ms)
        wanted: list[actions.Action] = []
        for row in event.rows:
            if row.version:
                wanted.extend(self._take(row.key.row, row.value, now_ms))
        self._look_whether_complete(now_ms)
        return tuple(wanted)

    @step.register
    def _pulled(self, event: events.PeerPulled, now_ms: int) -> actions.Actions:
        digest = event.digest
        if digest is None or digest.version != peering.PROTOCOL_VERSION:
            return ()
        wanted: list[actions.Action] = []
        for copy in digest.documents:
            wanted.extend(self._take(copy.service, copy.row, now_ms))
        for each in digest.revisions:
            self._wanted_by_peers[each.service] = max(
                each.revision, self._wanted_by_peers.get(each.service, 0))
        if digest.documents_complete and digest.revisions:
            self._peer_complete = True
        return tuple(wanted)

    def _take_index(self, row: store.Row, sent_ms: int,
                    now_ms: int) -> actions.Actions:
        try:
            revisions = (store.decode(store.DocumentsIndex, row.value).revisions
                         if row.version else {})
        except ValueError as error:
            return (self._alarm("index", row.version, "index-unreadable",
                                str(error)[:200]),) if self._is_news(
                                    "index", row.version) else ()
        self._index_known = True
        self._wanted = {
            service: max(revision, self._wanted.get(service, 0))
            for service, revision in revisions.items()
        }
        wanted: list[actions.Action] = []
        for service, in_force in self.board.documents.in_force.items():
            listed = revisions.get(service, 0)
            # An answer that was asked for before the document came may be
            # older than it and means nothing. One asked for later means a
            # table that was restored from an old copy; obeying it would undo
            # a change that an operator was told is in force.
            if (listed < in_force.row.revision and
                    sent_ms > in_force.since_ms and
                    self._is_news(service, listed)):
                wanted.append(
                    self._alarm(
                        service, listed, "revision-went-back",
                        f"the index says {listed}, in force stays "
                        f"{in_force.row.revision}"))
        missing = [
            service for service, revision in self._wanted.items()
            if not self._has(service, revision)
        ][:FETCH_AT_ONCE]
        if missing:
            wanted.append(
                actions.ReadRows(
                    self.token(_FETCH_SUBJECT),
                    tuple(
                        store.Key(store.DOCUMENTS, service)
                        for service in missing)))
        self._look_whether_complete(now_ms)
        return tuple(wanted)

    def _take(self, service: str, text: str, now_ms: int) -> actions.Actions:
        """Puts a document in force if it is newer than the one there."""
        try:
            row = store.decode(store.DocumentRow, text)
        except ValueError as error:
            if not self._is_news(service, -1):
                return ()
            return (self._alarm(service, -1, "document-unreadable",
                                str(error)[:200]),)
        if row.service != service or self._has(service, row.revision):
            return ()
        try:
            document = documents.parse(row.body,
                                       f"{service} revision {row.revision}")
            if document.service != service:
                raise exceptions.DocumentError(f"it is of {document.service}",
                                               step="document",
                                               peer=service)
        except exceptions.DocumentError as error:
            # One bad document must not stop the others, nor this service:
            # the revision before it stays in force.
            self._refused[service] = row.revision
            return (self._alarm(service, row.revision, "document-refused",
                                str(error)[:500]),)
        self.board.documents.in_force[service] = board_lib.DocumentInForce(
            document, row, now_ms)
        return (actions.Record(
            f"service/{service}", "document-in-force",
            f"revision {row.revision} from {row.author}: {row.reason}"),)

    def _has(self, service: str, revision: int) -> bool:
        """Tells whether a revision is in force, replaced or unusable here."""
        in_force = self.board.documents.in_force.get(service)
        held = in_force.row.revision if in_force else 0
        return max(held, self._refused.get(service, 0)) >= revision

    def _look_whether_complete(self, now_ms: int) -> None:
        if self.board.documents.complete or self._started_ms is None:
            return
        if self._index_known:
            wanted = self._wanted
        elif self._peer_complete and now_ms >= (self._started_ms +
                                                self.timing.peer_timeout_ms):
            # Without the table the peers' word is the best there is. All of
            # them get the time to say it: a node that took the first answer
            # might be in force with less than its former life was, although
            # another peer still has the newer copy.
            wanted = self._wanted_by_peers
        else:
            return
        self.board.documents.complete = all(
            self._has(service, revision)
            for service, revision in wanted.items())

    def _is_news(self, service: str, revision: int) -> bool:
        return self._alarmed.get(service) != revision

    def _alarm(self, service: str, revision: int, name: str,
               detail: str) -> actions.Record:
        self._alarmed[service] = revision
        return actions.Record(f"service/{service}", name, detail)
