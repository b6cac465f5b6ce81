"""What the parts of a request need of their daemon."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from jasperweir.components.entry import hop as hop_lib
from jasperweir.components.entry import node as node_lib


class Port(NamedTuple):
    """What a driver needs of its daemon.

    Attributes:
        call: Run a function on the entry's actor and wait.
        tell: Run a function on the entry's actor, without waiting.
        perform: Carry out sends; called on the actor.
        now: Monotonic seconds.
        tally: Add to a counter.
    """

    entry: node_lib.Entry
    hop: hop_lib.Hop
    call: Callable[[Callable[[], Any]], Any]
    tell: Callable[[Callable[[], Any]], None]
    perform: Callable[[list[Any]], None]
    now: Callable[[], float]
    tally: Callable[..., None]
