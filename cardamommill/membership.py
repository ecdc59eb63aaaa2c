"""The controller of membership: VMs, evidence on runners, other nodes.

Each runner is asked by two nodes; each node asks each other one of its data
centre what it knows; two nodes fetch the summary of each other data centre.
Sections `vms`, `evidence` and `peers` of the board are its own.
"""

from collections.abc import Iterable
import functools

from cardamommill import (
    actions,
    changelog,
    contacts,
    controller,
    digests,
    events,
    evidence,
    fleet,
    nodetable,
    peering,
    periods,
    polling,
    pulling,
    summaries,
)
from cardamommill import board as board_lib

FAR_LOOK_MS = 500
MAX_LOST_VMS = 64


class Membership(controller.Controller):
    """Knows who is there: VMs, runners, nodes."""

    name = "membership"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        counter = changelog.Counter()
        self._contacts = contacts.Contacts(board.identity)
        self._book = evidence.EvidenceBook(board, timing, counter)
        self._digests = digests.DigestWriter(board, timing, self._book,
                                             self._contacts, counter)
        self._polls = polling.PollSchedule(board, timing, self.random)
        self._pulls = pulling.PullSchedule(board, timing, self.random,
                                           self._contacts)
        self._nodes = nodetable.NodeTable(board.identity, self._contacts,
                                          self.token, self.random)
        self._list_due_ms = board_lib.NEVER_MS
        self._far_due_ms = board_lib.NEVER_MS
        self._namesakes: set[int] = set()

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    # --- Time ---

    @step.register
    def _started(self, event: events.Started, now_ms: int) -> actions.Actions:
        for address in event.known_addresses:
            self._contacts.add(address, now_ms, configured=True)
        return ()

    @step.register
    def _tick(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        self._drop_silent(now_ms)
        self._set_leaving(now_ms)
        alive = self._polls.alive(now_ms)
        self._polls.share_out(alive, now_ms)
        self._digests.refresh_suspicions()
        wanted = (*self._list(now_ms), *self._nodes.calls(now_ms),
                  *self._polls.polls(now_ms), *self._pulls.pulls(now_ms))
        if now_ms < self._far_due_ms:
            return wanted
        # What concerns hundreds of nodes elsewhere is looked at less often.
        self._far_due_ms = now_ms + FAR_LOOK_MS
        self._forget(now_ms)
        self._pulls.share_out(alive)
        self._digests.refresh(now_ms, self._pulls.reports_on)
        return (*wanted, *self._pulls.summary_pulls(now_ms))

    @step.register
    def _paused(self, event: events.Paused, now_ms: int) -> actions.Actions:
        # Everything that is known has grown old at once; ask all again now.
        del event
        self._polls.ask_all(now_ms)
        self._pulls.ask_all(now_ms)
        return ()

    def _list(self, now_ms: int) -> actions.Actions:
        if now_ms < self._list_due_ms:
            return ()
        self._list_due_ms = now_ms + int(
            self.timing.vm_list_ms * self.random.uniform(0.8, 1.0))
        return (actions.ListVms(),)

    def _drop_silent(self, now_ms: int) -> None:
        peers = self.board.peers.by_node
        away_ms = now_ms - self.timing.peer_timeout_ms
        for node_id, peer in list(peers.items()):
            if peer.heard_ms < away_ms:
                del peers[node_id]

    def _forget(self, now_ms: int) -> None:
        self._contacts.forget(now_ms)
        self._book.forget(now_ms)
        summaries.forget(self.board.peers,
                         now_ms - 4 * self.timing.summary_max_age_ms)

    # --- Runners ---

    @step.register
    def _polled(self, event: events.RunnerPolled,
                now_ms: int) -> actions.Actions:
        del now_ms
        self._book.polled(event)
        if event.report is not None and event.report.leaving:
            self.board.vms.leaving.add(event.vm_id)
        return ()

    @step.register
    def _listed(self, event: events.VmsListed, now_ms: int) -> actions.Actions:
        if event.vms is None:
            return ()
        self._take_vms(event.vms)
        self.board.vms.listed_ms = now_ms
        self._set_leaving(now_ms)
        return ()

    def _take_vms(self, vms: Iterable[fleet.Vm]) -> None:
        here = self.board.identity.data_centre
        present = [
            vm for vm in vms
            if vm.data_centre == here and vm.state is not fleet.VmState.GONE
        ]
        self.board.vms.listed = {
            vm.vm_id: vm for vm in present[:evidence.MAX_VMS]
        }

    def _set_leaving(self, now_ms: int) -> None:
        by_vm = self.board.evidence.by_vm
        fresh_ms = now_ms - evidence.FORGET_MS
        told: set[str] = set()
        here = self.board.identity.data_centre
        for contact in self._contacts.of_data_centre(here):
            if contact.drained and contact.heard_ms >= fresh_ms:
                told |= contact.drained
        self.board.vms.leaving = told.union(
            self._digests.drained(),
            (vm_id for vm_id, each in by_vm.items() if each.report.leaving))

    @step.register
    def _crashed(self, event: events.RunnerCrashed,
                 now_ms: int) -> actions.Actions:
        row = self.board.assignments.replicas.get(event.replica_id)
        if row is None or (row.epoch, row.formation) != (event.epoch,
                                                         event.formation):
            return ()
        head = row.members[0]
        known = self.board.evidence.by_vm.get(head)
        if known is None or not self._book.accuse(head, known.report.boot_id,
                                                  now_ms):
            return ()
        self._polls.ask_at_once(head, now_ms)
        notice = peering.Notice(peering.PROTOCOL_VERSION,
                                self.board.identity,
                                lost_vms=(peering.LostVm(
                                    head, known.report.boot_id),))
        return (actions.Record(f"vm/{head}", "connection-lost",
                               f"the head of {event.replica_id} broke off"),
                *(actions.NotifyPeer(peer.identity.peer_address, notice)
                  for peer in self.board.peers.by_node.values()))

    @step.register
    def _tell_far_nodes(self, event: events.CrashNews,
                        now_ms: int) -> actions.Actions:
        # Pulls between data centres are seconds apart; in that time the
        # caller of a request that crashes its runner has tried all of them.
        del now_ms
        here = self.board.identity.data_centre
        return tuple(
            actions.NotifyPeer(contact.address, event.notice)
            for contact in self._contacts.outside(here))

    @step.register
    def _notified(self, event: events.PeerNotified,
                  now_ms: int) -> actions.Actions:
        notice = event.notice
        if (notice.version != peering.PROTOCOL_VERSION or
                self._contacts.is_former(notice.sender)):
            return ()
        for lost in notice.lost_vms[:MAX_LOST_VMS]:
            if self._book.accuse(lost.vm_id, lost.boot_id, now_ms):
                self._polls.ask_at_once(lost.vm_id, now_ms)
        return ()

    # --- Peers ---

    @step.register
    def _asked(self, event: events.PeerAsked, now_ms: int) -> actions.Actions:
        sender = event.request.sender
        if (event.request.version != peering.PROTOCOL_VERSION or
                self._contacts.is_former(sender)):
            return ()
        self._contacts.learn(sender, now_ms)
        contact = self._contacts.by_address.get(sender.peer_address)
        if contact is not None:
            if contact.failures:
                # It can reach us: a cut is over. Do not wait out the backoff.
                contact.failures = 0
                contact.due_ms = min(contact.due_ms, now_ms)
            if event.request.documents_hash != digests.documents_hash(
                    self.board):
                contact.want_documents(now_ms)
        return (actions.AnswerPeer(
            event.token,
            self._digests.answer(event.request, self._pulls.held_version(),
                                 now_ms)),)

    @step.register
    def _pulled(self, event: events.PeerPulled, now_ms: int) -> actions.Actions:
        contact = self._contacts.by_address.get(event.address)
        if contact is None:
            return ()
        digest = event.digest
        if digest is None:
            self._contacts.failed(contact, self.timing.pull_ms, now_ms)
            return ()
        if (digest.version != peering.PROTOCOL_VERSION or
                self._contacts.is_former(digest.sender)):
            return ()
        if digest.sender.node_id == self.board.identity.node_id:
            return self._met_namesake(contact, digest.sender)
        self._contacts.met(contact, digest.sender)
        contact.failures = 0
        contact.heard_ms = max(contact.heard_ms, event.sent_ms)
        if digest.documents_hash == digests.documents_hash(self.board):
            contact.wants_documents = False
        else:
            contact.want_documents(now_ms)
        for identity in digest.nodes:
            self._contacts.learn(identity, now_ms)
        if digest.sender.data_centre == self.board.identity.data_centre:
            self._take_near(contact, digest, event.sent_ms, now_ms)
        else:
            summaries.keep(
                self.board.peers,
                (each for each in summaries.unpacked(digest.summaries)
                 if each.data_centre == digest.sender.data_centre),
                event.sent_ms)
        contact.advance(digest)
        return ()

    def _take_near(self, contact: contacts.Contact, digest: peering.Digest,
                   sent_ms: int, now_ms: int) -> None:
        for each in contact.reports(digest, sent_ms):
            self._book.merge(each)
            if each.report.leaving:
                self.board.vms.leaving.add(each.report.vm_id)
        contact.drained = frozenset(digest.drained)
        self.board.vms.leaving |= contact.drained
        self._pulls.took(digest, now_ms)
        if digest.vms and not self.board.vms.listed:
            self._take_vms(digest.vms)
        here = self.board.identity.data_centre
        summaries.keep(self.board.peers,
                       (each for each in summaries.unpacked(digest.summaries)
                        if each.data_centre != here), sent_ms)
        before = self.board.peers.by_node.get(digest.sender.node_id)
        if (before is None or before.heard_ms < sent_ms or
                before.identity.incarnation < digest.sender.incarnation):
            self.board.peers.by_node[digest.sender.node_id] = board_lib.Peer(
                digest.sender, sent_ms, digest.ready, digest.in_flight,
                digest.uses)

    def _met_namesake(self, contact: contacts.Contact,
                      identity: fleet.NodeIdentity) -> actions.Actions:
        if identity.incarnation == self.board.identity.incarnation:
            self._contacts.is_self(contact)
            return ()
        if identity.incarnation in self._namesakes:
            return ()
        self._namesakes.add(identity.incarnation)
        return (actions.Record(
            f"node/{identity.node_id}", "name-taken",
            f"the node at {contact.address} has this node's name"),)

    # --- The table of nodes ---

    @step.register
    def _transacted(self, event: events.TransactAnswered,
                    now_ms: int) -> actions.Actions:
        del now_ms
        if self.owns(event.token):
            self._nodes.written(event)
        return ()

    @step.register
    def _read(self, event: events.RowsRead, now_ms: int) -> actions.Actions:
        if not self.owns(event.token):
            return ()
        alive = self._polls.alive(now_ms)
        return tuple(self._nodes.read(event, alive, now_ms))
