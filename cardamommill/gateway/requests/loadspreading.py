"""Spreads requests over groups by water-filling.

The load that it answers: many nodes that choose groups by reports of some age,
so that all requests until the next report would go to the same group.
"""


def draw(costs_ms: list[float], steps_ms: list[float], requests: float,
         chance: float) -> int:
    """Draws a group with a probability by its share of the requests.

    Args:
        costs_ms: The cost of each group, in ascending order.
        steps_ms: The increase of each group's cost per request.
        requests: The number of requests to distribute.
        chance: Random number from 0 to 1.

    Returns:
        The index of the group; the first one without requests to distribute.
    """
    level_ms = _water_level_ms(costs_ms, steps_ms, requests)
    shares = [
        max(0.0, level_ms - each_ms) / step_ms
        for each_ms, step_ms in zip(costs_ms, steps_ms, strict=True)
    ]
    remainder = chance * sum(shares)
    for index, share in enumerate(shares):
        remainder -= share
        if remainder < 0:
            return index
    return 0


def _water_level_ms(costs_ms: list[float], steps_ms: list[float],
                    requests: float) -> float:
    """Returns the common cost after distributing requests by water-filling.

    Args:
        costs_ms: The cost of each group, in ascending order.
        steps_ms: The increase of each group's cost per request.
        requests: The number of requests to distribute.
    """
    rate = weighted = 0.0
    level_ms = costs_ms[0]
    for cost_ms, step_ms in zip(costs_ms, steps_ms, strict=True):
        if rate and cost_ms >= level_ms:
            break
        rate += 1 / step_ms
        weighted += cost_ms / step_ms
        level_ms = (requests + weighted) / rate
    return level_ms
