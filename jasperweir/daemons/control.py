"""The control daemon: a Raft voter, its disk and the operator API."""

import pathlib
import threading
import time
from typing import Any

from jasperweir import core
from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.control import const as control_const
from jasperweir.components.control import controller as controller_lib
from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import gossip as gossip_lib
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.quorum import actions as quorum_actions
from jasperweir.components.quorum import storage as storage_lib
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.daemons import base
from jasperweir.daemons import config
from jasperweir.daemons import operator_api
from jasperweir.helpers import clocks
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import settings
from jasperweir.helpers import web

Code = result_codes.Code
EXIT_DISK = 3
LEADERSHIP_TRANSFER_SECONDS = 3.0


class ControlDaemon:
    """Runs a controller on an actor, with its disk, link and HTTP server.

    Attributes:
        host: Actor, link, metrics and log of the daemon.
        controller: Core of the control VM, to be used on the actor.
    """

    def __init__(self, *, values: settings.Values, clock: core.Clock) -> None:
        cfg = config.read_common(values)
        self.host = base.Host(
            cfg=cfg, clock=clock, tick_seconds=control_const.TICK_SECONDS
        )
        self._storage = storage_lib.DiskStorage(
            folder=pathlib.Path(values["data"]["folder"])
        )
        self._done = threading.Event()
        self._exit_code = 0
        self._logged_role = ""
        recovered = self._storage.open()
        self.controller = self._build_controller(recovered)
        self._operator_api = operator_api.OperatorApi(
            controller=self.controller,
            host=self.host,
            perform=self._perform,
            tokens=dict(values["operators"]),
        )
        self._server = web.Server(
            address=cfg.http, threads=cfg.threads, routes=self._routes()
        )

    def _build_controller(self, recovered: Any) -> controller_lib.Controller:
        cfg = self.host.cfg
        machine = state_machine_lib.StateMachine()
        own = member_messages.Member(
            name=cfg.name,
            kind=member_const.KIND_CONTROL,
            place=cfg.place,
            inc=self.host.incarnation,
            seq=0,
            status=member_messages.Status.ALIVE,
            addr=cfg.internal,
            http=cfg.http,
        )
        return controller_lib.Controller(
            voter=voter_lib.Voter(
                name=cfg.name,
                recovered=recovered,
                rng=self.host.rng,
                now=self.host.now(),
            ),
            gossip=gossip_lib.Gossip(
                own=own,
                table=machine.table,
                seeds=cfg.seeds,
                rng=self.host.rng,
            ),
            machine=machine,
            address=cfg.internal,
        )

    # Lifecycle.

    def start(self) -> None:
        """Start the link, the actor and the HTTP server, and join."""
        self.host.link.start()
        self.host.runner.start(self)
        self._server.start()
        self.host.runner.call(
            lambda: self._perform(self.controller.gossip.join())
        )

    def drain(self) -> None:
        """Transfer the leadership, if held, and leave the membership."""
        deadline = clocks.elapsed() + LEADERSHIP_TRANSFER_SECONDS
        self.host.runner.call(self._transfer_leadership)
        while clocks.elapsed() < deadline and self._is_leader():
            time.sleep(0.05)
        self.host.runner.call(
            lambda: self._perform(self.controller.gossip.announce_left())
        )
        self._done.set()

    def wait(self) -> int:
        """Wait for the drain, release all resources, return the exit code."""
        self._done.wait()
        self._server.stop()
        self.host.runner.stop()
        self.host.link.stop()
        self._storage.close()
        return self._exit_code

    @property
    def failed(self) -> bool:
        """Whether the disk failed."""
        return self._exit_code != 0

    def _is_leader(self) -> bool:
        return self.controller.voter.role == voter_lib.LEADER

    def _transfer_leadership(self) -> None:
        self._perform(
            self.controller.voter.transfer_leadership(self.host.now())
        )

    # Callbacks of the actor.

    def on_frame(self, received: link_lib.Received) -> None:
        """Handle a frame that the link received."""
        out = self.controller.receive(
            received.env.src, received.msg, self.host.now()
        )
        self._perform(out)

    def on_tick(self) -> None:
        """Advance the controller's timers and export the link's metrics."""
        now = self.host.now()
        self._perform(self.controller.tick(now, self.host.clock.wall()))
        self.host.export_link_metrics(now)

    def on_error(self, exc: Exception) -> None:
        """Stop the voter on a disk error; count and log any other error.

        A voter that cannot persist its votes and entries must not go on.
        """
        if isinstance(exc, exceptions.StorageError):
            self.host.log.error(f"disk failed, this voter stops: {exc}")
            self._exit_code = EXIT_DISK
            self._done.set()
            return
        self.host.count_error(exc)

    def _perform(self, acts: list[Any]) -> None:
        if self.failed:
            return
        for act in acts:
            match act:
                case quorum_actions.SaveMeta():
                    self._storage.save_meta(act.meta)
                case quorum_actions.SaveEntries():
                    self._storage.save_entries(act.first, act.entries)
                case quorum_actions.SaveSnapshot():
                    self._storage.save_snapshot(act.snapshot, act.kept)
                case quorum_actions.RoleChanged():
                    self._on_role_changed(act)
                case controller_lib.OperationApplied():
                    code = str(int(act.answer.code))
                    self.host.metrics.inc("operations", code=code)
                    self._log_operation(act)
                    self._operator_api.complete_operation(act)
                case core.Send():
                    self._send(act)

    def _log_operation(self, act: controller_lib.OperationApplied) -> None:
        answer = act.answer
        code_name = result_codes.Code(answer.code).name.lower()
        self.host.log.info(
            f"operation {act.op_id}: {code_name}, version {answer.version}"
        )

    def _send(self, act: core.Send) -> None:
        seat = self.controller.voter.find_seat(act.dst)
        if seat is not None:
            self.host.link.learn(seat.name, seat.addr)
        self.host.send_all([act], self.controller.gossip.roster)

    def _on_role_changed(self, act: quorum_actions.RoleChanged) -> None:
        self.host.metrics.inc("role_changes", role=act.role)
        if act.role != self._logged_role:
            self._logged_role = act.role
            self.host.log.info(f"role is {act.role} in term {act.term}")

    # HTTP handlers.

    def _routes(self) -> list[web.Route]:
        return [
            self.host.metrics_route(),
            web.Route("GET", "/healthz", self._healthz),
            web.Route("GET", "/readyz", self._readyz),
            *self._operator_api.routes(),
        ]

    def _healthz(self, req: web.Req) -> web.Resp:
        status = 500 if self.failed else 200
        return web.json_resp(status, {"healthy": not self.failed})

    def _readyz(self, req: web.Req) -> web.Resp:
        voter = self.controller.voter
        ready = bool(voter.leader) and not self.failed
        return web.json_resp(
            200 if ready else 503,
            {
                "ready": ready,
                "role": voter.role,
                "leader": voter.leader,
                "may_vote": voter.may_vote,
            },
        )
