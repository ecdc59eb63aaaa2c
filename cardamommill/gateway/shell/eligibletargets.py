"""Joins the eligibility of requests with the state of this node."""

import collections

from cardamommill.domain import entrysettings, model
from cardamommill.gateway.fleet import evacuations
from cardamommill.gateway.requests import eligibility, placing


class EligibleTargets:
    """Decides where requests may go; counts those in each data centre."""

    def __init__(self, settings: entrysettings.EntrySettings,
                 evacuated: evacuations.Evacuations) -> None:
        """Initialises the instance without requests.

        Args:
            settings: The settings of the node, which give the regions.
            evacuated: The evacuations in force.
        """
        self._regions = settings.regions
        self._evacuations = evacuated
        self._running: collections.Counter[str] = collections.Counter()

    def reload(self, settings: entrysettings.EntrySettings) -> None:
        """Applies changed settings."""
        self._regions = settings.regions

    def decide(self, route: model.Route | None,
               tenant: model.Tenant | None) -> eligibility.Eligibility:
        """Returns the data centres to which a request may go now."""
        return eligibility.decide(route, tenant, self._evacuations.in_force,
                                  self._regions)

    def attempt_started(self, data_centre: str) -> None:
        """Counts an attempt that is sent to a data centre."""
        self._running[data_centre] += 1

    def attempt_ended(self, data_centre: str) -> None:
        """Counts the end of an attempt."""
        self._running[data_centre] -= 1

    def running(self, data_centre: str) -> int:
        """Returns how many attempts of this node run in a data centre."""
        return self._running[data_centre]


def refusal(eligible: eligibility.Eligibility) -> placing.Refused:
    """Returns the refusal of a request that may go to no runner."""
    return placing.Refused(eligible.refusal_reason, eligibility.RETRY_AFTER_MS)
