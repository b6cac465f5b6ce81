"""Content of the versions that the operators of a soak send."""

import threading
from typing import NamedTuple

from features.harness import platform as platform_lib

# Versions for which a route or key of one version stays.
KEPT_VERSIONS = 3
# One in so many versions adds a route that stays for good.
LASTING = 10
# Key that belongs to another customer from version to version.
MOVING_KEY = "key-that-moves"
CUSTOMERS = ("one", "two")
WEIGHTS = (0, 50, 100)


class Outcome(NamedTuple):
    """What became of a request.

    Attributes:
        status: Status of the response.
        service: Service that ran it, or empty.
        customer: Customer that it ran for, or empty.
    """

    status: int
    service: str = ""
    customer: str = ""


class Versions:
    """Content of each version: what it moves, splits, adds, drops, revokes."""

    def __init__(self, *, fillers, list_keys, streams=False):
        """Create the versions.

        Args:
            fillers: Number of further routes that each version has.
            list_keys: Returns further keys of a version.
            streams: Whether a route of streams is moved as well.
        """
        self._fillers = fillers
        self._list_keys = list_keys
        self._streams = streams
        self.documents = {}
        # Second contents of versions that two operators sent at once.
        self._others = {}
        self._order = []
        self._lock = threading.Lock()

    def make(self, version, rng):
        """Return the document of a version."""
        doc = self._make(version, rng)
        self.documents[version] = doc
        return doc

    def make_other(self, version, rng):
        """Return another document under the number of a version."""
        doc = self._make(version, rng)
        self._others[version] = doc
        return doc

    def is_content(self, version, doc):
        """Return whether a document was sent under a version."""
        return doc in (self.documents[version], self._others.get(version))

    def _make(self, version, rng):
        doc = platform_lib.document(version)
        by_prefix = {r["pathPrefix"]: r for r in doc["routes"]}
        safe = by_prefix["/safe/"]
        with self._lock:
            kept = [v for v in self._order if v < version][-KEPT_VERSIONS:]
            if version not in self._order:
                self._order.append(version)
        numbered = [
            *self._list_routes(version, kept, rng),
            {"pathPrefix": "/split/", **_split(rng)},
            {
                "pathPrefix": "/open/",
                "service": "m",
                "public": rng.random() < 0.5,
            },
        ]
        for number, changes in enumerate(numbered, start=20):
            doc["routes"].append({**safe, "name": f"r{number}", **changes})
            if "backends" in changes:
                del doc["routes"][-1]["service"]
        if self._streams:
            doc["routes"].append(
                {
                    **by_prefix["/stream/"],
                    "name": "r10",
                    "pathPrefix": "/stream/moved/",
                    "service": rng.choice(("m", "n")),
                }
            )
        doc["services"] = [
            {"name": name, "healthPath": "/healthz"} for name in ("m", "n")
        ]
        keys = [platform_lib.KEY, *[f"key-{v}" for v in (*kept, version)]]
        keys += self._list_keys(version)
        holder = rng.choice(CUSTOMERS)
        doc["tenants"] = [
            {
                "name": name,
                "apiKeys": [
                    *(keys if name == CUSTOMERS[0] else [f"key of {name}"]),
                    *([MOVING_KEY] if name == holder else []),
                ],
            }
            for name in CUSTOMERS
        ]
        return doc

    def _list_routes(self, version, kept, rng):
        """Return prefixes and services of the routes with one service."""
        routes = {"/moved/": rng.choice(("m", "n"))}
        if rng.random() < 0.5:
            routes["/moved/deep/"] = rng.choice(("m", "n"))
        routes |= {f"/v{v}/": "m" for v in (*kept, version)}
        routes |= {
            f"/lasting-{v}/": "m" for v in range(LASTING, version + 1, LASTING)
        }
        routes |= {f"/filler-{n}/": "m" for n in range(self._fillers)}
        return [
            {"pathPrefix": prefix, "service": service}
            for prefix, service in routes.items()
        ]

    def find_status(self, version, path, key):
        """Return the status of a request by a version."""
        return _decide(self.documents[version], path, key)[0]

    def allows(self, version, path, key, outcome):
        """Return whether an outcome of a request is one of a version."""
        contents = [self.documents[version]]
        if version in self._others:
            contents.append(self._others[version])
        return any(_allows(doc, path, key, outcome) for doc in contents)


def _allows(doc, path, key, outcome):
    status, services, customer = _decide(doc, path, key)
    if outcome.status != status:
        return False
    if status != 200:
        return True
    return outcome.service in services and outcome.customer == customer


def _decide(doc, path, key):
    """Return status, possible services and customer by a document."""
    routes = [
        route for route in doc["routes"] if path.startswith(route["pathPrefix"])
    ]
    if not routes:
        return 404, set(), ""
    route = max(routes, key=lambda r: len(r["pathPrefix"]))
    customers = [t["name"] for t in doc["tenants"] if key in t["apiKeys"]]
    if not customers and not route["public"]:
        return 401, set(), ""
    backends = route.get("backends") or [
        {"service": route["service"], "weight": 1}
    ]
    services = {b["service"] for b in backends if b["weight"] > 0}
    return 200, services, customers[0] if customers else ""


def _split(rng):
    """Return backends with weights, one of which may be 0."""
    weight = rng.choice(WEIGHTS)
    return {
        "backends": [
            {"service": "m", "weight": weight},
            {"service": "n", "weight": 100 - weight},
        ]
    }
