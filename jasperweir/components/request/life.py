"""State machine of one request; every path ends in one true answer."""

import dataclasses
import enum

from jasperweir import result_codes
from jasperweir.components.claims import const as claim_const
from jasperweir.components.claims import messages as claim_messages
from jasperweir.components.limits import retry
from jasperweir.components.request import actions
from jasperweir.components.request import const
from jasperweir.components.request import events

Code = result_codes.Code


class Step(enum.StrEnum):
    """Where a request stands."""

    ADMISSION = "admission"
    ROUTING = "routing"
    RESERVE = "reserve"
    CLAIM = "claim"
    DISPATCH = "dispatch"
    STREAM = "stream"
    RESUME = "resume"
    REVOKE = "revoke"
    ENDED = "ended"


class Life:
    """Decide what to do next with one request.

    "Not run" is answered only while ``_exposed`` is false: no run id of this
    request has been sent to an agent that has not provably refused it. An
    idempotent request may be sent again after that, but is then "unknown"
    unless an answer comes whole. Bytes of two runs are never mixed.

    Attributes:
        step: Where the request stands.
        target: Target in use.
        record: Claim held, if any.
        trace: Steps passed, for golden sessions.
    """

    def __init__(
        self,
        *,
        rid: str,
        keyed: bool,
        first: bool,
        budget: retry.Budget,
    ) -> None:
        self.rid = rid
        self.step = Step.ADMISSION
        self.target: events.Picked | None = None
        self.record: claim_messages.Record | None = None
        self._keyed = keyed
        self._budget = budget
        self._exposed = False
        # A resend of a keyed request may have run before, unseen by this
        # entry; only a fresh grant or the caller's word rules that out.
        self._vouched = first or not keyed
        self._tries = 0
        self._resumes = 0
        self._waits = 0
        self._relayed = 0
        self._tried: list[str] = []
        # Run attached to, which after HELD is not the request's own.
        self._run_rid = rid
        self._expect = 0

    @property
    def claims(self) -> bool:
        """Whether the request must hold a claim before it runs."""
        return self._keyed

    @property
    def ended(self) -> bool:
        """Whether the final answer has been decided."""
        return self.step == Step.ENDED

    @property
    def run_rid(self) -> str:
        """Run whose answer is being read."""
        return self._run_rid

    def on(self, event: events.Event) -> actions.Action:
        """Take in an event and return the next action."""
        match event:
            case events.Expired():
                return self._expired()
            case events.CallerLeft():
                return self._end(actions.Answer(code=Code.CANCELLED))
            case events.Denied() if self._exposed:
                return self._broken_off()
            case events.Denied():
                return self._end(
                    actions.Answer(
                        code=event.code, retry_after=event.retry_after
                    )
                )
            case events.Admitted():
                self._budget.first_try()
                return self._pick()
            case events.NoTarget():
                return self._out_of_targets()
            case events.Picked():
                return self._on_picked(event)
            case events.Reserved():
                return self._on_reserved()
            case events.Claimed():
                return self._on_claimed(event)
            case events.Head():
                self.step = Step.STREAM
                return actions.Relay()
            case events.Whole():
                return self._end(actions.Finish())
            case _:
                return self._on_failure(event)

    def hedged(self, winner: events.Picked) -> None:
        """Go on with the second target of a hedged request.

        The first one may run the request too, so it counts as tried.
        """
        if self.target is not None:
            self._tried.append(self.target.name)
        self._exposed = True
        self.target = winner

    # The way forward.

    def _pick(self) -> actions.Action:
        self.step = Step.ROUTING
        return actions.Pick(exclude=tuple(self._tried))

    def _on_picked(self, event: events.Picked) -> actions.Action:
        self.target = event
        self._tries += 1
        if self._keyed:
            self.step = Step.RESERVE
            return actions.Reserve(rid=self.rid)
        return self._run()

    def _on_reserved(self) -> actions.Action:
        self.step = Step.CLAIM
        return actions.Claim(rid=self.rid, expect=self._expect)

    def _run(self) -> actions.Action:
        self.step = Step.DISPATCH
        self._run_rid = self.rid
        return actions.Run(rid=self.rid, reserved=self._keyed)

    def _on_claimed(self, event: events.Claimed) -> actions.Action:
        match event.verdict:
            case claim_const.GRANTED:
                assert event.record is not None
                self.record = event.record
                self._expect = event.record.version
                self._vouched = True
                return self._run()
            case claim_const.HELD:
                assert event.record is not None
                return self._on_held(event.record)
            case claim_const.REUSED:
                return self._end(actions.Answer(code=Code.KEY_REUSED))
            case _:
                # The question may have reached the owners, but this request
                # has not been sent: it never runs without a grant.
                return self._end(
                    actions.Answer(
                        code=Code.CLAIMS_UNAVAILABLE,
                        retry_after=const.RETRY_CLAIMS_SECONDS,
                    )
                )

    def _on_held(self, record: claim_messages.Record) -> actions.Action:
        """Another try holds the key: give its answer, never run again."""
        self.record = record
        self._expect = record.version
        if record.state == claim_const.STATE_FINISHED and record.answer:
            return self._end(actions.Replay(record=record))
        return self._attach(record.rid, 0)

    def _attach(
        self, rid: str, offset: int, pause: float = 0.0
    ) -> actions.Action:
        self.step = Step.RESUME
        self._run_rid = rid
        target, inc, http = self._holder()
        return actions.Attach(
            rid=rid,
            target=target,
            target_inc=inc,
            http=http,
            offset=offset,
            pause=pause,
        )

    def _holder(self) -> tuple[str, int, str]:
        if self.record is not None:
            record = self.record
            return record.target, record.target_inc, record.http
        assert self.target is not None
        return self.target.name, self.target.inc, self.target.http

    # Failures.

    def _on_failure(self, event: events.Event) -> actions.Action:
        match self.step:
            case Step.RESERVE:
                # A reservation without a claim starts nothing.
                return self._next_target()
            case Step.DISPATCH:
                return self._dispatch_failed(event)
            case Step.STREAM:
                return self._stream_failed(event)
            case Step.RESUME:
                return self._resume_failed(event)
            case Step.REVOKE:
                return self._revoke_ended(event)
        return self._broken_off()

    def _dispatch_failed(self, event: events.Event) -> actions.Action:
        match event:
            case events.Refused() | events.OtherIncarnation():
                return self._next_target()
            case events.Unsent():
                return self._next_target()
            case events.Broke(ended=True):
                self._exposed = True
                return self._retry_idempotent()
        # The request left and nothing came back.
        self._exposed = True
        if self._keyed:
            return self._resume(0)
        return self._retry_idempotent()

    def _stream_failed(self, event: events.Event) -> actions.Action:
        self._exposed = True
        if isinstance(event, events.Broke):
            self._relayed = event.relayed
            if not event.ended:
                return self._resume(event.relayed)
        if self._relayed == 0:
            return self._retry_idempotent()
        return self._broken_off()

    def _resume(self, offset: int) -> actions.Action:
        if self._resumes >= const.MAX_RESUMES:
            if offset == 0:
                return self._retry_idempotent()
            return self._broken_off()
        self._resumes += 1
        return self._attach(self._run_rid, offset, const.RESUME_PAUSE_SECONDS)

    def _resume_failed(self, event: events.Event) -> actions.Action:
        match event:
            case events.Unknown() | events.Refused():
                if self._held_by_other() and self._may_wait():
                    pause = const.HELD_PAUSES_SECONDS[self._waits]
                    self._waits += 1
                    return self._attach(self._run_rid, 0, pause)
                if self._keyed and self._relayed == 0:
                    return self._revoke()
            case events.Broke(ended=False) | events.Unsent():
                if isinstance(event, events.Broke):
                    self._relayed = max(self._relayed, event.relayed)
                if self._resumes < const.MAX_RESUMES:
                    return self._resume(self._relayed)
        if self._relayed == 0 and not self._keyed:
            return self._retry_idempotent()
        if self._held_by_other():
            return self._end(actions.Answer(code=Code.ANSWER_LOST))
        return self._broken_off()

    def _may_wait(self) -> bool:
        return self._waits < len(const.HELD_PAUSES_SECONDS)

    def _held_by_other(self) -> bool:
        return self._run_rid != self.rid and self._relayed == 0

    def _revoke(self) -> actions.Action:
        """The agent knows no such run: make that certain, then take over."""
        self.step = Step.REVOKE
        target, inc, http = self._holder()
        return actions.Revoke(
            rid=self._run_rid, target=target, target_inc=inc, http=http
        )

    def _revoke_ended(self, event: events.Event) -> actions.Action:
        if not isinstance(event, events.Refused):
            if isinstance(event, events.Exists):
                return self._attach(self._run_rid, 0)
            if self._held_by_other():
                return self._end(actions.Answer(code=Code.ANSWER_LOST))
            return self._broken_off()
        # Provably never run, and never will be. The claim is taken over at
        # its version, so of several takers one wins.
        self._exposed = False
        if self._run_rid == self.rid:
            # A revoked id cannot start again.
            self.rid = f"{self.rid}+"
        self._run_rid = self.rid
        return self._next_target()

    def _next_target(self) -> actions.Action:
        if self.target is not None and self.target.name not in self._tried:
            self._tried.append(self.target.name)
        if self._tries >= const.MAX_TRIES:
            return self._out_of_targets()
        if self._tries and not self._budget.spend():
            return self._out_of_targets()
        if self._keyed and self._run_started_elsewhere():
            self.rid = f"{self.rid}+"
            self._run_rid = self.rid
        return self._pick()

    def _run_started_elsewhere(self) -> bool:
        """Tell whether the run id was already offered to another target."""
        return bool(self._tried) and self.step == Step.DISPATCH

    def _retry_idempotent(self) -> actions.Action:
        if self._keyed:
            return self._broken_off()
        return self._next_target()

    def _out_of_targets(self) -> actions.Action:
        if self._exposed:
            return self._broken_off()
        code = Code.TARGETS_REFUSED if self._tried else Code.NO_TARGET
        return self._end(
            actions.Answer(code=code, retry_after=const.RETRY_SOON_SECONDS)
        )

    def _broken_off(self) -> actions.Action:
        return self._end(
            actions.Answer(code=Code.BROKEN_OFF, broken=self._relayed > 0)
        )

    def _expired(self) -> actions.Action:
        sent = self._exposed or self.step in (
            Step.DISPATCH,
            Step.STREAM,
            Step.RESUME,
            Step.REVOKE,
        )
        if not sent:
            return self._end(
                actions.Answer(
                    code=Code.DEADLINE_TOO_NEAR,
                    retry_after=const.RETRY_SOON_SECONDS,
                )
            )
        broken = self.step == Step.STREAM
        return self._end(
            actions.Answer(code=Code.DEADLINE_PASSED, broken=broken)
        )

    def _end(self, action: actions.Action) -> actions.Action:
        self.step = Step.ENDED
        if isinstance(action, actions.Answer) and not self._vouched:
            return dataclasses.replace(action, vouched=False)
        return action
