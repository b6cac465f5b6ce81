"""Page for operators: requests that are kept from targets, and lifting that."""

from collections.abc import Callable
import urllib.parse

import msgspec

from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.helpers import http_server
from jasperweir.helpers import logs

_log = logs.logger("held")

PATH = "/held-back"
JSON = [(b"content-type", b"application/json")]


class HeldPage:
    """List what is held with GET, lift it with POST.

    POST takes ``content``, the name of one request as GET shows it, or
    nothing, which lifts all. One entry is enough: it tells the others.
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
        """Answer an operator."""
        req = answering.request
        held = self._ledger.held(self._now())
        if req.method == b"GET":
            rows = [
                {
                    "content": found.label,
                    "ends": verdict.ends,
                    "held_s": round(verdict.held_s),
                }
                for found, verdict in held.items()
            ]
            answering.reply(200, JSON, msgspec.json.encode(rows))
            return
        if req.method != b"POST":
            answering.reply(405, [(b"allow", b"GET, POST")], b"")
            return
        wanted = urllib.parse.parse_qs(req.query).get("content", [])
        chosen = [f for f in held if not wanted or f.label in wanted]
        if wanted and not chosen:
            answering.reply(404, [], b"")
            return
        self._on_lifted(self._ledger.lift(chosen, self._now()))
        labels = [found.label for found in chosen]
        _log.info("holds lifted", contents=labels)
        answering.reply(200, JSON, msgspec.json.encode(labels))
