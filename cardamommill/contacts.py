"""The address book of other nodes, and when to ask each.

A node is known by its name; its incarnation tells its lives apart. Whatever
an earlier life said, or says late, is ignored.
"""

from collections.abc import Iterator
import dataclasses

from cardamommill import board as board_lib
from cardamommill import evidence, fleet, peering

MAX_CONTACTS = 1024
# A silent peer is asked less often, but often enough to be heard again within
# seconds once a cut is mended.
MAX_BACKOFF = 4
# Longer than `nodetable.ALL_NODES_READ_MS`, which vouches for the far ones.
FORGET_MS = 1_500_000


@dataclasses.dataclass(slots=True)
class Contact:
    """An address at which a node answers, or did.

    Attributes:
        address: Its peers' port.
        configured: Whether the settings name it; then it is never forgotten.
        named_ms: When somebody last said that it exists.
        identity: Who answers there; None until that is known.
        due_ms: When to ask next.
        heard_ms: When the question was sent that it answered last.
        failures: Questions without an answer since then.
        sequence: What to ask after.
        wants_documents: Whether its documents differed last time.
        drained: VMs that it says are to go.
    """

    address: str
    configured: bool
    named_ms: int
    identity: fleet.NodeIdentity | None = None
    due_ms: int = board_lib.NEVER_MS
    heard_ms: int = board_lib.NEVER_MS
    failures: int = 0
    sequence: int = 0
    wants_documents: bool = True
    drained: frozenset[str] = frozenset()
    _reports: dict[int,
                   fleet.RunnerReport] = dataclasses.field(default_factory=dict)
    _sequence_of_vm: dict[str, int] = dataclasses.field(default_factory=dict)

    def start_again(self, identity: fleet.NodeIdentity) -> None:
        """Forgets what a former life of the node had said."""
        self.identity = identity
        self.sequence = 0
        self.wants_documents = True
        self.drained = frozenset()
        self._reports.clear()
        self._sequence_of_vm.clear()

    def want_documents(self, now_ms: int) -> None:
        """Asks for documents, and at once where the difference is news."""
        if not self.wants_documents:
            self.wants_documents = True
            self.due_ms = min(self.due_ms, now_ms)

    def reports(self, digest: peering.Digest,
                sent_ms: int) -> Iterator[fleet.Evidence]:
        """Yields the evidence in an answer, dated; remembers what it names.

        Args:
            digest: The node's answer.
            sent_ms: When it was asked.
        """
        for aged in digest.reports:
            self._remember(aged)
            yield fleet.Evidence(aged.report, sent_ms - max(0, aged.age_ms),
                                 aged.watcher)
        for news in digest.unchanged:
            # Joined by number, never by VM: of answers that overtook one
            # another, a repetition could else renew a report that the runner
            # has long taken back.
            report = self._reports.get(news.sequence)
            if report is not None:
                yield fleet.Evidence(evidence.with_load(report, news),
                                     sent_ms - max(0, news.age_ms),
                                     digest.sender.node_id)

    def _remember(self, aged: peering.AgedReport) -> None:
        vm_id = aged.report.vm_id
        before = self._sequence_of_vm.get(vm_id, 0)
        if len(self._sequence_of_vm) >= evidence.MAX_VMS:
            # VMs come and go for weeks; starting over costs one full answer.
            self._reports.clear()
            self._sequence_of_vm.clear()
            self.sequence = 0
            before = 0
        if aged.sequence > before:
            self._reports.pop(before, None)
            self._reports[aged.sequence] = aged.report
            self._sequence_of_vm[vm_id] = aged.sequence

    def advance(self, digest: peering.Digest) -> None:
        """Moves on what to ask after, if nothing in between was missed."""
        if digest.after_sequence <= self.sequence:
            self.sequence = max(self.sequence, digest.sequence)


