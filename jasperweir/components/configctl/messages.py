"""Messages about configurations between control VMs and nodes."""

from typing import NamedTuple

from jasperweir.components.directory import records
from jasperweir.helpers import codec


@codec.message("configctl.replace_ask")
class ReplaceRequest(NamedTuple):
    """Forwards an operator's configuration to the leader.

    Attributes:
        number: Request number, echoed by the reply.
        version: Version of the configuration.
        data: Compressed configuration.
    """

    number: int
    version: int
    data: bytes


@codec.message("configctl.replace_answer")
class ReplaceReply(NamedTuple):
    """Confirms that this or a higher version is committed."""

    number: int
    version: int


@codec.message("configctl.read_ask")
class ReadRequest(NamedTuple):
    """Requests the newest committed configuration from the leader.

    Attributes:
        number: Request number, echoed by the reply.
        held: Newest version that the sender holds.
    """

    number: int
    held: int


@codec.message("configctl.read_answer")
class ReadReply(NamedTuple):
    """Newest committed version.

    Attributes:
        number: Number of the request.
        version: Newest committed version.
        data: Compressed configuration, empty if the requester holds it.
    """

    number: int
    version: int
    data: bytes


@codec.message("configctl.evacuate_ask")
class EvacuateRequest(NamedTuple):
    """Forwards an operator's evacuation order to the leader.

    Attributes:
        number: Request number, echoed by the reply.
        place: Data centre.
        evacuated: Wanted state.
        expected: Number of orders of the data centre that the sender knows.
    """

    number: int
    place: str
    evacuated: bool
    expected: int


@codec.message("configctl.evacuate_answer")
class EvacuateReply(NamedTuple):
    """Result of an evacuation order that is committed.

    Attributes:
        number: Number of the request.
        code: Result code; STALE_PARENT if ``expected`` was outdated.
        orders: Number of accepted orders of the data centre.
    """

    number: int
    code: int
    orders: int


@codec.message("configctl.depart_ask")
class DepartRequest(NamedTuple):
    """Asks the leader to record a target that is leaving or gone.

    Attributes:
        number: Request number, echoed by the reply.
        target: Record of the target.
    """

    number: int
    target: records.Target


@codec.message("configctl.depart_answer")
class DepartReply(NamedTuple):
    """Confirms that the record is committed."""

    number: int


@codec.message("configctl.evacuations")
class EvacuationNotice(NamedTuple):
    """Notifies an entry of the evacuated data centres.

    Attributes:
        revision: Revision of the list; receivers keep the highest.
        places: Evacuated data centres.
    """

    revision: int
    places: tuple[str, ...]


@codec.message("configctl.found")
class BootstrapRequest(NamedTuple):
    """Tells the receiver, which has a disk, to bootstrap the log."""


@codec.message("configctl.version")
class VersionNotice(NamedTuple):
    """Notifies a node that a version has been committed."""

    version: int


@codec.message("configctl.pull")
class ContentRequest(NamedTuple):
    """Requests the newest configuration if it is newer than ``held``."""

    held: int


@codec.message("configctl.content")
class Content(NamedTuple):
    """A committed configuration, compressed."""

    version: int
    data: bytes
