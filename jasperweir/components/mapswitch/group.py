"""State machine that switches the expert map of one group; sans-I/O.

A switch prepares every rank, holds a coming pass at one rank, arms every
rank for that pass, and releases it once all ranks have reported to be armed. A
switch that fails is called off: every rank is disarmed and then prepares a
newer version, after which no delayed order can arm it, and only then the pass
is released. So all ranks begin a pass on the same map even if orders are lost,
delayed or repeated. A hold never expires: a new leader completes or calls off
the switch that it finds.
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
# Bits of a version below the term, so that versions of two terms differ.
_VERSION_BITS = 12


class Phase(enum.Enum):
    """Phase of a group's switch."""

    IDLE = "idle"
    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    CALLING_OFF = "calling_off"
    RELEASING = "releasing"
    SWITCHING = "switching"


class Group:
    """Switches the map of one group during one term.

    Attributes:
        name: Name of the group.
        members: Its ranks.
        demand: Demand for its experts.
        phase: Phase of its switch.
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
        self._engine = engine
        self._planner = planner_lib.Planner(engine=engine)
        self._term = term
        # An entry sends the holds, so that no engine of the group freezes
        # together with the VM that has just sent one.
        self._hold_senders = hold_senders_lib.HoldSenders(hold_senders)
        self._version = term << _VERSION_BITS
        # Whether an order to arm may still arrive; unknown to a new leader.
        self._may_have_pending_arms = True
        # Lowest version prepared after the last call-off.
        self._min_valid_version = 0
        self._at_pass = 0
        self._epoch = 0
        self._phase_started_at = 0.0
        self._next_plan_at = 0.0
        # Coming switches that hold a pass further ahead.
        self._careful_switches_left = 0
        self._jumped_at = float("-inf")
        self._checked_at = float("-inf")
        # Agent of a rank that had not copied its experts at the last check.
        self._unprepared_agent = ""
        # Holds of this switch that arrived after their pass.
        self._hold_attempts = 0
        self._times = switch_times.SwitchTimes()
        self._orders = orders_lib.OrderBook(
            term=term,
            numbers=numbers,
            relays=relays,
        )
        self._records: Actions = []

    # Inputs.

    def set_engine(self, engine: model.Engine) -> None:
        """Plan for changed engines; a switch ends as it was planned."""
        if engine == self._engine or self.busy:
            return
        if (engine.sets, engine.experts) != (
            self._engine.sets,
            self._engine.experts,
        ):
            self.demand = demand_lib.Demand(
                sets=engine.sets, experts=engine.experts
            )
        self._engine = engine
        self._planner = planner_lib.Planner(engine=engine)

    def on_heartbeat(
        self, src: str, heartbeat: messages.EngineHeartbeat, now: float
    ) -> Actions:
        """Handle a heartbeat, and take the step that waited for it."""
        member = self.members.find_by_agent(src)
        old = member.state if member is not None else None
        self.members.on_heartbeat(src, heartbeat, now)
        jump = self.demand.observe(heartbeat.choices, now)
        if jump is not None:
            self._jumped_at = now
            # The current plan is based on outdated demand.
            self._planner.cancel()
            self._next_plan_at = now
            self._records.append(actions.DemandJumped(self.name, *jump))
        if self.phase is Phase.IDLE and self._can_start_plan(now):
            # The heartbeat may complete what a plan needs.
            return self.tick(now)
        if not self.busy or old is None:
            return []
        if members_lib.is_same_step(
            old, heartbeat.state
        ) or self._is_waiting_for_other(src):
            return []
        return self.tick(now)

    def _can_start_plan(self, now: float) -> bool:
        """Return whether to check now if a plan can start.

        The rate is limited: a check of all ranks at each heartbeat would cost
        the square of the number of ranks.
        """
        if now - self._checked_at < const.MIN_CHECK_INTERVAL_SECONDS:
            return False
        if now < self._next_plan_at or self._planner.active:
            return False
        self._checked_at = now
        return True

    def _is_waiting_for_other(self, agent: str) -> bool:
        """Return whether the next step waits for another agent's rank.

        While that rank has not prepared the map, heartbeats of other ranks need
        no check of all ranks; the next tick checks them.
        """
        if self.phase is not Phase.PREPARING or agent == self._unprepared_agent:
            return False
        member = self.members.find_by_agent(self._unprepared_agent)
        return member is not None and member.state.prepared != self._version

    def on_order_result(self, msg: messages.OrderResult, now: float) -> Actions:
        """Handle the result of an order."""
        pending = self._orders.pop(msg.number)
        if pending is None:
            return []
        # The agent of the ordered rank; another node may send the result.
        src = pending.agent
        member = self.members.find_by_agent(src)
        if msg.state is not None:
            self.members.on_state(src, msg.state, now)
        elif (
            msg.ok
            and member is not None
            and self._is_result_known(pending.order)
        ):
            state = self._state_after(pending.order, member)
            self.members.on_state(src, state, now)
        out = [] if msg.ok else self._on_refused(pending.order, now)
        return out + self.tick(now)

    def tick(self, now: float) -> Actions:
        """Send due orders again, and take the next step if it is due."""
        out: Actions = []
        # A hold is not sent again: a copy could arrive after its release.
        if self.phase is not Phase.HOLDING:
            # No pass waits for prepare orders, so they go through agents only.
            direct = self.phase is not Phase.PREPARING
            out += self._orders.resend(now, direct=direct)
        out += self._run_phase(now)
        records, self._records = self._records, []
        return out + records

    def _is_result_known(self, order: messages.Order) -> bool:
        """Return whether the state after an accepted order is known."""
        copying = self.phase is Phase.PREPARING
        return not (isinstance(order, messages.Prepare) and copying)

    def _state_after(
        self, order: messages.Order, member: members_lib.Member
    ) -> messages.EngineState:
        state = order_executor.state_after(order, member.state)
        if isinstance(order, messages.Prepare):
            if self.phase is Phase.CALLING_OFF:
                # The map in use is prepared again, without any copies.
                state = state._replace(prepared=order.version)
        return state

    def set_hold_senders(self, names: tuple[str, ...]) -> None:
        """Set the entries that may send holds."""
        self._hold_senders.update(names)

    @property
    def busy(self) -> bool:
        """Whether a switch is running."""
        return self.phase is not Phase.IDLE

    @property
    def is_planning(self) -> bool:
        """Whether a plan is being made."""
        return self._planner.active

    # Steps.

    def _run_phase(self, now: float) -> Actions:
        if self.phase is Phase.PREPARING and self.members.any_held():
            # A delayed hold has arrived after its release.
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
        """Check the timeout of the phases that can end with open orders."""
        if self.phase is Phase.PREPARING:
            return self._check_timeout(now, const.PREPARE_TIMEOUT_SECONDS)
        if self.phase is Phase.HOLDING:
            if now - self._phase_started_at > const.DIRECT_ORDER_DELAY_SECONDS:
                return self._cancel_hold(now)
        return []

    def _cancel_hold(self, now: float) -> Actions:
        """Release a hold whose sender does not answer, without disarming.

        The sender's VM may be frozen with an engine that could not be disarmed;
        no rank is armed yet.
        """
        self._orders.clear()
        # Orders to agents are not affected, so the next switch holds no pass
        # further ahead.
        self._hold_senders.select_next()
        self._set_phase(Phase.RELEASING, now, "hold not confirmed")
        release = messages.Release(at_pass=self._at_pass)
        return self._send_order(self.members.all()[0], release, now)

    def _handle_idle(self, now: float) -> Actions:
        due = self._planner.active or now >= self._next_plan_at
        # A delayed hold would stall all ranks once they reach its pass.
        due = due or self.members.any_held()
        if not due or not self.members.is_complete(self._term, now):
            return []
        states = [m.state for m in self.members.all()]
        self._epoch = states[0].epoch
        if self.members.any_held() or any(s.armed for s in states):
            self._planner.cancel()
            return self._recover(now, "unfinished switch found")
        # Orders to arm are sent only during a hold, and no hold is left.
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
            slowdowns=placement_search.clip_slowdowns([s.pace for s in states]),
            lasts_s=self.demand.expected_duration_s,
            switch_s=self._times.switch_s,
        )
        self._planner.start(request)
        return self._continue_plan(states, now)

    def _continue_plan(
        self, states: list[messages.EngineState], now: float
    ) -> Actions:
        """Continue a plan, and prepare its placement once it is found."""
        match self._planner.advance():
            case planner_lib.PlanFound() as plan:
                return self._send_prepare(states, plan, now)
            case planner_lib.PlanUnfinished() | planner_lib.NoBetterPlan():
                return []

    def _send_prepare(
        self,
        states: list[messages.EngineState],
        plan: planner_lib.PlanFound,
        now: float,
    ) -> Actions:
        request = plan.request
        planned_for = (request.epoch, request.map_version)
        if any((s.epoch, s.map_version) != planned_for for s in states):
            # The group has re-formed while the plan was made.
            return []
        used = max(max(s.map_version, s.prepared) for s in states)
        self._version = max(self._version, used) + 1
        self._record_plan(plan, now)
        self._times.start(now)
        self._set_phase(Phase.PREPARING, now, "better placement found")
        order = messages.Prepare(
            version=self._version, placement=plan.placement
        )
        return self._send_to_all(order, now)

    def _record_plan(self, plan: planner_lib.PlanFound, now: float) -> None:
        jumped = self._jumped_at > 0
        self._records.append(
            actions.PlanAccepted(
                group=self.name,
                before=plan.before,
                after=plan.after,
                copies=plan.copies,
                lasts_s=plan.request.lasts_s,
                since_jump_s=now - self._jumped_at if jumped else 0.0,
            )
        )

    def _handle_preparing(self, now: float) -> Actions:
        if not self.members.is_in_epoch(self._epoch):
            return self._back_off(now, "group re-formed")
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
        """Return the agent of a rank that is not prepared, empty if none."""
        for member in self.members.all():
            if member.state.prepared != self._version:
                return member.agent
        return ""

    def _discard_prepared_map(self, now: float) -> Actions:
        """Drop an outdated map once all ranks have copied its experts.

        No rank is armed for it, and the next map has a higher version.
        """
        if self._find_unprepared_agent():
            return self._check_timeout(now, const.PREPARE_TIMEOUT_SECONDS)
        self._set_phase(Phase.IDLE, now, "demand has jumped")
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
        """Hold a later pass if the intended one has begun.

        The refused order cannot be accepted later, and no rank is armed yet, so
        the prepared map stays usable.
        """
        self._times.on_late_hold()
        self._hold_attempts += 1
        has_begun = self.members.newest_pass(now) >= self._at_pass
        if self._hold_attempts < const.MAX_HOLD_ATTEMPTS and has_begun:
            if not self.members.any_held():
                self._set_phase(Phase.HOLDING, now, "pass has begun")
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
            return self._back_off(now, "group re-formed")
        armed = all(self._is_armed(m) for m in self.members.all())
        if (
            not armed
            and now - self._phase_started_at > const.ARM_TIMEOUT_SECONDS
        ):
            return self._recover(now, "arming timed out")
        if self._orders.has_pending:
            return []
        if not armed:
            return self._recover(now, "a rank is not armed")
        self._times.on_armed(now)
        return self._send_releases(now, "all ranks armed")

    def _recover(
        self, now: float, reason: str, *, careful: bool = True
    ) -> Actions:
        """Complete or call off an unfinished switch.

        Every rank gets an order to disarm, also if it is not armed, so that its
        state after all earlier orders is known.
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
            # A rank that is not armed accepts an order to disarm at once.
            disarm = messages.Disarm(version=m.state.armed or self._version - 1)
            out += self._send_order(m, disarm, now)
        return out

    def _handle_calling_off(self, now: float) -> Actions:
        if not self.members.is_in_epoch(self._epoch):
            return self._back_off(now, "group re-formed")
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
        """Prepare the placement in use under a new version.

        It copies nothing, and delayed orders to arm an older version are
        refused afterwards.
        """
        # A lost order may have used the last version; reuse is refused.
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
            return self._back_off(now, "group re-formed")
        if any(m.state.held for m in members):
            return self._recover(now, "a pass is still held")
        if not any(m.state.armed for m in members):
            self._set_phase(Phase.IDLE, now, "no rank is armed")
            self._next_plan_at = now
            durations = self._times.finish(now)
            if durations is not None:
                self._records.append(
                    actions.SwitchCompleted(self.name, *durations)
                )
            return []
        if self.phase is Phase.RELEASING:
            self._set_phase(Phase.SWITCHING, now, "released")
        if now - self._phase_started_at > const.PREPARE_TIMEOUT_SECONDS:
            # An idle group runs no passes; it switches with its next one.
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
            return self._back_off(now, "timed out")
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
        return self._orders.send(member, order, self._epoch, now, sender=sender)
