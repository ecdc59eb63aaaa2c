"""What is believed of runners and groups, from the list and from reports."""

import collections
from collections.abc import Iterable, Iterator
import dataclasses

from cardamommill.gateway import memberships, model

# A runner that left the list is remembered for as long as it may still be
# asked whether it lives: its group may go on serving.
DELISTED_RETENTION_MS = 30_000
# As long as a list without news is waited for, with a drain bound of 2 s.
LIST_STALE_MS = 2800.0


@dataclasses.dataclass(slots=True)
class RunnerRecord:
    """One runner, with the age of each piece of evidence.

    Attributes:
        runner: As the list told it last.
        listed: Whether the newest list names it.
        listed_ms: The time of the newest list that named it.
        status: The newest that is known of its orders and group.
        report_ms: When the newest report was asked for.
        down_ms: When it was found not to answer; 0 while it is not.
        unanswered_ms: When it was last asked in vain.
        recovered_ms: When it last answered again after that.
        leaving_ms: When it was first seen to leave; 0 while it is not.
        has_reported_leaving: Whether an answer of its own said that it leaves.
        last_model: The model of its last group, for which joining is quick.
        pace: Of its newest report; over 1 is slow.
        order_ms: When it last answered an order of this node.
        list_change_ms: When the list last told something new of its group.
        orders_begun: Its count of orders, as far as this node knows; a wrong
            guess is refused by the runner and then asked for.
        has_exact_order_count: Whether that is no guess.
    """

    runner: model.Runner
    listed: bool
    listed_ms: float
    status: model.RunnerStatus
    report_ms: float = 0.0
    down_ms: float = 0.0
    unanswered_ms: float = 0.0
    recovered_ms: float = 0.0
    leaving_ms: float = 0.0
    has_reported_leaving: bool = False
    last_model: str = ""
    pace: float = 1.0
    order_ms: float = 0.0
    list_change_ms: float = 0.0
    orders_begun: int = 0
    has_exact_order_count: bool = True

    @property
    def is_usable(self) -> bool:
        """Whether it may be ordered to work."""
        return self.listed and not self.down_ms and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether it leaves, by the list's word or its own."""
        return self.runner.leaving or self.has_reported_leaving

    @property
    def membership(self) -> model.Membership | None:
        """Its place in a group."""
        return self.status.membership


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A formation as its members tell of it.

    Attributes:
        key: Its name and epoch.
        model: What it serves; empty while nobody said so.
        members: By rank, as far as known.
    """

    key: model.GroupKey
    model: str
    members: dict[int, RunnerRecord]

    @property
    def head(self) -> RunnerRecord | None:
        """The member that takes requests."""
        return self.members.get(0)

    @property
    def domains(self) -> "collections.Counter[str]":
        """How many members each fabric domain has; more than one is slow."""
        return collections.Counter(
            each.status.domain for each in self.members.values())

    @property
    def is_open_and_reachable(self) -> bool:
        """Whether it serves, and all its members answer this node."""
        return self.is_open and not any(each.down_ms
                                        for each in self.members.values())

    @property
    def is_open(self) -> bool:
        """Whether its head says that it serves."""
        head = self.head
        return (head is not None and head.membership is not None and
                head.membership.state is model.MemberState.OPEN)


def serving(groups: Iterable[Group], model_name: str) -> list[Group]:
    """Returns the groups of a model that serve, as far as this node can tell.

    Those that can't be reached take no requests of here.
    """
    return [
        each for each in groups
        if each.model == model_name and each.is_open_and_reachable
    ]


class FleetView:
    """All runners; the one place where evidence is joined."""

    def __init__(self) -> None:
        self.known: dict[str, RunnerRecord] = {}
        # Counts all changes, for whoever keeps what he made of the view.
        self.version = 0
        self.list_as_of_ms = float("-inf")
        # Older than this the list is not followed any more; set by its reader.
        self.list_stale_ms = LIST_STALE_MS
        self._groups: dict[str, dict[model.GroupKey, Group]] = {}
        self._groups_version = -1

    def apply_list(self, runners: Iterable[model.Runner],
                   as_of_ms: float) -> list[tuple[str, str]]:
        """Takes a newer list of all runners.

        Args:
            runners: All that the list names.
            as_of_ms: When it was true; an older one than the last is left.

        Returns:
            Pairs of a runner's id and what changed about it.
        """
        if as_of_ms <= self.list_as_of_ms:
            return []
        self.list_as_of_ms = as_of_ms
        self.version += 1
        changes: list[tuple[str, str]] = []
        named = set()
        for runner in runners:
            named.add(runner.id)
            changes += self._take_entry(runner, as_of_ms)
        for runner_id, known in list(self.known.items()):
            if runner_id in named:
                continue
            if known.listed:
                known.listed = False
                changes.append((runner_id, "left the list"))
            if as_of_ms - known.listed_ms > DELISTED_RETENTION_MS:
                del self.known[runner_id]
        return changes

    def _take_entry(self, runner: model.Runner,
                    as_of_ms: float) -> Iterator[tuple[str, str]]:
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
            self._note_model(known)
            yield runner.id, "listed"
        if not known.listed:
            yield runner.id, "listed again"
        is_news = runner.row_position > known.runner.row_position
        read_before_ms = known.listed_ms
        said = known.runner.status.membership
        known.runner = runner
        known.listed = True
        known.listed_ms = as_of_ms
        if known.is_leaving and not known.leaving_ms:
            known.leaving_ms = as_of_ms
            yield runner.id, "leaving"
        if not known.is_leaving:
            known.leaving_ms = 0.0
        if is_news:
            self._join(known, runner.status, said, read_before_ms, as_of_ms)

    def apply_report(self, runner_id: str, report: model.Report,
                     asked_ms: float, lag_ms: float) -> None:
        """Takes a runner's own report: it lives.

        Args:
            runner_id: Who answered.
            report: The answer.
            asked_ms: When it was asked.
            lag_ms: What it tells may be this much older.
        """
        known = self.known.get(runner_id)
        if known is None or asked_ms < known.report_ms:
            return
        if known.down_ms:
            known.down_ms = 0.0
            known.recovered_ms = asked_ms
            self.version += 1
        known.pace = report.pace
        known.report_ms = asked_ms
        if asked_ms - lag_ms < max(known.order_ms, known.list_change_ms):
            # An order or a row of the list is newer than what it tells.
            return
        known.status = report.status
        known.orders_begun = report.orders_begun
        known.has_exact_order_count = True
        self._note_model(known)
        self.version += 1

    def record_no_answer(self, runner_id: str, asked_ms: float) -> bool:
        """Notes that a runner did not answer; True where that is news."""
        known = self.known.get(runner_id)
        if known is None or asked_ms < known.report_ms:
            return False
        known.unanswered_ms = asked_ms
        if known.down_ms:
            return False
        known.down_ms = asked_ms
        self.version += 1
        return True

    def record_leaving(self, runner_id: str, now_ms: float) -> bool:
        """Takes a runner's own word that it leaves; True where that is news.

        It holds to the end of that life, whatever the list says: a runner that
        does not reach the store is listed as ready until its entry lapses.
        """
        known = self.known.get(runner_id)
        if known is None or known.has_reported_leaving:
            return False
        known.has_reported_leaving = True
        known.leaving_ms = known.leaving_ms or now_ms
        self.version += 1
        return True

    def record_order(self, runner_id: str, orders_begun: int,
                     membership: model.Membership | None,
                     now_ms: float) -> None:
        """Notes what an accepted order made of a runner."""
        known = self.known.get(runner_id)
        if known is None:
            return
        known.order_ms = now_ms
        self._note_model(known)
        self.version += 1
        known.orders_begun = orders_begun
        known.has_exact_order_count = True
        known.status = dataclasses.replace(known.status, membership=membership)

    def record_order_refusal(self, runner_id: str, now_ms: float) -> None:
        """Notes that an order was answered, but not accepted."""
        known = self.known.get(runner_id)
        if known is not None:
            known.order_ms = now_ms

    def record_open_group(self, head_id: str, key: model.GroupKey,
                          model_name: str) -> bool:
        """Takes the word of a planner that a group serves; True for news."""
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
        known.report_ms = max(known.report_ms, known.listed_ms)
        self.version += 1
        return True

    def _join(self, known: RunnerRecord, status: model.RunnerStatus,
              said: model.Membership | None, read_before_ms: float,
              as_of_ms: float) -> None:
        """Takes what a changed row says, if it is newer than all else.

        A row is as old as its last change, not as the reading of it: while
        the store was away a runner joined a group that its row did not name,
        and after that was taken for free. The row is surely newer than an
        order or a report only if it still said something else after that.
        """
        newer = read_before_ms > max(known.report_ms, known.order_ms)
        if not newer and not memberships.is_successor(known.membership,
                                                      status.membership, said):
            # What its host holds is true all the same: a load that ended before
            # the next reading was never seen, and the spare never used.
            known.status = dataclasses.replace(known.status,
                                               staged=status.staged)
            return
        if status != known.status:
            known.list_change_ms = as_of_ms
        if memberships.place(status.membership) != memberships.place(
                known.membership):
            # Somebody else ordered that.
            known.has_exact_order_count = False
        known.status = status
        self._note_model(known)

    def _note_model(self, known: RunnerRecord) -> None:
        if known.membership is not None and known.status.models:
            known.last_model = known.status.models[0]

    def groups(self, service: str) -> dict[model.GroupKey, Group]:
        """Returns the formations of a service, of runners listed or not.

        Made anew only after a change: a planner asks some ten times a step.
        """
        if self._groups_version != self.version:
            self._groups_version = self.version
            self._groups = {}
        if service not in self._groups:
            self._groups[service] = self._formed(service)
        return self._groups[service]

    def _formed(self, service: str) -> dict[model.GroupKey, Group]:
        found: dict[model.GroupKey, Group] = {}
        names: dict[model.GroupKey, str] = {}
        for known in self.known.values():
            membership = known.membership
            if membership is None or known.runner.service != service:
                continue
            key = membership.key
            if key not in found:
                found[key] = Group(key, "", {})
            found[key].members[membership.rank] = known
            if known.status.models:
                names[key] = known.status.models[0]
        return {
            key: dataclasses.replace(group, model=names.get(key, ""))
            for key, group in found.items()
        }

    def members(self, key: model.GroupKey) -> list[RunnerRecord]:
        """Returns who says that it is in a group, listed or not."""
        return [
            each for each in self.known.values()
            if each.membership is not None and each.membership.key == key
        ]

    def open_groups_in(self, data_centre: str) -> list[model.GroupKey]:
        """Returns the groups whose heads serve in a data centre."""
        return [
            each.membership.key
            for each in self.known.values()
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
