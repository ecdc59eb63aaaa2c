"""What a node knows of one incarnation of a runner."""

import dataclasses

from cardamommill.domain import model


@dataclasses.dataclass(slots=True)
class RunnerRecord:
    """The state of one runner, with the time of each piece of evidence.

    Attributes:
        runner: Its entry in the last list that contained it.
        listed: Whether the newest list contains it and it has not ended.
        listed_ms: Time of the newest list that contained it.
        status: Its newest known status, from the list, reports or orders.
        report_ms: When the query for its newest report was sent.
        down_ms: When the first query that it failed to answer was sent; 0 while
            it answers.
        unanswered_ms: When the last query that it failed to answer was sent.
        recovered_ms: When it last started to answer again.
        still_since_ms: When the first query was sent that its VM took and its
            process did not answer; 0 while it answers.
        leaving_ms: When it was first seen to be leaving; 0 while it is not.
        has_reported_leaving: Whether the runner itself reported that it is
            leaving.
        last_model: Model of its last group; joining a group of the same model
            is faster.
        pace: Slowness factor of its newest report; over 1 is slow.
        order_ms: When it last answered an order of this node.
        list_change_ms: When the list last changed its status.
        orders_begun: Its count of orders, as far as known. A runner refuses an
            order with a wrong count and is then queried.
        has_exact_order_count: Whether `orders_begun` is certain.
        has_ended: Whether a later incarnation was seen. It is final: nothing
            that arrives afterwards makes this one usable again.
    """

    runner: model.Runner
    listed: bool
    listed_ms: float
    status: model.RunnerStatus
    report_ms: float = 0.0
    down_ms: float = 0.0
    unanswered_ms: float = 0.0
    recovered_ms: float = 0.0
    still_since_ms: float = 0.0
    leaving_ms: float = 0.0
    has_reported_leaving: bool = False
    last_model: str = ""
    pace: float = 1.0
    order_ms: float = 0.0
    list_change_ms: float = 0.0
    orders_begun: int = 0
    has_exact_order_count: bool = True
    has_ended: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether it may be given orders and requests."""
        return self.listed and not self.down_ms and not self.is_leaving

    @property
    def may_join(self) -> bool:
        """Whether it may be a member of a group that is formed now."""
        return self.is_usable and not self.still_since_ms

    @property
    def is_leaving(self) -> bool:
        """Whether it is leaving, according to the list or to itself."""
        return self.runner.leaving or self.has_reported_leaving

    @property
    def membership(self) -> model.Membership | None:
        """Its membership of a group, if any."""
        return self.status.membership

    def end(self, now_ms: float) -> None:
        """Marks the incarnation as ended; its group has lost a member."""
        self.has_ended = True
        self.listed = False
        self.down_ms = self.down_ms or now_ms
        self.unanswered_ms = max(self.unanswered_ms, now_ms)
