"""Page on which operators list and release quarantined requests."""

from collections.abc import Callable
import urllib.parse

import msgspec

from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.helpers import http_server
from jasperweir.helpers import logs

_log = logs.logger("held")

PATH = "/held-back"
JSON_HEADERS = [(b"content-type", b"application/json")]


class QuarantinePage:
    """Lists quarantined requests with GET, releases them with POST.

    POST takes ``content``, the label of a request as GET shows it; without
    it all requests are released. The entry that serves the POST passes the
    release on to the other entries.
    """

    def __init__(
        self,
        *,
        ledger: ledger_lib.Ledger,
        now: Callable[[], float],
        on_lifted: Callable[[tuple[messages.Mark, ...]], None],
    ) -> None:
        self._ledger = ledger
        self._now = now
        self._on_lifted = on_lifted

    def handle(self, answering: http_server.ResponseWriter) -> None:
        """Answer a request of an operator."""
        req = answering.request
        quarantined = self._ledger.list_quarantined(self._now())
        if req.method == b"GET":
            rows = [
                {
                    "content": fingerprint.label,
                    "ends": verdict.ends,
                    "held_s": round(verdict.held_s),
                }
                for fingerprint, verdict in quarantined.items()
            ]
            answering.reply(200, JSON_HEADERS, msgspec.json.encode(rows))
            return
        if req.method != b"POST":
            answering.reply(405, [(b"allow", b"GET, POST")], b"")
            return
        labels = urllib.parse.parse_qs(req.query).get("content", [])
        chosen = [f for f in quarantined if not labels or f.label in labels]
        if labels and not chosen:
            answering.reply(404, [], b"")
            return
        self._on_lifted(self._ledger.lift(chosen, self._now()))
        released = [fingerprint.label for fingerprint in chosen]
        _log.info("holds lifted", contents=released)
        answering.reply(200, JSON_HEADERS, msgspec.json.encode(released))
