"""What a configuration allows, without the index that decides on requests."""

from jasperweir.components.deployment import model


class Permissions:
    """Customers by key and services by route of one configuration.

    Attributes:
        version: Its version, 0 without a configuration.
    """

    def __init__(self, deployment: model.Deployment | None = None) -> None:
        """Read a configuration, if there is one."""
        self.version = 0
        self._customers: dict[str, str] = {}
        self._services: dict[str, tuple[str, ...]] = {}
        if deployment is None:
            return
        self.version = deployment.version
        for customer in deployment.customers:
            self._customers |= dict.fromkeys(customer.keys, customer.name)
        for route in deployment.routes:
            self._services[route.name] = (
                *self._services.get(route.name, ()),
                *route.services,
            )

    def allow(
        self, *, route: str, service: str, key: str, customer: str
    ) -> bool:
        """Return whether a request may be sent as it was decided.

        Args:
            route: Name of its route.
            service: Service that it is sent to.
            key: Key of the caller, or empty.
            customer: Customer that it runs for, or empty.
        """
        holder = self._customers.get(key, "") if key else ""
        return customer == holder and service in self._services.get(route, ())
