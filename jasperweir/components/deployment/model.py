"""Data model of a configuration version."""

import enum
import random
from typing import NamedTuple


class RouteKind(enum.Enum):
    """Which requests of a route may be retried after a failure."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Backend(NamedTuple):
    """Share of a route's requests that goes to a service.

    Attributes:
        service: Name of the service.
        weight: Share relative to the weights of the other backends.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Routing rule for requests with a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header, lower case, without a port.
        prefix: Path prefix that begins and ends with a slash.
        kind: Which requests may be retried.
        timeout_s: Maximum time until the response, seconds.
        target_s: Target time for the response, seconds.
        gap_s: Longest pause between events of a stream that is still on time,
            seconds; 0 for other kinds.
        priority: Priority of the requests; 0 is served first.
        backends: Services and weights; the weights sum to more than 0.
        max_attempts: Maximum number of targets that receive one request.
        public: Whether requests need no API key.
        resumable: Whether a broken stream may continue at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    @property
    def services(self) -> frozenset[str]:
        """Services that get a share of the requests."""
        return frozenset(b.service for b in self.backends if b.weight > 0)

    def choose_service(self, rng: random.Random) -> str:
        """Return a service for one request, drawn at random by weight."""
        weights = [backend.weight for backend in self.backends]
        return rng.choices(self.backends, weights)[0].service


class Engine(NamedTuple):
    """Speed and capacity of a service's model engines.

    Attributes:
        slots: Number of requests that an engine runs at once.
        kv_tokens: Capacity of an engine's KV cache, tokens.
        stride: Token steps per pass while requests run.
        step_ms: Fixed time of a token step, milliseconds.
        per_seq_ms: Additional time of a step per running request, milliseconds.
        context_ms_per_k: Additional time of a step per 1,000 tokens of context,
            milliseconds.
        read_tokens_per_s: Prompt tokens processed per second.
        chunk: Maximum number of prompt tokens processed in a step.
        usual_prompt: Mean number of prompt tokens.
        usual_answer: Mean number of generated tokens.
        sets: Number of layer sets with their own expert placement; 0 without
            experts.
        experts: Number of experts in a set.
        places: Maximum number of experts per rank in a set.
        spare: Maximum number of experts that one change adds to a rank in a
            set.
        form_s: Time in which a group forms again, seconds.
        copy_s: Time in which a rank copies one expert, seconds; 0 if unknown.
    """

    slots: int
    kv_tokens: int
    stride: int
    step_ms: float
    per_seq_ms: float
    context_ms_per_k: float
    read_tokens_per_s: float
    chunk: int
    usual_prompt: float
    usual_answer: float
    sets: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    form_s: float = 0.0
    copy_s: float = 0.0

    @property
    def fixed_pass_s(self) -> float:
        """Duration of a pass without running requests, seconds."""
        return self.stride * self.step_ms / 1000.0


class Service(NamedTuple):
    """A group of interchangeable targets.

    Attributes:
        name: Name of the service.
        max_connections: Configured connection limit; not enforced.
        engine: Engine parameters, None if they are not configured.
        cold_start_s: Time for which a target is cold after its start, seconds.
        warmup_per_s: Requests per second that a cold target can take; 0 for no
            limit.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_start_s: float = 0.0
    warmup_per_s: float = 0.0


class Limits(NamedTuple):
    """Limits on requests of callers.

    Attributes:
        header_bytes: Maximum size of the header.
        body_bytes: Maximum size of the body.
        header_timeout_s: Maximum time to receive the header, seconds.
        idle_timeout_s: Maximum time between requests of a connection, seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Customer(NamedTuple):
    """A holder of API keys.

    Attributes:
        name: Name of the customer.
        keys: API keys.
        priority: Priority that overrides the route's, None for the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Deployment(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Version number, above 0.
        routes: Routing rules.
        services: Services that routes refer to.
        limits: Limits on requests of callers.
        customers: Customers; API keys are required unless this is empty.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    customers: tuple[Customer, ...]
