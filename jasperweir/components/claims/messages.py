"""Messages and records of claims."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Record(NamedTuple):
    """One claimed key.

    Attributes:
        key: Customer and idempotency key.
        digest: Digest of the request, to tell another body under this key.
        rid: Request id of the run that holds the claim.
        target: Agent that the run is bound to.
        target_inc: Incarnation of that agent.
        http: HTTP address of that agent.
        version: Raised by every change, for compare-and-set.
        state: Claimed or finished.
        code: Result code of the finished run.
        answer: Recorded answer, empty if it stays with the agent.
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
class Ask(NamedTuple):
    """Claim a key, or change its record if ``expect`` is its version."""

    epoch: int
    ask_id: str
    record: Record
    expect: int


@codec.message("claim.reply")
class Reply(NamedTuple):
    """Answer of the range's primary owner."""

    epoch: int
    ask_id: str
    verdict: str
    record: Record | None


@codec.message("claim.replicate")
class Replicate(NamedTuple):
    """The primary hands a record to the other owners."""

    epoch: int
    record: Record


@codec.message("claim.replicated")
class Replicated(NamedTuple):
    """A repaired owner holds the record."""

    epoch: int
    key: str
    version: int


@codec.message("claim.sync_ask")
class SyncAsk(NamedTuple):
    """A new owner asks an owner of the view before for its records."""

    epoch: int
    partitions: tuple[int, ...]


@codec.message("claim.sync_reply")
class SyncReply(NamedTuple):
    """Records of some partitions.

    Attributes:
        ready: Partitions for which the sender was repaired in the view
            before, so that its records count.
        unready: Partitions for which they do not count.
        last: Whether this is the last frame of the answer.
    """

    epoch: int
    ready: tuple[int, ...]
    unready: tuple[int, ...]
    records: tuple[Record, ...]
    last: bool
