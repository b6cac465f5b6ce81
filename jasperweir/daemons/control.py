"""The control daemon: one voter with a disk, and the operators' door."""

import hashlib
import hmac
import json
import pathlib
import threading
import time
from typing import Any

from jasperweir import core
from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.config import const as config_const
from jasperweir.components.control import const as control_const
from jasperweir.components.control import controller as controller_lib
from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import gossip as gossip_lib
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.quorum import actions as quorum_actions
from jasperweir.components.quorum import storage as storage_lib
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import machine as machine_lib
from jasperweir.components.registry import ops
from jasperweir.daemons import base
from jasperweir.daemons import config
from jasperweir.helpers import codec
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import settings
from jasperweir.helpers import web

Code = result_codes.Code
EXIT_DISK = 3
HAND_OVER_SECONDS = 3.0
_OPS = {
    "sign_off": ops.SignOff,
    "roll": ops.Roll,
    "withdraw": ops.Withdraw,
}


class ControlDaemon:
    """Drive the controller with a disk, a link and HTTP."""

    def __init__(self, *, values: settings.Values, clock: core.Clock) -> None:
        cfg = config.common(values)
        self.host = base.Host(cfg=cfg, clock=clock)
        self._tokens = dict(values["operators"])
        self._storage = storage_lib.DiskStorage(
            folder=pathlib.Path(values["data"]["folder"])
        )
        self._waiting: dict[str, list[threading.Event]] = {}
        self._answers: dict[str, ops.Answer] = {}
        self._lock = threading.Lock()
        self._done = threading.Event()
        self._exit = 0
        self._role = ""
        recovered = self._storage.open()
        self.controller = self._build(recovered)
        self._server = web.Server(
            address=cfg.http, threads=cfg.threads, routes=self._routes()
        )

    def _build(self, recovered: Any) -> controller_lib.Controller:
        cfg = self.host.cfg
        machine = machine_lib.Machine()
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
        """Begin to take part."""
        self.host.link.start()
        self.host.runner.start(self)
        self._server.start()
        self.host.runner.call(
            lambda: self._perform(self.controller.gossip.join())
        )

    def drain(self) -> None:
        """Hand over the lead and stop taking part."""
        deadline = time.monotonic() + HAND_OVER_SECONDS
        self.host.runner.call(self._hand_over)
        while time.monotonic() < deadline and self._leads():
            time.sleep(0.05)
        self.host.runner.call(
            lambda: self._perform(self.controller.gossip.left())
        )
        self._done.set()

    def wait(self) -> int:
        """Wait for the end, close everything, return the exit code."""
        self._done.wait()
        self._server.stop()
        self.host.runner.stop()
        self.host.link.stop()
        self._storage.close()
        return self._exit

    @property
    def failed(self) -> bool:
        """Whether the disk has failed."""
        return self._exit != 0

    def _leads(self) -> bool:
        return self.controller.voter.role == voter_lib.LEADER

    def _hand_over(self) -> None:
        self._perform(self.controller.voter.hand_over(self.host.now()))

    # Actor callbacks.

    def on_frame(self, received: link_lib.Received) -> None:
        """Handle one frame."""
        out = self.controller.receive(
            received.env.src, received.msg, self.host.now()
        )
        self._perform(out)

    def on_tick(self) -> None:
        """Let time pass."""
        now = self.host.now()
        self._perform(self.controller.tick(now, self.host.clock.wall()))
        self.host.export_link(now)

    def on_error(self, exc: Exception) -> None:
        """Stop at once on a disk error; count anything else."""
        if isinstance(exc, exceptions.StorageError):
            self.host.log.error(f"disk failed, leaving the quorum: {exc}")
            self._exit = EXIT_DISK
            self._done.set()
            return
        self.host.metrics.inc("errors", kind=type(exc).__name__)
        self.host.log.error(f"unexpected {type(exc).__name__}: {exc}")

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
                    self._on_role(act)
                case controller_lib.Answered():
                    self._on_answered(act)
                case core.Send():
                    self._send(act)

    def _send(self, act: core.Send) -> None:
        seat = self.controller.voter.seat(act.dst)
        if seat is not None:
            self.host.link.learn(seat.name, seat.addr)
        self.host.send_all([act], self.controller.gossip.roster)

    def _on_role(self, act: quorum_actions.RoleChanged) -> None:
        self.host.metrics.inc("role_changes", role=act.role)
        if act.role != self._role:
            self._role = act.role
            self.host.log.info(f"{act.role} in term {act.term}")

    def _on_answered(self, act: controller_lib.Answered) -> None:
        self.host.metrics.inc("operations", code=str(int(act.answer.code)))
        with self._lock:
            waiters = self._waiting.pop(act.op_id, [])
            if waiters:
                self._answers[act.op_id] = act.answer
        for event in waiters:
            event.set()

    # The operators' door.

    def _routes(self) -> list[web.Route]:
        return [
            self.host.metrics_route(),
            web.Route("GET", "/healthz", self._healthz),
            web.Route("GET", "/readyz", self._readyz),
            web.Route("GET", "/status", self._status),
            web.Route("GET", "/bundle/", self._bundle),
            web.Route("GET", "/targets", self._targets),
            web.Route("POST", "/ops/", self._operate),
            web.Route("POST", "/seats/", self._seats),
            web.Route("POST", "/bootstrap", self._bootstrap),
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

    def _status(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, self.host.runner.call(self._status_now))

    def _status_now(self) -> dict[str, Any]:
        ctl = self.controller
        table = ctl.machine.table
        prefix = config_const.PREFIX_PLACE
        roll = ctl.machine.roll()
        nodes = ctl.nodes_by_place()
        now = self.host.now()
        return {
            "head": ctl.machine.head,
            "revision": table.revision,
            "role": ctl.voter.role,
            "leader": ctl.voter.leader,
            "term": ctl.voter.term,
            "commit": ctl.voter.commit,
            "log_entries": len(ctl.voter.log),
            "seats": [list(s) for s in ctl.voter.seats.seats],
            "waiting_for_seat": sorted(ctl.voter.waiting),
            "roll": roll._asdict() if roll else None,
            "view": ctl.machine.view()._asdict(),
            "places": {
                key.removeprefix(prefix): {
                    "version": codec.unpack(table.get(key) or b"", int),
                    "revision": table.revision_of(key),
                    "nodes": [
                        self._node_status(name, now)
                        for name in nodes.get(key.removeprefix(prefix), [])
                    ],
                }
                for key in table.keys(prefix)
            },
            "audit": [r._asdict() for r in list(ctl.machine.audit)[-20:]],
        }

    def _node_status(self, name: str, now: float) -> dict[str, Any]:
        report = self.controller.reports.get(name)
        if report is None:
            return {"name": name, "revision": None, "heard_s_ago": None}
        return {
            "name": name,
            "revision": report.beat.revision,
            "burn": round(report.beat.burn, 2),
            "heard_s_ago": round(now - report.at, 1),
        }

    def _bundle(self, req: web.Req) -> web.Resp:
        text = req.path.removeprefix("/bundle/")
        version = int(text) if text.isdigit() else -1
        machine = self.controller.machine
        record = machine.version(version)
        if record is None and version != 0:
            return web.code_resp(Code.UNKNOWN_VERSION, text)
        content = self.host.runner.call(lambda: machine.content(version))
        return web.json_resp(
            200,
            {
                "version": version,
                "head": machine.head,
                "revision": machine.table.revision,
                "record": record._asdict() if record else None,
                "content": content,
            },
        )

    def _targets(self, req: web.Req) -> web.Resp:
        members = self.host.runner.call(self.controller.gossip.roster.members)
        return web.json_resp(
            200,
            {
                "revision": self.controller.machine.table.revision,
                "members": [
                    {**m._asdict(), "status": m.status.name.lower()}
                    for m in sorted(members)
                ],
            },
        )

    def _operator(self, req: web.Req) -> str:
        """Return the operator whose token the request carries, or ''."""
        token = req.header("authorization").removeprefix("Bearer ").strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        for name, known in self._tokens.items():
            if hmac.compare_digest(digest, known):
                return name
        return ""

    def _operate(self, req: web.Req) -> web.Resp:
        who = self._operator(req)
        if not who:
            return web.code_resp(Code.FORBIDDEN)
        kind: Any = _OPS.get(req.path.removeprefix("/ops/"))
        if kind is None:
            return web.code_resp(Code.NOT_FOUND, req.path)
        try:
            body = json.loads(req.body)
            op_id = str(body.pop("op_id"))
            if kind is ops.SignOff:
                body["change"] = tuple(sorted(body["change"].items()))
            op = codec.unpack(codec.pack(list(_ordered(kind, body))), kind)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return web.code_resp(Code.BAD_REQUEST, str(exc))
        except exceptions.FrameError as exc:
            return web.code_resp(Code.BAD_REQUEST, str(exc))
        request = ops.Request(
            op_id=f"{who}/{op_id}",
            who=who,
            at=self.host.clock.wall(),
            body=codec.pack_tagged(op),
        )
        return self._propose(request)

    def _propose(self, request: ops.Request) -> web.Resp:
        event = threading.Event()
        with self._lock:
            self._waiting.setdefault(request.op_id, []).append(event)
        result = self.host.runner.call(lambda: self._propose_now(request))
        if isinstance(result, ops.Answer):
            return self._op_resp(result)
        if result != Code.ACCEPTED:
            leader = self.controller.voter.leader
            return web.code_resp(result, leader, extra={"leader": leader})
        if not event.wait(control_const.ANSWER_SECONDS):
            return web.code_resp(Code.UNCONFIRMED, request.op_id)
        return self._op_resp(self._answers[request.op_id])

    def _propose_now(self, request: ops.Request) -> Code | ops.Answer:
        result, out = self.controller.propose(request, self.host.now())
        self._perform(out)
        return result

    def _op_resp(self, answer: ops.Answer) -> web.Resp:
        code = Code(answer.code)
        if code == Code.ACCEPTED:
            return web.json_resp(
                200,
                {
                    "code": int(code),
                    "version": answer.version,
                    "detail": answer.detail,
                },
            )
        return web.code_resp(
            code, answer.detail, extra={"version": answer.version}
        )

    def _seats(self, req: web.Req) -> web.Resp:
        if not self._operator(req):
            return web.code_resp(Code.FORBIDDEN)
        verb, _, name = req.path.removeprefix("/seats/").partition("/")
        ctl = self.controller
        change = {"add": ctl.add_seat, "remove": ctl.remove_seat}.get(verb)
        if change is None or not name:
            return web.code_resp(Code.BAD_REQUEST, "add or remove a name")

        def act() -> Code:
            code, out = change(name, self.host.now())
            self._perform(out)
            return code

        code = self.host.runner.call(act)
        if code == Code.ACCEPTED:
            return web.json_resp(200, {"code": int(code), "name": name})
        leader = ctl.voter.leader
        return web.code_resp(code, name, extra={"leader": leader})

    def _bootstrap(self, req: web.Req) -> web.Resp:
        """Found a new log: the one explicit act, refused if one is known."""
        if not self._operator(req):
            return web.code_resp(Code.FORBIDDEN)
        seen = self.controller.gossip.seen_revision
        if seen:
            return web.code_resp(
                Code.LOG_EXISTS, f"some node holds revision {seen}"
            )

        def act() -> str:
            try:
                address = self.host.cfg.internal
                self._perform(self.controller.voter.bootstrap(address))
            except ValueError as exc:
                return str(exc)
            return ""

        problem = self.host.runner.call(act)
        if problem:
            return web.code_resp(Code.LOG_EXISTS, problem)
        return web.json_resp(200, {"code": int(Code.ACCEPTED)})


def _ordered(kind: Any, body: dict[str, Any]) -> list[Any]:
    """Return a JSON body's fields in the order of the operation's type."""
    unknown = body.keys() - set(kind._fields)
    if unknown:
        raise ValueError(f"unknown fields: {sorted(unknown)}")
    return [body[field] for field in kind._fields]
