"""Settings of the daemons that an operator's platform deploys."""

from typing import NamedTuple


class Bounds(NamedTuple):
    """Time limits and retry budget of the deployment.

    Attributes:
        grace_s: Seconds between the stop signal and the forced termination.
        retry_ratio: Retries allowed per request.
        retry_window_s: Length of the retry budget's window, seconds.
        retry_burst: Retries allowed in addition to the ratio.
        stall_s: Longest time for which operations that need a failed peer
            stall, seconds.
        answer_kept_s: Longest time for which callers cache an address lookup,
            seconds.
        cold_overage: Factor on the rate of a cold target that is allowed in one
            second.
        cold_tolerance: Requests beyond it that are allowed in one second.
    """

    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_burst: float
    stall_s: float
    answer_kept_s: float
    cold_overage: float = 1.5
    cold_tolerance: float = 5.0


class VmLimits(NamedTuple):
    """What a VM has for its processes.

    Attributes:
        memory_mb: Memory of all its processes, megabytes; 0 if unknown.
        descriptors: Descriptors that a process may open, 0 if unknown.
    """

    memory_mb: float = 0.0
    descriptors: int = 0


class NodeSettings(NamedTuple):
    """Settings of one process, read at its start.

    Attributes:
        machine: Name of the VM, for logs and metrics.
        place: Data centre of the VM.
        address: IP address of the VM.
        internal: ``ip:port`` for other Jasperweir processes; also the node's
            name.
        seeds: Internal addresses of control VMs to connect to first.
        bootstrap: Whether this is the first start of the whole system.
        data_folder: Data folder on the VM's disk, empty if there is none.
        callers: ``ip:port`` for callers' requests, or empty.
        ready: ``ip:port`` for the platform's readiness checks, or empty.
        lookup: ``ip:port`` for callers' address lookups, or empty.
        control: ``ip:port`` for calls of targets and operators, or empty.
        metrics: ``ip:port`` of the metrics page.
        engine: ``ip:port`` of the target on the same VM, or empty.
        service: Name of the service of that target, or empty.
        lost_at_once: Number of control VMs that may fail together without
            loss of service.
        bounds: Time limits and retry budget.
        data_centres: All data centres of the deployment, empty if unknown.
        limits: What the VM has for its processes.
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
    data_centres: tuple[str, ...] = ()
    limits: VmLimits = VmLimits()

    @property
    def wanted_seats(self) -> int:
        """Number of voters that keep a quorum if ``lost_at_once`` fail."""
        return 2 * self.lost_at_once + 1
