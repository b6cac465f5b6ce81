"""Control VMs and an entry in one process that exchange frames over sockets."""

import asyncio
import collections
import random

from features.harness import quorum as quorum_lib
from features.harness import sockets
from jasperweir import core
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import node as node_lib
from jasperweir.components.directory import records
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.helpers import clocks
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import loop_link

TICK_SECONDS = 0.05


class LinkedSite:
    """Runs the decisions of a site on real links, with disks in memory.

    Attributes:
        names: Addresses of the control VMs, which are their names.
        nodes: Running control VMs by name.
        disks: Disks of the control VMs by name.
        results: Actions that ended a call, by name and number.
        entry: Discovery client of the entry.
        applied: Versions that the entry has put into force, with their content.
    """

    def __init__(self, *, controls: int) -> None:
        self.names = sorted(sockets.free_address() for _ in range(controls))
        self.disks = {n: quorum_lib.FakeDisk(n) for n in self.names}
        self.nodes: dict[str, node_lib.ConfigNode] = {}
        self.links: dict[str, loop_link.LoopLink] = {}
        self.results: dict = {}
        self.applied: dict[int, bytes] = {}
        self.entry_name = sockets.free_address()
        self.entry: discovery_client.DiscoveryClient | None = None
        self._rng = random.Random(1)
        self._starts = collections.Counter()
        self._ticker: asyncio.Task | None = None

    async def start(self, names=None, *, bootstrap=True) -> None:
        """Start control VMs, the first of which bootstraps the log."""
        for name in names or self.names:
            self._start_control(name, bootstrap=bootstrap)
        if self._ticker is None:
            self._ticker = asyncio.create_task(self._tick())

    def stop(self) -> None:
        """Stop all processes."""
        if self._ticker is not None:
            self._ticker.cancel()
        for link in self.links.values():
            link.stop()

    def kill(self, name: str) -> None:
        """End a control VM; its disk stays."""
        self.links.pop(name).stop()
        del self.nodes[name]

    def start_entry(self) -> None:
        """Start the entry."""
        name = self.entry_name
        link = self._start_link(name, self._on_entry_frame)
        node = records.Node(name, "entry", "p", f"{name}0", False, 7, 0)
        self.entry = discovery_client.DiscoveryClient(
            node=node, seeds=tuple(self.names[:3]), now=clocks.elapsed()
        )
        assert link is self.links[name]

    def replace(self, name: str, version: int, data: bytes) -> tuple[str, int]:
        """Send an order to a control VM; return the key of its result."""
        started = self.nodes[name].replace(version, data, clocks.elapsed())
        self._perform(name, started.acts)
        return (name, started.number)

    def describe(self, name: str) -> tuple[str, int]:
        """Read the newest version at a control VM."""
        started = self.nodes[name].describe(clocks.elapsed())
        self._perform(name, started.acts)
        return (name, started.number)

    async def call(self, start, within_s: float):
        """Repeat a call until it succeeds; return its result or None."""
        until = clocks.elapsed() + within_s
        while clocks.elapsed() < until:
            key = start()
            while key not in self.results and clocks.elapsed() < until:
                await asyncio.sleep(0.01)
            found = self.results.get(key)
            if isinstance(
                found, requests_lib.Replaced | requests_lib.Described
            ):
                return found
        return None

    async def wait(self, condition, within_s: float) -> bool:
        """Wait until a condition holds; return whether it does."""
        until = clocks.elapsed() + within_s
        while not condition() and clocks.elapsed() < until:
            await asyncio.sleep(0.01)
        return bool(condition())

    def leader(self) -> str:
        """Return the name of the leader, empty if there is none."""
        now = clocks.elapsed()
        found = [n for n, x in self.nodes.items() if x.voter.has_lease(now)]
        return found[0] if found else ""

    def _start_control(self, name: str, *, bootstrap: bool) -> None:
        now = clocks.elapsed()
        self._starts[name] += 1
        node = node_lib.ConfigNode(
            name=name,
            place="p",
            voter=voter_lib.Voter(
                name=name,
                recovered=self.disks[name].recovered(),
                rng=self._rng,
                now=now,
            ),
            seeds=tuple(self.names[:3]),
            wanted_seats=min(3, len(self.names)),
            first_number=1000 * self._starts[name],
        )
        self.nodes[name] = node
        self._start_link(
            name, lambda src, msg: self._on_control_frame(name, src, msg)
        )
        self._perform(name, node.restore(0, b"", now))
        if bootstrap:
            node.start_bootstrap(decides=name == self.names[0], now=now)

    def _start_link(self, name, on_frame) -> loop_link.LoopLink:
        link = loop_link.LoopLink(
            name=name,
            address=name,
            incarnation=lambda: 1 + self._starts[name],
            deliver=lambda received: on_frame(received.env.src, received.msg),
            liveness=link_lib.Liveness(),
        )
        link.start()
        self.links[name] = link
        return link

    async def _tick(self) -> None:
        while True:
            now = clocks.elapsed()
            for name, node in list(self.nodes.items()):
                self._perform(name, node.tick(now))
            if self.entry is not None:
                self._perform(self.entry_name, self.entry.tick(now))
            await asyncio.sleep(TICK_SECONDS)

    def _on_control_frame(self, name, src, msg) -> None:
        if name in self.nodes:
            acts = self.nodes[name].receive(src, msg, clocks.elapsed())
            self._perform(name, acts)

    def _on_entry_frame(self, src, msg) -> None:
        acts = self.entry.receive(src, msg, clocks.elapsed())
        self._perform(self.entry_name, acts)

    def _perform(self, name, acts) -> None:
        for act in acts:
            match act:
                case core.Send():
                    self.links[name].learn(act.dst, act.dst)
                    self.links[name].send(act.dst, act.msg)
                case (
                    actions.SaveMeta()
                    | actions.SaveEntries()
                    | actions.SaveSnapshot()
                ):
                    self.disks[name].save(act)
                case discovery_client.ApplyConfiguration():
                    self.applied[act.version] = act.data
                    self._perform(
                        name,
                        self.entry.on_applied(act.version, clocks.elapsed()),
                    )
                case _ if hasattr(act, "number"):
                    self.results[(name, act.number)] = act
