"""Answers of an entry's own: refusals, denials, and when to come back."""

import random

from jasperweir import result_codes
from jasperweir.components.balance import advice as advice_lib
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.helpers import http_server

Code = result_codes.Code


class Refusals:
    """Turn result codes into answers to callers."""

    def __init__(
        self, *, dialect: dialect_lib.Dialect, rng: random.Random
    ) -> None:
        self._dialect = dialect
        self._advice = advice_lib.ReturnAdvice(rng=rng)

    def refuse(
        self,
        answering: http_server.ResponseWriter,
        ask: dialect_lib.Ask | None,
        code: Code,
        now: float,
        *,
        outage: bool = False,
        foreseen_s: float = 0.0,
        held_s: float = 0.0,
    ) -> None:
        """Give a caller the answer that a result code stands for.

        Args:
            answering: Way back to the caller.
            ask: What the caller stated, None if it could not be read.
            code: Why it is refused.
            now: Monotonic seconds.
            outage: Whether all targets of its service refuse at present.
            foreseen_s: Seconds after which a place was foreseen.
            held_s: Seconds for which the request is kept from targets.
        """
        row = result_codes.TABLE[code]
        headers = self._dialect.own_headers(ask)
        headers.append((b"jasperweir-code", b"%d" % int(code)))
        if row.http == 503:
            back_s = held_s or self._back_after(
                code, now, outage=outage, foreseen_s=foreseen_s
            )
            headers.append((b"retry-after", b"%.3f" % back_s))
        answering.reply(row.http, headers, b"")

    def _back_after(
        self, code: Code, now: float, *, outage: bool, foreseen_s: float
    ) -> float:
        if code is Code.NOT_READY:
            return self._advice.while_starting()
        if code is Code.BACKPRESSURE:
            return self._advice.after_rest(foreseen_s)
        if outage or code is Code.NO_TARGET:
            return self._advice.during_outage()
        return self._advice.after_refusal(now, foreseen_s)
