"""Runners restart under their ids; rows, reports and orders arrive anyhow.

What a node holds of an incarnation must come from that incarnation alone, and
an incarnation that the node has seen replaced must not be used again.
"""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from cardamommill.domain import incarnations, model
from cardamommill.gateway.fleet import fleetview
from tests.gateway import builders

STATE = model.MemberState
NUMBERS = strategies.integers(0, 1)
KEYS = [model.GroupKey("g", epoch) for epoch in range(3)]


@dataclasses.dataclass
class Life:
    """One incarnation of a runner, with all that it ever was.

    Attributes:
        counts: Each count of orders that it has had.
        places: Each membership that it has had.
    """

    number: int
    born_ms: int
    begun: int = 0
    place: model.Membership | None = None
    counts: set = dataclasses.field(default_factory=lambda: {0})
    places: set = dataclasses.field(default_factory=lambda: {None})

    @property
    def id(self):
        return f"i-{self.number}@{self.born_ms}"

    def obey(self, place):
        self.begun += 1
        self.place = place
        self.counts.add(self.begun)
        self.places.add(place)


class Incarnations(stateful.RuleBasedStateMachine):
    """One view, and runners that restart."""

    def __init__(self):
        super().__init__()
        self.now_ms = 1000.0
        self.version = 1
        self.view = fleetview.FleetView()
        self.ended = []
        self.view.on_ended = lambda known: self.ended.append(known.runner.id)
        self.lives = {}
        self.current = [self.birth(number) for number in range(2)]
        self.rows = {}
        self.written = []
        self.in_flight = []
        # Incarnations that the view was shown to be replaced.
        self.replaced = set()
        for life in self.current:
            self.write(life)
        self.read(dict(self.rows))

    def birth(self, number):
        self.now_ms += 1
        life = Life(number, int(self.now_ms))
        self.lives[life.id] = life
        return life

    def write(self, life):
        self.version += 1
        row = builders.runner(life.number,
                              self.version,
                              membership=life.place,
                              born_ms=life.born_ms)
        self.rows[life.number] = row
        self.written.append(dict(self.rows))

    def read(self, rows):
        self.now_ms += 1
        before = {
            each.runner.instance: each.runner
            for each in self.view.known.values()
            if each.listed
        }
        self.view.apply_list(rows.values(), self.now_ms)
        for row in rows.values():
            old = before.get(row.instance)
            if old is not None and old.born_ms < row.born_ms:
                self.replaced.add(old.id)

    @stateful.rule(number=NUMBERS, writes=strategies.booleans())
    def restart(self, number, writes):
        self.current[number] = self.birth(number)
        if writes:
            self.write(self.current[number])

    @stateful.rule(number=NUMBERS)
    def write_row(self, number):
        self.write(self.current[number])

    @stateful.rule(number=NUMBERS)
    def remove_row(self, number):
        self.rows.pop(number, None)
        self.written.append(dict(self.rows))

    @stateful.rule()
    def read_list(self):
        self.read(dict(self.rows))

    @stateful.rule(back=strategies.integers(1, 6))
    def read_older_copy(self, back):
        self.read(self.written[-min(back, len(self.written))])

    @stateful.rule(number=NUMBERS,
                   key=strategies.sampled_from([None, *KEYS]),
                   kind=strategies.sampled_from(["report", "order"]))
    def ask(self, number, key, kind):
        """Asks the listed incarnation; whoever lives at the address answers."""
        asked = self.view.incarnations.listed_id(f"i-{number}")
        if asked is None:
            return
        life = self.current[number]
        if kind == "order":
            life.obey(key and builders.member(key, 0, STATE.JOINING))
        self.now_ms += 1
        self.in_flight.append(
            (kind, asked, self.now_ms, life.born_ms, life.begun, life.place))

    @stateful.rule(which=strategies.integers(0, 5))
    def answer_arrives(self, which):
        if not self.in_flight:
            return
        kind, asked, asked_ms, born_ms, begun, place = self.in_flight.pop(
            which % len(self.in_flight))
        self.now_ms += 1
        if incarnations.is_other(incarnations.parse(asked).born_ms, born_ms):
            self.view.record_ended(asked, self.now_ms)
            self.replaced.add(asked)
        elif kind == "order":
            self.view.record_order(asked, begun, place, self.now_ms)
        else:
            self.view.apply_report(asked, builders.report(begun, place),
                                   asked_ms, 0.0)

    @stateful.rule(number=NUMBERS)
    def no_answer(self, number):
        asked = self.view.incarnations.listed_id(f"i-{number}")
        if asked is not None:
            self.now_ms += 1
            self.view.record_no_answer(asked, self.now_ms)

    @stateful.rule()
    def time_passes(self):
        """Records of runners that left the list are dropped meanwhile.

        A copy of the list that is this old is not read any more.
        """
        self.now_ms += fleetview.DELISTED_RETENTION_MS / 2
        self.written = [dict(self.rows)]
        self.read(dict(self.rows))

    @stateful.invariant()
    def state_comes_from_the_same_incarnation(self):
        for runner_id, known in self.view.known.items():
            life = self.lives[runner_id]
            assert known.runner.id == runner_id
            assert known.orders_begun in life.counts
            assert known.membership in life.places

    @stateful.invariant()
    def replaced_incarnation_is_not_used(self):
        for runner_id in self.replaced:
            known = self.view.known.get(runner_id)
            if known is not None:
                assert known.down_ms and not known.listed, runner_id

    @stateful.invariant()
    def one_incarnation_at_most_is_used(self):
        used = [
            each.runner.instance
            for each in self.view.known.values()
            if each.is_usable
        ]
        assert len(used) == len(set(used))

    @stateful.invariant()
    def each_end_is_reported_once(self):
        assert len(self.ended) == len(set(self.ended))

    def teardown(self):
        """Once the newest rows are read, the living incarnations are listed."""
        for life in self.current:
            self.write(life)
        self.read(dict(self.rows))
        assert sorted(each.runner.id
                      for each in self.view.known.values()
                      if each.listed) == sorted(
                          each.id for each in self.current)


TestIncarnations = Incarnations.TestCase
TestIncarnations.settings = hypothesis.settings(max_examples=200,
                                                stateful_step_count=40,
                                                deadline=None)
