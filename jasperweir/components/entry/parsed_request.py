"""Parsing and validation of a caller's request."""

import hashlib
import json
import secrets
from typing import Any
from typing import NamedTuple

from returns import result

from jasperweir import result_codes
from jasperweir.components.bundle import const as bundle_const
from jasperweir.components.bundle import specs
from jasperweir.components.quarantine import const as quarantine_const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.routing import router as router_lib
from jasperweir.helpers import hashing
from jasperweir.helpers import web

Code = result_codes.Code

H_CUSTOMER = "jasperweir-customer"
H_DEADLINE = "jasperweir-deadline"
H_PRIORITY = "jasperweir-priority"
H_KEY = "idempotency-key"
H_ATTEMPT = "jasperweir-attempt"
H_REQUEST_ID = "jasperweir-request-id"
INFERENCE_PATH = "/v1/chat/completions"
PLAIN_PREFIX = "/svc/"
DEFAULT_CUSTOMER = "anonymous"
MAX_HEADER_VALUE = 200
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class ParsedRequest(NamedTuple):
    """A request that passed all checks.

    Attributes:
        rid: Request id, also returned to the caller.
        spec: Requested service.
        query: Requirements on the target.
        customer: Customer of the request.
        priority: From 0, the most urgent, to 9.
        key: Customer and idempotency key.
        keyed: Whether the request has a key and runs at most once.
        first: Whether the caller says that this is its first try.
        deadline_s: Seconds from arrival to the deadline.
        streamed: Whether the answer is a stream of events.
        method: HTTP method.
        path: HTTP path at the target.
        content_type: Content type of the body.
        body: Body of the request.
        digest: Digest that differs for another request with the same key.
        prompt_parts: Digests of the messages of its prompt but the last.
    """

    rid: str
    spec: specs.ServiceSpec
    query: router_lib.TargetQuery
    customer: specs.CustomerSpec
    priority: int
    key: str
    keyed: bool
    is_first_try: bool
    deadline_s: float
    streamed: bool
    method: str
    path: str
    content_type: str
    body: bytes
    digest: int
    prompt_parts: tuple[str, ...] = ()

    @property
    def subject(self) -> fingerprint.Subject:
        """Content of the request that is fingerprinted for quarantine."""
        return fingerprint.Subject(
            method=self.method.encode(),
            host=self.spec.name.encode(),
            target=self.path.encode(),
            customer=self.customer.name,
            body=self.body,
            service=self.spec.name,
            prompt_parts=self.prompt_parts,
        )


class Rejected(NamedTuple):
    """An invalid request that has not been run."""

    code: Code
    detail: str


def vouched(req: web.Req) -> bool:
    """Return whether "not run" would hold for all tries of a request.

    A resent request may be rejected although its first try was run.
    """
    return not req.header(H_KEY) or req.header(H_ATTEMPT) == "1"


def parse(
    req: web.Req, bundle: specs.Bundle
) -> result.Result[ParsedRequest, Rejected]:
    """Parse a request and check it against the bundle in force."""
    headers = _parse_headers(req, bundle)
    if isinstance(headers, Rejected):
        return result.Failure(headers)
    if req.path.startswith(PLAIN_PREFIX):
        found = _parse_plain(req, bundle, headers)
    else:
        found = _parse_inference(req, bundle, headers)
    if isinstance(found, Rejected):
        return result.Failure(found)
    return result.Success(found)


class _Headers(NamedTuple):
    customer: specs.CustomerSpec
    deadline_s: float
    priority: int
    key: str
    is_first_try: bool


def _parse_headers(req: web.Req, bundle: specs.Bundle) -> _Headers | Rejected:
    for name in (H_CUSTOMER, H_KEY, H_REQUEST_ID):
        value = req.header(name)
        if len(value) > MAX_HEADER_VALUE or not value.isprintable():
            return Rejected(Code.BAD_HEADER, name)
    customer = bundle.customer(req.header(H_CUSTOMER, DEFAULT_CUSTOMER))
    if customer is None:
        return Rejected(Code.UNKNOWN_CUSTOMER, "")
    deadline = _parse_number(req.header(H_DEADLINE), bundle.callers.deadline_s)
    if deadline is None or not 0 < deadline <= 3600:
        return Rejected(Code.BAD_DEADLINE, req.header(H_DEADLINE)[:40])
    priority = _parse_number(req.header(H_PRIORITY), customer.priority)
    if priority is None or not 0 <= priority <= 9:
        return Rejected(Code.BAD_HEADER, H_PRIORITY)
    attempt = _parse_number(req.header(H_ATTEMPT), 0)
    if attempt is None:
        return Rejected(Code.BAD_HEADER, H_ATTEMPT)
    return _Headers(
        customer=customer,
        deadline_s=deadline,
        priority=int(priority),
        key=req.header(H_KEY),
        is_first_try=attempt == 1,
    )


