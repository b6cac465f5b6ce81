"""What makes two tries the same request, whatever their ids; sans-I/O."""

import hashlib
from typing import NamedTuple

import xxhash

from jasperweir.components.quarantine import const
from jasperweir.helpers import http_message


class Fingerprint(NamedTuple):
    """Identity of a request's content.

    Attributes:
        outline: Hash of everything but the body, for a quick comparison. The
            body's length is part of it.
        content: Cryptographic digest of the whole, body included.
    """

    outline: int
    content: bytes

    @property
    def label(self) -> str:
        """Name of the request in logs and on the metrics address."""
        return self.content.hex()


class Subject(NamedTuple):
    """What identifies a request.

    Headers other than the host are left out: a caller that sends a request
    again may give them new values.

    Attributes:
        method: Its method.
        host: Host, or service, that it is meant for.
        target: Its path and query.
        customer: Name of the customer whose key it bears, or empty.
        body: Its body.
    """

    method: bytes
    host: bytes
    target: bytes
    customer: str
    body: bytes


def subject(req: http_message.Request, customer: str) -> Subject:
    """Return what identifies a request that a caller sent over HTTP."""
    return Subject(
        method=req.method,
        host=(req.header(b"host") or b"").lower(),
        target=req.target,
        customer=customer,
        body=req.body,
    )


def outline(what: Subject) -> int:
    """Hash all that identifies a request but its body."""
    return xxhash.xxh3_64_intdigest(_frame(what))


def of(what: Subject) -> Fingerprint:
    """Return the fingerprint of a request."""
    digest = hashlib.blake2b(digest_size=const.CONTENT_BYTES)
    digest.update(_frame(what))
    digest.update(what.body)
    return Fingerprint(outline(what), digest.digest())


def _frame(what: Subject) -> bytes:
    size = b"%d" % len(what.body)
    # Neither a request line nor a header value may hold a line feed.
    parts = (what.method, what.host, what.target, what.customer.encode(), size)
    return b"\n".join(parts)
