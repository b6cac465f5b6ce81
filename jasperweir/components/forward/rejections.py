"""Responses that an entry generates itself."""

import random

from jasperweir import result_codes
from jasperweir.components.balance import retry_advice as retry_advice_lib
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.helpers import http_server

Code = result_codes.Code


class RejectionResponder:
    """Sends responses for result codes."""

    def __init__(
        self, *, dialect: dialect_lib.Dialect, rng: random.Random
    ) -> None:
        self._dialect = dialect
        self._advice = retry_advice_lib.RetryAdvice(rng=rng)

    def reject(
        self,
        answering: http_server.ResponseWriter,
        caller_headers: dialect_lib.CallerHeaders | None,
        code: Code,
        now: float,
        *,
        outage: bool = False,
        expected_wait_s: float = 0.0,
        quarantine_s: float = 0.0,
        return_s: float | None = None,
    ) -> None:
        """Send the response for a result code.

        Args:
            answering: Response channel to the caller.
            caller_headers: Metadata from the request's headers, None if they
                are malformed.
            code: The result code.
            now: Monotonic seconds.
            outage: Whether all targets of the service refuse requests.
            expected_wait_s: Expected wait for a slot, seconds.
            quarantine_s: Remaining quarantine time of the request, seconds.
            return_s: Planned delay before its caller's retry, seconds; None
                without an order of service over all entries.
        """
        row = result_codes.TABLE[code]
        headers = self._dialect.build_own_headers(caller_headers)
        headers.append((b"jasperweir-code", b"%d" % int(code)))
        if row.http == 503:
            retry_after_s = quarantine_s or self._compute_retry_after_s(
                code, now, outage=outage, expected_wait_s=expected_wait_s
            )
            if return_s is not None and not quarantine_s and not outage:
                retry_after_s = return_s
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        answering.reply(row.http, headers, b"")

    def _compute_retry_after_s(
        self, code: Code, now: float, *, outage: bool, expected_wait_s: float
    ) -> float:
        if code in (Code.NOT_READY, Code.CONFIGURATION_UNCONFIRMED):
            return self._advice.while_starting()
        if code is Code.BACKPRESSURE:
            return self._advice.after_backoff(expected_wait_s)
        if outage or code in (Code.NO_TARGET, Code.EVACUATED):
            return self._advice.during_outage()
        return self._advice.after_refusal(now, expected_wait_s)
