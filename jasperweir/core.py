"""Kernel: service registry, event dispatch and lifecycle."""

from collections.abc import Callable
import random
import time
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar
from typing import cast

from jasperweir import exceptions
from jasperweir.helpers import clocks

T = TypeVar("T")


class Clock(Protocol):
    """Source of time, so that components can be tested on virtual time."""

    def monotonic(self) -> float:
        """Return monotonic seconds, for timeouts and leases.

        They include the time for which the VM was suspended.
        """

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for records only."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, including suspensions of the VM."""
        return clocks.elapsed()

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock that advances only on request, for tests and replays."""

    def __init__(self, *, start: float = 0.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self.now += seconds


class Send(NamedTuple):
    """Action: deliver a message to a named node."""

    dst: str
    msg: Any


class Service(Protocol):
    """Service whose lifecycle the kernel manages."""

    def start(self) -> None:
        """Start the service."""

    def stop(self) -> None:
        """Stop the service and release its resources."""


class Kernel:
    """Registry of services by name with ordered start and stop.

    Attributes:
        clock: Time source of every component.
        rng: Seeded random source of every component.
    """

    def __init__(self, *, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self._services: dict[str, Any] = {}
        self._started: list[str] = []
        self._listeners: dict[str, list[Callable[[Any], None]]] = {}

    def register(self, name: str, service: Any) -> None:
        """Register a service, unless the name is already registered."""
        self._services.setdefault(name, service)

    def get(self, name: str, kind: type[T]) -> T:
        """Return the service registered under a name.

        Raises:
            ServiceNotFoundError: Nothing is registered under the name.
        """
        if name not in self._services:
            raise exceptions.ServiceNotFoundError(name)
        return cast(T, self._services[name])

    def names(self) -> list[str]:
        """Return the names of all services in order of registration."""
        return list(self._services)

    def listen(self, topic: str, callback: Callable[[Any], None]) -> None:
        """Call `callback` with each event fired on a topic."""
        self._listeners.setdefault(topic, []).append(callback)

    def fire(self, topic: str, event: Any) -> None:
        """Pass an event to every listener of a topic."""
        for callback in self._listeners.get(topic, []):
            callback(event)

    def start(self) -> None:
        """Start the services with a lifecycle in order of registration."""
        for name, service in self._services.items():
            if not hasattr(service, "start"):
                continue
            service.start()
            self._started.append(name)

    def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            self._services[self._started.pop()].stop()
