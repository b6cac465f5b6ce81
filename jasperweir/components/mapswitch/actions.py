"""Actions that the switch of expert maps returns to its daemon."""

from typing import NamedTuple

from jasperweir.components.mapswitch import messages


class SendDirectly(NamedTuple):
    """Action: send an order straight to an engine whose agent is silent."""

    agent: str
    request: messages.OrderRequest


class DemandJumped(NamedTuple):
    """Action: log that requests abruptly select other experts.

    Attributes:
        group: Name of the group.
        distance: Half the sum of the differences of shares, mean of sets.
        usual: Usual distance between recent and older counts.
        gap_s: Seconds since the previous jump, 0 for the first.
    """

    group: str
    distance: float
    usual: float
    gap_s: float


class PlanAccepted(NamedTuple):
    """Action: log a plan that is carried out.

    Attributes:
        group: Name of the group.
        before: Peak load of the current placement, mean of sets.
        after: Peak load of the planned placement, mean of sets.
        copies: Highest number of experts that one rank copies.
        lasts_s: Time for which demand is expected to last, seconds.
        since_jump_s: Seconds since the last jump, 0 before the first.
    """

    group: str
    before: float
    after: float
    copies: int
    lasts_s: float
    since_jump_s: float


class SwitchCompleted(NamedTuple):
    """Action: log how long the parts of a switch took, seconds.

    Attributes:
        group: Name of the group.
        copying_s: From the prepare order until all ranks have copied.
        ordering_s: From the hold order until all ranks are armed.
        settling_s: From then until every rank runs on the new map.
    """

    group: str
    copying_s: float
    ordering_s: float
    settling_s: float


class PhaseChanged(NamedTuple):
    """Action: log that a switch enters another phase, and the reason."""

    group: str
    phase: str
    version: int
    at_pass: int
    reason: str
