"""One request of the own interface, and what its runs did to targets."""

from jasperweir import result_codes
from jasperweir.components.entry import hop as hop_lib
from jasperweir.components.entry import job as job_lib
from jasperweir.components.entry import port as port_lib
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger
from jasperweir.components.request import events


class Holder:
    """Keep a request from targets if some have ended under it."""

    def __init__(self, *, port: port_lib.Port, job: job_lib.Job) -> None:
        self._port = port
        self._job = job

    def denied(self) -> events.Denied | None:
        """Return the denial of a request that is kept from targets."""
        entry = self._port.entry
        what = self._known()
        if what is None:
            return None
        now = self._port.now()
        verdict: ledger.Verdict = self._port.call(
            lambda: entry.ledger.verdict(what, now)
        )
        if not verdict.held_s:
            return None
        self._port.tally("held_back")
        return events.Denied(
            code=result_codes.Code.ENDS_TARGETS, retry_after=verdict.held_s
        )

    def note(self, result: hop_lib.Result, name: str, inc: int) -> None:
        """Note a result that tells of an engine's end.

        Args:
            result: What came of a run, or of reading its answer.
            name: Name of the agent that told it.
            inc: Incarnation of that agent.
        """
        if not isinstance(result, events.Broke) or not result.engine_end:
            return
        self._port.tally("engine_ends")
        what = fingerprint.of(self._job.subject)
        target = ledger.Incarnation(f"{name}/{inc}", result.engine_end)
        entry, now = self._port.entry, self._port.now()
        self._port.tell(
            lambda: self._port.perform(entry.note_end(what, target, now))
        )

    def note_whole(self) -> None:
        """Note that the request was answered whole."""
        what = self._known()
        if what is None:
            return
        entry, now = self._port.entry, self._port.now()
        self._port.tell(lambda: self._port.perform(entry.note_whole(what, now)))

    def _known(self) -> fingerprint.Fingerprint | None:
        return self._port.entry.ledger.find(self._job.subject)
