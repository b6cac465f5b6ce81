"""Callers that stay on kept connections and use keys after their revocation."""

import bisect
import collections
import threading

from features.soak import configuration_versions
from features.soak import configuration_world

KEYS = 400
# Numbers of keys that one version revokes.
REVOKED_TOGETHER = (1, 1, 3)
# The last keys to be revoked, and the share of requests with one of them.
RECENT_KEYS = 6
RECENT_SHARE = 0.75
# Share of requests with a key that is revoked or about to be.
REVOKED_SHARE = 0.9
# Keys that are drawn from as about to be revoked.
NEXT_KEYS = 4
PATH = "/safe/x"


class KeyRing:
    """Keys that are revoked one after the other, each for good."""

    def __init__(self):
        self._keys = [f"held-{number}" for number in range(KEYS)]
        # Version that revokes a key, in the order of the keys.
        self._revoked = {}
        self._lock = threading.Lock()

    def revoke(self, version, rng):
        """Let a version revoke keys, before any higher version is made."""
        with self._lock:
            first = len(self._revoked)
            count = rng.choice(REVOKED_TOGETHER)
            for key in self._keys[first : first + count]:
                self._revoked[key] = version

    def list_keys(self, version):
        """Return the keys of a version."""
        with self._lock:
            return [
                key
                for key in self._keys
                if self._revoked.get(key, version + 1) > version
            ]

    def find_revocation(self, key):
        """Return the version that revokes a key, None if there is none."""
        with self._lock:
            return self._revoked.get(key)

    def draw(self, rng):
        """Return a key, most likely one of those revoked last."""
        with self._lock:
            revoked = len(self._revoked)
        drawn = rng.random()
        first, end = revoked, min(revoked + NEXT_KEYS, KEYS)
        if revoked and drawn < RECENT_SHARE:
            first, end = max(revoked - RECENT_KEYS, 0), revoked
        elif revoked and drawn < REVOKED_SHARE:
            first, end = 0, revoked
        return self._keys[rng.randrange(first, end)]


class KeptCaller(configuration_world.Caller):
    """Asks one entry with keys of a ring, on one connection while it lasts.

    Attributes:
        counts: Number of judged requests by key and status.
    """

    RECONNECT_SHARE = 0.0
    PAUSE_SECONDS = 0.02

    def __init__(self, *, world, number, vm):
        super().__init__(world=world, number=number, vm=vm)
        self.counts = collections.Counter()

    def _draw(self):
        return "held key", PATH, self._world.keys.draw(self._rng)

    def _find_allowed(self, path, key, got):
        versions = self._world.check.sent_versions()
        revoked = self._world.keys.find_revocation(key)
        end = len(versions)
        if revoked is not None:
            end = bisect.bisect_left(versions, revoked)
        state = "held" if end == len(versions) else "revoked"
        self.counts[f"{state} {got.status}"] += 1
        if got.status == 401:
            return frozenset(versions[end:])
        is_expected = got == configuration_versions.Outcome(
            status=200,
            service="m",
            customer=configuration_versions.CUSTOMERS[0],
        )
        return frozenset(versions[:end] if is_expected else ())


def count_requests(callers):
    """Return the number of judged requests by key and status."""
    return dict(sum((c.counts for c in callers), collections.Counter()))
