"""Simulated group of coordinators and hosts on an unreliable network."""

import random

from jasperweir import core
from jasperweir.components.experts import coordinator as coordinator_lib
from jasperweir.components.experts import maps
from jasperweir.components.experts import messages
from jasperweir.components.experts import step_gate

STEP = 0.1
HOSTS = ("h1", "h2", "h3")
WINDOW = 8


def small_map(version: int) -> messages.Map:
    return messages.Map(version, (1, 3, 1), bytes(6), bytes(3))


class Ranks:
    """Hosts that run steps in lock-step as far as their grants allow.

    Each step asserts that all hosts run it under the same map.
    """

    def __init__(self, seed: int = 0) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.gates = {n: step_gate.StepGate(group="g") for n in HOSTS}
        self.coordinators: dict[str, coordinator_lib.Coordinator] = {}
        self.queue: list = []
        self.duplicates: list = []
        self.cut: set[str] = set()
        self.loss = self.duplication = 0.0
        self.store_fails = False
        self.tap = None
        self.frozen: set[str] = set()
        self.ran: dict[int, int] = {}
        self.granted: dict[int, int] = {}
        self.appoint("c1", 1)

    def appoint(self, name: str, term: int) -> None:
        """Appoint a coordinator; an older one may still run."""
        self.coordinators[name] = coordinator_lib.Coordinator(
            group="g",
            term=term,
            hosts=HOSTS,
            first_map=small_map(maps.next_version(term, 0)),
            window=WINDOW,
            now=self.now,
        )

    def cut_pair(self, one: str, two: str) -> None:
        self.cut.add(two if two in self.gates else one)

    def kill(self, name: str) -> None:
        """Restart a host without state, or replace a coordinator."""
        if name in self.gates:
            done = self.gates[name].done
            self.gates[name] = step_gate.StepGate(group="g")
            self.gates[name].done = done
            return
        if name not in self.coordinators:
            return
        del self.coordinators[name]
        number = int(name[1:]) + 1
        self.appoint(f"c{number}", number)

    def switch(self, name: str) -> None:
        lead = self.coordinators[name]
        newest = lead.pending.version if lead.pending else lead.version
        new = small_map(maps.next_version(lead.term, newest))
        self.perform(name, lead.start_switch(new, self.now))

    def perform(self, src: str, acts: list) -> None:
        for act in acts:
            match act:
                case core.Send():
                    if src in self.cut or act.dst in self.cut:
                        continue
                    if self.rng.random() < self.loss:
                        continue
                    if self.tap is not None and self.tap(
                        self, src, act.dst, act.msg
                    ):
                        continue
                    self.queue.append((src, act.dst, act.msg))
                    if self.rng.random() < self.duplication:
                        self.duplicates.append((src, act.dst, act.msg))
                case step_gate.LoadWeights():
                    ok = not self.store_fails
                    self.perform(
                        src,
                        self.gates[src].on_weights_loaded(
                            act.map.version, ok, act.coordinator
                        ),
                    )
                case step_gate.AllowSteps():
                    self.check_grant(act.grant)

    def check_grant(self, grant: messages.Grant) -> None:
        for step in range(grant.first, grant.last + 1):
            known = self.granted.setdefault(step, grant.version)
            assert known == grant.version, f"step {step}: two maps granted"

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for name, lead in self.coordinators.items():
                if name in self.frozen:
                    continue
                self.perform(name, lead.tick(self.now))
            for _ in range(4):
                self.deliver()
            for _ in range(3):
                self.step()

    def deliver(self) -> None:
        pending, self.queue = self.queue, []
        self.rng.shuffle(pending)
        if self.duplicates and self.rng.random() < 0.3:
            pending.append(self.duplicates.pop(0))
        for src, dst, msg in pending:
            if dst in self.cut:
                continue
            if dst in self.frozen:
                self.queue.append((src, dst, msg))
                continue
            if dst in self.gates:
                self.perform(dst, self.gates[dst].receive(src, msg))
            elif dst in self.coordinators:
                lead = self.coordinators[dst]
                self.perform(dst, lead.receive(src, msg, self.now))

    def step(self) -> None:
        """Run one step if all hosts have a grant for it, and check the maps.

        Hosts agree on the highest of their next steps, as the stand-in does: a
        host that restarted may lack the start of a window.
        """
        nexts = [self.next_step(g) for g in self.gates.values()]
        if None in nexts:
            return
        step = max(nexts)
        versions = {g.find_version(step) for g in self.gates.values()}
        if None in versions:
            return
        assert len(versions) == 1, f"step {step} under maps {versions}"
        self.ran[step] = versions.pop()
        for name, gate in self.gates.items():
            self.perform(name, gate.on_step_done(step))

    def next_step(self, gate: step_gate.StepGate) -> int | None:
        if gate.find_version(gate.done + 1) is not None:
            return gate.done + 1
        later = [g.first for g in gate._grants if g.first > gate.done]
        return min(later, default=None)
