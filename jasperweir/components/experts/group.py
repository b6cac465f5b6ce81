"""An agent's part in an expert group, with the coordinator if appointed."""

from typing import Any
from typing import NamedTuple

import numpy as np

from jasperweir.components.experts import const
from jasperweir.components.experts import coordinator as coordinator_lib
from jasperweir.components.experts import maps
from jasperweir.components.experts import messages
from jasperweir.components.experts import placement
from jasperweir.components.experts import planner
from jasperweir.components.experts import popularity as popularity_lib
from jasperweir.components.experts import step_gate
from jasperweir.components.experts import stragglers
from jasperweir.components.registry import ops
from jasperweir.helpers import metrics as metrics_lib

Actions = list[Any]
_COMPARE_BUDGET = 64

_COORDINATOR_MESSAGES = (messages.Sealed, messages.Prepared, messages.Granted)


class GroupShape(NamedTuple):
    """Size of a group, as its engine reports it.

    Attributes:
        layers: Number of layers.
        ranks: Number of ranks.
        per_rank: Slots per rank.
        experts: Number of experts in a layer.
    """

    layers: int
    ranks: int
    per_rank: int
    experts: int


class WeightOutcome(NamedTuple):
    """Result of a plan with one weight of skew against moves."""

    skew_weight: float
    skew_before: float
    skew_after: float
    moves: int


class ExpertSettings(NamedTuple):
    """Settings of the bundle for experts.

    Attributes:
        skew_weight: Weight of skew against moves, 0 to 1.
        store_moves_per_s: Moves per second that the weight store allows.
        grant_steps: Steps of a window.
    """

    skew_weight: float
    store_moves_per_s: float
    grant_steps: int


