"""Rules on the data centres that requests may reach."""

from collections.abc import Iterator

from cardamommill.domain import clock


class DataCentreRules:
    """Checks requests against evacuations and allowed regions."""

    def __init__(self, evacuate_ms: float) -> None:
        """Initialises the instance without evacuations and allowed regions.

        Args:
            evacuate_ms: Requests that reach a runner later than this after its
                data centre was evacuated break a rule.
        """
        self._evacuate_ms = evacuate_ms
        self._evacuated_ms: dict[str, float] = {}
        # The data centres in which requests of each path prefix, and of each
        # client account, may run; those without an entry may run in all.
        self.route_data_centres: dict[str, frozenset[str]] = {}
        self.account_data_centres: dict[str, frozenset[str]] = {}

    def record_evacuation(self, place: str) -> None:
        """Records that the store acknowledged an evacuation."""
        self._evacuated_ms.setdefault(place, clock.now_ms())

    def record_return(self, place: str) -> None:
        """Records that the row of an evacuation was removed."""
        self._evacuated_ms.pop(place, None)

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres whose evacuation was acknowledged."""
        return frozenset(self._evacuated_ms)

    def check(self, target: str, tenant: str,
              place: str) -> Iterator[tuple[str, str]]:
        """Yields the rules that a request breaks, with a text each.

        Args:
            target: The path of the request.
            tenant: The name of its client account.
            place: The data centre of the runner that it reached.
        """
        since_ms = self._evacuated_ms.get(place)
        if (since_ms is not None and
                clock.now_ms() > since_ms + self._evacuate_ms):
            yield "EVAC", f"reached {place}, which is evacuated"
        allowed = [self.account_data_centres[tenant]
                  ] if tenant in self.account_data_centres else []
        allowed += [
            each for prefix, each in self.route_data_centres.items()
            if target.startswith(prefix)
        ]
        if any(place not in each for each in allowed):
            yield "HOME", f"reached {place}, which is in no allowed region"
