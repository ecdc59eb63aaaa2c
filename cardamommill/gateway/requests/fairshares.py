"""Max-min fair division of a capacity."""

from collections.abc import Iterable
import math


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the largest share that any demand gets.

    Each demand gets the smaller of itself and the level. What small demands
    leave unused is divided among the larger ones.

    Args:
        demands: The amounts asked for.
        capacity: The amount to divide.

    Returns:
        The level; infinity if all demands fit into the capacity.
    """
    ascending = sorted(demands)
    remaining = max(0.0, capacity)
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand > level:
            return level
        remaining -= demand
    return math.inf
