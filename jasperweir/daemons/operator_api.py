"""HTTP API for operators, served by a control VM."""

from collections.abc import Callable
import hashlib
import hmac
import json
import threading
from typing import Any

from returns import result

from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.config import const as config_const
from jasperweir.components.control import const as control_const
from jasperweir.components.control import controller as controller_lib
from jasperweir.components.registry import ops
from jasperweir.daemons import base
from jasperweir.helpers import codec
from jasperweir.helpers import web

Code = result_codes.Code
_OPERATION_TYPES = {
    "sign_off": ops.SignOff,
    "roll": ops.Roll,
    "withdraw": ops.Withdraw,
}


class OperationWaiter:
    """An HTTP request that waits until its operation is applied.

    Attributes:
        event: Set when the operation was applied.
        answer: Result of the operation, None until then.
    """

    def __init__(self) -> None:
        self.event = threading.Event()
        self.answer: ops.Answer | None = None


class OperatorApi:
    """Authenticates operators and proposes their operations to the log."""

    def __init__(
        self,
        *,
        controller: controller_lib.Controller,
        host: base.Host,
        perform: Callable[[list[Any]], None],
        tokens: dict[str, str],
    ) -> None:
        self._controller = controller
        self._host = host
        self._perform = perform
        self._tokens = tokens
        self._waiters: dict[str, list[OperationWaiter]] = {}
        self._lock = threading.Lock()

    def routes(self) -> list[web.Route]:
        """Return the routes of the API."""
        return [
            web.Route("GET", "/status", self._status),
            web.Route("GET", "/bundle/", self._bundle),
            web.Route("GET", "/targets", self._targets),
            web.Route("POST", "/ops/", self._submit_operation),
            web.Route("POST", "/seats/", self._change_seat),
            web.Route("POST", "/bootstrap", self._bootstrap),
        ]

    def complete_operation(self, act: controller_lib.OperationApplied) -> None:
        """Pass an applied operation's answer to the requests waiting for it."""
        with self._lock:
            waiters = self._waiters.pop(act.op_id, [])
        for waiter in waiters:
            waiter.answer = act.answer
            waiter.event.set()

    def _status(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, self._host.runner.call(self._collect_status))

    def _collect_status(self) -> dict[str, Any]:
        controller = self._controller
        table = controller.machine.table
        prefix = config_const.PREFIX_PLACE
        roll = controller.machine.roll()
        nodes = controller.nodes_by_place()
        now = self._host.now()
        return {
            "head": controller.machine.head,
            "revision": table.revision,
            "role": controller.voter.role,
            "leader": controller.voter.leader,
            "term": controller.voter.term,
            "commit": controller.voter.commit,
            "log_entries": len(controller.voter.log),
            "voting_seats": sum(
                seat.voting for seat in controller.voter.seats.seats
            ),
            "wanted_seats": controller.voter.wanted_voters,
            "reduced": controller.voter.seats.reduced,
            "seats": [list(seat) for seat in controller.voter.seats.seats],
            "waiting_for_seat": sorted(controller.voter.seat_requests),
            "roll": roll._asdict() if roll else None,
            "view": controller.machine.view()._asdict(),
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
            "audit": [
                record._asdict()
                for record in list(controller.machine.audit)[-20:]
            ],
        }

    def _node_status(self, name: str, now: float) -> dict[str, Any]:
        report = self._controller.reports.get(name)
        if report is None:
            return {"name": name, "revision": None, "heard_s_ago": None}
        return {
            "name": name,
            "revision": report.heartbeat.revision,
            "burn": round(report.heartbeat.burn, 2),
            "heard_s_ago": round(now - report.received_at, 1),
        }

    def _bundle(self, req: web.Req) -> web.Resp:
        text = req.path.removeprefix("/bundle/")
        version = int(text) if text.isdigit() else -1
        machine = self._controller.machine
        record = machine.version(version)
        if record is None and version != 0:
            return web.code_resp(Code.UNKNOWN_VERSION, text)
        content = self._host.runner.call(lambda: machine.content(version))
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
        members = self._host.runner.call(self._controller.gossip.roster.members)
        return web.json_resp(
            200,
            {
                "revision": self._controller.machine.table.revision,
                "members": [
                    {**m._asdict(), "status": m.status.name.lower()}
                    for m in sorted(members)
                ],
            },
        )

    def _authenticate(self, req: web.Req) -> str:
        """Return the name of the token's operator, '' for an unknown token."""
        token = req.header("authorization").removeprefix("Bearer ").strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        for name, known in self._tokens.items():
            if hmac.compare_digest(digest, known):
                return name
        return ""

    def _submit_operation(self, req: web.Req) -> web.Resp:
        operator = self._authenticate(req)
        if not operator:
            return web.code_resp(Code.FORBIDDEN)
        kind: Any = _OPERATION_TYPES.get(req.path.removeprefix("/ops/"))
        if kind is None:
            return web.code_resp(Code.NOT_FOUND, req.path)
        match _parse_operation(kind, req.body):
            case result.Failure(detail):
                return web.code_resp(Code.BAD_REQUEST, detail)
            case result.Success((op_id, op)):
                request = ops.Request(
                    op_id=f"{operator}/{op_id}",
                    who=operator,
                    at=self._host.clock.wall(),
                    body=codec.pack_tagged(op),
                )
                return self._propose(request)
        raise AssertionError("a result is a success or a failure")

    def _propose(self, request: ops.Request) -> web.Resp:
        waiter = OperationWaiter()
        with self._lock:
            self._waiters.setdefault(request.op_id, []).append(waiter)
        try:
            return self._propose_and_wait(request, waiter)
        finally:
            self._remove_waiter(request.op_id, waiter)

    def _propose_and_wait(
        self, request: ops.Request, waiter: "OperationWaiter"
    ) -> web.Resp:
        outcome = self._host.runner.call(
            lambda: self._propose_on_actor(request)
        )
        if isinstance(outcome, ops.Answer):
            return self._operation_response(outcome)
        if outcome != Code.ACCEPTED:
            leader = self._controller.voter.leader
            return web.code_resp(outcome, leader, extra={"leader": leader})
        if not waiter.event.wait(control_const.REQUEST_TIMEOUT_SECONDS):
            return web.code_resp(Code.UNCONFIRMED, request.op_id)
        assert waiter.answer is not None
        return self._operation_response(waiter.answer)

    def _remove_waiter(self, op_id: str, waiter: "OperationWaiter") -> None:
        with self._lock:
            waiters = self._waiters.get(op_id, [])
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                self._waiters.pop(op_id, None)

    def _propose_on_actor(self, request: ops.Request) -> Code | ops.Answer:
        outcome, acts = self._controller.propose(request, self._host.now())
        self._perform(acts)
        return outcome

    def _operation_response(self, answer: ops.Answer) -> web.Resp:
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

    def _change_seat(self, req: web.Req) -> web.Resp:
        if not self._authenticate(req):
            return web.code_resp(Code.FORBIDDEN)
        action, _, name = req.path.removeprefix("/seats/").partition("/")
        controller = self._controller
        change = {
            "add": controller.add_seat,
            "remove": controller.remove_seat,
        }.get(action)
        if change is None or not name:
            return web.code_resp(
                Code.BAD_REQUEST,
                "expected /seats/add/NAME or /seats/remove/NAME",
            )

        def change_on_actor() -> Code:
            code, acts = change(name, self._host.now())
            self._perform(acts)
            return code

        code = self._host.runner.call(change_on_actor)
        if code == Code.ACCEPTED:
            return web.json_resp(200, {"code": int(code), "name": name})
        leader = controller.voter.leader
        return web.code_resp(code, name, extra={"leader": leader})

    def _bootstrap(self, req: web.Req) -> web.Resp:
        """Bootstrap a new replicated log.

        The request is refused if this VM or gossip knows of a log: a second
        one would replace the configuration that nodes hold.
        """
        if not self._authenticate(req):
            return web.code_resp(Code.FORBIDDEN)
        revision = self._controller.gossip.seen_revision
        if revision:
            return web.code_resp(
                Code.LOG_EXISTS, f"a node already holds revision {revision}"
            )

        def bootstrap_on_actor() -> str:
            try:
                address = self._host.cfg.internal
                self._perform(self._controller.voter.bootstrap(address))
            except ValueError as exc:
                return str(exc)
            return ""

        problem = self._host.runner.call(bootstrap_on_actor)
        if problem:
            return web.code_resp(Code.LOG_EXISTS, problem)
        return web.json_resp(200, {"code": int(Code.ACCEPTED)})


def _parse_operation(
    kind: Any, raw: bytes
) -> result.Result[tuple[str, Any], str]:
    """Return the id and the typed operation of a JSON body, or the error."""
    try:
        body = json.loads(raw)
        op_id = str(body.pop("op_id"))
        if kind is ops.SignOff:
            body["change"] = tuple(sorted(body["change"].items()))
        op = codec.unpack(codec.pack(list(_list_fields(kind, body))), kind)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return result.Failure(str(exc))
    except exceptions.FrameError as exc:
        return result.Failure(str(exc))
    return result.Success((op_id, op))


def _list_fields(kind: Any, body: dict[str, Any]) -> list[Any]:
    """Return the values of a JSON body in the order of the type's fields.

    Raises:
        KeyError: A field is missing.
        ValueError: A field is unknown.
    """
    unknown = body.keys() - set(kind._fields)
    if unknown:
        raise ValueError(f"unknown fields: {sorted(unknown)}")
    return [body[field] for field in kind._fields]
