"""What has arrived of a target's response, for logs and metrics."""

import dataclasses
import enum

from jasperweir.helpers import http_message


class End(enum.Enum):
    """What ended a response."""

    # The target's framing was complete.
    FRAMING = "framing"
    # The target closed a connection whose close ends the body.
    CLOSE = "close"
    # The connection was reset or closed before the framing was complete.
    BROKEN = "broken"
    # The entry stopped reading: fault, timeout or disconnect of the caller.
    OWN = "own"


@dataclasses.dataclass(kw_only=True, slots=True)
class ResponseProgress:
    """What has arrived of the response to one attempt.

    Attributes:
        framing: Framing of the body, None before the head.
        body_bytes: Bytes of the body.
        events: Complete events of a stream.
        pending_bytes: Bytes of a stream after its last complete event.
        end: What ended the response.
        reason: Why the connection broke, empty if it didn't.
    """

    framing: http_message.Framing | None = None
    body_bytes: int = 0
    events: int = 0
    pending_bytes: int = 0
    end: End = End.OWN
    reason: str = ""

    def on_end(self) -> None:
        """Record the regular end of the response."""
        is_close = self.framing is http_message.Framing.CLOSE
        self.end = End.CLOSE if is_close else End.FRAMING

    def on_broken(self, reason: str) -> None:
        """Record that the connection broke."""
        self.end = End.BROKEN
        self.reason = reason

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "framing": self.framing.value if self.framing else "",
            "end": self.end.value,
            "body_bytes": self.body_bytes,
            "events": self.events,
            "pending_bytes": self.pending_bytes,
        }
