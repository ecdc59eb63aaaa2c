"""The live requests of a node, and what the decisions do with them."""

from collections.abc import Callable
import functools
import threading

import logbook

from cardamommill import (
    actions,
    answering,
    attempts,
    events,
    hops,
    loop,
    requesting,
    sinks,
    upstream,
)

log = logbook.Logger("exchange")

DEFAULT_ANSWER_BYTES = 8_388_608

# They belong to one connection, or are this node's to give.
_NOT_PASSED_ON = frozenset(
    ("connection", "keep-alive", "proxy-authorization", "proxy-connection",
     "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host",
     "expect", "authorization", "traceparent"))
_STANDIN = "cardamommill-standin-"
_TO_NODES_TOO = frozenset(("authorization",))


class Exchange:
    """Joins callers, decisions and replicas.

    Requests live here from their arrival to their final answer. Events go to
    the control thread through ``post``; the decisions come back as actions
    through `perform`.
    """

    def __init__(self,
                 post: Callable[[events.Event], None],
                 replicas: upstream.Upstream,
                 answer_bytes: int = DEFAULT_ANSWER_BYTES,
                 hop_secret: bytes = b"") -> None:
        """Makes it.

        Args:
            post: Hands an event to the control thread.
            replicas: Sends attempts.
            answer_bytes: The largest answer that is no stream.
            hop_secret: What all nodes know and no caller does.
        """
        self._post = post
        self._replicas = replicas
        self._answer_bytes = answer_bytes
        self._hop_secret = hop_secret
        self._live: dict[str, sinks.Live] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """How many requests are in progress."""
        return len(self._live)

    def is_live(self, request_id: str) -> bool:
        """Tells whether a request of this name is in progress."""
        return request_id in self._live

    def admit(self, live: sinks.Live) -> None:
        """Takes a request in and tells the decisions; from any thread."""
        with self._lock:
            self._live[live.head.request_id] = live
        self._post(events.RequestArrived(live.head))

    def caller_gone(self, request_id: str) -> None:
        """Tells the decisions that nobody waits any more.

        They say whether the attempt goes on: a booking may have to, so that
        its answer is there when the caller asks again.

        Args:
            request_id: Whose caller closed its connection.
        """
        live = self._live.get(request_id)
        if live is None:
            return
        with live.lock:
            live.gone = True
        self._forget_if_over(live)
        self._post(events.CallerGone(request_id))

    def _forget_if_over(self, live: sinks.Live) -> None:
        with live.lock:
            over = live.gone and not live.attempt_id
        if over:
            self._forget(live.head.request_id)

    def _forget(self, request_id: str) -> sinks.Live | None:
        with self._lock:
            return self._live.pop(request_id, None)

    @functools.singledispatchmethod
    def perform(self, action: actions.Action) -> None:
        """Does what the decisions want; on the control thread.

        Args:
            action: One of the actions on requests.
        """
        raise TypeError(f"not about a request: {type(action).__name__}")

    @perform.register
    def _(self, action: actions.Dispatch) -> None:
        live = self._live.get(action.request_id)
        if live is None or live.answer.done:
            self._not_sent(action, "the caller has gone", 0)
            return
        with live.lock:
            fits = action.resume_from == live.delivered
            if fits:
                live.attempt_id = action.attempt_id
                live.attempts += 1
        if not fits:
            # Going on from elsewhere would repeat or leave out events.
            self._not_sent(action, f"the caller has {live.delivered} events",
                           live.delivered)
            return
        sink = sinks.AnswerSink(live, action.attempt_id, self._answer_bytes,
                                action.keep_answer, self._forget_if_over)
        self._replicas.start(_attempt(action, live, self._hop_secret), sink)

    def _not_sent(self, action: actions.Dispatch, detail: str,
                  delivered: int) -> None:
        self._post(
            events.AttemptEnded(action.request_id,
                                action.attempt_id,
                                requesting.Outcome.NOT_RUN,
                                whole=False,
                                delivered=delivered,
                                detail=detail))

    @perform.register
    def _(self, action: actions.CancelAttempt) -> None:
        self._replicas.cancel(action.attempt_id)
        live = self._live.get(action.request_id)
        if live is not None:
            with live.lock:
                if live.attempt_id == action.attempt_id:
                    live.attempt_id = ""
            self._forget_if_over(live)

    @perform.register
    def _(self, action: actions.AbandonAttempt) -> None:
        self._replicas.abandon(action.attempt_id, action.silent_ms,
                               action.reason)

    @perform.register
    def _(self, action: actions.Refuse) -> None:
        live = self._forget(action.request_id)
        if live is not None:
            self._give_up(live)
            live.answer.problem(action.problem, action.attempts or
                                live.attempts)

    @perform.register
    def _(self, action: actions.Replay) -> None:
        live = self._forget(action.request_id)
        if live is not None:
            answer = action.answer
            live.answer.whole(answer.status,
                              [("Content-Type", answer.content_type)],
                              answer.body.encode("latin-1"),
                              requesting.Outcome.RAN)

    @perform.register
    def _(self, action: actions.Finish) -> None:
        live = self._forget(action.request_id)
        if live is not None and not live.answer.done and not live.gone:
            log.error("event=finished-without-answer request={}",
                      action.request_id)
            live.answer.problem(_NO_ANSWER, action.attempts)

    def _give_up(self, live: sinks.Live) -> None:
        attempt_id = live.attempt_id
        if attempt_id:
            self._replicas.cancel(attempt_id)
        with live.lock:
            live.attempt_id = ""


