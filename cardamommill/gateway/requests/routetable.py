"""Looks up the route of a request and the client account of its key."""

import random

from cardamommill.domain import model


class RouteTable:
    """The routes and client accounts of one configuration, indexed."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        self._tenants: dict[bytes, model.Tenant] = {
            digest: tenant for tenant in configuration.tenants
            for digest in tenant.key_digests
        }

    def route(self, host: str, target: str) -> model.Route | None:
        """Returns the route with the longest prefix of the path, or None.

        Args:
            host: The Host header, with or without a port.
            target: Path and query.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if not routes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            found = routes.get(path[:end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def tenant(self, digest: bytes) -> model.Tenant | None:
        """Returns the client account of a key, or None if it is unknown."""
        return self._tenants.get(digest)

    @property
    def needs_keys(self) -> bool:
        """Whether requests need an API key, unless their route is public."""
        return self.configuration.needs_keys


def draw_service_order(route: model.Route, rng: random.Random) -> list[str]:
    """Returns the services of a route in a random order by weight.

    Services without a positive weight are left out.
    """
    remaining = list(route.backends)
    order = []
    while remaining:
        total = sum(max(0.0, weight) for _, weight in remaining)
        if total <= 0:
            break
        drawn = rng.random() * total
        for each in remaining:
            drawn -= max(0.0, each[1])
            if drawn <= 0:
                break
        order.append(each[0])
        remaining.remove(each)
    return order
