"""Actions that the switch of expert maps asks of its driver."""

from typing import NamedTuple

from jasperweir.components.mapswitch import messages


class Direct(NamedTuple):
    """Action: give an order to an engine whose agent does not answer."""

    agent: str
    ask: messages.OrderAsk


class PhaseChanged(NamedTuple):
    """Action: record a step of a switch, with what decided it."""

    group: str
    phase: str
    version: int
    at_pass: int
    reason: str
