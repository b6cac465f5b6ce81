"""Messages by which processes exchange quarantine marks."""

import enum
from typing import NamedTuple

from jasperweir.helpers import codec


class MarkKind(enum.IntEnum):
    """What a mark says of a request or of a part of prompts."""

    # A target crashed while it ran the request.
    CRASH = 0
    # A request with the part was answered before targets crashed.
    ANSWERED = 1
    # A request was sent to learn whether it still crashes targets.
    TRIAL = 2


class Mark(NamedTuple):
    """An observation of a request, or of the requests with a part.

    Attributes:
        outline: Hash of the request without its body, or of what the part
            belongs to.
        content: Digest of the request with its body, or of the part.
        target_id: Id of the target; of a trial its own id.
        born: Start time of the target, Unix milliseconds by its own clock; with
            the id it names the incarnation.
        void: Whether the mark doesn't count any more: the target has answered
            since, the request was answered completely, or an operator has
            lifted its quarantine.
        age_s: Time since the crash, the answer or the start of the trial,
            seconds.
        ran_s: Time from the start of the request to the crash, seconds;
            negative if unknown.
        is_part: Whether it is about a part of prompts.
        kind: What it says, a MarkKind.
        build: Service and version of the target, empty if unknown.
    """

    outline: int
    content: bytes
    target_id: str
    born: int
    void: bool
    age_s: float
    ran_s: float = -1.0
    is_part: bool = False
    kind: int = MarkKind.CRASH
    build: str = ""


@codec.message("quarantine.marks")
class Marks(NamedTuple):
    """Marks that the receiver may lack.

    Attributes:
        marks: The marks.
        whole: Whether these are all marks of the sender.
    """

    marks: tuple[Mark, ...]
    whole: bool = False


@codec.message("quarantine.compare")
class Compare(NamedTuple):
    """Requests all marks of a process whose digest differs.

    Attributes:
        digest: Digest of the sender's marks.
    """

    digest: int
