"""Validation of configurations."""

from jasperweir.components.deployment import model


def find_problems(deployment: model.Deployment) -> list[str]:
    """Return the problems of a configuration, one sentence each.

    Returns:
        An empty list if the configuration is valid.
    """
    problems_found = _find_route_problems(deployment)
    problems_found += _find_customer_problems(deployment)
    problems_found += _find_service_problems(deployment)
    if deployment.version < 1:
        problems_found.append(f"version {deployment.version} must be above 0")
    return problems_found


def _find_route_problems(deployment: model.Deployment) -> list[str]:
    services = {service.name for service in deployment.services}
    route_names: dict[tuple[str, str], str] = {}
    problems_found = []
    if len(services) < len(deployment.services):
        problems_found.append("service names are not unique")
    for route in deployment.routes:
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in route_names:
            problems_found.append(
                f"route {route.name}: same host and prefix as "
                f"{route_names[host_and_prefix]}"
            )
        route_names[host_and_prefix] = route.name
        for backend in route.backends:
            if backend.service not in services:
                problems_found.append(
                    f"route {route.name}: unknown service {backend.service}"
                )
        if any(backend.weight < 0 for backend in route.backends):
            problems_found.append(f"route {route.name}: a weight is negative")
        if sum(backend.weight for backend in route.backends) <= 0:
            problems_found.append(f"route {route.name}: the weights sum to 0")
        if route.timeout_s <= 0:
            problems_found.append(
                f"route {route.name}: the timeout must be above 0"
            )
        if not _is_prefix(route.prefix):
            problems_found.append(
                f"route {route.name}: prefix {route.prefix!r} must begin and "
                "end with a slash"
            )
    return problems_found


def _find_service_problems(deployment: model.Deployment) -> list[str]:
    return [
        f"service {service.name}: cold time and warm-up rate must not be "
        "negative"
        for service in deployment.services
        if service.cold_start_s < 0 or service.warmup_per_s < 0
    ]


def _is_prefix(prefix: str) -> bool:
    return prefix.startswith("/") and prefix.endswith("/")


def _find_customer_problems(deployment: model.Deployment) -> list[str]:
    key_owners: dict[str, str] = {}
    problems_found = []
    for customer in deployment.customers:
        for key in customer.keys:
            owner = key_owners.setdefault(key, customer.name)
            if owner != customer.name:
                problems_found.append(
                    f"customers {owner} and {customer.name} share a key"
                )
    return problems_found