_NO_ANSWER = requesting.Problem(503,
                                "No answer",
                                "the request ended without an answer",
                                step="exchange",
                                outcome=requesting.Outcome.UNKNOWN)


def _attempt(action: actions.Dispatch, live: sinks.Live,
             hop_secret: bytes) -> attempts.Attempt:
    head = live.head
    target = action.target
    dropped = _NOT_PASSED_ON
    path = head.path
    span = answering.span_id(action.attempt_id)
    own = [
        ("Cardamommill-Request", head.request_id),
        ("Cardamommill-Attempt", action.attempt_id),
        ("Cardamommill-Priority", str(head.priority)),
        ("traceparent", f"00-{head.trace_id}-{span}-01"),
    ]
    if target.remote_node:
        dropped = _NOT_PASSED_ON - _TO_NODES_TOO
        path = f"/services/{head.service}{head.path}"
        left_ms = max(1, action.deadline_ms - loop.now_ms())
        own += [
            (hops.HEADER, str(head.hop + 1)),
            (hops.PROOF_HEADER,
             hops.proof(hop_secret, action.attempt_id, head.digest)),
            ("Cardamommill-Deadline-Ms", str(left_ms)),
            ("Cardamommill-Repeatable", "yes" if head.repeatable else "no"),
        ]
    else:
        own += [
            ("Cardamommill-Replica", target.replica_id),
            ("Cardamommill-Epoch", str(target.epoch)),
            ("Cardamommill-Formation", str(target.formation)),
        ]
    if action.resume_from:
        own.append(("Cardamommill-Resume-From", str(action.resume_from)))
    passed_on = [(name, value)
                 for name, value in live.headers
                 if _goes_on(name.lower(), dropped)]
    return attempts.Attempt(head.request_id,
                            action.attempt_id,
                            target,
                            head.method,
                            path,
                            tuple(passed_on + own),
                            live.body,
                            action.deadline_ms,
                            once=not target.remote_node,
                            resume_from=action.resume_from)


def _goes_on(name: str, dropped: frozenset[str]) -> bool:
    """Tells whether a caller's header goes to a replica.

    Those of this system are this node's to give: a caller could otherwise
    name the replica and the epoch that its request is for.
    """
    return name not in dropped and (not name.startswith("cardamommill-") or
                                    name.startswith(_STANDIN))
