"""Fingerprint of a request by which its attempts are recognized; sans-I/O."""

import hashlib
from typing import NamedTuple

import xxhash

from jasperweir.components.quarantine import const
from jasperweir.helpers import http_message


class Fingerprint(NamedTuple):
    """Identity of a request's content.

    Attributes:
        outline: Hash of everything but the body, for a quick comparison; it
            includes the length of the body.
        content: Cryptographic digest of everything including the body.
    """

    outline: int
    content: bytes

    @property
    def label(self) -> str:
        """Name of the request in logs and on the page for operators."""
        return self.content.hex()


class Subject(NamedTuple):
    """Parts of a request that identify it.

    Headers other than the host are left out, because a retry may change them.

    Attributes:
        method: HTTP method.
        host: Host or service that the request is for.
        target: Path and query.
        customer: Name of the customer whose key it carries, or empty.
        body: Body.
    """

    method: bytes
    host: bytes
    target: bytes
    customer: str
    body: bytes


def subject(req: http_message.Request, customer: str) -> Subject:
    """Return the identifying parts of an HTTP request."""
    return Subject(
        method=req.method,
        host=(req.header(b"host") or b"").lower(),
        target=req.target,
        customer=customer,
        body=req.body,
    )


def outline(parts: Subject) -> int:
    """Return the hash of the identifying parts without the body."""
    return xxhash.xxh3_64_intdigest(_encode_parts(parts))


def compute_quick(parts: Subject) -> int:
    """Return a 63-bit hash of a request's content, body included."""
    return xxhash.xxh3_64_intdigest(parts.body, outline(parts)) >> 1


def compute(parts: Subject) -> Fingerprint:
    """Return the fingerprint of a request."""
    digest = hashlib.blake2b(digest_size=const.CONTENT_BYTES)
    digest.update(_encode_parts(parts))
    digest.update(parts.body)
    return Fingerprint(outline(parts), digest.digest())


def _encode_parts(parts: Subject) -> bytes:
    size = b"%d" % len(parts.body)
    # Neither a request line nor a header value may hold a line feed.
    lines = (
        parts.method,
        parts.host,
        parts.target,
        parts.customer.encode(),
        size,
    )
    return b"\n".join(lines)
