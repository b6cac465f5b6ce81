"""Micro-kernel: services that find each other by name, events, lifecycle."""

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
    """Source of time; decisions never read the system clock themselves."""

    def monotonic(self) -> float:
        """Return seconds that never go back, for timeouts and leases.

        They count suspensions of the VM as well.
        """

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for records only."""


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, suspensions of the VM included."""
        return clocks.elapsed()

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock that moves only when told to, for tests and golden sessions."""

    def __init__(self, *, start: float = 0.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now += seconds


class Send(NamedTuple):
    """Action: deliver a message to a named node."""

    dst: str
    msg: Any


class Service(Protocol):
    """Something with a lifecycle that the kernel starts and stops."""

    def start(self) -> None:
        """Begin work."""

    def stop(self) -> None:
        """End work and release resources."""


class Kernel:
    """Registry of services by name with ordered start and stop.

    Attributes:
        clock: Time source handed to every component.
        rng: Seeded random source handed to every component.
    """

    def __init__(self, *, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self._services: dict[str, Any] = {}
        self._started: list[str] = []
        self._listeners: dict[str, list[Callable[[Any], None]]] = {}

    def register(self, name: str, service: Any) -> None:
        """Register a service under its name; the first one wins."""
        self._services.setdefault(name, service)

    def get(self, name: str, kind: type[T]) -> T:
        """Return the service of that name.

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
        """Call back with each event that is fired on a topic."""
        self._listeners.setdefault(topic, []).append(callback)

    def fire(self, topic: str, event: Any) -> None:
        """Hand an event to every listener of a topic."""
        for callback in self._listeners.get(topic, []):
            callback(event)

    def start(self) -> None:
        """Start every service that has a lifecycle, in order."""
        for name, service in self._services.items():
            if not hasattr(service, "start"):
                continue
            service.start()
            self._started.append(name)

    def stop(self) -> None:
        """Stop started services, last one first."""
        while self._started:
            self._services[self._started.pop()].stop()
