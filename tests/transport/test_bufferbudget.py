"""Tests of the memory for answer bodies that arrive."""

import hypothesis
from hypothesis import strategies

from cardamommill.transport import bufferbudget

LIMIT = 20 * bufferbudget.SMALL_BYTES
LARGE = 4 * bufferbudget.SMALL_BYTES


class Holder:
    """A connection that records what the budget asks of it."""

    def __init__(self):
        self.is_paused = False
        self.has_ended = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def end_body(self, received_bytes):
        del received_bytes
        self.has_ended = True


def test_largest_body_without_length_ends_when_memory_is_used_up():
    """Guards against small answers that end for an endless one."""
    budget = bufferbudget.BufferBudget(LIMIT)
    endless, small = Holder(), Holder()
    first = budget.begin(endless, None)
    second = budget.begin(small, None)
    budget.grow(second, 800)
    while not endless.has_ended:
        budget.grow(first, 10_000)
        assert budget.used_bytes <= LIMIT / 2
    assert not small.has_ended
    assert budget.used_bytes == 800


def test_large_bodies_wait_for_memory_in_their_order():
    """Guards against answers that are cut where waiting is enough."""
    budget = bufferbudget.BufferBudget(LIMIT)
    holders = [Holder() for _ in range(5)]
    bodies = [budget.begin(each, LARGE) for each in holders]
    assert [each.is_paused for each in holders] == [0, 0, 1, 1, 1]
    budget.end(bodies[3])
    budget.end(bodies[0])
    assert [each.is_paused for each in holders] == [0, 0, 0, 1, 1]
    assert not any(each.has_ended for each in holders)


def test_small_bodies_never_wait():
    """Guards against callers that wait behind large answers of others."""
    budget = bufferbudget.BufferBudget(LIMIT)
    for _ in range(10):
        budget.begin(Holder(), LARGE)
    holder = Holder()
    budget.begin(holder, 800)
    assert not holder.is_paused


def test_body_larger_than_the_budget_is_read_alone():
    """Guards against an answer that waits for ever."""
    budget = bufferbudget.BufferBudget(LIMIT)
    holder = Holder()
    budget.begin(holder, 10 * LIMIT)
    assert not holder.is_paused


@hypothesis.given(
    strategies.lists(strategies.tuples(
        strategies.sampled_from(["begin", "grow", "end"]),
        strategies.integers(0, 9),
        strategies.none() | strategies.integers(0, LIMIT)),
                     max_size=80))
def test_memory_is_bounded_and_released_whatever_happens(steps):
    """Guards against a count that drifts, and bodies that wait for nobody."""
    budget = bufferbudget.BufferBudget(LIMIT)
    bodies = {}
    for name, number, size in steps:
        body = bodies.get(number)
        if body is not None and body.holder.has_ended:
            del bodies[number]
        elif name == "begin" and body is None:
            bodies[number] = budget.begin(Holder(), size)
        elif name == "grow" and body is not None:
            budget.grow(body, size or 1)
        elif name == "end" and body is not None:
            budget.end(bodies.pop(number))
        small = sum(each.length or 0
                    for each in bodies.values()
                    if each.length is not None and
                    each.length <= bufferbudget.SMALL_BYTES)
        assert budget.used_bytes <= 2 * LIMIT + small
        reading = [
            each for each in bodies.values()
            if not (each.holder.is_paused or each.holder.has_ended)
        ]
        assert reading or not any(each.holder.is_paused
                                  for each in bodies.values())
    for body in bodies.values():
        budget.end(body)
    assert budget.used_bytes == budget.waiting == 0
