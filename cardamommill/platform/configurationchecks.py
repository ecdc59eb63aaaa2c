"""Checks a decoded configuration for values out of range."""

from collections.abc import Iterator
import dataclasses
import math

from cardamommill.domain import model
from cardamommill.platform import configurationfaults, configurations

MAX_VALUE_CHARS = 60


def find_fault(configuration: model.Configuration,
               regions: frozenset[str]) -> configurationfaults.Fault | None:
    """Returns the first value out of range, or None if there is none.

    Args:
        configuration: The decoded configuration.
        regions: The regions that the settings name; with none, any is allowed.
    """
    fault = next(_faults(configuration, regions), None)
    if fault is None:
        return None
    digest = configurations.key_digest(fault.value)
    if any(digest in each.key_digests for each in configuration.tenants):
        # A key stands where a region belongs.
        return dataclasses.replace(fault, value="")
    return dataclasses.replace(fault, value=fault.value[:MAX_VALUE_CHARS])


def _faults(configuration: model.Configuration,
            regions: frozenset[str]) -> Iterator[configurationfaults.Fault]:
    for index, route in enumerate(configuration.routes):
        path = f"routes.{index}"
        yield from _priority_faults(path, route.priority)
        yield from _region_faults(path, route.allowed_regions, regions)
    for index, tenant in enumerate(configuration.tenants):
        path = f"tenants.{index}"
        yield from _priority_faults(path, tenant.priority)
        yield from _region_faults(path, tenant.allowed_regions, regions)
    for service in configuration.services.values():
        path = f"services.{service.name[:MAX_VALUE_CHARS]}"
        yield from _rate_faults(f"{path}.coldS", service.cold_s)
        yield from _rate_faults(f"{path}.coldPerS", service.cold_per_s)


def _priority_faults(
        path: str, priority: int | None) -> Iterator[configurationfaults.Fault]:
    if priority is not None and priority < 0:
        yield configurationfaults.Fault(f"{path}.priority",
                                        "number", "a priority of at least 0",
                                        str(priority))


def _region_faults(
        path: str, allowed: tuple[str, ...],
        regions: frozenset[str]) -> Iterator[configurationfaults.Fault]:
    if not regions:
        return
    for index, region in enumerate(allowed):
        if region not in regions:
            yield configurationfaults.Fault(
                f"{path}.allowedRegions.{index}", "string",
                "a region of the settings: " + ",".join(sorted(regions)),
                region)


def _rate_faults(path: str,
                 value: float) -> Iterator[configurationfaults.Fault]:
    if not (math.isfinite(value) and value >= 0):
        yield configurationfaults.Fault(path, "number",
                                        "a number of at least 0", f"{value:g}")
