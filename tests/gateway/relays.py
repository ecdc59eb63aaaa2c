"""A relay with a fake node and fake runners that a test controls."""

import asyncio
import dataclasses

from cardamommill.domain import model
from cardamommill.gateway.requests import eventparser, placing
from cardamommill.gateway.shell import relay, targets
from cardamommill.platform import wirenames
from cardamommill.transport import callers, upstream
from tests.gateway import builders

ATTEMPT_ID = "a1"
NO_GROUP = placing.Refused("no group stands", 300.0)
FAR_DEADLINE_MS = 1e12


@dataclasses.dataclass
class FakeReply:
    """Records the answer to a caller and checks the order of its parts.

    Attributes:
        status: Status of the head; 0 before the head.
        headers: Headers of the head.
        events: The ids of the events, in order.
        complete_bodies: Bodies of answers that were sent in one piece.
        ending: "whole" or "broken off"; empty while the answer continues.
        started: Whether any part was sent.
    """

    status: int = 0
    headers: list = dataclasses.field(default_factory=list)
    events: list = dataclasses.field(default_factory=list)
    complete_bodies: list = dataclasses.field(default_factory=list)
    ending: str = ""
    started: bool = False

    @property
    def ended(self):
        return bool(self.ending)

    def send(self, status, headers, body):
        assert not self.started, "a whole answer within another one"
        self.status, self.headers = status, headers
        self.complete_bodies.append(body)
        self.started = True
        self.ending = "whole"

    def start(self, status, headers):
        assert not self.started, "a second head"
        self.status, self.headers = status, headers
        self.started = True

    def write(self, data):
        assert self.started and not self.ended
        self.events.append(eventparser.event_id(data))

    def end(self):
        assert not self.ended
        self.ending = "whole"

    def abort(self):
        assert not self.ended
        self.ending = "broken off"


class FakeExchange:
    """A request at a runner, answered by the test."""

    def __init__(self, request, receiver):
        self.request = request
        self.receiver = receiver
        self.sent = True
        self.cancelled = False

    def cancel(self):
        self.cancelled = True

    @property
    def after_event(self):
        """The id of the event after which the stream resumes; 0 for none."""
        name = wirenames.LAST_EVENT_ID.lower()
        for line in self.request.decode().split("\r\n"):
            if line.lower().startswith(f"{name}:"):
                return int(line.partition(":")[2])
        return 0

    def head(self, status, seal="s1", **headers):
        found = [(wirenames.ATTEMPT_ID, ATTEMPT_ID), *headers.items()]
        if seal:
            found.append((wirenames.RESPONSE_SEAL, seal))
        return self.receiver.on_head(upstream.Head(status, found))

    def event(self, number):
        self.receiver.on_body(b"id: %d\ndata: x\n\n" % number)

    def complete(self):
        self.receiver.on_end(upstream.Ending.COMPLETE, "")

    def cut(self):
        self.receiver.on_end(upstream.Ending.BROKEN, "closed")

    def answer(self, status, body=b"it failed", **headers):
        self.head(status, **headers)
        self.receiver.on_body(body)
        self.complete()


class FakeNode:
    """Context of a relay whose groups, keys and retry budget a test sets.

    It is also its own connection pool and route table.

    Attributes:
        exchanges: The requests sent to runners, in order.
        ends: Status and reason of each request that ended.
        groups: The number of groups, including those already attempted.
        are_keys_valid: Whether API keys are confirmed.
        repeats_left: The remaining retry budget.
        waiting: Runners that take no request at the moment.
        cold: Runners that take none after their next one.
        is_cut_off: Whether the node suspects its own isolation.
        quarantined_ms: For how long the request is kept from all runners.
        is_suspect: Whether the request seems to crash runners.
        peers: Peers to which requests are passed, in order; none if empty.
        told: The peer, the attempts and whether a runner got the request, of
            each hop.
        route: The route of the request.
    """

    def __init__(self, kind=model.RouteKind.STREAMING, resumable=True):
        self.pool = self
        self.exchanges = []
        self.ends = []
        self.groups = 3
        self.are_keys_valid = True
        self.repeats_left = 10
        self.waiting = set()
        self.cold = set()
        self.tasks = []
        self.is_cut_off = False
        self.quarantined_ms = 0.0
        self.is_suspect = False
        self.peers = []
        self.told = []
        self.route = model.Route(name="r",
                                 host="h",
                                 prefix="/v/",
                                 kind=kind,
                                 backends=(),
                                 timeout_ms=FAR_DEADLINE_MS,
                                 goal_ms=300.0,
                                 gap_goal_ms=200.0,
                                 max_attempts=2,
                                 priority=1,
                                 public=False,
                                 resumable=resumable)
        self._known = [
            next(iter(builders.view(builders.runner(number)).known.values()))
            for number in range(9)
        ]

    def send(self, address, request, receiver, new_connection=False):
        del address, new_connection
        self.exchanges.append(FakeExchange(request, receiver))
        return self.exchanges[-1]

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    @property
    def task(self):
        """The task that serves the first request."""
        return self.tasks[0]

    def table(self):
        return self

    def tenant(self, digest):
        del digest
        return True

    def may_accept_keys(self):
        return self.are_keys_valid

    def find_target(self, one):
        if len(one.hops) < len(self.peers):
            return self.peers[len(one.hops)]
        if len(one.attempted) >= self.groups:
            return NO_GROUP
        return next(
            targets.Target(each)
            for each in self._known[len(one.attempted):]
            if each.runner.id not in self.waiting)

    def is_isolated(self):
        return self.is_cut_off

    def reaches_no_runner(self):
        return bool(self.peers)

    def hop_request_bytes(self, one, target, attempts, has_arrived):
        self.told.append((target.name, attempts, has_arrived))
        last = one.progress.last_event_id
        if last is None:
            return b""
        return f"{wirenames.LAST_EVENT_ID}: {last}\r\n".encode()

    def on_hop_start(self, one, target):
        pass

    def on_hop_end(self, one, target, outcome):
        pass

    def quarantine_left_ms(self, one):
        del one
        return self.quarantined_ms

    def is_crash_suspect(self, one):
        del one
        return self.is_suspect

    def repeat_delay_ms(self, one):
        del one
        return 0.0

    def may_retry(self, service):
        del service
        return self.repeats_left > 0

    def on_attempt_start(self, one, target, repeat):
        del one
        self.repeats_left -= repeat
        if target.known.runner.id in self.cold:
            self.waiting.add(target.known.runner.id)

    def on_attempt_end(self, one, target, outcome):
        pass

    def on_answer_head(self, one, target, head, sent_ms):
        pass

    def on_stream_event(self, one, target):
        pass

    def ended(self, one, status, reason):
        del one
        self.ends.append((status, reason))


def begin(node, request=None, reply=None):
    """Starts a relay in the running event loop and returns it."""
    headers = [(wirenames.ATTEMPT_ID, ATTEMPT_ID)]
    request = request or callers.CallerRequest("POST", "/v/1", headers, b"",
                                               0.0)
    one = relay.Relay(node, request, reply or FakeReply())
    one.route = node.route
    one.tenant = model.Tenant("t", (), None)
    one.deadline_at_ms = FAR_DEADLINE_MS
    one.start()
    return one
