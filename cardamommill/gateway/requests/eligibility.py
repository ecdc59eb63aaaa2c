"""Decides to which data centres a request may go."""

from collections.abc import Iterable, Mapping
import dataclasses

from cardamommill.domain import model

# When a caller may come back whose request may go to no data centre: the
# operator ends an evacuation, or the runners in its allowed regions come back,
# not within the time for which full groups are waited for.
RETRY_AFTER_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Eligibility:
    """The data centres to which a request may go.

    Attributes:
        allowed: Those in its allowed regions, whether evacuated or not; None
            for no restriction.
        evacuated: The evacuated ones.
    """

    allowed: frozenset[str] | None
    evacuated: frozenset[str]

    @property
    def is_unrestricted(self) -> bool:
        """Whether the request may go to any data centre."""
        return self.allowed is None and not self.evacuated

    def allows(self, data_centre: str) -> bool:
        """Whether the request may go to a data centre."""
        return (data_centre not in self.evacuated and
                (self.allowed is None or data_centre in self.allowed))

    def allows_all(self, data_centres: Iterable[str]) -> bool:
        """Whether the request may go to each of some data centres."""
        return all(map(self.allows, data_centres))

    @property
    def refusal_reason(self) -> str:
        """The reason for a refusal, which names no data centre to callers."""
        reason = "no runner"
        if self.allowed is not None:
            reason += " in the allowed regions"
        if not self.evacuated:
            return reason
        return f"{reason} outside evacuated data centres"


UNRESTRICTED = Eligibility(None, frozenset())


def decide(route: model.Route | None, tenant: model.Tenant | None,
           evacuated: frozenset[str], regions: Mapping[str,
                                                       str]) -> Eligibility:
    """Returns the data centres to which a request may go.

    Where the route and the client account both restrict the regions, both
    restrictions apply. A data centre whose region the settings don't give is in
    none.

    Args:
        route: The route of the request.
        tenant: The client account; None where no key is needed.
        evacuated: The evacuated data centres.
        regions: The region of each data centre.
    """
    restrictions = [
        each.allowed_regions
        for each in (route, tenant)
        if each is not None and each.allowed_regions
    ]
    if not restrictions:
        return Eligibility(None, evacuated) if evacuated else UNRESTRICTED
    allowed = frozenset(data_centre for data_centre, region in regions.items()
                        if all(region in each for each in restrictions))
    return Eligibility(allowed, evacuated)
