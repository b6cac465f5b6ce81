"""Send a stream's request to a second target when the first is silent."""

from collections.abc import Callable
import queue
import threading
from typing import NamedTuple

from jasperweir.components.entry import hop as hop_lib
from jasperweir.components.request import events

# A second try leaves this share of the time to the first token unused, so
# that it may still come in time.
DELAY_SHARE = 0.6

# How often a request that is not streamed looks whether its target is gone.
LOOK_SECONDS = 1.0

_NEVER_RAN = (events.Refused, events.Unsent, events.OtherIncarnation)

Attempt = Callable[[], hop_lib.Result]


class Outcome(NamedTuple):
    """Which attempt won, and what it gave."""

    second: bool
    result: hop_lib.Result


def race(
    first: Attempt,
    second: Callable[[], Attempt | None],
    *,
    delay: float,
) -> Outcome:
    """Run an attempt, and another beside it if that is called for.

    Only for requests that may run more than once. The loser's connection is
    closed whenever it answers; its agent then cancels the run.

    Args:
        first: Blocks until the answer begins or fails.
        second: Called after each delay without an answer; returns the
            other attempt, or None for now.
        delay: Seconds to wait before the second attempt.
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
    one = results.get()
    if isinstance(one.result, hop_lib.Stream):
        threading.Thread(
            target=_close_loser, args=(results,), name="hedge", daemon=True
        ).start()
        return one
    two = results.get()
    if isinstance(two.result, hop_lib.Stream):
        return two
    # If either try may have run, that is what must be told.
    return two if isinstance(one.result, _NEVER_RAN) else one


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
    if isinstance(loser, hop_lib.Stream):
        loser.close()
