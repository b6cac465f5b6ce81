"""Actions that the switch of expert maps asks of its driver."""

from typing import NamedTuple

from jasperweir.components.mapswitch import messages


class SendDirectly(NamedTuple):
    """Action: give an order to an engine whose agent does not answer."""

    agent: str
    ask: messages.OrderRequest


class DemandJumped(NamedTuple):
    """Action: record that requests choose other experts all at once.

    Attributes:
        group: Name of the group.
        distance: Half the sum of the differences of shares, mean of sets.
        usual: Usual distance of that many choices.
        gap_s: Seconds since the jump before, 0 for the first.
    """

    group: str
    distance: float
    usual: float
    gap_s: float


class PlanAccepted(NamedTuple):
    """Action: record a plan that is carried out.

    Attributes:
        group: Name of the group.
        before: Peak of the placement in use, as a mean of the sets.
        after: The same of the plan.
        copies: Copies of the rank that makes the most.
        lasts_s: How long demand is expected to stay as it is, seconds.
        since_jump_s: Seconds since the last jump, 0 before the first.
    """

    group: str
    before: float
    after: float
    copies: int
    lasts_s: float
    since_jump_s: float


class SwitchCompleted(NamedTuple):
    """Action: record how long the parts of a switch took, seconds.

    Attributes:
        group: Name of the group.
        copying_s: From the order to prepare until all had copied.
        ordering_s: From the order to hold until all were armed.
        settling_s: From there until every rank was seen on the new map.
    """

    group: str
    copying_s: float
    ordering_s: float
    settling_s: float


class PhaseChanged(NamedTuple):
    """Action: record a step of a switch, with what decided it."""

    group: str
    phase: str
    version: int
    at_pass: int
    reason: str
