"""Fingerprints by which requests are recognized; sans-I/O.

A request is known by the fingerprint of all of its content and by those of the
parts of its prompt that other requests may have in common with it.
"""

import hashlib
from typing import NamedTuple

import xxhash

from jasperweir.components.quarantine import const
from jasperweir.helpers import http_message


class Fingerprint(NamedTuple):
    """Identity of a request's content, or of a part of its prompt.

    Attributes:
        outline: Hash of everything but the body or the part, for a quick
            comparison; that of a request includes the length of the body.
        content: Cryptographic digest. That of a request includes everything.
            That of a part includes the service but not the customer, so that
            customers with the same part can be counted.
        is_part: Whether it identifies a part of prompts.
    """

    outline: int
    content: bytes
    is_part: bool = False

    @property
    def label(self) -> str:
        """Name of the request in logs and on the page for operators."""
        return self.content.hex()


class Subject(NamedTuple):
    """What identifies a request.

    Headers other than the host are left out, because a retry may change them.

    Attributes:
        method: HTTP method.
        host: Host or service that the request is for.
        target: Path and query.
        customer: Name of the customer whose key it carries, or empty.
        body: Body.
        service: Service whose targets run it.
        prompt_parts: Ids of the parts of its prompt that other requests may
            have in common with it.
    """

    method: bytes
    host: bytes
    target: bytes
    customer: str
    body: bytes | bytearray
    service: str = ""
    prompt_parts: tuple[str, ...] = ()


def subject(
    req: http_message.Request,
    customer: str,
    service: str = "",
    prompt_parts: tuple[str, ...] = (),
) -> Subject:
    """Return what identifies an HTTP request."""
    return Subject(
        method=req.method,
        host=(req.header(b"host") or b"").lower(),
        target=req.target,
        customer=customer,
        body=req.body,
        service=service,
        prompt_parts=prompt_parts,
    )


def outline(found: Subject) -> int:
    """Return the hash of what identifies a request, but for its body."""
    return xxhash.xxh3_64_intdigest(_encode(found))


def compute_quick(found: Subject) -> int:
    """Return a 63-bit hash of a request's content, body included."""
    return xxhash.xxh3_64_intdigest(found.body, outline(found)) >> 1


def compute(found: Subject) -> Fingerprint:
    """Return the fingerprint of a request."""
    digest = hashlib.blake2b(digest_size=const.CONTENT_BYTES)
    digest.update(_encode(found))
    digest.update(found.body)
    return Fingerprint(outline(found), digest.digest())


def part_outline(service: str, customer: str) -> int:
    """Return the outline of all parts of a customer's prompts."""
    return xxhash.xxh3_64_intdigest(f"part\n{service}\n{customer}".encode())


def compute_parts(found: Subject) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of the parts of a request's prompt.

    Parts beyond the first PARTS_MAX are left out.
    """
    if not found.prompt_parts:
        return ()
    common = part_outline(found.service, found.customer)
    key = found.service.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
    return tuple(
        Fingerprint(
            common,
            hashlib.blake2b(
                part.encode(), digest_size=const.CONTENT_BYTES, key=key
            ).digest(),
            is_part=True,
        )
        for part in dict.fromkeys(found.prompt_parts[: const.PARTS_MAX])
        if part
    )


def _encode(found: Subject) -> bytes:
    size = b"%d" % len(found.body)
    # Neither a request line nor a header value may hold a line feed.
    lines = (
        found.method,
        found.host,
        found.target,
        found.customer.encode(),
        size,
    )
    return b"\n".join(lines)
