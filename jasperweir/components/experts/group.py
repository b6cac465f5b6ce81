"""One host's part in its group: guard always, coordinator if appointed."""

from typing import Any
from typing import NamedTuple

import numpy as np

from jasperweir.components.experts import const
from jasperweir.components.experts import coordinator as coordinator_lib
from jasperweir.components.experts import guard as guard_lib
from jasperweir.components.experts import maps
from jasperweir.components.experts import messages
from jasperweir.components.experts import placement
from jasperweir.components.experts import planner
from jasperweir.components.experts import popularity as popularity_lib
from jasperweir.components.experts import stragglers
from jasperweir.components.registry import ops
from jasperweir.helpers import metrics as metrics_lib

Actions = list[Any]
COMPARE_BUDGET = 64

_TO_COORDINATOR = (messages.Sealed, messages.Prepared, messages.Granted)


class Shape(NamedTuple):
    """Size of a group, as its engines report it."""

    layers: int
    ranks: int
    per_rank: int
    experts: int


class Choice(NamedTuple):
    """What one weight of skew against moves would do now."""

    skew_weight: float
    skew_before: float
    skew_after: float
    moves: int


class Weights(NamedTuple):
    """What the bundle says of experts."""

    skew_weight: float
    store_moves_per_s: float
    grant_steps: int


class Group:
    """Sans-I/O part of one agent in one expert group.

    Attributes:
        guard: Keeps the ranks of this host to their grants.
        coordinator: Present while this agent is the appointed coordinator.
        moves: Experts moved by plans made here.
    """

    def __init__(
        self, *, name: str, own: str, metrics: metrics_lib.Metrics
    ) -> None:
        self.name = name
        self.guard = guard_lib.Guard(group=name)
        self.coordinator: coordinator_lib.Coordinator | None = None
        self.moves = 0
        self.planned_skew = 0.0
        self._own = own
        self._metrics = metrics
        self._shape: Shape | None = None
        self._popularity: popularity_lib.Popularity | None = None
        self._speeds: stragglers.Speeds | None = None
        self._planned_at = 0.0
        self._budget = 0.0
        self._last_version = 0

    def shape(self, shape: Shape) -> None:
        """Learn the group's size from the engine."""
        if shape == self._shape:
            return
        self._shape = shape
        self._popularity = popularity_lib.Popularity(
            layers=shape.layers, experts=shape.experts
        )
        self._speeds = stragglers.Speeds(ranks=shape.ranks)

    def follow(
        self,
        appointment: ops.Appointment | None,
        inc: int,
        hosts: tuple[str, ...],
        weights: Weights,
        now: float,
    ) -> Actions:
        """Become, stay or cease to be the coordinator."""
        mine = (
            appointment is not None
            and appointment.coordinator == self._own
            and appointment.incarnation == inc
        )
        if not mine or self._shape is None or not hosts:
            self.coordinator = None
            return []
        assert appointment is not None
        current = self.coordinator
        if current is not None and current.term == appointment.term:
            if set(hosts) <= set(current.hosts):
                # A host that merely fell silent may come back; only hosts
                # that join make the group form anew.
                return []
            return current.rehost(hosts)
        first = self._first_map(appointment.term)
        self.coordinator = coordinator_lib.Coordinator(
            group=self.name,
            term=appointment.term,
            hosts=hosts,
            first_map=first,
            window=weights.grant_steps,
            now=now,
        )
        return []

    def tick(self, weights: Weights, now: float) -> Actions:
        """Let time pass; plan when it is due."""
        if self.coordinator is None:
            return []
        out = self.coordinator.tick(now)
        if now - self._planned_at >= const.PLAN_SECONDS:
            elapsed = min(now - self._planned_at, const.PLAN_SECONDS * 2)
            self._budget = min(
                self._budget + elapsed * weights.store_moves_per_s,
                weights.store_moves_per_s * const.PREPARE_SECONDS,
            )
            self._planned_at = now
            out += self._plan(weights, now)
        return out

    def observe(
        self,
        counts: popularity_lib.Array,
        seconds: popularity_lib.Array,
        loads: popularity_lib.Array,
    ) -> None:
        """Take in popularity and step times from the engine."""
        if self._popularity is None or self._speeds is None:
            return
        if counts.shape == self._popularity.shares.shape:
            self._popularity.observe(counts)
        if seconds.shape == loads.shape:
            self._speeds.observe(seconds, loads)

    def compare(self, skew_weights: tuple[float, ...]) -> list[Choice]:
        """Return what each weight would do now, side by side.

        Only the coordinator knows; elsewhere the list is empty.
        """
        lead = self.coordinator
        if lead is None or self._popularity is None or self._shape is None:
            return []
        assert self._speeds is not None
        layers = maps.unpack(lead.map, self._shape.experts)
        found = []
        for weight in skew_weights:
            made = planner.plan(
                layers,
                self._popularity.shares,
                self._speeds.speeds,
                skew_weight=weight,
                budget=COMPARE_BUDGET,
            )
            found.append(
                Choice(
                    skew_weight=weight,
                    skew_before=float(np.mean(made.before)),
                    skew_after=float(np.mean(made.after)),
                    moves=len(made.moves),
                )
            )
        return found

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from another agent of the group."""
        if isinstance(msg, _TO_COORDINATOR):
            if self.coordinator is None:
                return []
            return self.coordinator.receive(src, msg, now)
        return self.guard.receive(src, msg)

    def _first_map(self, term: int) -> messages.Map:
        assert self._shape is not None
        shape = self._shape
        slots = placement.initial(shape.ranks, shape.per_rank, shape.experts)
        split = placement.even_split(slots, shape.experts)
        layers = (placement.Layer(slots, split),) * shape.layers
        self._last_version = maps.next_version(term, self._last_version)
        return maps.pack(layers, self._last_version)

    def _plan(self, weights: Weights, now: float) -> Actions:
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
        made = planner.plan(
            layers,
            self._popularity.shares,
            self._speeds.speeds,
            skew_weight=weights.skew_weight,
            budget=int(self._budget),
        )
        self.planned_skew = float(np.mean(made.after))
        self._metrics.gauge("planned_skew", self.planned_skew)
        if all(a is b for a, b in zip(made.layers, layers, strict=True)):
            return []
        self._budget -= len(made.moves)
        self.moves += len(made.moves)
        self._metrics.inc("expert_moves", len(made.moves))
        self._metrics.inc("expert_switches")
        self._last_version = maps.next_version(
            coordinator.term, max(self._last_version, coordinator.version)
        )
        new = maps.pack(made.layers, self._last_version)
        return coordinator.switch(new, now)
