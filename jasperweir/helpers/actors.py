"""One actor per node: all decisions of a process run on one thread."""

from collections.abc import Callable
import threading
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar
from typing import cast

import pykka

from jasperweir.helpers import link as link_lib

T = TypeVar("T")


class Tick(NamedTuple):
    """Time has passed."""


class Call(NamedTuple):
    """Run a function on the actor's thread and return its result."""

    func: Callable[[], Any]


class Post(NamedTuple):
    """Run a function on the actor's thread; nobody waits for it."""

    func: Callable[[], Any]


class Node(Protocol):
    """What the actor drives."""

    def on_frame(self, received: link_lib.Received) -> None:
        """Handle one frame from another process."""

    def on_tick(self) -> None:
        """Let time pass."""

    def on_error(self, exc: Exception) -> None:
        """Handle an error that a frame or tick raised."""


class NodeActor(pykka.ThreadingActor):
    """Serialise frames, ticks and calls of one node."""

    use_daemon_thread = True

    def __init__(self, *, node: Node) -> None:
        super().__init__()
        self._node = node

    def on_receive(self, message: Any) -> Any:
        """Dispatch one message; errors never end the actor."""
        match message:
            case link_lib.Received():
                self._guard(lambda: self._node.on_frame(message))
            case Tick():
                self._guard(self._node.on_tick)
            case Post():
                self._guard(message.func)
            case Call():
                return message.func()
        return None

    def _guard(self, func: Callable[[], None]) -> None:
        try:
            func()
        except Exception as exc:  # noqa: BLE001
            self._node.on_error(exc)


class Runner:
    """Start an actor for a node and tick it.

    Ticks that find the previous one still queued are skipped, so a busy
    node is never flooded by its own clock.
    """

    def __init__(self, *, tick_seconds: float) -> None:
        self._tick_seconds = tick_seconds
        self._ref: pykka.ActorRef[NodeActor] | None = None
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self, node: Node) -> None:
        """Start the actor and its clock."""
        self._ref = NodeActor.start(node=node)
        self._thread = threading.Thread(
            target=self._run, name="ticker", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop clock and actor."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(timeout=2)
        if self._ref is not None:
            self._ref.stop(block=True, timeout=2)

    def tell(self, message: Any) -> None:
        """Queue a message for the actor; dropped once it has stopped."""
        if self._ref is None:
            return
        try:
            self._ref.tell(message)
        except pykka.ActorDeadError:
            return

    def call(self, func: Callable[[], T], timeout: float = 10.0) -> T:
        """Run a function on the actor's thread and wait for its result."""
        assert self._ref is not None
        return cast(T, self._ref.ask(Call(func=func), timeout=timeout))

    def _run(self) -> None:
        pending: Any = None
        while not self._stopping.wait(self._tick_seconds):
            if pending is not None:
                try:
                    pending.get(timeout=0)
                except pykka.Timeout:
                    continue
                except pykka.ActorDeadError:
                    return
            try:
                assert self._ref is not None
                pending = self._ref.ask(Tick(), block=False)
            except pykka.ActorDeadError:
                return
