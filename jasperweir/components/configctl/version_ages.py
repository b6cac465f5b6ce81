"""When the recent versions were committed, as a control VM knows; sans-I/O."""

import collections
import math
from typing import NamedTuple

from jasperweir.components.configctl import messages

# Versions whose commits are remembered.
MAX_VERSIONS = 64


class CommitSpan(NamedTuple):
    """Span in which a version was committed, monotonic seconds.

    Attributes:
        earliest: Minus infinity if unknown.
        latest: When this control VM learned of the commit.
    """

    earliest: float
    latest: float


class VersionAges:
    """Spans in which versions were committed."""

    def __init__(self) -> None:
        self._spans: collections.OrderedDict[int, CommitSpan] = (
            collections.OrderedDict()
        )

    def on_committed(
        self, version: int, *, earliest: float, now: float
    ) -> None:
        """Record that a version above all earlier ones is committed.

        Args:
            version: The version.
            earliest: Before which it was not committed, monotonic seconds.
            now: Monotonic seconds.
        """
        self._spans[version] = CommitSpan(min(earliest, now), now)
        if len(self._spans) > MAX_VERSIONS:
            self._spans.popitem(last=False)

    def find_successor(self, version: int) -> tuple[int, CommitSpan] | None:
        """Return the first version above one and its span, if known."""
        return next(
            ((v, span) for v, span in self._spans.items() if v > version), None
        )

    def list_above(self, held: int, now: float) -> messages.VersionAges:
        """Return the ages of the recent versions above one.

        Args:
            held: Version that a node holds.
            now: Monotonic seconds.
        """
        return messages.VersionAges(
            ages=tuple(
                messages.VersionAge(
                    version, now - span.latest, _find_uncertainty(span)
                )
                for version, span in self._spans.items()
                if version > held
            )
        )


def _find_uncertainty(span: CommitSpan) -> float:
    if not math.isfinite(span.earliest):
        return messages.AGE_UNBOUNDED
    return span.latest - span.earliest
