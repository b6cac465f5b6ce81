"""Look-ups in the configuration that is in force."""

from typing import NamedTuple

from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import passes
from jasperweir.components.deployment import model


class Match(NamedTuple):
    """Route of a request and the customer that sent it."""

    route: model.Route
    customer: model.Customer | None

    @property
    def priority(self) -> int:
        """Rank of the request; the customer's goes before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


class Index:
    """Configuration prepared for look-ups by host, path and key.

    Attributes:
        deployment: The version it was made from.
        services: Services by name.
    """

    def __init__(self, *, deployment: model.Deployment) -> None:
        self.deployment = deployment
        self.services = {s.name: s for s in deployment.services}
        self._hosts: dict[str, dict[str, model.Route]] = {}
        for route in deployment.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._keys = {
            key: customer
            for customer in deployment.customers
            for key in customer.keys
        }

    @property
    def keyed(self) -> bool:
        """Whether requests must carry a customer's key."""
        return bool(self.deployment.customers)

    def passes(self) -> dict[str, passes.PassBounds]:
        """Return the bounds of services whose engines make passes together."""
        found: dict[str, passes.PassBounds] = {}
        for route in self.deployment.routes:
            if route.gap_s <= 0:
                continue
            for backend in route.backends:
                service = self.services.get(backend.service)
                if service is None or service.engine is None:
                    continue
                if not service.engine.sets:
                    continue
                before = found.get(service.name)
                pause_s = min(route.gap_s, before.pause_s if before else 1e9)
                found[service.name] = passes.PassBounds(
                    pause_s=pause_s,
                    fixed_s=service.engine.fixed_pass_s
                    * balance_const.PASS_FIXED_FACTOR,
                    slots=service.engine.slots,
                )
        return found

    def route(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix that begins a path."""
        prefixes = self._hosts.get(_host_name(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def customer(self, key: str) -> model.Customer | None:
        """Return the customer that holds a key."""
        return self._keys.get(key)


def _host_name(host: str) -> str:
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()
