"""Target choice and dispatch of one request, hedged where useful."""

from collections.abc import Callable
import time
from typing import Any

from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.entry import driver_context as context_lib
from jasperweir.components.entry import hedge
from jasperweir.components.entry import parsed_request as request_lib
from jasperweir.components.entry import timing as timing_lib
from jasperweir.components.limits import retry
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.request import events


class Dispatcher:
    """Chooses the targets of one request and reports to the router.

    Attributes:
        target: Current target, or None.
    """

    def __init__(
        self,
        *,
        context: context_lib.DriverContext,
        request: request_lib.ParsedRequest,
        deadline: float,
        timing: timing_lib.AnswerTiming,
        on_hedged: Callable[[events.Picked], None],
    ) -> None:
        self.target: agent_client_lib.Target | None = None
        self._context = context
        self._request = request
        self._deadline = deadline
        self._timing = timing
        self._on_hedged = on_hedged
        self._sent_at = 0.0

    def choose_target(self, exclude: tuple[str, ...]) -> events.Event:
        """Release the current target and choose another."""
        self.release_target()
        if exclude:
            time.sleep(retry.backoff(len(exclude), self._context.entry.rng))
            self._context.increment("retries")
        self.target = self._choose(exclude)
        if self.target is None:
            return events.NoTarget()
        return _picked(self.target)

    def _choose(
        self, exclude: tuple[str, ...]
    ) -> agent_client_lib.Target | None:
        """Choose a target and count the request there, on the actor."""
        router = self._context.entry.router
        query = self._request.query
        now = self._context.now()

        def choose() -> Any:
            member = router.choose(query, exclude, now)
            if member is not None:
                router.record_start(member.name, query, now)
            return member

        member = self._context.call(choose)
        if member is None:
            return None
        return agent_client_lib.Target(member.name, member.inc, member.http)

    def run(self, rid: str, remaining: float) -> agent_client_lib.Result:
        """Send the request, and hedge it with a second target if allowed.

        A stream is hedged when it does not start in time; another answer,
        which may take long, only when its target seems to have failed.
        """
        first = self.target
        assert first is not None
        self._sent_at = self._context.now()
        if self._request.keyed:
            return self._send(rid, first, remaining)
        hedge_targets: list[agent_client_lib.Target] = []

        def second() -> hedge.Attempt | None:
            if not self._request.streamed and not self._is_unavailable(first):
                return None
            if not self._context.call(self._context.entry.budget.try_spend):
                return None
            other = self._choose((first.name,))
            if other is None:
                return None
            hedge_targets.append(other)
            self._context.increment("hedges")
            remaining_s = self._deadline - self._context.now()
            return lambda: self._send(rid, other, remaining_s)

        outcome = hedge.race(
            lambda: self._send(rid, first, remaining),
            second,
            delay=self._hedge_delay(),
        )
        if hedge_targets:
            self._finish_hedge(first, hedge_targets[0], won=outcome.second)
        return outcome.result

    def _hedge_delay(self) -> float:
        if not self._request.streamed:
            return hedge.TARGET_CHECK_SECONDS
        return self._request.spec.first_token_s * hedge.HEDGE_DELAY_SHARE

    def _is_unavailable(self, target: agent_client_lib.Target) -> bool:
        """Return whether a target is suspect, dead or restarted."""
        member = self._context.call(
            lambda: self._context.entry.gossip.roster.get(target.name)
        )
        if member is None or member.inc != target.inc:
            return True
        return bool(member.status >= member_messages.Status.SUSPECT)

    def _send(
        self, rid: str, target: agent_client_lib.Target, remaining: float
    ) -> agent_client_lib.Result:
        if self._request.streamed:
            # A stream that stalls for longer is resumed or aborted.
            remaining = min(remaining, agent_client_lib.STREAM_STALL_SECONDS)
        return self._context.agent_client.run(
            rid, self._request, target, remaining
        )

    def _finish_hedge(
        self,
        first: agent_client_lib.Target,
        second: agent_client_lib.Target,
        *,
        won: bool,
    ) -> None:
        """Release the losing target and continue with the winner."""
        loser = first if won else second
        router = self._context.entry.router
        now = self._context.now()

        def release() -> None:
            router.record_end(loser.name, now)
            if won:
                router.record_failure(first.name, now)

        self._context.tell(release)
        if won:
            self.target = second
            self._sent_at += self._hedge_delay()
            self._on_hedged(_picked(second))

    def release_target(self) -> None:
        """Report to the router that the request has left its target."""
        target = self.target
        if target is None:
            return
        self.target = None
        router = self._context.entry.router
        now = self._context.now()
        first_chunk_at = self._timing.first_chunk_at

        def release() -> None:
            router.record_end(target.name, now)
            if first_chunk_at is not None:
                router.record_success(
                    target.name, first_chunk_at - self._sent_at, now
                )

        self._context.tell(release)


def _picked(target: agent_client_lib.Target) -> events.Picked:
    return events.Picked(name=target.name, inc=target.inc, http=target.http)
