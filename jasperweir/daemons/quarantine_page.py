"""Page on which operators list and release what is quarantined."""

from collections.abc import Callable
import urllib.parse

import msgspec

from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.helpers import http_server
from jasperweir.helpers import logs

_log = logs.logger("held")

PATH = "/held-back"
JSON_HEADERS = [(b"content-type", b"application/json")]


class QuarantinePage:
    """Lists quarantined requests and parts with GET, releases them with POST.

    POST takes ``content``, the label of a request or part as GET shows it;
    without it all are released. The entry that serves the POST passes the
    release on to the other entries.
    """

    def __init__(
        self,
        *,
        quarantine: quarantine_lib.Quarantine,
        now: Callable[[], float],
    ) -> None:
        self._quarantine = quarantine
        self._now = now

    def handle(self, answering: http_server.ResponseWriter) -> None:
        """Answer a request of an operator."""
        req = answering.request
        held = self._quarantine.list_held(self._now())
        if req.method == b"GET":
            rows = [
                {
                    "content": _labels(found)[0],
                    "kind": "part" if found.is_part else "request",
                    "together_with": _labels(found)[1:],
                    "ends": found.crashes,
                    "held_s": round(found.held_s),
                }
                for found in held
            ]
            answering.reply(200, JSON_HEADERS, msgspec.json.encode(rows))
            return
        if req.method != b"POST":
            answering.reply(405, [(b"allow", b"GET, POST")], b"")
            return
        labels = urllib.parse.parse_qs(req.query).get("content", [])
        chosen = [
            found
            for found in held
            if not labels or not set(labels).isdisjoint(_labels(found))
        ]
        if labels and not chosen:
            answering.reply(404, [], b"")
            return
        self._quarantine.lift(chosen, self._now())
        released = [label for found in chosen for label in _labels(found)]
        _log.info("holds lifted", contents=released)
        answering.reply(200, JSON_HEADERS, msgspec.json.encode(released))


def _labels(held: quarantine_lib.Held) -> list[str]:
    """Return the labels of what requests are held for, each once."""
    return list(dict.fromkeys(found.label for found in held.fingerprints))