class Group:
    """Sans-I/O part of one agent in one expert group.

    Attributes:
        name: Name of the group.
        guard: Lets the ranks of this host run granted steps only.
        coordinator: Coordinator while this agent is appointed, or None.
        moves: Number of experts moved by the plans of this agent.
        planned_skew: Expected mean skew of the newest plan.
    """

    def __init__(
        self, *, name: str, own: str, metrics: metrics_lib.Metrics
    ) -> None:
        self.name = name
        self.step_gate = step_gate.StepGate(group=name)
        self.coordinator: coordinator_lib.Coordinator | None = None
        self.moves = 0
        self.planned_skew = 0.0
        self._own_name = own
        self._metrics = metrics
        self._shape: GroupShape | None = None
        self._popularity: popularity_lib.Popularity | None = None
        self._speeds: stragglers.SpeedEstimator | None = None
        self._planned_at = 0.0
        self._move_budget = 0.0
        self._last_version = 0

    def set_shape(self, shape: GroupShape) -> None:
        """Set the group's size; a new size resets the estimates."""
        if shape == self._shape:
            return
        self._shape = shape
        self._popularity = popularity_lib.Popularity(
            layers=shape.layers, experts=shape.experts
        )
        self._speeds = stragglers.SpeedEstimator(ranks=shape.ranks)

    def apply_appointment(
        self,
        appointment: ops.Appointment | None,
        incarnation: int,
        hosts: tuple[str, ...],
        settings: ExpertSettings,
        now: float,
    ) -> Actions:
        """Start, keep or stop the coordinator according to an appointment."""
        is_appointed = (
            appointment is not None
            and appointment.coordinator == self._own_name
            and appointment.incarnation == incarnation
        )
        if not is_appointed or self._shape is None or not hosts:
            self.coordinator = None
            return []
        assert appointment is not None
        current = self.coordinator
        if current is not None and current.term == appointment.term:
            if set(hosts) <= set(current.hosts):
                # A silent host may return; the group is re-formed only if
                # another one joins.
                return []
            return current.replace_hosts(hosts)
        first = self._initial_map(appointment.term)
        self.coordinator = coordinator_lib.Coordinator(
            group=self.name,
            term=appointment.term,
            hosts=hosts,
            first_map=first,
            window=settings.grant_steps,
            now=now,
        )
        return []

    def tick(self, settings: ExpertSettings, now: float) -> Actions:
        """Advance the coordinator, and plan if it is due."""
        if self.coordinator is None:
            return []
        out = self.coordinator.tick(now)
        if now - self._planned_at >= const.PLAN_INTERVAL_SECONDS:
            elapsed = min(
                now - self._planned_at, const.PLAN_INTERVAL_SECONDS * 2
            )
            self._move_budget = min(
                self._move_budget + elapsed * settings.store_moves_per_s,
                settings.store_moves_per_s * const.PREPARE_TIMEOUT_SECONDS,
            )
            self._planned_at = now
            out += self._plan(settings, now)
        return out

    def observe(
        self,
        counts: popularity_lib.Array,
        seconds: popularity_lib.Array,
        loads: popularity_lib.Array,
    ) -> None:
        """Update the estimates with a report of the engine.

        Args:
            counts: Tokens of one interval, shape (layers, experts).
            seconds: Time of a step, shape (ranks,).
            loads: Load of each rank, shape (ranks,).
        """
        if self._popularity is None or self._speeds is None:
            return
        if counts.shape == self._popularity.shares.shape:
            self._popularity.observe(counts)
        if seconds.shape == loads.shape:
            self._speeds.observe(seconds, loads)

    def compare_weights(
        self, skew_weights: tuple[float, ...]
    ) -> list[WeightOutcome]:
        """Return the result of a plan for each weight.

        The list is empty unless this agent is the coordinator.
        """
        coordinator = self.coordinator
        if (
            coordinator is None
            or self._popularity is None
            or self._shape is None
        ):
            return []
        assert self._speeds is not None
        layers = maps.unpack(coordinator.map, self._shape.experts)
        found = []
        for weight in skew_weights:
            plan = planner.plan(
                layers,
                self._popularity.shares,
                self._speeds.speeds,
                skew_weight=weight,
                budget=_COMPARE_BUDGET,
            )
            found.append(
                WeightOutcome(
                    skew_weight=weight,
                    skew_before=float(np.mean(plan.before)),
                    skew_after=float(np.mean(plan.after)),
                    moves=len(plan.moves),
                )
            )
        return found

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from another agent of the group."""
        if isinstance(msg, _COORDINATOR_MESSAGES):
            if self.coordinator is None:
                return []
            return self.coordinator.receive(src, msg, now)
        return self.step_gate.receive(src, msg)

    def _initial_map(self, term: int) -> messages.Map:
        assert self._shape is not None
        shape = self._shape
        slots = placement.initial_slots(
            shape.ranks, shape.per_rank, shape.experts
        )
        split = placement.even_split(slots, shape.experts)
        layers = (placement.Layer(slots, split),) * shape.layers
        self._last_version = maps.next_version(term, self._last_version)
        return maps.pack(layers, self._last_version)

    def _plan(self, settings: ExpertSettings, now: float) -> Actions:
        coordinator = self.coordinator
        assert coordinator is not None
        if self._shape is None or self._popularity is None:
            return []
        if coordinator.phase != coordinator_lib.Phase.RUNNING:
            return []
        if coordinator.pending is not None:
            return []
        assert self._speeds is not None
        layers = maps.unpack(coordinator.map, self._shape.experts)
        plan = planner.plan(
            layers,
            self._popularity.shares,
            self._speeds.speeds,
            skew_weight=settings.skew_weight,
            budget=int(self._move_budget),
        )
        self.planned_skew = float(np.mean(plan.after))
        self._metrics.gauge("planned_skew", self.planned_skew)
        if all(a is b for a, b in zip(plan.layers, layers, strict=True)):
            return []
        self._move_budget -= len(plan.moves)
        self.moves += len(plan.moves)
        self._metrics.inc("expert_moves", len(plan.moves))
        self._metrics.inc("expert_switches")
        self._last_version = maps.next_version(
            coordinator.term, max(self._last_version, coordinator.version)
        )
        new = maps.pack(plan.layers, self._last_version)
        return coordinator.start_switch(new, now)
