"""Calls of operators and targets to a control VM."""

from typing import NamedTuple
from typing import Protocol

from jasperweir import result_codes
from jasperweir.components.deployment import model
from jasperweir.components.deployment import validation
from jasperweir.components.directory import records
from jasperweir.components.registry import ops
from jasperweir.helpers import http_message

Code = result_codes.Code


class Replace(NamedTuple):
    """Call of an operator that applies a configuration.

    Attributes:
        raw: The configuration as received; reads return it unchanged.
        deployment: Its decoded content.
    """

    raw: bytes
    deployment: model.Deployment


class Describe(NamedTuple):
    """Call of an operator that reads the applied configuration."""


class Announce(NamedTuple):
    """Call of a target that is available or draining."""

    target: records.Target


class Deregister(NamedTuple):
    """Call that removes a target.

    Attributes:
        target_id: The target.
        born: Start time of the target's incarnation in Unix milliseconds, 0
            if unknown.
    """

    target_id: str
    born: int = 0


class Evacuate(NamedTuple):
    """Call of an operator that evacuates a data centre or withdraws that.

    Attributes:
        place: The data centre.
        evacuated: Wanted state.
    """

    place: str
    evacuated: bool


class Invalid(NamedTuple):
    """Call that is refused.

    Attributes:
        code: Result code.
        problems: Descriptions of the errors.
    """

    code: Code
    problems: tuple[str, ...]


Call = Replace | Describe | Announce | Deregister | Evacuate | Invalid


class Reply(NamedTuple):
    """HTTP response to a call."""

    status: int
    headers: http_message.Headers
    body: bytes


class ControlDialect(Protocol):
    """Translates HTTP requests into calls and results into responses."""

    def call(self, req: http_message.Request) -> Call:
        """Decode a call."""

    def deployment(self, raw: bytes) -> model.Deployment:
        """Decode a configuration that was accepted before."""

    def done(self) -> Reply:
        """Return the response to a completed call."""

    def described(self, declared: ops.Declared, raw: bytes) -> Reply:
        """Return the response that contains a configuration."""

    def refused(self, code: Code, problems: tuple[str, ...]) -> Reply:
        """Return the response to a refused call."""


def validate_call(call: Call) -> Call:
    """Return the call, or Invalid if its configuration has problems."""
    if not isinstance(call, Replace):
        return call
    problems = validation.find_problems(call.deployment)
    if problems:
        return Invalid(Code.BAD_DEPLOYMENT, tuple(problems))
    return call
