"""Log lines and metrics of orders that control VMs have acknowledged."""

import logbook

from jasperweir.components.configctl import messages
from jasperweir.components.configctl import order_records
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

_log = logs.logger("control")

# Most entries that a line names.
MAX_NAMED = 4

_EVENTS = {
    messages.OrderEffect.IN_FORCE: "order acknowledged",
    messages.OrderEffect.UNKNOWN: "order acknowledged",
    messages.OrderEffect.OVERTAKEN: "acknowledged order was overtaken",
    messages.OrderEffect.OTHER_CONTENT: "order has other content than the log",
    messages.OrderEffect.LOST: "acknowledged version is lost",
}
_WARNINGS = (
    messages.OrderEffect.OVERTAKEN,
    messages.OrderEffect.OTHER_CONTENT,
    messages.OrderEffect.LOST,
)


class OrderLog:
    """Writes each acknowledged order at every control VM.

    The first fields of a line identify the order, since lines may be cut.
    """

    def __init__(self, *, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics

    def record(self, act: order_records.OrderRecorded) -> None:
        """Write an order; one from before this start is marked as such."""
        order = act.record
        is_warning = order.effect in _WARNINGS
        if not act.is_repeated:
            self._metrics.inc(
                "orders_acknowledged", effect=order.effect.name.lower()
            )
        _log.log(
            logbook.WARNING if is_warning else logbook.INFO,
            _EVENTS[order.effect],
            v=order.version,
            content=f"{order.content:x}",
            by=_strip_port(order.acknowledged_by),
            had=order.had,
            lacked=[
                f"{_strip_port(e.name)}={e.version}"
                for e in order.lacked[:MAX_NAMED]
            ],
            expired=list(map(_strip_port, order.expired[:MAX_NAMED])),
            unheard=list(map(_strip_port, order.unheard[:MAX_NAMED])),
            held=order.held,
            lacked_count=len(order.lacked),
            waited_ms=round(order.waited_s * 1000),
            number=order.number,
            before_start=act.is_repeated,
        )


def summarize(records: tuple[messages.OrderRecord, ...]) -> list[str]:
    """Return the last orders for the line of a start, newest first."""
    return [
        f"{r.version} {r.content:x} {_strip_port(r.acknowledged_by)}"
        f" {r.had}/{r.had + len(r.lacked)} {r.effect.name.lower()}"
        for r in reversed(records)
    ]


def _strip_port(name: str) -> str:
    """Return the address in the name of a process."""
    return name.partition(":")[0]
