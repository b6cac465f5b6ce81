"""HTTP calls of operators and targets that await a control VM's result."""

import zlib

from jasperweir import result_codes
from jasperweir.components.configctl import const
from jasperweir.components.configctl import control_calls as calls_lib
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import node as node_lib
from jasperweir.helpers import http_server
from jasperweir.helpers import logs

Code = result_codes.Code
_log = logs.logger("control")


class ControlCalls:
    """Passes calls to a ConfigNode and its results back to the callers."""

    def __init__(
        self,
        *,
        dialect: calls_lib.ControlDialect,
        data_centres: tuple[str, ...] = (),
    ) -> None:
        """Initialize without open calls.

        Args:
            dialect: Protocol of operators and targets.
            data_centres: Data centres that the settings list, empty if they
                list none.
        """
        self._dialect = dialect
        self._data_centres = data_centres
        self._pending: dict[int, http_server.ResponseWriter] = {}

    def handle(
        self,
        answering: http_server.ResponseWriter,
        node: node_lib.ConfigNode | None,
        now: float,
    ) -> node_lib.Actions:
        """Validate a call, start it and return the node's actions.

        Args:
            answering: The HTTP exchange of the call.
            node: Node that processes the call, None while its storage is
                unavailable.
            now: Monotonic seconds.
        """
        call = calls_lib.validate_call(self._dialect.call(answering.request))
        return self.start(answering, call, node, now)

    def start(
        self,
        answering: http_server.ResponseWriter,
        call: calls_lib.Call,
        node: node_lib.ConfigNode | None,
        now: float,
    ) -> node_lib.Actions:
        """Start a decoded call; see ``handle``."""
        if isinstance(call, calls_lib.Invalid):
            _log.info(
                "call refused",
                path=answering.request.path,
                code=call.code.name.lower(),
                problems=list(call.problems[:5]),
            )
            self._refuse(answering, call.code, call.problems)
            return []
        if node is None:
            self._refuse(answering, Code.NOT_CONFIRMED, ())
            return []
        if isinstance(call, calls_lib.Evacuate):
            code = self._check_place(node, call.place)
            if code is not None:
                _log.info(
                    "evacuation refused",
                    place=call.place,
                    evacuated=call.evacuated,
                    code=code.name.lower(),
                )
                self._refuse(answering, code, (call.place,))
                return []
        started = _start_request(node, call, now)
        self._pending[started.number] = answering
        if isinstance(call, calls_lib.Evacuate):
            # The operator may order the opposite elsewhere from now on.
            answering.on_gone = lambda: self._on_gone(node, started.number)
        return started.acts

    def _check_place(
        self, node: node_lib.ConfigNode, place: str
    ) -> Code | None:
        """Return why an order for a data centre is refused, or None."""
        if evacuations_lib.is_known(
            place,
            configured=self._data_centres,
            evacuated=node.machine.evacuations().places,
            discovery=node.discovery,
        ):
            return None
        if not self._data_centres and not node.discovery.has_reports:
            # It has just started and may not have heard of the data centre.
            return Code.NOT_CONFIRMED
        return Code.UNKNOWN_DATA_CENTRE

    def _on_gone(self, node: node_lib.ConfigNode, number: int) -> None:
        if self._pending.pop(number, None) is not None:
            node.abandon(number)

    def send_result(
        self,
        act: (
            requests_lib.Replaced
            | evacuations_lib.Evacuated
            | requests_lib.Described
            | discovery_server.Acknowledged
            | discovery_server.Unconfirmed
        ),
    ) -> None:
        """Send the result of a call to its caller."""
        match act:
            case requests_lib.Replaced():
                self._reply(act.number, self._dialect.done(), act.version)
            case evacuations_lib.Evacuated():
                self._reply(act.number, self._dialect.done(), act.orders)
            case discovery_server.Acknowledged():
                self._reply(act.number, self._dialect.done(), 0)
            case requests_lib.Described():
                raw = zlib.decompress(act.declared.data)
                reply = self._dialect.described(act.declared, raw)
                self._reply(act.number, reply, act.declared.version)
            case discovery_server.Unconfirmed():
                self._reply_unconfirmed(act.number)

    def reject_pending(self) -> None:
        """Reply to all waiting callers that their calls are unconfirmed."""
        for number in list(self._pending):
            self._reply_unconfirmed(number)

    def _reply_unconfirmed(self, number: int) -> None:
        self._reply(number, self._dialect.refused(Code.NOT_CONFIRMED, ()), 0)

    def _refuse(
        self,
        answering: http_server.ResponseWriter,
        code: Code,
        problems: tuple[str, ...],
    ) -> None:
        reply = self._dialect.refused(code, problems)
        answering.reply(reply.status, reply.headers, reply.body)

    def _reply(self, number: int, reply: calls_lib.Reply, version: int) -> None:
        answering = self._pending.pop(number, None)
        if answering is None:
            return
        _log.info(
            "call answered",
            number=number,
            path=answering.request.path,
            status=reply.status,
            version=version,
        )
        answering.reply(reply.status, reply.headers, reply.body)


def _start_request(
    node: node_lib.ConfigNode, call: calls_lib.Call, now: float
) -> discovery_server.StartedRequest:
    match call:
        case calls_lib.Replace():
            _log.info("replace asked", version=call.deployment.version)
            data = zlib.compress(call.raw, const.COMPRESS_LEVEL)
            return node.replace(call.deployment.version, data, now)
        case calls_lib.Evacuate():
            _log.info(
                "evacuation asked" if call.evacuated else "withdrawal asked",
                place=call.place,
                known=node.machine.evacuation(call.place)._asdict(),
            )
            return node.evacuate(call.place, evacuated=call.evacuated, now=now)
        case calls_lib.Announce():
            if call.target.presence:
                _log.info(
                    "target leaves",
                    target=call.target.target_id,
                    born=call.target.born,
                )
            return node.announce(call.target, now)
        case calls_lib.Deregister():
            _log.info("target gone", target=call.target_id, born=call.born)
            return node.deregister(call.target_id, now, call.born)
        case _:
            return node.describe(now)
