"""State machine of one request; every path ends in one correct answer."""

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
    """Step of a request."""

    ADMISSION = "admission"
    ROUTING = "routing"
    RESERVE = "reserve"
    CLAIM = "claim"
    DISPATCH = "dispatch"
    STREAM = "stream"
    RESUME = "resume"
    REVOKE = "revoke"
    ENDED = "ended"


class RequestStateMachine:
    """State machine of one request; sans-I/O.

    The outcome "not run" requires that every agent to which a run id of this
    request was sent has provably refused it; see ``_may_have_run``. An
    idempotent request may be sent again otherwise, but its outcome is then
    "unknown" unless an answer completes. Bytes of two runs are never mixed.

    Attributes:
        rid: Run id; a new one is derived where the old one must not start.
        step: Current step.
        target: Chosen target, or None.
        record: Claim of the key, own or of another request, or None.
    """

    def __init__(
        self,
        *,
        rid: str,
        keyed: bool,
        first: bool,
        budget: retry.RetryBudget,
    ) -> None:
        self.rid = rid
        self.step = Step.ADMISSION
        self.target: events.Picked | None = None
        self.record: claim_messages.Record | None = None
        self._keyed = keyed
        self._budget = budget
        self._may_have_run = False
        # A resent keyed request may have run before, unknown to this entry,
        # unless the caller declares a first try or a new claim is granted.
        self._vouched = first or not keyed
        self._try_count = 0
        self._resume_count = 0
        self._held_wait_count = 0
        self._relayed_bytes = 0
        self._tried_targets: list[str] = []
        # Run whose answer is read; after HELD it is that of another request.
        self._run_rid = rid
        self._expected_version = 0

    @property
    def requires_claim(self) -> bool:
        """Whether the request needs a claim before it may run."""
        return self._keyed

    @property
    def ended(self) -> bool:
        """Whether the final answer has been determined."""
        return self.step == Step.ENDED

    @property
    def run_rid(self) -> str:
        """Id of the run whose answer is read."""
        return self._run_rid

    def handle(self, event: events.Event) -> actions.Action:
        """Process an event and return the next action."""
        match event:
            case events.Expired():
                return self._on_expired()
            case events.CallerLeft():
                return self._end(actions.Answer(code=Code.CANCELLED))
            case events.Denied() if self._may_have_run:
                return self._end_broken()
            case events.Denied():
                return self._end(
                    actions.Answer(
                        code=event.code, retry_after=event.retry_after
                    )
                )
            case events.Admitted():
                self._budget.record_first_attempt()
                return self._choose_target()
            case events.NoTarget():
                return self._end_without_target()
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

    def switch_to_hedge(self, winner: events.Picked) -> None:
        """Continue with the second target of a hedged request.

        The first target may run the request too and counts as tried.
        """
        if self.target is not None:
            self._tried_targets.append(self.target.name)
        self._may_have_run = True
        self.target = winner

    # Normal progress.

    def _choose_target(self) -> actions.Action:
        self.step = Step.ROUTING
        return actions.Pick(exclude=tuple(self._tried_targets))

    def _on_picked(self, event: events.Picked) -> actions.Action:
        self.target = event
        self._try_count += 1
        if self._keyed:
            self.step = Step.RESERVE
            return actions.Reserve(rid=self.rid)
        return self._run()

    def _on_reserved(self) -> actions.Action:
        self.step = Step.CLAIM
        return actions.Claim(rid=self.rid, expect=self._expected_version)

    def _run(self) -> actions.Action:
        self.step = Step.DISPATCH
        self._run_rid = self.rid
        return actions.Run(rid=self.rid, reserved=self._keyed)

    def _on_claimed(self, event: events.Claimed) -> actions.Action:
        match event.verdict:
            case claim_const.GRANTED:
                assert event.record is not None
                self.record = event.record
                self._expected_version = event.record.version
                self._vouched = True
                return self._run()
            case claim_const.HELD:
                assert event.record is not None
                return self._on_held(event.record)
            case claim_const.REUSED:
                return self._end(actions.Answer(code=Code.KEY_REUSED))
            case _:
                # The claim may have been recorded, but the request has not
                # been sent and never runs without a grant.
                return self._end(
                    actions.Answer(
                        code=Code.CLAIMS_UNAVAILABLE,
                        retry_after=const.CLAIMS_RETRY_AFTER_SECONDS,
                    )
                )

    def _on_held(self, record: claim_messages.Record) -> actions.Action:
        """Return the answer of the request that holds the key."""
        self.record = record
        self._expected_version = record.version
        if record.state == claim_const.STATE_FINISHED and record.answer:
            return self._end(actions.Replay(record=record))
        return self._attach(record.rid, 0)

    def _attach(
        self, rid: str, offset: int, pause: float = 0.0
    ) -> actions.Action:
        self.step = Step.RESUME
        self._run_rid = rid
        target, inc, http = self._run_holder()
        return actions.Attach(
            rid=rid,
            target=target,
            target_inc=inc,
            http=http,
            offset=offset,
            pause=pause,
        )

    def _run_holder(self) -> tuple[str, int, str]:
        if self.record is not None:
            record = self.record
            return record.target, record.target_inc, record.http
        assert self.target is not None
        return self.target.name, self.target.inc, self.target.http

    # Failures.

    def _on_failure(self, event: events.Event) -> actions.Action:
        match self.step:
            case Step.RESERVE:
                # A reservation without a claim cannot start a run.
                return self._try_next_target()
            case Step.DISPATCH:
                return self._on_dispatch_failure(event)
            case Step.STREAM:
                return self._on_stream_failure(event)
            case Step.RESUME:
                return self._on_resume_failure(event)
            case Step.REVOKE:
                return self._on_revoke_result(event)
        return self._end_broken()

    def _on_dispatch_failure(self, event: events.Event) -> actions.Action:
        match event:
            case events.Refused() | events.OtherIncarnation():
                return self._try_next_target()
            case events.Unsent():
                return self._try_next_target()
            case events.Broke(ended=True):
                self._may_have_run = True
                return self._retry_unless_keyed()
        # The request was sent, but no answer was received.
        self._may_have_run = True
        if self._keyed:
            return self._resume(0)
        return self._retry_unless_keyed()

    def _on_stream_failure(self, event: events.Event) -> actions.Action:
        self._may_have_run = True
        if isinstance(event, events.Broke):
            self._relayed_bytes = event.relayed
            if not event.ended:
                return self._resume(event.relayed)
        if self._relayed_bytes == 0:
            return self._retry_unless_keyed()
        return self._end_broken()

    def _resume(self, offset: int) -> actions.Action:
        if self._resume_count >= const.MAX_RESUMES:
            if offset == 0:
                return self._retry_unless_keyed()
            return self._end_broken()
        self._resume_count += 1
        return self._attach(self._run_rid, offset, const.RESUME_PAUSE_SECONDS)

    def _on_resume_failure(self, event: events.Event) -> actions.Action:
        match event:
            case events.Unknown() | events.Refused():
                if self._awaits_other_run() and self._may_wait_for_run():
                    pause = const.HELD_RETRY_PAUSES_SECONDS[
                        self._held_wait_count
                    ]
                    self._held_wait_count += 1
                    return self._attach(self._run_rid, 0, pause)
                if self._keyed and self._relayed_bytes == 0:
                    return self._revoke()
            case events.Broke(ended=False) | events.Unsent():
                if isinstance(event, events.Broke):
                    self._relayed_bytes = max(
                        self._relayed_bytes, event.relayed
                    )
                if self._resume_count < const.MAX_RESUMES:
                    return self._resume(self._relayed_bytes)
        if self._relayed_bytes == 0 and not self._keyed:
            return self._retry_unless_keyed()
        if self._awaits_other_run():
            return self._end(actions.Answer(code=Code.ANSWER_LOST))
        return self._end_broken()

    def _may_wait_for_run(self) -> bool:
        return self._held_wait_count < len(const.HELD_RETRY_PAUSES_SECONDS)

    def _awaits_other_run(self) -> bool:
        return self._run_rid != self.rid and self._relayed_bytes == 0

    def _revoke(self) -> actions.Action:
        """Revoke a run that its agent does not know, to take the claim over."""
        self.step = Step.REVOKE
        target, inc, http = self._run_holder()
        return actions.Revoke(
            rid=self._run_rid, target=target, target_inc=inc, http=http
        )

    def _on_revoke_result(self, event: events.Event) -> actions.Action:
        if not isinstance(event, events.Refused):
            if isinstance(event, events.Exists):
                return self._attach(self._run_rid, 0)
            if self._awaits_other_run():
                return self._end(actions.Answer(code=Code.ANSWER_LOST))
            return self._end_broken()
        # The run never started and never will. The claim is taken over at its
        # version, so that only one of several requests succeeds.
        self._may_have_run = False
        if self._run_rid == self.rid:
            # A revoked run id can never start.
            self.rid = f"{self.rid}+"
        self._run_rid = self.rid
        return self._try_next_target()

    def _try_next_target(self) -> actions.Action:
        if (
            self.target is not None
            and self.target.name not in self._tried_targets
        ):
            self._tried_targets.append(self.target.name)
        if self._try_count >= const.MAX_TRIES:
            return self._end_without_target()
        if self._try_count and not self._budget.try_spend():
            return self._end_without_target()
        if self._keyed and self._was_sent_elsewhere():
            self.rid = f"{self.rid}+"
            self._run_rid = self.rid
        return self._choose_target()

    def _was_sent_elsewhere(self) -> bool:
        """Return whether the run id was already sent to another target."""
        return bool(self._tried_targets) and self.step == Step.DISPATCH

    def _retry_unless_keyed(self) -> actions.Action:
        if self._keyed:
            return self._end_broken()
        return self._try_next_target()

    def _end_without_target(self) -> actions.Action:
        if self._may_have_run:
            return self._end_broken()
        code = Code.TARGETS_REFUSED if self._tried_targets else Code.NO_TARGET
        return self._end(
            actions.Answer(
                code=code, retry_after=const.TARGETS_RETRY_AFTER_SECONDS
            )
        )

    def _end_broken(self) -> actions.Action:
        return self._end(
            actions.Answer(code=Code.BROKEN_OFF, broken=self._relayed_bytes > 0)
        )

    def _on_expired(self) -> actions.Action:
        sent = self._may_have_run or self.step in (
            Step.DISPATCH,
            Step.STREAM,
            Step.RESUME,
            Step.REVOKE,
        )
        if not sent:
            return self._end(
                actions.Answer(
                    code=Code.DEADLINE_TOO_NEAR,
                    retry_after=const.TARGETS_RETRY_AFTER_SECONDS,
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
