"""Settings of the daemons that run under an operator's platform."""

from typing import NamedTuple


class Bounds(NamedTuple):
    """Times and shares that the deployment promises.

    Attributes:
        grace_s: Time between the signal to stop and the forced end, seconds.
        retry_ratio: Second sends allowed per first request.
        retry_window_s: Window of the retry budget, seconds.
        retry_burst: Second sends allowed besides.
        stall_s: Time for which work stalls that needs a dead peer, seconds.
        answer_kept_s: Longest time that callers keep an address answer.
    """

    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_burst: float
    stall_s: float
    answer_kept_s: float


class NodeSettings(NamedTuple):
    """What one process is told at its start.

    Attributes:
        machine: Name of its VM, for logs.
        place: Data centre.
        address: IP address of its VM.
        internal: ``ip:port`` for our own processes; also the node's name.
        seeds: Internal addresses of some control VMs.
        bootstrap: Whether the whole system starts for the first time.
        data_folder: Folder on the VM's disk, empty without one.
        callers: ``ip:port`` for callers, empty if it serves none.
        ready: ``ip:port`` for the platform's readiness checks, or empty.
        lookup: ``ip:port`` for callers that ask for addresses, or empty.
        control: ``ip:port`` for targets and operators, or empty.
        metrics: ``ip:port`` of the metrics page.
        engine: ``ip:port`` of the target on the same VM, or empty.
        service: Service of that target, or empty.
        lost_at_once: Control VMs that may be lost without any harm.
        bounds: The deployment's bounds.
    """

    machine: str
    place: str
    address: str
    internal: str
    seeds: tuple[str, ...]
    bootstrap: bool
    data_folder: str
    callers: str
    ready: str
    lookup: str
    control: str
    metrics: str
    engine: str
    service: str
    lost_at_once: int
    bounds: Bounds

    @property
    def wanted_seats(self) -> int:
        """Voting members that survive the loss of ``lost_at_once``."""
        return 2 * self.lost_at_once + 1
