"""The switch of one group's expert map, as its leader drives it; sans-I/O.

A switch prepares every rank, holds a coming pass at one rank, arms every
rank for that pass, and releases it only when all are seen armed. A switch
that fails is called off: every rank is disarmed and then prepares a further
version, after which no late copy of an order can arm it, and only then the
pass is released. So no pass begins on two maps, whichever order is lost,
late, or carried out twice. A hold never expires: whoever takes over resolves
what it finds.
"""

import enum
import itertools
import math
from typing import Any

from jasperweir.components.deployment import model
from jasperweir.components.mapswitch import actions
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import demand as demand_lib
from jasperweir.components.mapswitch import hold_senders as hold_senders_lib
from jasperweir.components.mapswitch import members as members_lib
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import order_executor
from jasperweir.components.mapswitch import orders as orders_lib
from jasperweir.components.mapswitch import placement_search
from jasperweir.components.mapswitch import planner as planner_lib
from jasperweir.components.mapswitch import relays as relays_lib
from jasperweir.components.mapswitch import switch_times

Actions = list[Any]
# Versions of two terms never meet: each term has this many bits to count.
_VERSION_BITS = 12


class Phase(enum.Enum):
    """Where a group's switch stands."""

    IDLE = "idle"
    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    CALLING_OFF = "calling_off"
    RELEASING = "releasing"
    SWITCHING = "switching"