def _parse_inference(
    req: web.Req, bundle: specs.Bundle, headers: _Headers
) -> ParsedRequest | Rejected:
    try:
        body: Any = json.loads(req.body)
        name = str(body["model"])
        prompt = json.dumps(body["messages"], sort_keys=True)
        prompt_parts = _digest_messages(body["messages"])
        streamed = bool(body.get("stream", False))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return Rejected(Code.BAD_REQUEST, "not a chat completion request")
    base, _, adapter = name.partition(":")
    spec = bundle.services.get(base)
    if spec is None or spec.kind != bundle_const.KIND_MODEL:
        return Rejected(Code.UNKNOWN_SERVICE, name[:80])
    if adapter and adapter not in spec.adapters:
        return Rejected(Code.UNKNOWN_SERVICE, name[:80])
    query = router_lib.TargetQuery(
        service=base,
        adapter=adapter,
        prefix=router_lib.prefix_hash(prompt.encode()),
    )
    return _build_request(
        req,
        spec,
        query,
        headers,
        path=INFERENCE_PATH,
        streamed=streamed,
        safe=False,
        prompt_parts=prompt_parts,
    )


def _parse_plain(
    req: web.Req, bundle: specs.Bundle, headers: _Headers
) -> ParsedRequest | Rejected:
    rest = req.path.removeprefix(PLAIN_PREFIX)
    name, _, path = rest.partition("/")
    spec = bundle.services.get(name)
    if spec is None or spec.kind != bundle_const.KIND_PLAIN:
        return Rejected(Code.UNKNOWN_SERVICE, name[:80])
    query = router_lib.TargetQuery(service=name)
    return _build_request(
        req,
        spec,
        query,
        headers,
        path=f"/{path}",
        streamed=False,
        safe=req.method in SAFE_METHODS,
    )


def _build_request(
    req: web.Req,
    spec: specs.ServiceSpec,
    query: router_lib.TargetQuery,
    headers: _Headers,
    *,
    path: str,
    streamed: bool,
    safe: bool,
    prompt_parts: tuple[str, ...] = (),
) -> ParsedRequest | Rejected:
    # A key requires at most one run. Without a key, a service that is not
    # idempotent accepts safe methods only.
    keyed = bool(headers.key)
    if not keyed and not spec.idempotent and not safe:
        return Rejected(Code.KEY_MISSING, spec.name)
    tag = f"{req.method} {path} {spec.name}:{query.adapter} {streamed}"
    digest = hashing.checksum(tag.encode() + b"\x00" + req.body)
    return ParsedRequest(
        rid=secrets.token_hex(8),
        spec=spec,
        query=query,
        customer=headers.customer,
        priority=headers.priority,
        key=f"{headers.customer.name}\x1f{headers.key}",
        keyed=keyed,
        is_first_try=headers.is_first_try,
        deadline_s=headers.deadline_s,
        streamed=streamed,
        method=req.method,
        path=path,
        content_type=req.header("content-type", "application/json"),
        body=req.body,
        digest=digest,
        prompt_parts=prompt_parts,
    )


def _digest_messages(messages: Any) -> tuple[str, ...]:
    """Return digests of all messages of a prompt but the last."""
    if not isinstance(messages, list):
        return ()
    return tuple(
        hashlib.blake2b(
            json.dumps(message, sort_keys=True).encode(),
            digest_size=quarantine_const.CONTENT_BYTES,
        ).hexdigest()
        for message in messages[:-1][: quarantine_const.PARTS_MAX]
    )


def _parse_number(text: str, default: float) -> float | None:
    if not text:
        return float(default)
    try:
        value = float(text)
    except ValueError:
        return None
    return value if value == value else None
