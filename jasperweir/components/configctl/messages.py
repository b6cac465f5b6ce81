"""Messages about configurations between control VMs and nodes."""

import enum
from typing import NamedTuple

from jasperweir.components.confirmation import lease_book
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


class EntryVersion(NamedTuple):
    """An entry and the version in force there, 0 if none is known."""

    name: str
    version: int


@codec.message("configctl.replace_answer")
class ReplaceReply(NamedTuple):
    """Confirms that this or a higher version is committed.

    Attributes:
        number: Number of the request.
        version: Newest committed version.
        content: Checksum of its compressed content, 0 if unknown.
        ordered: Checksum of the content that came into force under the
            version of the order, 0 if none did or none is remembered.
        is_remembered: Whether the leader remembers what came into force under
            that version.
        had: Number of entries that are known to have it or a higher one.
        lacked: Other entries, with the version that they reported last.
        expired: Entries that did not report it before their confirmations of
            an older version had expired.
        unheard: Control VMs that did not say whom they gave confirmations.
        waited_s: Time from the order until the reply, seconds.
    """

    number: int
    version: int
    content: int = 0
    ordered: int = 0
    is_remembered: bool = False
    had: int = 0
    lacked: tuple["EntryVersion", ...] = ()
    expired: tuple[str, ...] = ()
    unheard: tuple[str, ...] = ()
    waited_s: float = 0.0


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


@codec.message("configctl.release_ask")
class ReleaseRequest(NamedTuple):
    """Asks a control VM to confirm no version below one any more.

    Attributes:
        version: The version, which is committed.
    """

    version: int


@codec.message("configctl.release")
class Release(NamedTuple):
    """States that the sender confirms no version below one any more.

    Attributes:
        version: The version.
        holders: Processes that may hold a valid confirmation of the sender.
    """

    version: int
    holders: tuple[lease_book.Holder, ...]


@codec.message("configctl.held")
class VersionHeld(NamedTuple):
    """Tells a control VM at once which version is in force at an entry.

    Attributes:
        incarnation: Incarnation of the entry.
        version: Configuration version in force.
        content: Checksum of its compressed content, 0 if not stated.
        lent: Entries to which it has lately passed a confirmation on, maybe of
            an older version.
    """

    incarnation: int
    version: int
    content: int = 0
    lent: tuple[lease_book.Holder, ...] = ()


class OrderEffect(enum.IntEnum):
    """What became of the content of an order that was acknowledged."""

    # It came into force.
    IN_FORCE = 0
    # A higher version was in force before, so it never came into force.
    OVERTAKEN = 1
    # The log holds other content under its version.
    OTHER_CONTENT = 2
    # The leader does not remember.
    UNKNOWN = 3
    # It came into force, and the log does not have it any more.
    LOST = 4


@codec.message("configctl.order_record")
class OrderRecord(NamedTuple):
    """An order that a control VM has acknowledged to an operator.

    Attributes:
        version: Version of the order.
        content: Checksum of its compressed content.
        acknowledged_by: Control VM that acknowledged it.
        number: Number of its request there.
        effect: What became of the content.
        held: Newest committed version.
        had: Number of entries known to have it or a higher version then.
        lacked: Other entries, with the version that they reported last.
        expired: Entries that did not report it before their confirmations of
            an older version had expired.
        unheard: Control VMs that did not say whom they gave confirmations.
        waited_s: Time from the order until the leader's reply, seconds.
    """

    version: int
    content: int
    acknowledged_by: str
    number: int
    effect: OrderEffect
    held: int
    had: int
    lacked: tuple[EntryVersion, ...]
    expired: tuple[str, ...]
    unheard: tuple[str, ...]
    waited_s: float


class SoftState(NamedTuple):
    """State that a control VM stores for its next start, but may lose.

    Attributes:
        targets: Records of the targets.
        orders: Orders that were acknowledged last, oldest first.
    """

    targets: records.TargetList
    orders: tuple[OrderRecord, ...]


@codec.message("configctl.order_records_ask")
class OrderRecordsRequest(NamedTuple):
    """Asks a control VM for the orders that were acknowledged last."""


@codec.message("configctl.recent_orders")
class RecentOrders(NamedTuple):
    """The orders that were acknowledged last, oldest first."""

    orders: tuple[OrderRecord, ...]


# Stands for an age that has no known upper bound.
AGE_UNBOUNDED = -1.0


class VersionAge(NamedTuple):
    """How long ago a version was committed.

    Attributes:
        version: The version.
        committed_s: Time since the sender learned of its commit, seconds.
        uncertain_s: Time by which the commit may have been earlier, seconds;
            AGE_UNBOUNDED if the sender doesn't know, since it has started or
            has not heard the leader before.
    """

    version: int
    committed_s: float
    uncertain_s: float = 0.0


@codec.message("configctl.ages")
class VersionAges(NamedTuple):
    """Ages of recent versions above the one that a node holds.

    It is sent before the content that the node requested.
    """

    ages: tuple[VersionAge, ...]


class Finding(enum.IntEnum):
    """What is wrong with a request that was sent to a target."""

    # An older version let it through past the bound.
    OUTDATED = 0
    # It was decided by an older version than the one that counts as held.
    OTHER_VERSION = 1
    # The configuration that decided on it does not allow it.
    NOT_ALLOWED = 2


class OutdatedRequest(NamedTuple):
    """A request that the version in force does not allow.

    Attributes:
        request_id: Id that the caller chose.
        version: Version by which it was sent.
        superseded_by: First newer version.
        late_s: Time from the latest possible commit of ``superseded_by`` until
            the request was sent, seconds.
        uncertain_s: Time by which the commit may have been earlier, seconds.
        route: Name of the route.
        path: Path of the request.
        key: Label of the caller's key, empty without a key.
        customer: Customer that it ran for, or empty.
        service: Service that it was sent to.
        standing: Standing of the version when the request was matched.
        confirmed_by: Who had last confirmed the version then.
        confirmed_ms: Age of that confirmation, milliseconds; -1 if there was
            none.
        finding: What is wrong with it.
    """

    request_id: str
    version: int
    superseded_by: int
    late_s: float
    uncertain_s: float
    route: str
    path: str
    key: str
    customer: str
    service: str
    standing: str
    confirmed_by: str
    confirmed_ms: int
    finding: Finding = Finding.OUTDATED


@codec.message("configctl.outdated_requests")
class OutdatedRequests(NamedTuple):
    """Reports requests that a version in force does not allow any more.

    Attributes:
        entry: Name of the entry that let them through.
        version: Version that has come into force there.
        requests: The first of them.
        total: Number of all of them.
        undated: Number of requests that the version does not allow and an
            older one let through, when its successor can't be dated.
    """

    entry: str
    version: int
    requests: tuple[OutdatedRequest, ...]
    total: int
    undated: int = 0
