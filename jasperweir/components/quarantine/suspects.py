"""Which requests ran on a target that may have ended; sans-I/O.

A connection that breaks before an answer is whole tells of a target that has
ended, or of a network, or of an answer that was cut. Only the first says
anything about the requests that ran there, and a new connection tells it from
the others: where nothing listens any more it is refused.
"""

import dataclasses

from jasperweir.components.directory import records
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint as fingerprint_lib


@dataclasses.dataclass(kw_only=True, slots=True)
class Case:
    """Requests whose connections to one incarnation of a target broke.

    Attributes:
        target: The incarnation.
        suspects: Their fingerprints, each with the id of one try.
    """

    target: records.Target
    suspects: dict[fingerprint_lib.Fingerprint, str]


class Suspects:
    """Cases that wait for a check of their target."""

    def __init__(self) -> None:
        self._cases: dict[tuple[str, int], Case] = {}

    def on_broken(
        self,
        target: records.Target,
        fingerprint: fingerprint_lib.Fingerprint,
        request_id: str,
    ) -> bool:
        """Note a request whose connection broke.

        Returns:
            Whether the target is to be checked; one check serves all of them.
        """
        key = (target.target_id, target.born)
        case = self._cases.get(key)
        is_first = case is None
        if case is None:
            case = Case(target=target, suspects={})
            self._cases[key] = case
        if len(case.suspects) < const.SUSPECTS_MAX:
            case.suspects.setdefault(fingerprint, request_id)
        return is_first

    def on_checked(self, target: records.Target) -> Case | None:
        """Close the case of a target that has been checked."""
        return self._cases.pop((target.target_id, target.born), None)
