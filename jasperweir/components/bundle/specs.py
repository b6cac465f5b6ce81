"""Typed records of a bundle."""

from typing import NamedTuple

from jasperweir.components.bundle import const


class ServiceSpec(NamedTuple):
    """Model service or plain service.

    Attributes:
        name: Name of the service.
        kind: KIND_MODEL or KIND_PLAIN.
        adapters: Names of the adapters that its targets load.
        places: Names of data centres; they must be in the bundle.
        group: Name of its expert group, or empty.
        max_in_flight: Maximum number of concurrent requests.
        idempotent: Whether a request without a key may be repeated.
        first_token_s: Target time to the first token in seconds.
        token_gap_s: Target time between tokens in seconds.
        objective: Share of requests and of token gaps that should meet these
            targets.
    """

    name: str
    kind: str
    adapters: tuple[str, ...]
    places: tuple[str, ...]
    group: str
    max_in_flight: int
    idempotent: bool
    first_token_s: float
    token_gap_s: float
    objective: float


class CustomerSpec(NamedTuple):
    """Weight and priority of a customer."""

    name: str
    weight: float
    priority: int


class PlaceSpec(NamedTuple):
    """Data centre; a roll proceeds in the order of ``order``."""

    name: str
    region: str
    order: int


class CallerSpec(NamedTuple):
    """Settings for callers; times in seconds."""

    address_ttl_s: float
    claim_window_s: float
    deadline_s: float
    unknown_customers: str


class ExpertSpec(NamedTuple):
    """Settings for the placement of experts."""

    skew_weight: float
    store_moves_per_s: float
    grant_steps: int


class Bundle(NamedTuple):
    """Typed view of one bundle version."""

    name: str
    services: dict[str, ServiceSpec]
    customers: dict[str, CustomerSpec]
    places: dict[str, PlaceSpec]
    callers: CallerSpec
    experts: ExpertSpec

    def customer(self, name: str) -> CustomerSpec | None:
        """Return a customer's settings.

        An unknown customer gets those of the wildcard customer or defaults,
        or None if unknown customers are refused.
        """
        known = self.customers.get(name)
        if known is not None:
            return known
        if self.callers.unknown_customers == "refuse":
            return None
        wildcard = self.customers.get(const.ANY_CUSTOMER)
        if wildcard is not None:
            return wildcard._replace(name=name)
        return CustomerSpec(name=name, weight=1.0, priority=5)
