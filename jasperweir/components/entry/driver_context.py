"""Interface of a request driver to its daemon."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.entry import node as node_lib


class DriverContext(NamedTuple):
    """Objects and functions that the daemon provides to request drivers.

    Attributes:
        entry: Core of the entry, to be used on its actor.
        agent_client: HTTP client for agents.
        call: Runs a function on the entry's actor and waits for it.
        tell: Runs a function on the entry's actor without waiting.
        perform: Performs actions; called on the actor.
        now: Returns monotonic seconds.
        increment: Adds to a counter of the metrics.
    """

    entry: node_lib.Entry
    agent_client: agent_client_lib.AgentClient
    call: Callable[[Callable[[], Any]], Any]
    tell: Callable[[Callable[[], Any]], None]
    perform: Callable[[list[Any]], None]
    now: Callable[[], float]
    increment: Callable[..., None]