class Group:
    """Switch of one group under one term.

    Attributes:
        members: Its ranks.
        demand: Demand for its experts.
        phase: Where its switch stands.
    """

    def __init__(
        self,
        *,
        name: str,
        engine: model.Engine,
        term: int,
        numbers: "itertools.count[int]",
        hold_senders: tuple[str, ...],
        relays: relays_lib.OrderRelays,
    ) -> None:
        self.name = name
        self.members = members_lib.Members()
        self.demand = demand_lib.Demand(
            sets=engine.sets, experts=engine.experts
        )
        self.phase = Phase.IDLE
        self._planner = planner_lib.Planner(engine=engine)
        self._term = term
        # If the VM that has just given a hold stands still, no engine of the
        # group should stand still with it: an entry gives the holds.
        self._hold_senders = hold_senders_lib.HoldSenders(hold_senders)
        self._version = term << _VERSION_BITS
        # Whether an order to arm may still be under way; a new leader cannot
        # know.
        self._may_have_pending_arms = True
        # Versions from here on were prepared after the last call-off.
        self._min_valid_version = 0
        self._at_pass = 0
        self._epoch = 0
        self._phase_started_at = 0.0
        self._next_plan_at = 0.0
        # Switches left in which orders are given more time.
        self._careful_switches_left = 0
        self._jumped_at = float("-inf")
        self._checked_at = float("-inf")
        # Agent of a rank that had not copied its experts at the last look.
        self._unprepared_agent = ""
        # Holds of this switch that came after their pass.
        self._hold_attempts = 0
        self._times = switch_times.SwitchTimes()
        self._orders = orders_lib.OrderBook(
            term=term,
            numbers=numbers,
            relays=relays,
        )
        self._records: Actions = []

    # Inputs.

    def on_beat(
        self, src: str, beat: messages.EngineBeat, now: float
    ) -> Actions:
        """Take in what an agent tells; a step that waited for it is taken."""
        member = self.members.find_by_agent(src)
        old = member.state if member is not None else None
        self.members.on_beat(src, beat, now)
        jump = self.demand.observe(beat.choices, now)
        if jump is not None:
            self._jumped_at = now
            # What is being planned is for a demand that is gone.
            self._planner.cancel()
            self._next_plan_at = now
            self._records.append(actions.DemandJumped(self.name, *jump))
        if self.phase is Phase.IDLE and self._can_start_plan(now):
            # What a plan waited for may just have come.
            return self.tick(now)
        if not self.busy or old is None:
            return []
        if members_lib.is_same_step(
            old, beat.state
        ) or self._is_waiting_for_other(src):
            return []
        return self.tick(now)

    def _can_start_plan(self, now: float) -> bool:
        """Tell whether a plan may begin; one that is made has its ticks.

        Looking at all ranks with each beat of one would be work with the square
        of the ranks: with 192, 116 of 252 profiler samples in its frames.
        """
        if now - self._checked_at < const.MIN_CHECK_INTERVAL_SECONDS:
            return False
        if now < self._next_plan_at or self._planner.active:
            return False
        self._checked_at = now
        return True

    def _is_waiting_for_other(self, agent: str) -> bool:
        """Tell whether a step that needs all ranks waits for another one.

        One rank that is behind tells that the step is not due, whatever others
        tell; what is wrong with them shows with the next tick.
        """
        if self.phase is not Phase.PREPARING or agent == self._unprepared_agent:
            return False
        member = self.members.find_by_agent(self._unprepared_agent)
        return member is not None and member.state.prepared != self._version

    def on_done(self, msg: messages.OrderResult, now: float) -> Actions:
        """Take in what became of an order."""
        waiting = self._orders.pop(msg.number)
        if waiting is None:
            return []
        # The rank that was meant, which need not be the one that tells.
        src = waiting.agent
        member = self.members.find_by_agent(src)
        if msg.state is not None:
            self.members.on_state(src, msg.state, now)
        elif (
            msg.ok
            and member is not None
            and self._is_result_known(waiting.order)
        ):
            state = self._state_after(waiting.order, member)
            self.members.on_state(src, state, now)
        out = [] if msg.ok else self._on_refused(waiting.order, now)
        return out + self.tick(now)

    def tick(self, now: float) -> Actions:
        """Let time pass and take the next step if it is due."""
        out: Actions = []
        # A hold that is not confirmed is taken back, and a second copy of it
        # could come after that.
        if self.phase is not Phase.HOLDING:
            # Nothing waits for copies, so that nobody is passed by there.
            direct = self.phase is not Phase.PREPARING
            out += self._orders.resend(now, direct=direct)
        out += self._run_phase(now)
        notes, self._records = self._records, []
        return out + notes

    def _is_result_known(self, order: messages.Order) -> bool:
        """Tell whether an accepted order leaves a known state at once."""
        copying = self.phase is Phase.PREPARING
        return not (isinstance(order, messages.Prepare) and copying)

    def _state_after(
        self, order: messages.Order, member: members_lib.Member
    ) -> messages.EngineState:
        state = order_executor.state_after(order, member.state)
        if isinstance(order, messages.Prepare):
            if self.phase is Phase.CALLING_OFF:
                # Prepared only to make orders void, which copies nothing.
                state = state._replace(prepared=order.version)
        return state

    def set_hold_senders(self, names: tuple[str, ...]) -> None:
        """Take in which nodes may give the holds."""
        self._hold_senders.update(names)

    @property
    def busy(self) -> bool:
        """Whether a switch is under way."""
        return self.phase is not Phase.IDLE

    @property
    def planning(self) -> bool:
        """Whether a plan is being made."""
        return self._planner.active

    # Steps.

    def _run_phase(self, now: float) -> Actions:
        if self.phase is Phase.PREPARING and self.members.any_held():
            # The late copy of a hold that was taken back.
            return self._recover(now, "a pass is held while ranks copy")
        if self._orders.has_pending and self.phase is not Phase.ARMING:
            return self._handle_pending_orders(now)
        match self.phase:
            case Phase.IDLE:
                return self._handle_idle(now)
            case Phase.PREPARING:
                return self._handle_preparing(now)
            case Phase.HOLDING:
                return self._handle_holding(now)
            case Phase.ARMING:
                return self._handle_arming(now)
            case Phase.CALLING_OFF:
                return self._handle_calling_off(now)
            case Phase.RELEASING | Phase.SWITCHING:
                return self._handle_switching(now)

    def _handle_pending_orders(self, now: float) -> Actions:
        """Give up waiting where nothing has to be resolved first."""
        if self.phase is Phase.PREPARING:
            return self._check_timeout(now, const.PREPARE_TIMEOUT_SECONDS)
        if self.phase is Phase.HOLDING:
            if now - self._phase_started_at > const.DIRECT_ORDER_DELAY_SECONDS:
                return self._cancel_hold(now)
        return []

    def _cancel_hold(self, now: float) -> Actions:
        """Take back a hold whose giver does not answer.

        Its VM may stand still, with an engine that could not be disarmed.
        """
        self._orders.clear()
        # Its orders are lost, not those of the agents: the next switch needs no
        # more time than the last ones. A first map after 1.3 s instead of 2.4
        # (group of four engines on the virtual clock).
        self._hold_senders.select_next()
        self._set_phase(Phase.RELEASING, now, "the hold is not confirmed")
        release = messages.Release(at_pass=self._at_pass)
        return self._send_order(self.members.all()[0], release, now)

    def _handle_idle(self, now: float) -> Actions:
        due = self._planner.active or now >= self._next_plan_at
        # A hold that came late stops all ranks once they reach its pass.
        due = due or self.members.any_held()
        if not due or not self.members.is_complete(self._term, now):
            return []
        states = [m.state for m in self.members.all()]
        self._epoch = states[0].epoch
        if self.members.any_held() or any(s.armed for s in states):
            self._planner.cancel()
            return self._recover(now, "found half done")
        # Arms are only ever sent under a hold, and none is left.
        self._may_have_pending_arms = False
        if self._planner.active:
            return self._continue_plan(states, now)
        if not self.demand.is_settled(now):
            return []
        self._next_plan_at = now + const.PLAN_INTERVAL_SECONDS
        if len({s.map_version for s in states}) > 1:
            return []
        shares = self.demand.shares()
        current = self.members.placement()
        if len(current) != len(shares):
            return []
        request = planner_lib.PlanRequest(
            epoch=self._epoch,
            map_version=states[0].map_version,
            current=current,
            shares=shares,
            paces=placement_search.clip_paces([s.pace for s in states]),
            lasts_s=self.demand.expected_duration_s,
            switch_s=self._times.switch_s,
        )
        self._planner.start(request)
        return self._continue_plan(states, now)

    def _continue_plan(
        self, states: list[messages.EngineState], now: float
    ) -> Actions:
        """Go on with a plan, and prepare it once it is made."""
        match self._planner.advance():
            case planner_lib.PlanFound() as better:
                return self._send_prepare(states, better, now)
            case planner_lib.PlanUnfinished() | planner_lib.NoBetterPlan():
                return []

    def _send_prepare(
        self,
        states: list[messages.EngineState],
        better: planner_lib.PlanFound,
        now: float,
    ) -> Actions:
        request = better.request
        as_asked = (request.epoch, request.map_version)
        if any((s.epoch, s.map_version) != as_asked for s in states):
            # The group has formed anew while the plan was made.
            return []
        used = max(max(s.map_version, s.prepared) for s in states)
        self._version = max(self._version, used) + 1
        self._record_plan(better, now)
        self._times.start(now)
        self._set_phase(Phase.PREPARING, now, "better placement found")
        order = messages.Prepare(
            version=self._version, placement=better.placement
        )
        return self._send_to_all(order, now)

    def _record_plan(self, better: planner_lib.PlanFound, now: float) -> None:
        jumped = self._jumped_at > 0
        self._records.append(
            actions.PlanAccepted(
                group=self.name,
                before=better.before,
                after=better.after,
                copies=better.copies,
                lasts_s=better.request.lasts_s,
                since_jump_s=now - self._jumped_at if jumped else 0.0,
            )
        )

    def _handle_preparing(self, now: float) -> Actions:
        if not self.members.is_in_epoch(self._epoch):
            return self._back_off(now, "group formed anew")
        if self._jumped_at > self._phase_started_at:
            return self._discard_prepared_map(now)
        self._unprepared_agent = self._find_unprepared_agent()
        if not self._unprepared_agent:
            if not self.members.is_complete(self._term, now):
                return self._check_timeout(now, const.PREPARE_TIMEOUT_SECONDS)
            self._times.on_copied(now)
            self._hold_attempts = 0
            self._set_phase(Phase.HOLDING, now, "all ranks prepared")
            return self._send_hold(now)
        return self._check_timeout(now, const.PREPARE_TIMEOUT_SECONDS)

    def _find_unprepared_agent(self) -> str:
        """Return the agent of a rank that has not copied its experts yet."""
        for member in self.members.all():
            if member.state.prepared != self._version:
                return member.agent
        return ""

    def _discard_prepared_map(self, now: float) -> Actions:
        """Leave a map that fits no more as soon as its copies have ended.

        It was armed nowhere, and the next map has a higher version.
        """
        if self._find_unprepared_agent():
            return self._check_timeout(now, const.PREPARE_TIMEOUT_SECONDS)
        self._set_phase(Phase.IDLE, now, "demand has jumped meanwhile")
        self._next_plan_at = now
        return []

    def _send_hold(self, now: float) -> Actions:
        seconds = self.members.pass_seconds()
        ahead_s = self._times.hold_ahead_s
        if self._careful_switches_left:
            self._careful_switches_left -= 1
            ahead_s = const.HOLD_AHEAD_CAREFUL_SECONDS
        passes = math.ceil(ahead_s / seconds) if seconds else 0
        passes += const.HOLD_AHEAD_PASSES
        self._at_pass = self.members.newest_pass(now) + passes
        holder = self.members.all()[0]
        order = messages.Hold(at_pass=self._at_pass)
        return self._send_order(
            holder, order, now, sender=self._hold_senders.current
        )

    def _on_hold_refused(self, now: float) -> Actions:
        """Hold a later pass if the one that was meant has begun.

        No copy of the refused order can be accepted any more, and nothing is
        armed yet, so the prepared map stays good.
        """
        self._times.on_late_hold()
        self._hold_attempts += 1
        has_begun = self.members.newest_pass(now) >= self._at_pass
        if self._hold_attempts < const.MAX_HOLD_ATTEMPTS and has_begun:
            if not self.members.any_held():
                self._set_phase(Phase.HOLDING, now, "the pass has begun")
                return self._send_hold(now)
        return self._recover(now, "hold refused", careful=False)

    def _handle_holding(self, now: float) -> Actions:
        holder = self.members.all()[0]
        if holder.state.held != self._at_pass:
            return self._recover(now, "hold refused")
        self._may_have_pending_arms = True
        self._set_phase(Phase.ARMING, now, "pass held")
        order = messages.Arm(version=self._version, at_pass=self._at_pass)
        return self._send_to_all(order, now)

    def _handle_arming(self, now: float) -> Actions:
        if not self.members.is_in_epoch(self._epoch):
            return self._back_off(now, "group formed anew")
        armed = all(self._is_armed(m) for m in self.members.all())
        if (
            not armed
            and now - self._phase_started_at > const.ARM_TIMEOUT_SECONDS
        ):
            return self._recover(now, "arming took too long")
        if self._orders.has_pending:
            return []
        if not armed:
            return self._recover(now, "a rank is not armed")
        self._times.on_armed(now)
        return self._send_releases(now, "all ranks armed")

    def _recover(
        self, now: float, reason: str, *, careful: bool = True
    ) -> Actions:
        """End what is half done: go through with it, or take it back.

        Every rank is asked, armed or not, so that its state is known after
        all earlier orders.
        """
        self._orders.clear()
        if careful:
            self._careful_switches_left = const.CAREFUL_SWITCHES
        states = [m.state for m in self.members.all()]
        used = max(max(s.map_version, s.prepared, s.armed) for s in states)
        self._version = max(self._version, used) + 1
        self._min_valid_version = self._version
        self._set_phase(Phase.CALLING_OFF, now, reason)
        if self.members.is_uniformly_armed():
            return self._send_releases(now, "all ranks armed already")
        if not self._may_have_pending_arms and not any(s.armed for s in states):
            return self._send_releases(now, "no rank has been armed")
        out: Actions = []
        for m in self.members.all():
            # A rank that is not armed meets an order to disarm at once.
            disarm = messages.Disarm(version=m.state.armed or self._version - 1)
            out += self._send_order(m, disarm, now)
        return out

    def _handle_calling_off(self, now: float) -> Actions:
        if not self.members.is_in_epoch(self._epoch):
            return self._back_off(now, "group formed anew")
        members = self.members.all()
        if any(m.state.armed for m in members):
            return self._recover(now, "a rank is still armed")
        behind = [
            m for m in members if m.state.prepared < self._min_valid_version
        ]
        if behind:
            return self._invalidate_arms(behind, now)
        return self._send_releases(now, "no rank can be armed")

    def _invalidate_arms(
        self, behind: list[members_lib.Member], now: float
    ) -> Actions:
        """Make late copies of orders to arm void: prepare what is in use.

        Nothing is copied for it, and an older version can be armed no more.
        """
        # A version that a lost order has used up would be refused.
        self._version += 1
        order = messages.Prepare(
            version=self._version, placement=self.members.placement()
        )
        return self._orders.send_all(behind, order, self._epoch, now)

    def _send_releases(self, now: float, reason: str) -> Actions:
        self._set_phase(Phase.RELEASING, now, reason)
        out: Actions = []
        for i, m in enumerate(self.members.all()):
            held = m.reported_held or (self._at_pass if i == 0 else 0)
            if held:
                release = messages.Release(at_pass=held)
                out += self._send_order(m, release, now)
        return out

    def _handle_switching(self, now: float) -> Actions:
        members = self.members.all()
        if not self.members.is_in_epoch(self._epoch):
            return self._back_off(now, "group formed anew")
        if any(m.state.held for m in members):
            return self._recover(now, "a pass is still held")
        if not any(m.state.armed for m in members):
            self._set_phase(Phase.IDLE, now, "at rest")
            self._next_plan_at = now
            took = self._times.finish(now)
            if took is not None:
                self._records.append(actions.SwitchCompleted(self.name, *took))
            return []
        if self.phase is Phase.RELEASING:
            self._set_phase(Phase.SWITCHING, now, "released")
        if now - self._phase_started_at > const.PREPARE_TIMEOUT_SECONDS:
            # An idle group makes no passes; it switches with its next ones.
            self._phase_started_at = now
        return []

    # Parts of steps.

    def _is_armed(self, member: members_lib.Member) -> bool:
        state = member.state
        if state.map_version == self._version:
            return True
        armed = state.armed == self._version
        return armed and state.armed_at == self._at_pass

    def _check_timeout(self, now: float, seconds: float) -> Actions:
        if now - self._phase_started_at > seconds:
            return self._back_off(now, "took too long")
        return []

    def _back_off(self, now: float, reason: str) -> Actions:
        self._orders.clear()
        self._set_phase(Phase.IDLE, now, reason)
        self._next_plan_at = now + const.FAILED_SWITCH_BACKOFF_SECONDS
        return []

    def _set_phase(self, phase: Phase, now: float, reason: str) -> None:
        self.phase = phase
        self._phase_started_at = now
        self._records.append(
            actions.PhaseChanged(
                group=self.name,
                phase=phase.value,
                version=self._version,
                at_pass=self._at_pass,
                reason=reason,
            )
        )

    def _on_refused(self, order: messages.Order, now: float) -> Actions:
        match order:
            case messages.Prepare() if self.phase is Phase.PREPARING:
                return self._back_off(now, "prepare refused")
            case messages.Hold() if self.phase is Phase.HOLDING:
                return self._on_hold_refused(now)
            case messages.Arm() if self.phase is Phase.ARMING:
                return self._recover(now, "arm refused")
        return []

    # Orders.

    def _send_to_all(self, order: messages.Order, now: float) -> Actions:
        members = self.members.all()
        return self._orders.send_all(members, order, self._epoch, now)

    def _send_order(
        self,
        member: members_lib.Member,
        order: messages.Order,
        now: float,
        sender: str = "",
    ) -> Actions:
        return self._orders.send(member, order, self._epoch, now, giver=sender)
