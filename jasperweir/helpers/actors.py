"""Actor that runs all decisions of a process on one thread."""

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
    """Periodic message that drives the timers of a node."""


class Call(NamedTuple):
    """Run a function on the actor's thread and return its result."""

    func: Callable[[], Any]


class Post(NamedTuple):
    """Run a function on the actor's thread without waiting for it."""

    func: Callable[[], Any]


class Node(Protocol):
    """Interface of the node that an actor drives."""

    def on_frame(self, received: link_lib.Received) -> None:
        """Handle one frame from another process."""

    def on_tick(self) -> None:
        """Run the timers that are due."""

    def on_error(self, exc: Exception) -> None:
        """Handle an error that a frame, a tick or a post raised."""


class NodeActor(pykka.ThreadingActor):
    """Run the frames, ticks and calls of one node one after another."""

    use_daemon_thread = True

    def __init__(self, *, node: Node) -> None:
        super().__init__()
        self._node = node

    def on_receive(self, message: Any) -> Any:
        """Dispatch one message; its errors never stop the actor."""
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
    """Start an actor for a node and send it periodic ticks.

    A tick is skipped while the previous one is still queued, so that ticks
    do not pile up at a busy node.
    """

    def __init__(self, *, tick_seconds: float) -> None:
        self._tick_seconds = tick_seconds
        self._ref: pykka.ActorRef[NodeActor] | None = None
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self, node: Node) -> None:
        """Start the actor and the thread that sends ticks."""
        self._ref = NodeActor.start(node=node)
        self._thread = threading.Thread(
            target=self._run, name="ticker", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the ticks and the actor."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(timeout=2)
        if self._ref is not None:
            self._ref.stop(block=True, timeout=2)

    def tell(self, message: Any) -> None:
        """Queue a message for the actor; a stopped actor drops it."""
        if self._ref is None:
            return
        try:
            self._ref.tell(message)
        except pykka.ActorDeadError:
            return

    def call(self, func: Callable[[], T], timeout: float = 10.0) -> T:
        """Run a function on the actor's thread and wait for its result.

        Args:
            func: Function to run.
            timeout: Longest wait, seconds.

        Raises:
            pykka.Timeout: The function did not return in time.
        """
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
