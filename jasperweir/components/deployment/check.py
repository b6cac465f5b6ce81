"""Rules that a configuration must meet before it is accepted."""

from jasperweir.components.deployment import model


def problems(deployment: model.Deployment) -> list[str]:
    """Return what is wrong with a configuration, one sentence each."""
    found = _route_problems(deployment)
    found += _customer_problems(deployment)
    if deployment.version < 1:
        found.append(f"version {deployment.version} is not above 0")
    return found


def _route_problems(deployment: model.Deployment) -> list[str]:
    services = {service.name for service in deployment.services}
    places: dict[tuple[str, str], str] = {}
    found = []
    if len(services) < len(deployment.services):
        found.append("two services have one name")
    for route in deployment.routes:
        place = (route.host, route.prefix)
        if place in places:
            found.append(
                f"route {route.name}: same host and prefix as {places[place]}"
            )
        places[place] = route.name
        for backend in route.backends:
            if backend.service not in services:
                found.append(
                    f"route {route.name}: unknown service {backend.service}"
                )
        if any(backend.weight < 0 for backend in route.backends):
            found.append(f"route {route.name}: a weight is below 0")
        if sum(backend.weight for backend in route.backends) <= 0:
            found.append(f"route {route.name}: its weights add up to 0")
        if route.timeout_s <= 0:
            found.append(f"route {route.name}: its timeout is not above 0")
        if not _is_prefix(route.prefix):
            found.append(
                f"route {route.name}: prefix {route.prefix!r} must begin and "
                "end with a slash"
            )
    return found


def _is_prefix(prefix: str) -> bool:
    return prefix.startswith("/") and prefix.endswith("/")


def _customer_problems(deployment: model.Deployment) -> list[str]:
    holders: dict[str, str] = {}
    found = []
    for customer in deployment.customers:
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                found.append(
                    f"customers {holder} and {customer.name} share a key"
                )
    return found
