"""Typed content of one configuration version."""

import enum
import random
from typing import NamedTuple


class Kind(enum.Enum):
    """What may be repeated when a request on a route fails."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Backend(NamedTuple):
    """One service that a route sends a share of its requests to."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go, and on what terms.

    Attributes:
        name: Operator's name of the route.
        host: Host header that selects it, lower case, without a port.
        prefix: Path prefix, with a slash at both ends.
        kind: What may be repeated.
        timeout_s: Longest time a caller is kept waiting, seconds.
        target_s: Time within which an answer earns its full credit, seconds.
        gap_s: Longest pause between events of a stream that still counts as
            on time, seconds; 0 for other kinds.
        priority: Rank of its requests; 0 is served first.
        backends: Services and weights; the weights sum to more than 0.
        max_attempts: Most targets that one request may be sent to.
        public: Whether no customer key is asked for.
        resumable: Whether a broken stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.SAFE

    def draw_service(self, rng: random.Random) -> str:
        """Return the service of one request, drawn by the weights."""
        weights = [backend.weight for backend in self.backends]
        return rng.choices(self.backends, weights)[0].service


class Engine(NamedTuple):
    """Speed and sizes of a service's model engines.

    Attributes:
        slots: Requests that one engine runs at once.
        kv_tokens: Tokens that fit in one engine's memory.
        stride: Token steps in a pass with running requests.
        step_ms: Fixed cost of a token step, milliseconds.
        per_seq_ms: Cost that each running request adds to a step.
        context_ms_per_k: Cost of 1,000 tokens of context in a step.
        read_tokens_per_s: Prompt tokens read a second.
        chunk: Most prompt tokens read in one step.
        usual_prompt: Mean number of prompt tokens.
        usual_answer: Mean number of generated tokens.
        sets: Sets of layers that have their own expert placement; 0 without
            experts.
        experts: Experts in a set.
        places: Experts that one rank may hold in a set.
        spare: Experts that one change may add to a rank in a set.
        form_s: Time a group takes to form again, seconds.
        copy_s: Time in which a rank copies one expert, seconds; 0 if that is
            not known.
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
        """Time of a pass without running requests, seconds."""
        return self.stride * self.step_ms / 1000.0


class Service(NamedTuple):
    """A kind of target."""

    name: str
    max_connections: int
    engine: Engine | None


class Limits(NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Customer(NamedTuple):
    """Holder of keys; its priority goes before a route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Deployment(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    customers: tuple[Customer, ...]
