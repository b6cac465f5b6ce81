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


def outline(req: http_message.Request, customer: str) -> int:
    """Hash all that identifies a request but its body.

    Args:
        req: The caller's request.
        customer: Name of the customer whose key it bears, or empty.
    """
    return xxhash.xxh3_64_intdigest(_identity(req, customer))


def of(req: http_message.Request, customer: str) -> Fingerprint:
    """Return the fingerprint of a request.

    Headers other than the host are left out: a caller that sends a request
    again may give them new values.

    Args:
        req: The caller's request.
        customer: Name of the customer whose key it bears, or empty.
    """
    digest = hashlib.blake2b(digest_size=const.CONTENT_BYTES)
    digest.update(_identity(req, customer))
    digest.update(req.body)
    return Fingerprint(outline(req, customer), digest.digest())


def _identity(req: http_message.Request, customer: str) -> bytes:
    host = (req.header(b"host") or b"").lower()
    size = b"%d" % len(req.body)
    # Neither a request line nor a header value may hold a line feed.
    return b"\n".join((req.method, host, req.target, customer.encode(), size))
