"""Applies admission control for competing callers to placements."""

from collections.abc import Callable, Iterable
import dataclasses
import random

import logbook

from cardamommill import exceptions, logs, metrics
from cardamommill.domain import clock, model
from cardamommill.gateway.nodes import peermessage, peers
from cardamommill.gateway.requests import (
    admissionlevel,
    competingdemand,
    placing,
)

# The name of the demand in `peermessage.PeerMessage.sections`.
SECTION = "demand"
# Nodes report their demand for a model while more than this part of
# its slots is in use, so that it is known before callers compete.
REPORTED_PART = 0.5
# They go on for this long, so that others learn that the demand has ended.
REPORT_MS = 2000.0

_LOG = logbook.Logger("requests")

Place = Callable[[list[placing.Candidate]], placing.Placed | placing.Refused]


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request that asks for a place.

    Attributes:
        service: The name of the service.
        model: The name of the model.
        priority: Its priority, 0 is the most urgent.
        account: The name of the client account; empty for none.
        is_first: Whether no attempt was made yet. Later attempts of an accepted
            request are neither counted nor refused here.
    """

    service: str
    model: str
    priority: int
    account: str
    is_first: bool


class AdmissionControl:
    """Admits requests to models by priority and account."""

    def __init__(self, node: str, node_peers: peers.Peers,
                 node_metrics: metrics.Metrics, is_enabled: bool) -> None:
        """Initialises the instance without demand.

        Args:
            node: The node's name.
            node_peers: The other nodes.
            node_metrics: Receives the metrics.
            is_enabled: Whether requests are admitted by priority and account.
        """
        self.is_enabled = is_enabled
        self._peers = node_peers
        self._metrics = node_metrics
        # Separate from the placement's, whose draws stay as they were.
        self._chance = random.Random(f"{node} admission")
        self._demand = competingdemand.CompetingDemand()
        self._reported_until_ms: dict[int, float] = {}
        self._names: dict[int, tuple[str, str]] = {}
        # When attempts at groups began, by the id of the request's attempt.
        self._began_ms: dict[object, tuple[int, float]] = {}
        # Slots reserved for more urgent requests, and when that was decided.
        self._reserved: dict[int, tuple[float, float]] = {}
        node_metrics.collect(self._samples)

    def place(self, asked: Asked, engine: model.Engine,
              candidates: list[placing.Candidate], place: Place,
              now_ms: float) -> tuple[placing.Placed | placing.Refused, str]:
        """Places a request, unless others have a better right to the room.

        Args:
            asked: The request.
            engine: The engine's cost model.
            candidates: The available groups of the model.
            place: Places the request without admission control.
            now_ms: The time.

        Returns:
            The placement or the refusal, and the decision for the log; empty
            where admission control did not apply.
        """
        if not (self.is_enabled and asked.is_first):
            return place(candidates), ""
        identity = competingdemand.model_id(asked.service, asked.model)
        source = competingdemand.Source(
            asked.priority, competingdemand.account_id(asked.account))
        self._demand.asked(identity, source, now_ms)
        groups = [each for each in candidates if not each.is_down]
        state = admissionlevel.ModelState(
            engine.slots, len(groups), sum(each.in_flight for each in groups),
            self._demand.demand(identity, self._scale(), now_ms))
        if state.in_flight > REPORTED_PART * state.slots:
            self._reported_until_ms[identity] = now_ms + REPORT_MS
        self._names[identity] = asked.service, asked.model
        decision = admissionlevel.decide(source, state, self._chance.random(),
                                         self._chance.random())
        is_limited = decision is not admissionlevel.UNLIMITED
        self._reserved[identity] = (admissionlevel.max_reserved_slots(state)
                                    if is_limited else 0.0), now_ms
        found = _placed(decision, candidates, place)
        outcome = _outcome(decision, found)
        self._metrics.count("admissions_total",
                            model=asked.model,
                            priority=str(asked.priority),
                            outcome=outcome)
        part = f"{outcome}:{decision.admitted_part:.2f}"
        return found, part if is_limited else ""

    def attempt_started(self, one: object, service: str, model_name: str,
                        now_ms: float) -> None:
        """Records the start of an attempt at a group."""
        if self.is_enabled:
            self._began_ms[one] = (competingdemand.model_id(
                service, model_name), now_ms)

    def attempt_ended(self, one: object, has_run: bool, now_ms: float) -> None:
        """Records the end of an attempt.

        Args:
            one: What identified it at its start.
            has_run: Whether it held its place for as long as a request needs.
            now_ms: The time.
        """
        began = self._began_ms.pop(one, None)
        if began is not None and has_run:
            self._demand.held(began[0], now_ms - began[1])

    def sections(self, now_ms: float) -> dict[str, bytes]:
        """Returns the sections of a datagram to a node of this data centre."""
        reported = [
            identity for identity, until_ms in self._reported_until_ms.items()
            if now_ms < until_ms
        ]
        return {
            SECTION: self._demand.encode(reported, now_ms)
        } if reported else {}

    def receive(self, message: peermessage.PeerMessage, now_ms: float) -> None:
        """Processes the demand that another node reported."""
        if SECTION not in message.sections:
            return
        try:
            self._demand.receive(message.node, message.sections[SECTION],
                                 now_ms)
        except exceptions.BadPeerMessage as error:
            self._metrics.count("demand_refused_total")
            _LOG.warning(logs.line("demand-refused", reason=str(error)))

    def _scale(self) -> float:
        """Returns the number of all nodes per node that reports its demand.

        Nodes that are not heard at the moment count too, near and far ones
        alike, so a partition leaves the ratio as it was.
        """
        known = [
            each for each in self._peers.peers.values()
            if each.last_message is not None
        ]
        reporting = sum(each.is_near or
                        self._peers.update_scope(each) is peers.UpdateScope.NEAR
                        for each in known)
        return (1 + len(known)) / (1 + reporting)

    def _samples(self) -> Iterable[metrics.Sample]:
        now_ms = clock.now_ms()
        for identity, (service, model_name) in list(self._names.items()):
            reserved, decided_ms = self._reserved[identity]
            is_recent = now_ms - decided_ms < REPORT_MS
            yield metrics.Sample("admission_reserved_slots",
                                 reserved if is_recent else 0.0,
                                 (("model", model_name), ("service", service)))


def _placed(decision: admissionlevel.Decision,
            candidates: list[placing.Candidate],
            place: Place) -> placing.Placed | placing.Refused:
    if decision.action is admissionlevel.Action.REFUSE:
        return placing.Refused(_REASONS[decision.cause],
                               decision.retry_after_ms)
    if decision.overtaken:
        candidates = [
            dataclasses.replace(each, slots=each.slots + decision.overtaken)
            for each in candidates
        ]
    found = place(candidates)
    if (isinstance(found, placing.Placed) and found.is_deferred and
            decision.action is admissionlevel.Action.PLACE):
        return placing.Refused(_REASONS[admissionlevel.Cause.PRIORITY],
                               decision.retry_after_ms)
    return found


_REASONS = {
    admissionlevel.Cause.PRIORITY: "more urgent requests need the groups",
    admissionlevel.Cause.SHARE: "account has its share of the groups",
}


def _outcome(decision: admissionlevel.Decision,
             found: placing.Placed | placing.Refused) -> str:
    if isinstance(found, placing.Placed):
        return "deferred" if found.is_deferred else "placed"
    if decision.action is admissionlevel.Action.REFUSE:
        return f"refused-{decision.cause.value}"
    if decision.action is admissionlevel.Action.PLACE:
        return "refused-priority"
    return "refused-full"
