"""Typed records of a bundle."""

from typing import NamedTuple

from jasperweir.components.bundle import const


class ServiceSpec(NamedTuple):
    """One model or plain service of a bundle; times in seconds."""

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
    """Share and priority of one customer."""

    name: str
    weight: float
    priority: int


class PlaceSpec(NamedTuple):
    """One place, in the order in which a roll reaches it."""

    name: str
    region: str
    order: int


class CallerSpec(NamedTuple):
    """What callers are told and allowed; times in seconds."""

    address_ttl_s: float
    claim_window_s: float
    deadline_s: float
    unknown_customers: str


class ExpertSpec(NamedTuple):
    """How step skew is weighed against the cost of moves."""

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
        """Return a customer's share; unknown ones get the wildcard's."""
        known = self.customers.get(name)
        if known is not None:
            return known
        if self.callers.unknown_customers == "refuse":
            return None
        wildcard = self.customers.get(const.ANY_CUSTOMER)
        if wildcard is not None:
            return wildcard._replace(name=name)
        return CustomerSpec(name=name, weight=1.0, priority=5)
