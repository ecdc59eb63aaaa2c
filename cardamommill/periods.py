"""The periods and limits that the promises rest on, and their inequalities.

All times are milliseconds of the local monotonic clock. No promise compares
the wall clocks of two VMs.
"""

from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Period:
    """One row of the table of periods.

    Attributes:
        name: The field of `Timing` that holds its value.
        default_ms: The value where the settings name none.
        reason: Why the period exists and why it has this size.
    """

    name: str
    default_ms: int
    reason: str


PERIODS = (
    Period("tick_ms", 100, "how often controllers look at the time"),
    Period(
        "poll_ms", 900, "each of two watchers asks a runner for its state this "
        "often, so that evidence stays well under evidence_max_age_ms"),
    Period("poll_timeout_ms", 600,
           "a runner that takes longer has not given evidence"),
    Period("pull_ms", 800,
           "a node pulls what each peer of its data centre knows "
           "this often"),
    Period("pull_timeout_ms", 600, "a peer that takes longer is not heard"),
    Period("summary_ms", 3000, "reporters exchange summaries of data centres"),
    Period("summary_max_age_ms", 15000,
           "an older summary of a data centre sends no work there"),
    Period(
        "evidence_max_age_ms", 2600,
        "a node dispatches on evidence this old at most; a leaving VM gets no "
        "new work after it"),
    Period(
        "releasing_ms", 5000, "a VM stays in releasing until every node's "
        "evidence of its old replica has run out"),
    Period("clock_margin_ms", 500,
           "drift of monotonic clocks and delay between a check and its act"),
    Period("lease_ms", 9000,
           "a planner's lease is taken over when its row stood still so long"),
    Period("lease_renew_ms", 2500, "three renewals fit in one lease"),
    Period("lease_margin_ms", 2000,
           "a holder stops giving orders this long before its lease may end"),
    Period("order_timeout_ms", 1500,
           "an order that took longer counts as unknown"),
    Period("order_max_age_ms", 3000,
           "an order of a former holder can't arrive later than this"),
    Period("index_read_ms", 2000, "each node reads the index of documents"),
    Period("fleet_read_ms", 1000, "each node reads its data centre's index"),
    Period("vm_list_ms", 2000, "each node reads the platform's list of VMs"),
    Period("store_timeout_ms", 2000, "a table call that takes longer failed"),
    Period("peer_timeout_ms", 3500, "a peer not heard for so long is away"),
    Period(
        "pause_ms", 1500, "ticks further apart mean that the node stood "
        "still and its evidence is not to be used"),
    Period("member_grace_ms", 4000, "a member silent for so long is lost"),
    Period("balancer_ms", 2000,
           "the balancer sees a failing readiness in this time"),
    Period("shutdown_ms", 60_000, "streams may finish in this time"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """The values of all `PERIODS`, in milliseconds."""

    tick_ms: int = 100
    poll_ms: int = 900
    poll_timeout_ms: int = 600
    pull_ms: int = 800
    pull_timeout_ms: int = 600
    summary_ms: int = 3000
    summary_max_age_ms: int = 15000
    evidence_max_age_ms: int = 2600
    releasing_ms: int = 5000
    clock_margin_ms: int = 500
    lease_ms: int = 9000
    lease_renew_ms: int = 2500
    lease_margin_ms: int = 2000
    order_timeout_ms: int = 1500
    order_max_age_ms: int = 3000
    index_read_ms: int = 2000
    fleet_read_ms: int = 1000
    vm_list_ms: int = 2000
    store_timeout_ms: int = 2000
    peer_timeout_ms: int = 3500
    pause_ms: int = 1500
    member_grace_ms: int = 4000
    balancer_ms: int = 2000
    shutdown_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Inequality:
    """Something that must hold between periods, and the promise behind it.

    Attributes:
        smaller: Fields whose sum must be the smaller side.
        larger: The field that must be larger.
        promise: What breaks where it does not hold.
    """

    smaller: tuple[str, ...]
    larger: str
    promise: str


INEQUALITIES = (
    Inequality(("evidence_max_age_ms", "clock_margin_ms"), "releasing_ms",
               "no VM belongs to two replicas"),
    Inequality(("lease_renew_ms", "store_timeout_ms", "lease_margin_ms"),
               "lease_ms", "a planner keeps its lease while the table answers"),
    Inequality(("order_timeout_ms", "clock_margin_ms"), "order_max_age_ms",
               "no order of a former planner arrives after its successor's"),
    Inequality(("poll_ms", "poll_timeout_ms", "pull_ms"), "evidence_max_age_ms",
               "a healthy replica always has fresh evidence"),
    Inequality(("evidence_max_age_ms",), "member_grace_ms",
               "a member is not given up before its evidence has run out"),
    Inequality(("tick_ms",), "pause_ms",
               "a node that runs does not take itself for paused"),
    Inequality(("pause_ms",), "evidence_max_age_ms",
               "a paused node refuses itself before others move its VMs"),
)


def violations(timing: Timing) -> Iterator[Inequality]:
    """Yields each inequality that the values break."""
    for rule in INEQUALITIES:
        smaller_ms = sum(getattr(timing, name) for name in rule.smaller)
        if smaller_ms >= getattr(timing, rule.larger):
            yield rule
