"""Choose targets for one request and send it, to two where that helps."""

from collections.abc import Callable
import time
from typing import Any

from jasperweir.components.entry import hedge
from jasperweir.components.entry import hop as hop_lib
from jasperweir.components.entry import job as job_lib
from jasperweir.components.entry import port as port_lib
from jasperweir.components.entry import timing as timing_lib
from jasperweir.components.limits import retry
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.request import events


class Dispatcher:
    """The target of one request, and what routing is told of it.

    Attributes:
        target: Target in use, or None.
    """

    def __init__(
        self,
        *,
        port: port_lib.Port,
        job: job_lib.Job,
        deadline: float,
        timing: timing_lib.Timing,
        on_hedged: Callable[[events.Picked], None],
    ) -> None:
        self.target: hop_lib.Target | None = None
        self._port = port
        self._job = job
        self._deadline = deadline
        self._timing = timing
        self._on_hedged = on_hedged
        self._sent_at = 0.0

    def pick(self, exclude: tuple[str, ...]) -> events.Event:
        """Leave the target at hand and choose another."""
        self.leave()
        if exclude:
            time.sleep(retry.backoff(len(exclude), self._port.entry.rng))
            self._port.tally("retries")
        self.target = self._choose(exclude)
        if self.target is None:
            return events.NoTarget()
        return _picked(self.target)

    def _choose(self, exclude: tuple[str, ...]) -> hop_lib.Target | None:
        """Choose a target on the actor and count the request there."""
        router = self._port.entry.router
        query = self._job.query
        now = self._port.now()

        def choose() -> Any:
            member = router.choose(query, exclude, now)
            if member is not None:
                router.record_start(member.name, query, now)
            return member

        member = self._port.call(choose)
        if member is None:
            return None
        return hop_lib.Target(member.name, member.inc, member.http)

    def run(self, rid: str, remaining: float) -> hop_lib.Result:
        """Send the request, and to a second target where that may help.

        A stream is tried again when it is silent; another answer, which may
        take long, only when its target is believed gone.
        """
        first = self.target
        assert first is not None
        self._sent_at = self._port.now()
        if self._job.keyed:
            return self._send(rid, first, remaining)
        others: list[hop_lib.Target] = []

        def second() -> hedge.Attempt | None:
            if not self._job.streamed and not self._gone(first):
                return None
            if not self._port.call(self._port.entry.budget.try_spend):
                return None
            other = self._choose((first.name,))
            if other is None:
                return None
            others.append(other)
            self._port.tally("hedges")
            left = self._deadline - self._port.now()
            return lambda: self._send(rid, other, left)

        outcome = hedge.race(
            lambda: self._send(rid, first, remaining),
            second,
            delay=self._hedge_delay(),
        )
        if others:
            self._after_hedge(first, others[0], won=outcome.second)
        return outcome.result

    def _hedge_delay(self) -> float:
        if not self._job.streamed:
            return hedge.LOOK_SECONDS
        return self._job.spec.first_token_s * hedge.DELAY_SHARE

    def _gone(self, target: hop_lib.Target) -> bool:
        """Tell whether a target is suspected, dead or restarted."""
        member = self._port.call(
            lambda: self._port.entry.gossip.roster.get(target.name)
        )
        if member is None or member.inc != target.inc:
            return True
        return bool(member.status >= member_messages.Status.SUSPECT)

    def _send(
        self, rid: str, target: hop_lib.Target, remaining: float
    ) -> hop_lib.Result:
        if self._job.streamed:
            # A stream that stalls for longer is resumed or broken off.
            remaining = min(remaining, hop_lib.STALL_SECONDS)
        return self._port.hop.run(rid, self._job, target, remaining)

    def _after_hedge(
        self, first: hop_lib.Target, second: hop_lib.Target, *, won: bool
    ) -> None:
        """Leave the loser, and go on with the winner."""
        loser = first if won else second
        router = self._port.entry.router
        now = self._port.now()

        def leave() -> None:
            router.record_end(loser.name, now)
            if won:
                router.record_failure(first.name, now)

        self._port.tell(leave)
        if won:
            self.target = second
            self._sent_at += self._hedge_delay()
            self._on_hedged(_picked(second))

    def leave(self) -> None:
        """Tell routing that the request has left its target."""
        target = self.target
        if target is None:
            return
        self.target = None
        router = self._port.entry.router
        now = self._port.now()
        first = self._timing.first_at

        def leave() -> None:
            router.record_end(target.name, now)
            if first is not None:
                router.record_success(target.name, first - self._sent_at, now)

        self._port.tell(leave)


def _picked(target: hop_lib.Target) -> events.Picked:
    return events.Picked(name=target.name, inc=target.inc, http=target.http)