class Contacts:
    """All other nodes that this one has ever heard of, within a bound."""

    def __init__(self, identity: fleet.NodeIdentity) -> None:
        self.by_address: dict[str, Contact] = {}
        self._self = identity
        self._own_addresses = {identity.peer_address}
        self._incarnations: dict[str, int] = {}
        # Contacts by data centre, "" for the unmet; None when out of date.
        # Looked at in each tick, and hardly ever changed.
        self._index: dict[str, list[Contact]] | None = None

    def add(self,
            address: str,
            now_ms: int,
            configured: bool = False) -> Contact | None:
        """Returns the contact at an address, new if need be.

        Args:
            address: A peers' port.
            now_ms: The local monotonic time.
            configured: Whether the settings name it.

        Returns:
            None for this node's own address, or where the book is full.
        """
        contact = self.by_address.get(address)
        if contact is not None:
            return contact
        if (not address or address in self._own_addresses or
                len(self.by_address) >= MAX_CONTACTS):
            return None
        contact = Contact(address, configured, now_ms, due_ms=now_ms)
        self.by_address[address] = contact
        self._index = None
        return contact

    def learn(self, identity: fleet.NodeIdentity, now_ms: int) -> None:
        """Takes somebody's word that a node exists; no sign of life."""
        if identity.node_id == self._self.node_id:
            return
        if self.is_former(identity):
            return
        contact = self.add(identity.peer_address, now_ms)
        if contact is None:
            return
        contact.named_ms = now_ms
        # An address may have passed to another node. Who answers there knows
        # better than whoever still remembers the one before.
        before = contact.identity
        if (before is None or contact.failures or
                before.node_id == identity.node_id):
            self.met(contact, identity)

    def met(self, contact: Contact, identity: fleet.NodeIdentity) -> None:
        """Notes who is at an address."""
        self._incarnations[identity.node_id] = identity.incarnation
        if contact.identity == identity:
            return
        contact.start_again(identity)
        self._index = None
        for address, other in list(self.by_address.items()):
            if (other is not contact and other.identity is not None and
                    other.identity.node_id == identity.node_id and
                    not other.configured):
                del self.by_address[address]

    def is_former(self, identity: fleet.NodeIdentity) -> bool:
        """Tells whether an identity is of an earlier life of its node."""
        return identity.incarnation < self._incarnations.get(
            identity.node_id, 0)

    def is_self(self, contact: Contact) -> None:
        """Takes out an address at which this node itself answers."""
        self._own_addresses.add(contact.address)
        self.by_address.pop(contact.address, None)
        self._index = None

    def failed(self, contact: Contact, period_ms: int, now_ms: int) -> None:
        """Notes that a question got no answer."""
        contact.failures += 1
        backoff = min(contact.failures, MAX_BACKOFF)
        contact.due_ms = max(contact.due_ms, now_ms + period_ms * (backoff - 1))

    def outside(self, data_centre: str) -> list[Contact]:
        """Returns the known nodes of all other data centres."""
        return [
            contact for contact in self.by_address.values()
            if contact.identity and contact.identity.data_centre != data_centre
        ]

    def of_data_centre(self, data_centre: str) -> list[Contact]:
        """Returns the contacts that are known to stand in a data centre."""
        return self._by_data_centre().get(data_centre, [])

    def _by_data_centre(self) -> dict[str, list[Contact]]:
        if self._index is None:
            self._index = {}
            for contact in self.by_address.values():
                place = contact.identity.data_centre if contact.identity else ""
                self._index.setdefault(place, []).append(contact)
        return self._index

    def heard_since(self, since_ms: int) -> frozenset[str]:
        """Returns the names of nodes that answered a question since then."""
        return frozenset(
            contact.identity.node_id
            for contact in self.by_address.values()
            if contact.identity is not None and contact.heard_ms >= since_ms)

    def unmet(self) -> list[Contact]:
        """Returns the addresses of which nothing more is known."""
        return self.of_data_centre("")

    def data_centres(self) -> dict[str, str]:
        """Returns the region of each other data centre, by its name."""
        return {
            place: there[0].identity.region
            for place, there in self._by_data_centre().items()
            if place != self._self.data_centre and there[0].identity is not None
        }

    def forget(self, now_ms: int) -> None:
        """Drops nodes that have been silent for long."""
        for address, contact in list(self.by_address.items()):
            silent_ms = now_ms - max(contact.heard_ms, contact.named_ms)
            if silent_ms > FORGET_MS and not contact.configured:
                del self.by_address[address]
                self._index = None
                # The incarnation is dropped too, which bounds memory; a late
                # word of a former life is minutes older than any timeout.
                if contact.identity is not None:
                    self._incarnations.pop(contact.identity.node_id, None)
