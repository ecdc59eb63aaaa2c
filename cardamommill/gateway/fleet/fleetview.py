"""The state of runners and groups, from the runner list, reports and orders."""

import collections
from collections.abc import Callable, Iterable, Iterator
import dataclasses

from cardamommill.domain import model
from cardamommill.gateway.fleet import (
    coldperiods,
    incarnationindex,
    memberships,
    runnerrecord,
)

# How long a runner that left the list is kept. It may still be probed, since
# its group may still be open.
DELISTED_RETENTION_MS = 30_000
# Default of `FleetView.list_stale_ms`, for a drain bound of 2 s. While nothing
# changes, a list normally reaches a lower age before the next one arrives.
LIST_STALE_MS = 2800.0
# Default of `FleetView.max_standstill_ms`.
MAX_STANDSTILL_MS = 4000.0

RunnerRecord = runnerrecord.RunnerRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A group, put together from the status of its members.

    Attributes:
        key: Its name and epoch.
        model: The model that it serves; empty while unknown.
        members: The known members, by rank.
    """

    key: model.GroupKey
    model: str
    members: dict[int, RunnerRecord]

    @property
    def head(self) -> RunnerRecord | None:
        """The member that receives requests."""
        return self.members.get(0)

    @property
    def domains(self) -> "collections.Counter[str]":
        """Number of members by fabric domain; several domains make it slow."""
        return collections.Counter(
            each.status.domain for each in self.members.values())

    @property
    def is_open_and_reachable(self) -> bool:
        """Whether it is open and all its members answer this node."""
        return self.is_open and not any(each.down_ms
                                        for each in self.members.values())

    @property
    def is_open(self) -> bool:
        """Whether its head is in the state OPEN."""
        head = self.head
        return (head is not None and head.membership is not None and
                head.membership.state is model.MemberState.OPEN)


def serving(groups: Iterable[Group], model_name: str) -> list[Group]:
    """Returns the groups of a model that are open and reachable.

    Groups with a member that this node can't reach get no requests from it.
    """
    return [
        each for each in groups
        if each.model == model_name and each.is_open_and_reachable
    ]


class FleetView:
    """All runners; merges evidence from lists, reports and orders."""

    def __init__(self) -> None:
        # By incarnation id.
        self.known: dict[str, RunnerRecord] = {}
        # Runners that stand still; ordered, so that simulated runs are
        # reproducible.
        self.still: dict[str, None] = {}
        self.cold_periods = coldperiods.ColdPeriods()
        self.incarnations = incarnationindex.IncarnationIndex(self.known)
        # Called with each incarnation that is found to have ended.
        self.on_ended: Callable[[RunnerRecord], None] = _ignore
        # Incremented with each change, so that derived data can be cached.
        self.version = 0
        self.list_as_of_ms = float("-inf")
        # Age beyond which the list is no longer acted upon; set by its reader.
        self.list_stale_ms = LIST_STALE_MS
        # A runner whose process does nothing for this long is taken for down,
        # whatever the list says; set to the time after which a head breaks its
        # group when a member is silent.
        self.max_standstill_ms = MAX_STANDSTILL_MS
        # Services whose runners form groups; None before a configuration. Rows
        # of others may name the groups of these.
        self.group_services: frozenset[str] | None = None
        self._groups: dict[str, dict[model.GroupKey, Group]] = {}
        self._groups_version = -1

    def apply_list(self,
                   runners: Iterable[model.Runner],
                   as_of_ms: float,
                   read_ms: float | None = None) -> list[tuple[str, str]]:
        """Applies a newer list of all runners.

        Args:
            runners: All runners in the list.
            as_of_ms: Time of the list; one older than the last is ignored.
            read_ms: When it was read, if that was later.

        Returns:
            Pairs of a runner's id and a description of the change.
        """
        if as_of_ms <= self.list_as_of_ms:
            return []
        self.list_as_of_ms = as_of_ms
        self.version += 1
        changes: list[tuple[str, str]] = []
        entries, listed_ids = self.incarnations.current(runners)
        for runner in entries:
            listed_ids.add(runner.id)
            changes += self._apply_entry(runner, as_of_ms, read_ms or as_of_ms)
            former = self.incarnations.succeed(runner)
            if former is not None:
                self._end(former, as_of_ms)
                changes.append((former.runner.id, f"restarted as {runner.id}"))
        for runner_id, known in list(self.known.items()):
            if runner_id in listed_ids:
                continue
            if known.listed:
                known.listed = False
                changes.append((runner_id, "left the list"))
            if as_of_ms - known.listed_ms > DELISTED_RETENTION_MS:
                self.incarnations.forget(known.runner)
                del self.known[runner_id]
                self.still.pop(runner_id, None)
        return changes

    def record_ended(self, runner_id: str, now_ms: float) -> bool:
        """Records that another incarnation answered in place of this one.

        Returns:
            Whether it was not known to have ended.
        """
        known = self.known.get(runner_id)
        if known is None or known.has_ended:
            return False
        self._end(known, now_ms)
        return True

    def _end(self, known: RunnerRecord, now_ms: float) -> None:
        if not known.has_ended:
            known.end(now_ms)
            self.version += 1
            self.on_ended(known)

    def _apply_entry(self, runner: model.Runner, as_of_ms: float,
                     read_ms: float) -> Iterator[tuple[str, str]]:
        known = self.known.get(runner.id)
        if known is None:
            known = RunnerRecord(
                runner,
                True,
                as_of_ms,
                runner.status,
                has_exact_order_count=memberships.is_empty_status(
                    runner.status))
            self.known[runner.id] = known
            self._update_last_model(known)
            self.cold_periods.receive_row(runner, float("-inf"), read_ms)
            yield runner.id, "listed"
        if known.has_ended:
            # The list doesn't hold the row of its next incarnation yet.
            known.listed_ms = as_of_ms
            return
        if not known.listed:
            yield runner.id, "listed again"
        has_changed = runner.row_position > known.runner.row_position
        last_listed_ms = known.listed_ms
        previous = known.runner.status.membership
        known.runner = runner
        known.listed = True
        known.listed_ms = as_of_ms
        if known.is_leaving and not known.leaving_ms:
            known.leaving_ms = as_of_ms
            yield runner.id, "leaving"
        if not known.is_leaving:
            known.leaving_ms = 0.0
        if has_changed:
            self.cold_periods.receive_row(runner, last_listed_ms, read_ms)
            self._apply_changed_row(known, runner.status, previous,
                                    last_listed_ms, as_of_ms)

    def apply_report(self, runner_id: str, report: model.Report,
                     asked_ms: float, lag_ms: float) -> None:
        """Applies a runner's report, which also shows that it is alive.

        Args:
            runner_id: The runner.
            report: Its report.
            asked_ms: When the report was requested.
            lag_ms: How much older the reported state may be.
        """
        known = self.known.get(runner_id)
        if known is None or known.has_ended or asked_ms < known.report_ms:
            return
        known.still_since_ms = 0.0
        self.still.pop(runner_id, None)
        if known.down_ms:
            known.down_ms = 0.0
            known.recovered_ms = asked_ms
            self.version += 1
        known.pace = report.pace
        known.report_ms = asked_ms
        if asked_ms - lag_ms < max(known.order_ms, known.list_change_ms):
            # An order or a row of the list is newer than the reported state.
            return
        known.status = report.status
        known.orders_begun = report.orders_begun
        known.has_exact_order_count = True
        self._update_last_model(known)
        self.version += 1

    def record_no_answer(self, runner_id: str, asked_ms: float) -> bool:
        """Records that a runner did not answer; returns whether that is new."""
        known = self.known.get(runner_id)
        if known is None or asked_ms < known.report_ms:
            return False
        known.unanswered_ms = asked_ms
        self.still.pop(runner_id, None)
        if known.down_ms:
            return False
        known.down_ms = asked_ms
        self.version += 1
        return True

    def record_standstill(self, runner_id: str, asked_ms: float) -> bool:
        """Records that a runner's VM took a query that its process left.

        A process that is stopped for a second goes on by itself. It is taken
        for down only once its entry has left the list, or after a time in which
        a group that it is in breaks anyway.

        Returns:
            Whether it may go on.
        """
        known = self.known.get(runner_id)
        if known is None or known.down_ms or not known.listed:
            return False
        if asked_ms < known.report_ms:
            return True
        known.still_since_ms = known.still_since_ms or asked_ms
        self.still[runner_id] = None
        return asked_ms - known.still_since_ms < self.max_standstill_ms

    def record_leaving(self, runner_id: str, now_ms: float) -> bool:
        """Records a runner's own report that it is leaving.

        This holds until the runner is gone, whatever the list says: a runner
        that can't reach the store is listed as ready until its entry expires.

        Returns:
            Whether it had not reported that before.
        """
        known = self.known.get(runner_id)
        if known is None or known.has_ended or known.has_reported_leaving:
            return False
        known.has_reported_leaving = True
        known.leaving_ms = known.leaving_ms or now_ms
        self.version += 1
        return True

    def record_order(self, runner_id: str, orders_begun: int,
                     membership: model.Membership | None,
                     now_ms: float) -> None:
        """Records the effect of an accepted order on a runner."""
        known = self.known.get(runner_id)
        if known is None or known.has_ended:
            return
        known.order_ms = now_ms
        self._update_last_model(known)
        self.version += 1
        known.orders_begun = orders_begun
        known.has_exact_order_count = True
        known.status = dataclasses.replace(known.status, membership=membership)

    def record_order_refusal(self, runner_id: str, now_ms: float) -> None:
        """Records that a runner answered an order without accepting it."""
        known = self.known.get(runner_id)
        if known is not None:
            known.order_ms = now_ms

    def record_open_group(self, head_id: str, key: model.GroupKey,
                          model_name: str) -> bool:
        """Records a planner's report that a group is open.

        Returns:
            Whether that is new.
        """
        known = self.known.get(head_id)
        if known is None or known.down_ms:
            return False
        membership = known.membership
        if membership is not None:
            if membership.key == key:
                if membership.state in (model.MemberState.OPEN,
                                        model.MemberState.BROKEN):
                    return False
            elif membership.epoch >= key.epoch:
                return False
        known.status = dataclasses.replace(known.status,
                                           models=(model_name,),
                                           membership=model.Membership(
                                               key.name, key.epoch, 0,
                                               model.MemberState.OPEN))
        # So that a row from before the group was opened does not undo this.
        known.report_ms = max(known.report_ms, known.listed_ms)
        self.version += 1
        return True

    def _apply_changed_row(self, known: RunnerRecord,
                           status: model.RunnerStatus,
                           previous: model.Membership | None,
                           last_listed_ms: float, as_of_ms: float) -> None:
        """Applies a changed row if it is newer than all other evidence.

        A row is as old as its last change, not as its last read. Otherwise the
        unchanged row of a runner that joined a group during an outage of the
        store would make the runner appear free after the outage. A row is
        certainly newer than an order or a report only if a list that was read
        after these still contained its previous content.
        """
        is_newer = last_listed_ms > max(known.report_ms, known.order_ms)
        if not is_newer and not memberships.is_successor(
                known.membership, status.membership, previous):
            # The staged models are valid in any case. If they were ignored, a
            # load that ended before the next read would go unnoticed, and the
            # spare runner would never be used.
            known.status = dataclasses.replace(known.status,
                                               staged=status.staged)
            return
        if status != known.status:
            known.list_change_ms = as_of_ms
        if memberships.place(status.membership) != memberships.place(
                known.membership):
            # Another node gave the order, so the count is out of date.
            known.has_exact_order_count = False
        known.status = status
        self._update_last_model(known)

    def _update_last_model(self, known: RunnerRecord) -> None:
        if known.membership is not None and known.status.models:
            known.last_model = known.status.models[0]

    def groups(self, service: str) -> dict[model.GroupKey, Group]:
        """Returns the groups of a service, of runners listed or not.

        The result is cached until the next change, because a planner calls this
        about ten times per step.
        """
        if self._groups_version != self.version:
            self._groups_version = self.version
            self._groups = {}
        if service not in self._groups:
            self._groups[service] = self._build_groups(service)
        return self._groups[service]

    def _build_groups(self, service: str) -> dict[model.GroupKey, Group]:
        found: dict[model.GroupKey, Group] = {}
        model_names: dict[model.GroupKey, str] = {}
        for known in self.known.values():
            membership = known.membership
            if membership is None or known.runner.service != service:
                continue
            key = membership.key
            if key not in found:
                found[key] = Group(key, "", {})
            found[key].members[membership.rank] = known
            if known.status.models:
                model_names[key] = known.status.models[0]
        return {
            key: dataclasses.replace(group, model=model_names.get(key, ""))
            for key, group in found.items()
        }

    def members(self, key: model.GroupKey) -> list[RunnerRecord]:
        """Returns the members of a group, listed or not."""
        return [
            each for each in self._grouped_runners()
            if each.membership is not None and each.membership.key == key
        ]

    def _grouped_runners(self) -> Iterator[RunnerRecord]:
        return (each for each in self.known.values()
                if self.group_services is None or
                each.runner.service in self.group_services)

    def open_groups_in(self, data_centre: str) -> list[model.GroupKey]:
        """Returns the groups with an open, usable head in a data centre."""
        return [
            each.membership.key
            for each in self._grouped_runners()
            if each.is_usable and each.membership is not None and
            each.membership.rank == 0 and each.membership.state is
            model.MemberState.OPEN and each.runner.data_centre == data_centre
        ]

    def runners_of(self, service: str) -> list[RunnerRecord]:
        """Returns a service's listed runners."""
        return [
            each for each in self.known.values()
            if each.listed and each.runner.service == service
        ]


def _ignore(known: RunnerRecord) -> None:
    del known
