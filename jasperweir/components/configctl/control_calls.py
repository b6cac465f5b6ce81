"""Calls of operators and targets to a control VM."""

from typing import NamedTuple
from typing import Protocol

from jasperweir import result_codes
from jasperweir.components.deployment import check
from jasperweir.components.deployment import model
from jasperweir.components.directory import records
from jasperweir.components.registry import ops
from jasperweir.helpers import http_message

Code = result_codes.Code


class Replace(NamedTuple):
    """An operator puts a configuration into force.

    Attributes:
        raw: The configuration as it was sent, to be given back as it is.
        deployment: Its content.
    """

    raw: bytes
    deployment: model.Deployment


class Describe(NamedTuple):
    """An operator reads the configuration in force."""


class Announce(NamedTuple):
    """A target tells that it is there, or that it leaves."""

    target: records.Target


class Deregister(NamedTuple):
    """A target tells that it is gone.

    Attributes:
        target_id: The target.
        born: Which of its starts, Unix milliseconds, 0 if it does not say.
    """

    target_id: str
    born: int = 0


class Invalid(NamedTuple):
    """A call that cannot be carried out as it is."""

    code: Code
    problems: tuple[str, ...]


Call = Replace | Describe | Announce | Deregister | Invalid


class Reply(NamedTuple):
    """An answer to a call."""

    status: int
    headers: http_message.Headers
    body: bytes


class ControlDialect(Protocol):
    """Translate calls and answers; decides nothing."""

    def call(self, req: http_message.Request) -> Call:
        """Read a call."""

    def deployment(self, raw: bytes) -> model.Deployment:
        """Read a configuration that was accepted."""

    def done(self) -> Reply:
        """Return the answer to a call that has been carried out."""

    def described(self, declared: ops.Declared, raw: bytes) -> Reply:
        """Return the answer that holds a configuration."""

    def refused(self, code: Code, problems: tuple[str, ...]) -> Reply:
        """Return the answer to a call that was not carried out."""


def validate_call(call: Call) -> Call:
    """Return a call, or what makes its configuration invalid."""
    if not isinstance(call, Replace):
        return call
    problems = check.problems(call.deployment)
    if problems:
        return Invalid(Code.BAD_DEPLOYMENT, tuple(problems))
    return call
