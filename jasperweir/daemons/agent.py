"""The agent daemon, which runs on a target VM beside the target."""

import threading
import time
from typing import Any

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.agent import engine as engine_lib
from jasperweir.components.agent import node as node_lib
from jasperweir.components.agent import response_buffer
from jasperweir.components.agent import run_executor
from jasperweir.components.agent import target_poller
from jasperweir.components.experts import const as expert_const
from jasperweir.components.experts import group as group_lib
from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.orders import planner
from jasperweir.components.runs import const as run_const
from jasperweir.components.runs import run_table as run_table_lib
from jasperweir.daemons import base
from jasperweir.daemons import config
from jasperweir.helpers import actors
from jasperweir.helpers import clocks
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import settings
from jasperweir.helpers import web

Code = result_codes.Code
LEAVE_SETTLE_SECONDS = 1.0
# Weights of skew against moves whose plans /experts compares.
COMPARED_SKEW_WEIGHTS = (0.1, 0.9)
H_ENGINE_STATUS = "Jasperweir-Engine-Status"
H_PATH = "jasperweir-path"
H_METHOD = "jasperweir-method"
FORWARDED_HEADERS = ("jasperweir-priority", "jasperweir-customer")


class AgentDaemon:
    """Runs an agent on an actor, with its link, HTTP server and target.

    Attributes:
        host: Actor, link, metrics and log of the daemon.
        table: Runs and reservations of this agent.
        agent: Core of the agent, to be used on the actor.
        executor: Sends runs to the target and keeps their responses.
        side: Polls the target's load and sends it orders.
        engine: Adapter to the engine of a group, None without a group.
    """

    def __init__(self, *, values: settings.Values, clock: core.Clock) -> None:
        cfg = config.read_common(values)
        target = values["target"]
        self.host = base.Host(cfg=cfg, clock=clock)
        self._service = target["service"]
        self._drain_s = values["limits"]["drain_s"]
        self.table = run_table_lib.RunTable(
            capacity={self._service: target["max_in_flight"]}
        )
        group = None
        if target["group"]:
            group = group_lib.Group(
                name=target["group"], own=cfg.name, metrics=self.host.metrics
            )
        self.agent = node_lib.Agent(
            group=group,
            member=self._build_member(cfg, target),
            seeds=cfg.seeds,
            voters=tuple(p.name for p in cfg.voters),
            rng=self.host.rng,
        )
        self.executor = run_executor.RunExecutor(
            url=target["url"],
            table=self.table,
            now=self.host.now,
            threads=cfg.threads,
        )
        self._planner = planner.Planner(
            service=target["service"], role=target["role"]
        )
        self.side = target_poller.TargetPoller(
            url=target["url"], orders=self._plan_orders
        )
        self.engine = None
        if group is not None:
            self.engine = engine_lib.GroupEngine(
                url=target["url"],
                group=group,
                call=self._run_on_actor,
                perform=self._perform,
                on_skew=self._on_skew,
            )
        self._server = web.Server(
            address=cfg.http, threads=cfg.threads, routes=self._routes()
        )
        self._done = threading.Event()
        self._draining = False

    def _build_member(
        self, cfg: config.CommonSettings, target: dict[str, Any]
    ) -> member_messages.Member:
        offer = member_messages.Offer(
            service=target["service"],
            adapters=target["adapters"],
            role=target["role"],
            max_in_flight=target["max_in_flight"],
        )
        return member_messages.Member(
            name=cfg.name,
            kind=member_const.KIND_AGENT,
            place=cfg.place,
            inc=self.host.incarnation,
            seq=0,
            status=member_messages.Status.JOINING,
            addr=cfg.internal,
            http=cfg.http,
            offers=(offer,),
            group=target["group"],
            ranks=target["ranks"],
        )

    # Lifecycle.

    def start(self) -> None:
        """Start the link, the actor, the polling and the HTTP server."""
        self.host.link.start()
        self.host.runner.start(self)
        self.side.start()
        if self.engine is not None:
            self.engine.start()
        self._server.start()

    def drain(self) -> None:
        """Start a graceful stop; a second call changes nothing.

        New runs are refused; active ones get ``drain_s`` seconds to finish.
        """
        if self._draining:
            return
        self._draining = True
        self.table.draining = True
        self.host.log.info("draining: new runs are refused")
        self.host.runner.call(
            lambda: self._perform(self.agent.announcer.announce_leaving())
        )
        threading.Thread(
            target=self._finish_drain, name="drain", daemon=True
        ).start()

    def _finish_drain(self) -> None:
        deadline = clocks.elapsed() + self._drain_s
        time.sleep(LEAVE_SETTLE_SECONDS)
        while self.executor.count_active() and clocks.elapsed() < deadline:
            time.sleep(0.1)
        self.host.runner.call(
            lambda: self._perform(self.agent.announcer.announce_left())
        )
        time.sleep(0.2)
        self._done.set()

    def wait(self) -> int:
        """Wait for the drain, release all resources, return the exit code."""
        self._done.wait()
        unfinished = self.executor.count_active()
        self.host.log.info(f"stopped, unfinished runs: {unfinished}")
        self._server.stop()
        self.side.stop()
        if self.engine is not None:
            self.engine.stop()
        self.host.runner.stop()
        self.host.link.stop()
        return 0 if unfinished == 0 else 1

    # Callbacks of the actor.

    def on_frame(self, received: link_lib.Received) -> None:
        """Handle a frame that the link received."""
        out = self.agent.receive(
            received.env.src, received.msg, self.host.now()
        )
        self._perform(out)

    def on_tick(self) -> None:
        """Advance timers, announce readiness and export metrics."""
        now = self.host.now()
        self._perform(self.agent.tick(now))
        self.table.ready = self.agent.is_ready and self.side.is_up
        self._perform(self.agent.announcer.set_ready(self.table.ready))
        self.executor.tick()
        self.host.export_link_metrics(now)
        self.host.metrics.gauge("runs_active", self.table.active())

    def on_error(self, exc: Exception) -> None:
        """Count and log an unexpected error; the actor goes on."""
        self.host.count_error(exc)

    def _plan_orders(
        self, reported: planner.EngineState
    ) -> list[planner.Order]:
        """Return the orders that bring the target to the bundle in force.

        The list is empty until the replica is ready and knows the minimum
        revision, so that a restarted agent applies no outdated bundle.
        """
        replica = self.agent.replica
        bundle = replica.bundle
        if (
            not replica.is_ready
            or bundle is None
            or replica.min_revision is None
        ):
            return []
        self.side.gate.raise_fence(replica.min_revision)
        return self._planner.plan(
            bundle, replica.table.revision, reported, self.host.now()
        )

    def _perform(self, acts: list[Any]) -> None:
        for peer in (
            *self.agent.announcer.watchers,
            *self.agent.announcer.group,
        ):
            self.host.link.learn(peer.name, peer.addr)
        self.host.incarnation = self.agent.announcer.member.inc
        if self.engine is not None:
            self.engine.perform(acts)
        self._send(acts)

    def _send(self, acts: list[Any]) -> None:
        """Send messages; one to this agent itself is delivered directly."""
        own = self.host.cfg.name
        for act in acts:
            if not isinstance(act, core.Send):
                continue
            if act.dst != own:
                self.host.send_all([act])
                continue
            self._perform(self.agent.receive(own, act.msg, self.host.now()))

    def _run_on_actor(self, func: Any) -> None:
        self.host.runner.tell(actors.Post(func=func))

    def _on_skew(self, skew: float, switching: bool) -> None:
        self.side.skew = skew
        self.side.switching = switching

    # HTTP handlers.

    def _routes(self) -> list[web.Route]:
        return [
            self.host.metrics_route(),
            web.Route("GET", "/healthz", self._healthz),
            web.Route("GET", "/readyz", self._readyz),
            web.Route("GET", "/experts", self._experts),
            web.Route("POST", "/runs/", self._post_run),
            web.Route("GET", "/runs/", self._get_run),
        ]

    def _healthz(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, {"healthy": True})

    def _readyz(self, req: web.Req) -> web.Resp:
        ready = self.table.ready and not self.table.draining
        return web.json_resp(
            200 if ready else 503,
            {
                "ready": ready,
                "target_up": self.side.is_up,
                "version": self.agent.replica.version,
                "leaving": self.table.draining,
            },
        )

    def _experts(self, req: web.Req) -> web.Resp:
        group = self.agent.group
        if group is None:
            return web.json_resp(200, {"group": "", "agent": ""})
        coordinator = group.coordinator
        step_mask = (1 << expert_const.STEP_BITS) - 1
        return web.json_resp(
            200,
            {
                "group": group.name,
                "agent": self.host.cfg.name,
                "role": "coordinator" if coordinator else "host",
                "term": group.step_gate.term,
                "steps": group.step_gate.done & step_mask,
                "skew": self.side.skew,
                "planned_skew": group.planned_skew,
                "moves": group.moves,
                "switches": coordinator.switches if coordinator else 0,
                "aborts": coordinator.aborts if coordinator else 0,
                "choices": [
                    choice._asdict()
                    for choice in self.host.runner.call(
                        lambda: group.compare_weights(COMPARED_SKEW_WEIGHTS)
                    )
                ],
            },
        )

    def _post_run(self, req: web.Req) -> web.Resp:
        rid, _, action = req.path.removeprefix("/runs/").partition("/")
        if req.header("jasperweir-incarnation") != str(self.host.incarnation):
            return self._reason_response(421, run_const.REFUSED_INCARNATION)
        service = req.query.get("service", "")
        match action:
            case "reserve":
                return self._verdict_response(
                    self.executor.reserve(rid, service)
                )
            case "revoke":
                return self._verdict_response(
                    self.executor.revoke(rid, service)
                )
            case "cancel":
                self.executor.cancel(rid)
                return self._reason_response(200, "cancelled")
            case "":
                return self._start_run(rid, service, req)
        return web.code_resp(Code.NOT_FOUND, req.path)

    def _start_run(self, rid: str, service: str, req: web.Req) -> web.Resp:
        reserved = req.query.get("reserved") == "1"
        verdict = self.executor.start(rid, service, reserved=reserved)
        match verdict:
            case run_table_lib.Refused():
                return self._verdict_response(verdict)
            case run_table_lib.Attach():
                return self._attach_run(rid, 0)
        call = run_executor.Call(
            method=req.header(H_METHOD, "POST"),
            path=req.header(H_PATH, "/"),
            content_type=req.header("content-type", "application/json"),
            body=req.body,
            headers={
                name: req.headers[name]
                for name in FORWARDED_HEADERS
                if name in req.headers
            },
        )
        try:
            chunks = self.executor.send(rid, call)
        except run_executor.BrokenAnswerError as exc:
            self.host.metrics.inc("runs_broken")
            buf = self.executor.get_buffer(rid)
            return self._broken_response(502, str(exc), buf)
        self.host.metrics.inc("runs_started")
        return self._stream_response(
            rid, self.executor.read_while_pulling(rid, chunks)
        )

    def _get_run(self, req: web.Req) -> web.Resp:
        rid = req.path.removeprefix("/runs/")
        if req.header("jasperweir-incarnation") != str(self.host.incarnation):
            return self._reason_response(421, run_const.REFUSED_INCARNATION)
        offset = req.query.get("offset", "0")
        if not offset.isdigit():
            return web.code_resp(Code.BAD_REQUEST, "offset is not a number")
        return self._attach_run(rid, int(offset))

    def _attach_run(self, rid: str, offset: int) -> web.Resp:
        buf = self.executor.get_buffer(rid)
        state = self.executor.get_state(rid)
        if buf is None:
            if state in (run_table_lib.State.DONE, run_table_lib.State.BROKEN):
                return self._reason_response(410, "answer dropped")
            reason = state.value if state else "unknown"
            return self._reason_response(404, reason)
        if not buf.wait_head(run_executor.HEAD_WAIT_SECONDS):
            return self._broken_response(410, "broken", buf)
        if buf.is_finished and not buf.is_complete:
            return self._broken_response(410, "broken", buf)
        self.host.metrics.inc("runs_attached")
        return self._stream_response(rid, self.executor.read(rid, offset))

    def _stream_response(self, rid: str, body: Any) -> web.Resp:
        buf = self.executor.get_buffer(rid)
        assert buf is not None
        headers = [
            ("Content-Type", buf.content_type or "application/octet-stream"),
            (H_ENGINE_STATUS, str(buf.status)),
            (run_const.H_LOAD, self._format_load()),
            (run_const.H_CACHED, ",".join(map(str, self.side.prefixes))),
        ]
        return web.Resp(200, headers, body)

    def _verdict_response(self, verdict: run_table_lib.Verdict) -> web.Resp:
        match verdict:
            case run_table_lib.Refused():
                self.host.metrics.inc("runs_refused", reason=verdict.reason)
                return self._reason_response(409, verdict.reason)
            case run_table_lib.Attach():
                return self._reason_response(200, verdict.state.value)
        return self._reason_response(200, "start")

    def _broken_response(
        self,
        status: int,
        reason: str,
        buf: response_buffer.ResponseBuffer | None,
    ) -> web.Resp:
        """Return the response for a broken run.

        It carries the number of the engine's crash if that broke the run.
        """
        resp = self._reason_response(status, reason)
        if buf is not None and buf.crash_number:
            resp.headers.append((run_const.H_ENGINE_END, str(buf.crash_number)))
        return resp

    def _reason_response(self, status: int, reason: str) -> web.Resp:
        return web.json_resp(
            status,
            {"reason": reason, "incarnation": self.host.incarnation},
            Jasperweir_Reason=reason,
            Jasperweir_Load=self._format_load(),
        )

    def _format_load(self) -> str:
        """Return the load header: active runs, rank skew, pending switch."""
        switching = int(self.side.switching)
        return f"{self.table.active()};{self.side.skew:.4f};{switching}"
