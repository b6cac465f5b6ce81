"""Messages by which processes exchange quarantine marks."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Mark(NamedTuple):
    """A target crashed while it ran a request.

    Attributes:
        outline: Hash of the request without its body.
        content: Digest of the request with its body.
        target_id: Id of the target.
        born: Start time of the target, Unix milliseconds by its own clock; with
            the id it names the incarnation.
        void: Whether the mark doesn't count any more: the target has answered
            since, the request was answered completely, or an operator has
            lifted its quarantine.
        age_s: Time since the crash, seconds.
        ran_s: Time from the start of the request to the crash, seconds;
            negative if unknown.
    """

    outline: int
    content: bytes
    target_id: str
    born: int
    void: bool
    age_s: float
    ran_s: float = -1.0


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
