"""A node's edge without the rest: real sockets around given decisions.

For tests and benches of what lies between callers and replicas; `node` wires
the same parts to the platform and to the peers as well.
"""

from collections.abc import Callable
import contextlib
from typing import Self

from cardamommill import (
    actions,
    board,
    controller,
    decisions,
    documents,
    exchange,
    fleet,
    frontend,
    loop,
    periods,
    settings,
    store,
    upstream,
)


class Edge(contextlib.ExitStack):
    """The edge of a node that serves one document; owns its sockets.

    Attributes:
        decisions: What decides on each request.
        control: Its control thread.
        upstream: The link to replicas, once entered.
        exchange: The live requests, once entered.
        frontend: The link to callers, once entered.
    """

    def __init__(self,
                 identity: fleet.NodeIdentity,
                 kind: type[controller.Controller],
                 document: str,
                 callers: settings.CallerSide,
                 figures: Callable[[], str] = str) -> None:
        """Makes the edge; callers can reach it once it is entered.

        Args:
            identity: The node's.
            kind: The one controller that decides.
            document: The text of the document in force.
            callers: Limits towards callers.
            figures: Renders what ``/metrics`` answers.
        """
        super().__init__()
        self._callers = callers
        self._figures = figures
        self.decisions = decisions.Decisions(identity, periods.Timing(), 1,
                                             (kind,))
        parsed = documents.parse(document, "edge")
        row = store.DocumentRow(parsed.service, 1, "", "", "", document)
        section = self.decisions.board.documents
        section.in_force[parsed.service] = board.DocumentInForce(parsed, row, 0)
        section.complete = True
        self.decisions.board.life.phase = board.NodePhase.SERVING
        self.control = loop.ControlLoop(self.decisions, self._perform)

    def __enter__(self) -> Self:
        self.upstream = upstream.Upstream(self.control.post)
        self.exchange = exchange.Exchange(self.control.post, self.upstream)
        self.frontend = frontend.Frontend(self._callers, self.control,
                                          self.exchange, self._figures)
        for part in (self.control, self.upstream, self.frontend):
            self.enter_context(part)
        return self

    def _perform(self, action: actions.Action) -> None:
        self.exchange.perform(action)
