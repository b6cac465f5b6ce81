"""Matching of requests to routes and customers of the configuration."""

from typing import NamedTuple

from jasperweir import result_codes
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.helpers import http_message

Code = result_codes.Code


class Denial(NamedTuple):
    """The reason why the configuration does not allow a request."""

    code: Code
    detail: str


class Criteria(NamedTuple):
    """What a request is matched by.

    Attributes:
        host: Value of its host header.
        path: Path without the query.
        key: Customer's API key, empty if there is none.
    """

    host: str
    path: str
    key: str


class Moved(NamedTuple):
    """The service to which another version moves an admitted request."""

    service: str


def find_criteria(
    req: http_message.Request, caller_headers: dialect_lib.CallerHeaders
) -> Criteria:
    """Return what a request is matched by."""
    host = (req.header(b"host") or b"").decode("latin-1")
    return Criteria(host=host, path=req.path, key=caller_headers.key)


def match_request(
    index: index_lib.DeploymentIndex,
    req: http_message.Request,
    caller_headers: dialect_lib.CallerHeaders,
) -> index_lib.RouteMatch | Denial:
    """Return the route and customer of a request, or why it is denied."""
    return match_criteria(index, find_criteria(req, caller_headers))


def match_criteria(
    index: index_lib.DeploymentIndex, criteria: Criteria
) -> index_lib.RouteMatch | Denial:
    """Return the route and customer by what a request is matched by."""
    route = index.find_route(criteria.host, criteria.path)
    if route is None:
        return Denial(Code.NO_ROUTE, criteria.host + criteria.path)
    customer = index.find_customer(criteria.key) if criteria.key else None
    if customer is None and index.requires_key and not route.public:
        return Denial(Code.KEY_UNKNOWN, route.name)
    return index_lib.RouteMatch(route=route, customer=customer)
