"""Lookups in the configuration in force."""

from typing import NamedTuple

from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import passes
from jasperweir.components.deployment import model


class RouteMatch(NamedTuple):
    """Route and customer of a request."""

    route: model.Route
    customer: model.Customer | None

    @property
    def priority(self) -> int:
        """Priority of the request; the customer's overrides the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


class DeploymentIndex:
    """Index of a configuration by host, path and API key.

    Attributes:
        deployment: The indexed configuration.
        services: Services by name.
    """

    def __init__(self, *, deployment: model.Deployment) -> None:
        self.deployment = deployment
        self.services = {s.name: s for s in deployment.services}
        self._routes_by_host: dict[str, dict[str, model.Route]] = {}
        for route in deployment.routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = (
                route
            )
        self._customers_by_key = {
            key: customer
            for customer in deployment.customers
            for key in customer.keys
        }

    @property
    def requires_key(self) -> bool:
        """Whether requests need a customer's API key."""
        return bool(self.deployment.customers)

    def get_pass_bounds(self) -> dict[str, passes.PassBounds]:
        """Return the bounds of services whose engines run passes as a group.

        Returns:
            Bounds by service name. The pause is the shortest that a route of
            the service allows.
        """
        bounds: dict[str, passes.PassBounds] = {}
        for route in self.deployment.routes:
            if route.gap_s <= 0:
                continue
            for backend in route.backends:
                service = self.services.get(backend.service)
                if service is None or service.engine is None:
                    continue
                if not service.engine.sets:
                    continue
                known = bounds.get(service.name)
                pause_s = min(route.gap_s, known.pause_s if known else 1e9)
                bounds[service.name] = passes.PassBounds(
                    pause_s=pause_s,
                    fixed_s=service.engine.fixed_pass_s
                    * balance_const.PASS_FIXED_FACTOR,
                    slots=service.engine.slots,
                )
        return bounds

    def find_route(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of a path, or None."""
        prefixes = self._routes_by_host.get(_strip_port(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_customer(self, key: str) -> model.Customer | None:
        """Return the customer that holds an API key, or None."""
        return self._customers_by_key.get(key)


def _strip_port(host: str) -> str:
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()
