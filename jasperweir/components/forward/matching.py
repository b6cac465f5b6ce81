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


class Moved(NamedTuple):
    """The service to which another version moves an admitted request."""

    service: str


def match_request(
    index: index_lib.DeploymentIndex,
    req: http_message.Request,
    caller_headers: dialect_lib.CallerHeaders,
) -> index_lib.RouteMatch | Denial:
    """Return the route and customer of a request, or why it is denied."""
    host = (req.header(b"host") or b"").decode("latin-1")
    route = index.find_route(host, req.path)
    if route is None:
        return Denial(Code.NO_ROUTE, host + req.path)
    customer = (
        index.find_customer(caller_headers.key) if caller_headers.key else None
    )
    if customer is None and index.requires_key and not route.public:
        return Denial(Code.KEY_UNKNOWN, route.name)
    return index_lib.RouteMatch(route=route, customer=customer)
