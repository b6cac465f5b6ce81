"""Page of a control VM on which operators evacuate data centres."""

from collections.abc import Callable
import urllib.parse

import msgspec

from jasperweir.components.configctl import control_calls as calls_lib
from jasperweir.components.registry import ops
from jasperweir.helpers import http_server

PATH = "/evacuations"
JSON_HEADERS = [(b"content-type", b"application/json")]
_ORDERS = {"create": True, "withdraw": False}


class EvacuationPage:
    """Lists evacuated data centres with GET and takes orders with POST.

    POST takes ``place`` and ``order``, which is ``create`` or ``withdraw``.
    Orders are handled like those of the platform's operator.
    """

    def __init__(
        self,
        *,
        current: Callable[[], ops.EvacuationList | None],
        start: Callable[[http_server.ResponseWriter, calls_lib.Evacuate], None],
    ) -> None:
        """Initialize with access to the control VM.

        Args:
            current: Returns the list, None while storage is unavailable.
            start: Starts an order and responds when it is committed.
        """
        self._current = current
        self._start = start

    def handle(self, answering: http_server.ResponseWriter) -> None:
        """Respond to an operator's request."""
        req = answering.request
        if req.method == b"GET":
            self._reply_list(answering)
            return
        if req.method != b"POST":
            answering.reply(405, [(b"allow", b"GET, POST")], b"")
            return
        query = dict(urllib.parse.parse_qsl(req.query))
        evacuated = _ORDERS.get(query.get("order", ""))
        place = query.get("place", "")
        if evacuated is None or not place:
            answering.reply(400, [], b"order or place is missing\n")
            return
        self._start(answering, calls_lib.Evacuate(place, evacuated))

    def _reply_list(self, answering: http_server.ResponseWriter) -> None:
        found = self._current()
        if found is None:
            answering.reply(503, [(b"retry-after", b"1")], b"")
            return
        body = msgspec.json.encode(
            {"revision": found.revision, "evacuated": found.places}
        )
        answering.reply(200, JSON_HEADERS, body)
