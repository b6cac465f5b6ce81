"""Simulated group of engines with lost and delayed orders."""

import random

from jasperweir import core
from jasperweir.components.deployment import model
from jasperweir.components.mapswitch import actions
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import expert_counts
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import order_executor
from jasperweir.components.mapswitch import placement_search
from jasperweir.components.mapswitch import relays as relays_lib
from jasperweir.helpers import codec

STEP = 0.01
PASS_SECONDS = 0.06
REPORT_LAG = 0.2

ENGINE = model.Engine(
    slots=6,
    kv_tokens=1000,
    stride=5,
    step_ms=5.0,
    per_seq_ms=1.0,
    context_ms_per_k=0.0,
    read_tokens_per_s=60000.0,
    chunk=512,
    usual_prompt=800,
    usual_answer=140,
    sets=2,
    experts=8,
    places=3,
    spare=2,
    form_s=0.6,
)


class Rank:
    """One engine; answers orders as the platform's page specifies."""

    def __init__(self, number, ranks):
        self.number = number
        self.version = 0
        self.highest = 0
        self.held_map = tuple(
            placement_search.initial_placement(ranks, ENGINE.experts)[number]
            for _ in range(ENGINE.sets)
        )
        self.prepared = 0
        self.prepared_map = ()
        self.prepared_at = 0.0
        self.armed = 0
        self.armed_at = 0
        self.held = 0
        self.counts = [0] * (ENGINE.sets * ENGINE.experts)


class Group:
    """All ranks of a group in lock-step; each pass checks their maps."""

    def __init__(self, ranks=4, seed=0):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.epoch = 1
        self.ranks = [Rank(i, ranks) for i in range(ranks)]
        self.passes = 0
        self.pass_at = 0.0
        self.idle = False
        self.lost = 0.0
        self.delayed = []
        self.stalled = 0.0
        self.longest_stall = 0.0
        self.switches = 0
        self.broken = []
        self.history = []
        self.hot = 0
        self.unresponsive = set()

    def tick(self, now):
        self.now = now
        for item in [i for i in self.delayed if i[0] <= now]:
            self.delayed.remove(item)
            self.apply_order(*item[1:])
        self.history.append((now, [self.state(r) for r in self.ranks]))
        self.history = [p for p in self.history if p[0] > now - 2 * REPORT_LAG]
        if not self.idle and now >= self.pass_at:
            self.begin_pass()

    def begin_pass(self):
        number = self.passes + 1
        if any(r.held == number for r in self.ranks):
            self.stalled += STEP
            self.longest_stall = max(self.longest_stall, self.stalled)
            return
        self.stalled = 0.0
        self.passes = number
        self.pass_at = self.now + PASS_SECONDS
        for rank in self.ranks:
            if rank.armed and rank.armed_at == number:
                rank.version = rank.armed
                rank.held_map = rank.prepared_map
                rank.armed = rank.armed_at = 0
                self.switches += 1
            for s in range(ENGINE.sets):
                base = s * ENGINE.experts
                rank.counts[base + self.hot] += 2000
                for e in range(ENGINE.experts):
                    rank.counts[base + e] += 100
        versions = {r.version for r in self.ranks}
        if len(versions) > 1:
            self.broken.append((round(self.now, 2), number, versions))

    def re_form(self):
        """Re-form the group after a crash: all ranks lose their state."""
        self.epoch += 1
        for rank in self.ranks:
            restarted = Rank(rank.number, len(self.ranks))
            restarted.highest = rank.highest
            restarted.counts = rank.counts
            self.ranks[rank.number] = restarted

    def post_order(self, number, order, epoch):
        """Apply an order; return its status, None for no answer."""
        if number in self.unresponsive:
            return None
        if self.rng.random() < self.lost:
            if self.rng.random() < 0.7:
                at = self.now + self.rng.uniform(2, 12)
                self.delayed.append((at, number, order, epoch))
            return None
        return self.apply_order(number, order, epoch)

    def apply_order(self, number, order, epoch):
        rank = self.ranks[number]
        if epoch != self.epoch:
            return 409
        match order:
            case messages.Prepare(version, placement):
                if rank.armed or version <= rank.highest:
                    return 409
                rank.highest = rank.prepared = version
                rank.prepared_map = tuple(s[number] for s in placement)
                rank.prepared_at = self.now + 0.2
                if rank.prepared_map == rank.held_map:
                    rank.prepared_at = self.now
                return 202
            case messages.Arm(version, at_pass):
                copied = self.now >= rank.prepared_at
                if rank.prepared != version or not copied:
                    return 409
                if at_pass <= self.passes:
                    return 409
                rank.armed, rank.armed_at = version, at_pass
                return 200
            case messages.Disarm(version):
                if rank.version == version:
                    return 409
                if rank.armed == version:
                    rank.armed = rank.armed_at = 0
                return 200
            case messages.Hold(at_pass):
                if rank.held and rank.held != at_pass:
                    return 409
                if at_pass <= self.passes:
                    return 409
                rank.held = at_pass
                return 200
            case messages.Release(at_pass):
                if rank.held == at_pass:
                    rank.held = 0
                return 200

    def state(self, rank):
        copied = self.now >= rank.prepared_at
        return messages.EngineState(
            group="g",
            epoch=self.epoch,
            rank=rank.number,
            size=len(self.ranks),
            is_open=True,
            sequence=0,
            passes=self.passes,
            map_version=rank.version,
            prepared=rank.prepared if copied else 0,
            armed=rank.armed,
            armed_at=rank.armed_at,
            held=rank.held,
            pace=1.0,
            running=1,
            queued=0,
        )

    def stale_state(self, number):
        for at, states in self.history:
            if at >= self.now - REPORT_LAG:
                return states[number]
        return self.state(self.ranks[number])


