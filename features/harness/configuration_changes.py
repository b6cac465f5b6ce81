"""Two versions of a configuration, and requests that tell them apart."""

import http.client
import itertools
from typing import NamedTuple

from features.harness import platform as platform_lib

NEW_KEY = "key-of-version-8"
OLD_KEY = "key-of-version-7"
SERVICES = {"i-1.1": "m", "i-2.1": "n"}


class Request(NamedTuple):
    """A request that the two versions decide on differently.

    Attributes:
        path: Path of the request.
        key: API key.
        body: Body, None for a GET request.
        outcomes: Expected status and service by version.
    """

    path: str
    key: str
    body: bytes | None
    outcomes: dict[int, tuple[int, str]]


class Seen(NamedTuple):
    """Response to such a request.

    Attributes:
        name: Name of the request.
        status: Status of the response.
        service: Service that ran it, or empty.
        code: Result code of the entry, or empty.
        versions: Versions that allow this outcome.
    """

    name: str
    status: int
    service: str
    code: str
    versions: set[int]


_KEY = platform_lib.KEY
REQUESTS = {
    "moved": Request("/safe/x", _KEY, None, {7: (200, "m"), 8: (200, "n")}),
    "moved stream": Request(
        "/stream/x", _KEY, b"", {7: (200, "m"), 8: (200, "n")}
    ),
    "added": Request("/added/x", _KEY, None, {7: (404, ""), 8: (200, "m")}),
    "dropped": Request("/dropped/x", _KEY, None, {7: (200, "m"), 8: (404, "")}),
    "added key": Request(
        "/kept/x", NEW_KEY, None, {7: (401, ""), 8: (200, "m")}
    ),
    "revoked key": Request(
        "/kept/x", OLD_KEY, None, {7: (200, "m"), 8: (401, "")}
    ),
}
NAMES = tuple(REQUESTS)
_numbers = itertools.count(1)


def make_document(version):
    """Return version 7, or version 8 with all changes."""
    is_new = version == 8
    doc = platform_lib.document(version)
    by_prefix = {route["pathPrefix"]: route for route in doc["routes"]}
    for prefix in ("/safe/", "/stream/"):
        by_prefix[prefix]["service"] = "n" if is_new else "m"
    changed = "/added/" if is_new else "/dropped/"
    for number, prefix in enumerate(("/kept/", changed), start=20):
        doc["routes"].append(
            {
                **by_prefix["/safe/"],
                "name": f"r{number}",
                "pathPrefix": prefix,
                "service": "m",
            }
        )
    doc["services"] = [
        {"name": name, "healthPath": "/healthz"} for name in ("m", "n")
    ]
    key = NEW_KEY if is_new else OLD_KEY
    doc["tenants"] = [{"name": "one", "apiKeys": [_KEY, key]}]
    return doc


def ask(plat, number, name, conn=None, wait_s=5.0, resume_after=""):
    """Send a request to an entry.

    Args:
        plat: The processes.
        number: Number of the entry's VM.
        name: Name of the request in REQUESTS.
        conn: Open connection, None for a new one.
        wait_s: Time for which the caller waits, seconds.
        resume_after: Event after which a stream continues, or empty.

    Raises:
        OSError: The entry can't be reached or broke off.
    """
    asked = REQUESTS[name]
    address = f"{platform_lib.control_ip(number)}"
    own = conn or http.client.HTTPConnection(
        address, platform_lib.CALLERS, timeout=wait_s
    )
    headers = {
        "Host": platform_lib.HOST,
        "Attempt-Id": f"x{next(_numbers)}",
        "Deadline-Ms": str(round(wait_s * 1000)),
        "Authorization": f"Bearer {asked.key}",
    }
    if resume_after:
        headers["Last-Event-Id"] = resume_after
    try:
        own.request(
            "GET" if asked.body is None else "POST",
            asked.path,
            body=asked.body,
            headers=headers,
        )
        resp = own.getresponse()
        resp.read()
    except http.client.HTTPException as exc:
        raise OSError(str(exc)) from exc
    finally:
        if conn is None:
            own.close()
    service = SERVICES.get(resp.getheader("Server-Signature") or "", "")
    outcome = (resp.status, service)
    versions = {v for v, want in asked.outcomes.items() if want == outcome}
    code = resp.getheader("jasperweir-code") or ""
    return Seen(name, resp.status, service, code, versions)
