"""Measures the planner over days of failures, against plain policies.

All policies meet the same failures. Figures are ratios within one run; they
say nothing about a network, a table under load or a real engine.
"""

from collections.abc import Iterator, Sequence
from concurrent import futures
import dataclasses
import statistics

from cardamommill import bench_day, bench_failures, changes, planning, sizing
from cardamommill import facts as facts_lib

MS_PER_H = 3_600_000


class NoLeaving(planning.Planner):
    """Replaces a leaving VM only when it has gone."""

    heeds_leaving = False


class Rebuild(NoLeaving):
    """Releases a replica that lost a member and makes it anew; no spares."""

    @staticmethod
    def rebuild(facts: facts_lib.Facts) -> Iterator[changes.Change]:
        """Yields the release of each replica with a lost member."""
        for row in facts.replicas(bench_day.SERVICE):
            if row.replica_id not in facts.locked and any(
                    map(facts.lost, row.members)):
                yield sizing.release(row, "a member is lost")

    proposals = (rebuild, sizing.surplus, planning.releases, sizing.missing)


@dataclasses.dataclass(frozen=True)
class Policy:
    """A way to plan.

    Attributes:
        name: How the report calls it.
        planner: The planner.
        spares: Spares; None for what the size asks for.
    """

    name: str
    planner: type[planning.Planner] = planning.Planner
    spares: int | None = None


OURS = Policy("ours")
REBUILD = Policy("rebuild without spares", Rebuild, 0)
POLICIES = (OURS, Policy("no spares",
                         spares=0), Policy("no make-before-break",
                                           NoLeaving), REBUILD)
CURVE = tuple(
    Policy(f"ours, {spares} spares", spares=spares) for spares in (1, 2, 7))


@dataclasses.dataclass(frozen=True)
class Result:
    """One policy at one size over all seeds."""

    size: bench_failures.Size
    policy: Policy
    tallies: tuple[bench_day.Tally, ...]

    def total(self, field: str) -> float:
        """Returns a field's sum over all seeds."""
        return float(sum(getattr(tally, field) for tally in self.tallies))

    def outages_s(self) -> list[float]:
        """Returns how long each loss of a replica lasted, in order."""
        return sorted(
            each / 1000 for tally in self.tallies for each in tally.outages_ms)


def run(seeds: int,
        workers: int = 6,
        sizes: Sequence[bench_failures.Size] = bench_failures.SIZES,
        policies: Sequence[Policy] = POLICIES) -> list[Result]:
    """Returns the results of all policies at all sizes.

    Args:
        seeds: How many days.
        workers: Processes that share the work.
        sizes: The data centres.
        policies: The ways to plan.
    """
    jobs = [(size, policy, seed)
            for size in sizes
            for policy in policies
            for seed in range(seeds)]
    with futures.ProcessPoolExecutor(workers) as pool:
        tallies = list(pool.map(_day, jobs, chunksize=2))
    return [
        Result(
            size, policy,
            tuple(tally
                  for job, tally in zip(jobs, tallies, strict=True)
                  if job[:2] == (size, policy)))
        for size in sizes
        for policy in policies
    ]


def _day(job: tuple[bench_failures.Size, Policy, int]) -> bench_day.Tally:
    size, policy, seed = job
    spares = size.spares if policy.spares is None else policy.spares
    day = bench_day.Day(size, policy.planner, spares, seed)
    return day.live(bench_failures.failures(size, seed))


def report(results: Sequence[Result]) -> str:
    """Returns the table of results, with ratios to `REBUILD` of each size.

    "lit" is the downtime outside of times in which a whole domain is dark,
    when most of what is lost has nowhere to go under any policy. "idle" are
    living VMs outside of serving replicas, "held" those of them that the
    table assigns to a replica.
    """
    lines = [
        f"{'policy':24} {'down h':>7} {'ratio':>6} "
        f"{'lit h':>7} {'ratio':>6} {'idle h':>8} {'ratio':>6} "
        f"{'held h':>8} {'p50 s':>6} {'p99 s':>7} {'rows/event':>10} "
        f"{'loads':>5} {'ms/step':>7}"
    ]
    for size in dict.fromkeys(result.size for result in results):
        lines.append(size.name)
        here = [result for result in results if result.size == size]
        base = next((result for result in here if result.policy == REBUILD),
                    here[0])
        lines += [_line(result, base) for result in here]
    return "\n".join(lines)


def _line(result: Result, base: Result) -> str:
    down_h = result.total("down_ms") / MS_PER_H
    lit_h = down_h - result.total("dark_ms") / MS_PER_H
    base_lit_h = (base.total("down_ms") - base.total("dark_ms")) / MS_PER_H
    idle_h = result.total("idle_ms") / MS_PER_H
    outages_s = result.outages_s() or [0.0]
    cuts = (statistics.quantiles(outages_s, n=100)
            if len(outages_s) > 1 else outages_s * 99)
    return (f"{result.policy.name:24} {down_h:7.2f} "
            f"{down_h / (base.total('down_ms') / MS_PER_H or 1):6.3f} "
            f"{lit_h:7.2f} {lit_h / (base_lit_h or 1):6.3f} {idle_h:8.1f} "
            f"{idle_h / (base.total('idle_ms') / MS_PER_H or 1):6.3f} "
            f"{result.total('assigned_ms') / MS_PER_H:8.1f} "
            f"{cuts[49]:6.1f} {cuts[98]:7.1f} "
            f"{result.total('rows') / result.total('failures'):10.1f} "
            f"{max(tally.loads for tally in result.tallies):5} "
            f"{1000 * result.total('cpu_s') / result.total('steps'):7.2f}")


# Runners of a data centre for which a look of the planner is timed.
COST_SIZES = (27, 81, 162, 324)


def step_cost_ms(runners: int) -> float:
    """Returns the planner's processor time for one look at a data centre.

    Args:
        runners: VMs, in domains of 27 with replicas of 8; each fails as in a
            day of the bench.
    """
    domains = (27,) * max(1, runners // 27)
    size = bench_failures.Size("cost", domains, 8, 3 * len(domains), 2)
    tally = _day((size, OURS, 1))
    return 1000 * tally.cpu_s / tally.steps


def main(seeds: int = 20, workers: int = 6) -> None:
    """Prints all policies at all sizes, and the trade-off by spares.

    Args:
        seeds: How many days of failures.
        workers: Processes that share the work.
    """
    print(f"{seeds} days of failures for each line; ratios to "
          f"'{REBUILD.name}'")
    results = run(seeds, workers)
    print(report(results))
    today = [each for each in results if each.size == bench_failures.SIZES[0]]
    today += run(seeds, workers, bench_failures.SIZES[:1], CURVE)
    print("trade-off by the number of spares, of 7 VMs that no replica needs")
    print(report(today))
    costs = ", ".join(f"{step_cost_ms(runners):.2f} ms at {runners}"
                      for runners in COST_SIZES)
    print(f"one look of the planner by the number of runners: {costs}")


if __name__ == "__main__":
    main()