class Deployment:
    """Agents and leaders of a group, on a virtual clock."""

    def __init__(self, ranks=4, seed=0):
        self.rng = random.Random(seed)
        self.group = Group(ranks, seed)
        self.now = 0.0
        self.agents = {
            f"a{i}": order_executor.OrderExecutor() for i in range(ranks)
        }
        self.counters = {
            name: expert_counts.CountDiffer() for name in self.agents
        }
        self.leaders = {}
        self.direct_executors = {}
        self.down = {}
        self.frozen = set()
        # Frozen leaders whose lease has expired.
        self.deposed = set()
        # Control VMs that relay orders, by data centre.
        self.relays = {}
        self.lost_relays = set()
        self.phases = []
        self.queue = []
        self.term = 0
        self.next_heartbeat_at = 0.0
        self.tap = None
        self.cut = set()
        # Orders that a leader sent straight to an engine.
        self.direct_orders = []
        # Entries that may send holds.
        self.entries = ("e1", "e2")
        self.counted = set()

    def lead(self):
        """Start a leader in a higher term; return its name."""
        self.term += 1
        self.deposed |= self.frozen & self.leaders.keys()
        name = f"c{self.term}"
        term = self.term
        self.leaders[name] = coordinator_lib.Coordinator(
            place="p",
            make_group=group_lib.Group,
            name=name,
            term_at=lambda _: 0 if name in self.deposed else term,
        )
        self.leaders[name].set_term(term)
        self.leaders[name].set_entries(["e1"])
        return name

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self.group.tick(self.now)
            for name, until in list(self.down.items()):
                if self.now >= until:
                    del self.down[name]
                    self.agents[name] = order_executor.OrderExecutor()
            self.send_heartbeats()
            for name, leader in list(self.leaders.items()):
                if name in self.frozen:
                    continue
                for i, agent in enumerate(self.agents):
                    place = f"p{i % 2}" if self.relays else "p"
                    leader.on_agent(agent, place, self.now)
                leader.set_relays(self.relays)
                self.perform(name, leader.tick(self.now))
            self.deliver()

    def send_heartbeats(self):
        if self.now < self.next_heartbeat_at:
            return
        self.next_heartbeat_at = self.now + 0.1
        for i, (name, executor) in enumerate(self.agents.items()):
            if not self.is_up(name):
                continue
            rank = self.group.ranks[i]
            heartbeat = messages.EngineHeartbeat(
                service="s",
                address=name,
                term=executor.term,
                state=self.group.state(rank),
                choices=self.read_choices(name, rank),
                experts=rank.held_map,
            )
            for leader in self.leaders:
                self.send(name, leader, heartbeat)

    def read_choices(self, name, rank):
        if name not in self.counted:
            return expert_counts.NO_COUNTS
        return self.counters[name].update(tuple(rank.counts), self.now)

    def send(self, src, dst, msg):
        if self.tap is not None and self.tap(self, src, dst, msg):
            return
        if (src, dst) in self.cut or (dst, src) in self.cut:
            return
        self.requeue(src, dst, msg)

    def cut_pair(self, a, b):
        self.cut.add((a, b))

    def kill(self, name):
        """Kill an agent, which restarts, or a leader or relay for good."""
        if name in self.agents:
            self.down[name] = self.now + 1.0
        elif name in self.relays.values():
            self.lost_relays.add(name)
        else:
            self.leaders.pop(name, None)

    def requeue(self, src, dst, msg):
        delay = self.rng.uniform(0.001, 0.02)
        self.queue.append((self.now + delay, src, dst, msg))

    def is_up(self, agent):
        return agent not in self.down and agent not in self.frozen

    def deliver(self):
        due = [q for q in self.queue if q[0] <= self.now]
        self.queue = [q for q in self.queue if q[0] > self.now]
        for item in sorted(due, key=lambda q: q[0]):
            _, src, dst, msg = item
            if dst in self.frozen:
                self.queue.append((self.now + STEP, src, dst, msg))
            elif dst in self.leaders:
                acts = self.leaders[dst].receive(
                    src, msg, {"s": ENGINE}, self.now
                )
                self.perform(dst, acts)
            elif dst in self.lost_relays:
                continue
            elif isinstance(msg, relays_lib.OrderRelay):
                self.perform(dst, relays_lib.expand(msg))
            elif dst in self.entries and isinstance(msg, messages.OrderRequest):
                self.on_order(dst, None, src, msg)
            elif dst in self.agents and self.is_up(dst):
                executor = self.agents[dst]
                match msg:
                    case messages.ReportRateRequest():
                        executor.on_term(msg.term)
                        self.set_counted(dst, msg.counted)
                    case messages.OrderRequest():
                        self.on_order(dst, executor, msg.leader or src, msg)

    def set_counted(self, agent, counted):
        if counted:
            self.counted.add(agent)
        else:
            self.counted.discard(agent)

    def on_order(self, name, executor, src, request):
        if request.engine != name:
            key = (name, request.engine)
            executor = self.direct_executors.setdefault(
                key, order_executor.OrderExecutor(reads_are_fresh=False)
            )
        self.execute(
            name, executor, executor.on_order(src, request), request.engine
        )

    def perform(self, name, acts):
        for act in acts:
            match act:
                case core.Send():
                    self.send(name, act.dst, act.msg)
                case actions.PhaseChanged():
                    self.phases.append((round(self.now, 2), name, act))
                case actions.SendDirectly():
                    order = codec.unpack_tagged(act.request.order)
                    self.direct_orders.append(order)
                    key = (name, act.request.engine)
                    executor = self.direct_executors.setdefault(
                        key, order_executor.OrderExecutor(reads_are_fresh=False)
                    )
                    acts_now = executor.on_order(act.agent, act.request)
                    self.execute(name, executor, acts_now, act.request.engine)

    def execute(self, host, executor, acts, agent):
        number = int(agent[1:])
        while acts:
            act = acts.pop(0)
            match act:
                case core.Send() if host in self.leaders:
                    self.send(agent, host, act.msg)
                case core.Send():
                    self.send(host, act.dst, act.msg)
                case order_executor.ReadState():
                    rank = self.group.ranks[number]
                    acts += executor.on_read(self.group.state(rank))
                case order_executor.PostOrder():
                    status = self.group.post_order(number, act.order, act.epoch)
                    acts += executor.on_answer(act.order, status)
