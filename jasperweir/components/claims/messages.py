"""Messages and records of claims."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Record(NamedTuple):
    """One claimed key.

    Attributes:
        key: Customer and idempotency key.
        digest: Digest of the request; it differs for another body.
        rid: Request id of the run that holds the claim.
        target: Agent that executes the run.
        target_inc: Incarnation of that agent.
        http: HTTP address of that agent.
        version: Incremented by every change, for compare-and-set.
        state: Claimed or finished.
        code: Result code of the finished run.
        answer: Recorded answer, empty if only the agent keeps it.
        content_type: Content type of the recorded answer.
        remaining: Seconds until the record may be forgotten.
    """

    key: str
    digest: int
    rid: str
    target: str
    target_inc: int
    http: str
    version: int = 0
    state: str = "claimed"
    code: int = 0
    answer: bytes = b""
    content_type: str = ""
    remaining: float = 0.0


@codec.message("claim.ask")
class ClaimRequest(NamedTuple):
    """Request to claim a key, or to change its record at version ``expect``."""

    epoch: int
    ask_id: str
    record: Record
    expect: int


@codec.message("claim.reply")
class ClaimReply(NamedTuple):
    """Answer of the partition's primary owner."""

    epoch: int
    ask_id: str
    verdict: str
    record: Record | None


@codec.message("claim.replicate")
class Replicate(NamedTuple):
    """Request of the primary that another owner store a record."""

    epoch: int
    record: Record


@codec.message("claim.replicated")
class Replicated(NamedTuple):
    """Acknowledgement that a repaired owner stores the record."""

    epoch: int
    key: str
    version: int


@codec.message("claim.sync_ask")
class SyncRequest(NamedTuple):
    """Request of a new owner for the records of a previous owner."""

    epoch: int
    partitions: tuple[int, ...]


@codec.message("claim.sync_reply")
class SyncReply(NamedTuple):
    """Records of some partitions.

    Attributes:
        ready: Partitions for which the sender was repaired in the previous
            view, so that its records are authoritative.
        unready: Partitions for which its records may be incomplete.
        last: Whether this is the last frame of the answer.
    """

    epoch: int
    ready: tuple[int, ...]
    unready: tuple[int, ...]
    records: tuple[Record, ...]
    last: bool
