"""Messages between our processes about requests under which targets end."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Mark(NamedTuple):
    """One target ended while it had one request.

    Attributes:
        outline: Hash of the request without its body.
        content: Digest of the request, body included.
        target_id: Id of the target.
        born: Start of the target, Unix milliseconds by its own clock; with the
            id this is its incarnation.
        void: Whether it counts no more: the target has answered since, the
            request was answered whole, or an operator has lifted it.
        age_s: Seconds since the end.
        ran_s: Seconds for which it had the request by then, less than none if
            that is not known.
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
    """Marks that the receiver may not have.

    Attributes:
        marks: The marks.
        whole: Whether these are all that the sender has.
    """

    marks: tuple[Mark, ...]
    whole: bool = False


@codec.message("quarantine.compare")
class Compare(NamedTuple):
    """Asks for all marks of a control VM whose digest differs."""

    digest: int
