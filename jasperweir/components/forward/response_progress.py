"""What has arrived of a target's response and what ended it."""

import dataclasses
import enum

from jasperweir.components.quarantine import const as quarantine_const
from jasperweir.helpers import http_message


class End(enum.Enum):
    """What ended an attempt and its response."""

    # No target was chosen.
    NONE = "none"
    # The request was not written to the chosen target.
    UNSENT = "unsent"
    # The target's framing was complete.
    FRAMING = "framing"
    # The target closed a connection whose close ends the body.
    CLOSE = "close"
    # The connection was reset or closed before the framing was complete, or
    # the response could not be parsed.
    BROKEN = "broken"
    # The head, e.g. its status, or the first events of a resumed run showed a
    # fault; the rest was not read.
    FAULT = "fault"
    # The deadline of the request passed.
    TIMEOUT = "timeout"
    # The caller disconnected.
    CALLER = "caller"
    # The stream moved away from a slow target.
    MOVED = "moved"
    # The request was cancelled because it is held.
    HELD = "held"
    # The entry stopped reading for another reason.
    OWN = "own"


class Cut(enum.Enum):
    """Why a response is incomplete.

    The values are reasons that log lines give. The names, in lower case, are
    labels of metrics.
    """

    INSIDE_EVENT = "ended inside an event"
    BEFORE_BEGUN_EVENT = "ended before an event that had begun"
    BEFORE_FIRST_EVENT = "closed before the first event"
    REPEATS_EVENTS = "repeats events"
    # Closed in order, before the framing was complete.
    CLOSED = "closed"
    CLOSED_BEFORE_HEAD = "closed before the head"
    RESET = "reset"
    # The target acknowledges nothing or can't be reached.
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed response"
    OTHER_REQUEST = "a response to another request"
    # The target cut off a response that its caller didn't read.
    UNREAD = "not read"
    OTHER = "other"


# Reason of an attempt that ended while reading paused for the caller.
CALLER_SLOW = "the caller doesn't read"
_RESET_TEXTS = ("Connection reset", "Broken pipe")


def classify_broken(reason: str, *, has_head: bool) -> Cut:
    """Return why a response whose connection broke is incomplete.

    Args:
        reason: Reason of the connection.
        has_head: Whether the head of the response has arrived.
    """
    for cut in (Cut.MALFORMED, Cut.OTHER_REQUEST):
        if reason.startswith(cut.value):
            return cut
    if reason == "closed":
        return Cut.CLOSED if has_head else Cut.CLOSED_BEFORE_HEAD
    if not reason.startswith("closed: "):
        return Cut.OTHER
    is_reset = any(text in reason for text in _RESET_TEXTS)
    return Cut.RESET if is_reset else Cut.UNREACHABLE


@dataclasses.dataclass(kw_only=True, slots=True)
class ResponseProgress:
    """What has arrived of the response to one attempt.

    Attributes:
        framing: Framing of the body, None before the head.
        body_bytes: Bytes of the body.
        events: Complete events of a stream.
        pending_bytes: Bytes of a stream after its last complete event.
        began_at: When the first of them arrived, monotonic seconds; 0 before.
        is_settled: Whether the response is known to go on after that.
        end: What ended the attempt; OWN while it runs.
        reason: Details of the end, empty if there are none.
        cut: Why the response is incomplete though the entry didn't stop reading
            it, None otherwise.
        is_counted: Whether the metrics include the attempt.
    """

    framing: http_message.Framing | None = None
    body_bytes: int = 0
    events: int = 0
    pending_bytes: int = 0
    began_at: float = 0.0
    is_settled: bool = False
    end: End = End.NONE
    reason: str = ""
    cut: Cut | None = None
    is_counted: bool = False

    def on_sent(self) -> None:
        """Record that the request is written to the target."""
        self.end = End.OWN

    def on_data(self, now: float) -> bool:
        """Record that a part of the body arrived.

        Returns:
            Whether this shows, for the first time, that the response goes on.
        """
        if not self.began_at:
            self.began_at = now
        if self.is_settled or not self.is_settled_at(now):
            return False
        self.is_settled = True
        return True

    def is_settled_at(self, now: float) -> bool:
        """Return whether the response has gone on for some time."""
        if not self.began_at:
            return False
        return now - self.began_at >= quarantine_const.SETTLED_SECONDS

    def on_end(self) -> None:
        """Record the end of the framing."""
        is_close = self.framing is http_message.Framing.CLOSE
        self.end = End.CLOSE if is_close else End.FRAMING

    def on_cut(self, cut: Cut) -> None:
        """Record that the response is incomplete.

        Args:
            cut: Why; its value is the reason unless the connection gave one.
        """
        self.cut = cut
        self.reason = self.reason or cut.value

    def on_broken(self, reason: str) -> None:
        """Record that the connection broke."""
        self.end = End.BROKEN
        self.reason = reason
        self.cut = classify_broken(reason, has_head=self.framing is not None)

    def on_timeout(self, idle_s: float, *, is_caller_slow: bool) -> None:
        """Record that the deadline of the request has passed.

        Args:
            idle_s: Time since the last event, or else since the request was
                sent, seconds.
            is_caller_slow: Whether reading pauses for the caller.
        """
        if self.end is End.UNSENT:
            reason = "deadline passed while connecting"
        elif is_caller_slow:
            reason = CALLER_SLOW
        elif self.framing is None:
            reason = f"no response for {idle_s:.1f} s"
        elif self.events:
            reason = f"no event for {idle_s:.1f} s"
        else:
            reason = f"incomplete after {idle_s:.1f} s"
        self.stop(End.TIMEOUT, reason)

    def stop(self, end: End, reason: str = "") -> None:
        """Record why the entry reads no further, unless it has already ended.

        An attempt that was not sent remains so.
        """
        if self.end is End.OWN:
            self.end = end
            self.reason = reason
        elif self.end is End.UNSENT:
            self.reason = self.reason or reason

    @property
    def framing_label(self) -> str:
        """Name of the framing, ``no_head`` before the head."""
        return self.framing.value if self.framing else "no_head"

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "framing": self.framing_label,
            "end": self.end.value,
            "cut": self.cut.name.lower() if self.cut else "",
            "reason": self.reason,
            "body_bytes": self.body_bytes,
            "events": self.events,
            "pending_bytes": self.pending_bytes,
        }
