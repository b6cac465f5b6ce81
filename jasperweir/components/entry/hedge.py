"""Hedging: a second attempt while the first has not answered."""

from collections.abc import Callable
import queue
import threading
from typing import NamedTuple

from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.request import events

# Share of the objective for the first token after which a stream is hedged, so
# that the second attempt can still be on time.
HEDGE_DELAY_SHARE = 0.6

# Interval at which a request that is not streamed checks its target.
TARGET_CHECK_SECONDS = 1.0

_NEVER_RAN = (events.Refused, events.Unsent, events.OtherIncarnation)

Attempt = Callable[[], agent_client_lib.Result]


class Outcome(NamedTuple):
    """Result of the winning attempt.

    Attributes:
        second: Whether the second attempt won.
        result: Result of the attempt.
    """

    second: bool
    result: agent_client_lib.Result


def race(
    first: Attempt,
    second: Callable[[], Attempt | None],
    *,
    delay: float,
) -> Outcome:
    """Run an attempt, and a second one in parallel if it is needed.

    Only for requests that may run more than once. The connection of the
    losing attempt is closed when it answers; its agent then cancels the run.

    Args:
        first: Blocks until the answer starts or the attempt fails.
        second: Called after each delay without an answer; returns the
            other attempt, or None for now.
        delay: Seconds between calls of ``second``.
    """
    results: queue.SimpleQueue[Outcome] = queue.SimpleQueue()
    _start(first, results, second=False)
    other: Attempt | None = None
    while other is None:
        try:
            return results.get(timeout=delay)
        except queue.Empty:
            other = second()
    _start(other, results, second=True)
    earlier = results.get()
    if isinstance(earlier.result, agent_client_lib.Stream):
        threading.Thread(
            target=_close_loser, args=(results,), name="hedge", daemon=True
        ).start()
        return earlier
    later = results.get()
    if isinstance(later.result, agent_client_lib.Stream):
        return later
    # A result of an attempt that may have run takes precedence.
    return later if isinstance(earlier.result, _NEVER_RAN) else earlier


def _start(
    attempt: Attempt,
    results: "queue.SimpleQueue[Outcome]",
    *,
    second: bool,
) -> None:
    def run() -> None:
        results.put(Outcome(second=second, result=attempt()))

    threading.Thread(target=run, name="attempt", daemon=True).start()


def _close_loser(results: "queue.SimpleQueue[Outcome]") -> None:
    loser = results.get().result
    if isinstance(loser, agent_client_lib.Stream):
        loser.close()
