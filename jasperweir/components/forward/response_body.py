"""Body of a target's response: what is passed on, and whether it is complete.

The end of a body's framing, or of a connection without framing, is not always
the end of the target's response. An event stream shows it: it ends after a
complete event. A body of any other kind has no such mark.
"""

from jasperweir.components.forward import const
from jasperweir.components.forward import response_progress
from jasperweir.helpers import event_stream
from jasperweir.helpers import http_message


class ResponseBody:
    """Body of the response to one attempt; sans-I/O.

    Attributes:
        is_event_stream: Whether the body consists of events. They are passed on
            as they become complete, any other body once it is complete or
            larger than MAX_BUFFERED_BYTES.
    """

    def __init__(
        self,
        *,
        progress: response_progress.ResponseProgress,
        is_event_stream: bool,
        last_event_id: str,
        expects_event: bool,
        continues_after: str = "",
    ) -> None:
        """Create the body of a response whose head has arrived.

        Args:
            progress: Record of the response, kept up to date.
            is_event_stream: Whether the body consists of events.
            last_event_id: Id of the event after which the stream resumes, or
                empty.
            expects_event: Whether an earlier attempt began an event after that
                one.
            continues_after: Id of the last event of an earlier attempt that
                the caller has, empty without one.
        """
        self.is_event_stream = is_event_stream
        self._progress = progress
        self._expects_event = expects_event
        self._continues_after = continues_after
        self._splitter = event_stream.EventSplitter(last_id=last_event_id)
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._is_passing_on = False

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was passed on."""
        return self._splitter.last_id

    @property
    def has_resume_point(self) -> bool:
        """Whether the response can be resumed after ``last_event_id``."""
        if self.is_event_stream:
            return self._splitter.has_resume_point
        return not self._is_passing_on

    @property
    def has_open_event(self) -> bool:
        """Whether more than the events so far belongs to the stream."""
        return self._splitter.has_begun_event or (
            self._expects_event and not self._splitter.count
        )

    @property
    def repeats_events(self) -> bool:
        """Whether the stream begins with an event that the caller has.

        Ids that are no numbers can't be compared.
        """
        first_id = self._splitter.first_id
        if not self._continues_after.isdecimal() or first_id is None:
            return False
        return first_id.isdecimal() and int(first_id) <= int(
            self._continues_after
        )

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those to pass on now."""
        self._progress.body_bytes += len(data)
        if self.is_event_stream:
            events = self._splitter.feed(data)
            self._progress.events = self._splitter.count
            self._progress.pending_bytes = self._splitter.pending_bytes
            return events
        if self._is_passing_on:
            return data
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes <= const.MAX_BUFFERED_BYTES:
            return b""
        self._is_passing_on = True
        return self._take_buffered()

    def find_cut(self) -> response_progress.Cut | None:
        """Return why the response is incomplete after the end of its framing.

        Returns:
            None if the response is complete as far as can be told.
        """
        if not self.is_event_stream:
            return None
        if self._splitter.is_inside_event:
            return response_progress.Cut.INSIDE_EVENT
        if self._splitter.count:
            return None
        if self._expects_event:
            return response_progress.Cut.BEFORE_BEGUN_EVENT
        if self._progress.framing is http_message.Framing.CLOSE:
            return response_progress.Cut.BEFORE_FIRST_EVENT
        return None

    def take_rest(self) -> bytes:
        """Return the bytes of a complete response not yet passed on."""
        if self.is_event_stream:
            return self._splitter.flush()
        return self._take_buffered()

    def _take_buffered(self) -> bytes:
        taken, self._buffered = b"".join(self._buffered), []
        return taken


def is_event_stream(headers: http_message.Headers) -> bool:
    """Return whether a response to a request for a stream has one.

    A response that states no media type has one.
    """
    stated = http_message.find(headers, b"content-type")
    if stated is None:
        return True
    return event_stream.is_event_stream(stated.decode("latin-1"))
