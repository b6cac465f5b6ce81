"""The entry daemon, which serves the callers' HTTP requests."""

import threading
import time
from typing import Any

from returns import result

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.burn import const as burn_const
from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.entry import bundle_gate as bundle_gate_lib
from jasperweir.components.entry import const
from jasperweir.components.entry import driver_context as context_lib
from jasperweir.components.entry import node as node_lib
from jasperweir.components.entry import parsed_request as request_lib
from jasperweir.components.entry import request_driver as driver_lib
from jasperweir.daemons import base
from jasperweir.daemons import config
from jasperweir.helpers import actors
from jasperweir.helpers import clocks
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import settings
from jasperweir.helpers import web

Code = result_codes.Code
RUNS_PREFIX = "/v1/runs/"


class EntryDaemon:
    """Runs an entry on an actor, with its link and HTTP server.

    Attributes:
        host: Actor, link, metrics and log of the daemon.
        entry: Core of the entry, to be used on the actor.
    """

    def __init__(self, *, values: settings.Values, clock: core.Clock) -> None:
        cfg = config.read_common(values)
        limits = values["limits"]
        self.host = base.Host(cfg=cfg, clock=clock)
        self._drain_s = limits["drain_s"]
        identity = node_lib.Identity(
            name=cfg.name,
            place=cfg.place,
            inc=self.host.incarnation,
            addr=cfg.internal,
            http=cfg.http,
        )
        self.entry = node_lib.Entry(
            identity=identity,
            seeds=cfg.seeds,
            voters=tuple(p.name for p in cfg.voters),
            max_streams=limits["max_streams"],
            rng=self.host.rng,
        )
        agent_client = agent_client_lib.AgentClient(
            connections=cfg.threads, on_load=self._on_load
        )
        self._context = context_lib.DriverContext(
            entry=self.entry,
            agent_client=agent_client,
            call=self.host.runner.call,
            tell=lambda func: self.host.runner.tell(actors.Post(func=func)),
            perform=self._perform,
            now=self.host.now,
            increment=self.host.metrics.inc,
        )
        self._bundle_gate = bundle_gate_lib.BundleGate(
            get_standing=lambda: self.host.runner.call(
                lambda: self.entry.get_standing(self.host.now())
            ),
            now=self.host.now,
            sleep=time.sleep,
        )
        self._server = web.Server(
            address=cfg.http, threads=cfg.threads, routes=self._routes()
        )
        self._next_export_at = 0.0
        self._done = threading.Event()
        self._logged_version = 0

    # Lifecycle.

    def start(self) -> None:
        """Start the link, the actor and the HTTP server, and join."""
        self.host.link.start()
        self.host.runner.start(self)
        self._server.start()
        self.host.runner.call(
            lambda: self._perform(self.entry.start(self.host.now()))
        )

    def drain(self) -> None:
        """Start a graceful stop; a second call changes nothing.

        The entry is left out of address answers and goes on serving until its
        requests are done or ``drain_s`` seconds are over.
        """
        if self.entry.draining:
            return
        self.host.log.info("draining: no longer listed in address answers")
        self.host.runner.call(lambda: self._perform(self.entry.drain()))
        threading.Thread(
            target=self._finish_drain, name="drain", daemon=True
        ).start()

    def _finish_drain(self) -> None:
        bundle = self.entry.replica.bundle
        address_ttl_s = bundle.callers.address_ttl_s if bundle else 0.0
        # Callers may cache an address answer for its time to live.
        time.sleep(address_ttl_s + const.EXTRA_DRAIN_SECONDS)
        deadline = clocks.elapsed() + self._drain_s
        while self.entry.active() and clocks.elapsed() < deadline:
            time.sleep(0.1)
        self.host.runner.call(
            lambda: self._perform(self.entry.gossip.announce_left())
        )
        time.sleep(0.2)
        self._done.set()

    def wait(self) -> int:
        """Wait for the drain, release all resources, return the exit code."""
        self._done.wait()
        unfinished = self.entry.active()
        self.host.log.info(f"stopped, unfinished requests: {unfinished}")
        self._server.stop()
        self.host.runner.stop()
        self.host.link.stop()
        return 0 if unfinished == 0 else 1

    # Callbacks of the actor.

    def on_frame(self, received: link_lib.Received) -> None:
        """Handle a frame that the link received."""
        env = received.env
        out = self.entry.receive(
            env.src, env.src_inc, received.msg, self.host.now()
        )
        self._perform(out)

    def on_tick(self) -> None:
        """Advance the entry's timers and export metrics."""
        now = self.host.now()
        self._perform(self.entry.tick(now))
        self.host.export_link_metrics(now)
        self._export_metrics(now)

    def on_error(self, exc: Exception) -> None:
        """Count and log an unexpected error; the actor goes on."""
        self.host.count_error(exc)

    def _perform(self, acts: list[Any]) -> None:
        # Gossip raises the incarnation if it learns of an older process with
        # this name.
        self.host.incarnation = self.entry.gossip.roster.own.inc
        self.host.send_all(acts, self.entry.gossip.roster)

    def _on_load(self, name: str, load: agent_client_lib.Load) -> None:
        now = self.host.now()

        def report() -> None:
            self.entry.router.update_load(
                name,
                active=load.active,
                skew=load.skew,
                switching=load.switching,
                now=now,
            )
            self.entry.router.update_cached_prefixes(name, load.cached)

        self._context.tell(report)

    def _export_metrics(self, now: float) -> None:
        if now < self._next_export_at:
            return
        self._next_export_at = now + const.METRICS_INTERVAL_SECONDS
        metrics = self.host.metrics
        metrics.gauge("revision", self.entry.replica.table.revision)
        metrics.gauge("bundle_version", self.entry.replica.version)
        metrics.gauge("requests_active", self.entry.active())
        metrics.gauge("claims_held", len(self.entry.claim_owner))
        if self.entry.replica.version != self._logged_version:
            self._logged_version = self.entry.replica.version
            self.host.log.info(
                f"bundle version {self._logged_version} is in force"
            )

    # HTTP handlers.

    def _routes(self) -> list[web.Route]:
        return [
            self.host.metrics_route(),
            web.Route("GET", "/healthz", self._healthz),
            web.Route("GET", "/readyz", self._readyz),
            web.Route("GET", "/v1/addresses", self._addresses),
            web.Route("GET", "/v1/burn", self._burn),
            web.Route("GET", RUNS_PREFIX, self._resume_run),
            web.Route("POST", request_lib.INFERENCE_PATH, self._serve_request),
            web.Route("*", request_lib.PLAIN_PREFIX, self._serve_request),
        ]

    def _healthz(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, {"healthy": True})

    def _readyz(self, req: web.Req) -> web.Resp:
        entry = self.entry
        standing = self.host.runner.call(
            lambda: entry.get_standing(self.host.now())
        )
        ready = entry.is_serving and not entry.draining
        ready = ready and not standing.is_refusing
        age = self.host.now() - entry.control.heard_at
        return web.json_resp(
            200 if ready else 503,
            {
                "ready": ready,
                "version": entry.replica.version,
                "revision": entry.replica.table.revision,
                "floor": entry.replica.min_revision,
                "claims_epoch": entry.claim_owner.epoch,
                "claims_ready_epoch": entry.claim_owner.ready_epoch,
                "claims_confirmed": entry.claim_owner.has_authority(
                    self.host.now()
                ),
                "draining": entry.draining,
                "control_heard_s_ago": round(min(age, 1e9), 1),
                "standing": standing.value,
            },
        )

    def _addresses(self, req: web.Req) -> web.Resp:
        answer = self.host.runner.call(
            lambda: self.entry.addresses(
                service=req.query.get("service", ""),
                place=req.query.get("place", ""),
                salt=req.query.get("salt", req.header("user-agent")),
            )
        )
        if answer is None:
            return web.code_resp(Code.NOT_READY, retry_after=1.0)
        return web.json_resp(
            200,
            {
                "ttl_s": answer.ttl_s,
                "addresses": [a._asdict() for a in answer.addresses],
            },
        )

    def _burn(self, req: web.Req) -> web.Resp:
        now = self.host.now()
        bundle = self.entry.replica.bundle
        windows = self.entry.burn

        def collect() -> list[dict[str, Any]]:
            return [
                cell._asdict()
                for window in burn_const.WINDOWS_SECONDS
                for cell in windows.list_cells(window, now)
            ]

        services = bundle.services.values() if bundle else ()
        return web.json_resp(
            200,
            {
                "node": self.host.cfg.name,
                "place": self.host.cfg.place,
                "objectives": {s.name: s.objective for s in services},
                "cells": self.host.runner.call(collect),
            },
        )

    def _serve_request(self, req: web.Req) -> web.Resp:
        denied = self._bundle_gate.check()
        bundle = self.entry.replica.bundle
        if denied is not None or bundle is None:
            reason = denied or Code.NOT_READY
            self.host.metrics.inc("requests", service="", code=str(int(reason)))
            return web.code_resp(
                reason, retry_after=1.0, vouched=request_lib.vouched(req)
            )
        match request_lib.parse(req, bundle):
            case result.Success(request):
                return driver_lib.RequestDriver(
                    context=self._context, request=request
                ).serve()
            case result.Failure(rejected):
                code = str(int(rejected.code))
                self.host.metrics.inc("requests", service="", code=code)
                return web.code_resp(
                    rejected.code,
                    rejected.detail,
                    vouched=request_lib.vouched(req),
                )
        raise AssertionError("a result is a success or a failure")

    def _resume_run(self, req: web.Req) -> web.Resp:
        """Stream a run's response from an offset.

        Any entry can serve this, also one that did not start the run.
        """
        parts = req.path.removeprefix(RUNS_PREFIX).split("/")
        offset = req.query.get("offset", "0")
        if len(parts) != 3 or not (parts[1] + offset).isdigit():
            return web.code_resp(Code.BAD_REQUEST, "NAME/INC/RUN?offset=N")
        name, inc, rid = parts
        member = self.entry.gossip.roster.get(name)
        if member is None:
            return web.code_resp(Code.NO_SUCH_RUN, name)
        target = agent_client_lib.Target(name, int(inc), member.http)
        stream = self._context.agent_client.attach(
            rid, int(offset), target, 60.0
        )
        if not isinstance(stream, agent_client_lib.Stream):
            return web.code_resp(Code.NO_SUCH_RUN, type(stream).__name__)
        headers = [
            (web.CODE_HEADER, str(int(Code.OK))),
            ("Content-Type", stream.content_type),
        ]
        return web.Resp(stream.status, headers, stream.chunks)
