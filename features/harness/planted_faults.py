"""Faults that are planted in a process, to prove that a soak finds them."""

import json
import zlib

from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import leader_requests
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import node as node_lib
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.forward import intake
from jasperweir.components.forward import rematcher
from jasperweir.daemons import site_entry
from jasperweir.helpers import clocks

# Time for which a key is accepted after its revocation, seconds.
ACCEPTED_SECONDS = 4.0
# Time from a version's content until it is used, seconds.
LATE_SECONDS = 2.5
# One in so many versions gets the content of the one before.
OTHER_CONTENT = 3
# One in so many orders is forgotten.
FORGOTTEN = 3
# Number of the version whose content is late, for an entry that is late once.
LATE_ONCE = 12


def plant(kind):
    """Plant a fault in this process.

    Args:
        kind: One of KINDS.
    """
    KINDS[kind]()


def _accept_keys_longer():
    find_customer = index_lib.DeploymentIndex.find_customer
    # Customer, and when it was last found, by key.
    found = {}

    def find(self, key):
        customer, now = find_customer(self, key), clocks.elapsed()
        if customer is not None:
            found[key] = customer, now
            return customer
        known, at = found.get(key, (None, 0.0))
        return known if now - at < ACCEPTED_SECONDS else None

    index_lib.DeploymentIndex.find_customer = find


def _delay_content(find_delay_s):
    """Use versions late that count as held at once.

    Args:
        find_delay_s: Returns the delay of a version by how many the entry has
            had, seconds.
    """
    apply = site_entry.SiteEntry._apply_configuration
    counts = [0]
    # Until when nothing newer is used.
    late_until = [0.0]

    def apply_later(self, act):
        counts[0] += 1
        now = self._host.now()
        late_until[0] = max(late_until[0], now + find_delay_s(counts[0]))
        if now >= late_until[0]:
            apply(self, act)
            return
        self._send_all(self._discovery.on_applied(act.version, now))
        self._host.call_later(late_until[0] - now, lambda: apply(self, act))

    site_entry.SiteEntry._apply_configuration = apply_later


def _use_other_content():
    apply = site_entry.SiteEntry._apply_configuration
    last = [b""]

    def apply_other(self, act):
        data, last[0] = last[0], act.data
        if data and not act.version % OTHER_CONTENT:
            document = json.loads(zlib.decompress(data))
            document["version"] = act.version
            changed = zlib.compress(json.dumps(document).encode())
            act = act._replace(data=changed)
        apply(self, act)

    site_entry.SiteEntry._apply_configuration = apply_other


def _send_by_older_match():
    """Send requests by the version that admitted them."""
    rematcher.Rematcher.is_settled = lambda self, exchange: True
    intake.RequestIntake.match_again = lambda self, exchange: None


def _forget_orders():
    """Acknowledge some orders that are passed on to no leader."""
    start = node_lib.ConfigNode.replace

    def replace(self, version, data, now):
        if version % FORGOTTEN:
            return start(self, version, data, now)
        number = next(self._request_numbers)
        order = messages.ReplaceRequest(
            number=number, version=version, data=data
        )
        reply = messages.ReplaceReply(number=number, version=version)
        done = leader_requests.Replaced(number=number, order=order, reply=reply)
        return discovery_server.StartedRequest(number, [done])

    node_lib.ConfigNode.replace = replace


KINDS = {
    "repeat by the older match": _send_by_older_match,
    "order forgotten": _forget_orders,
    "key accepted longer": _accept_keys_longer,
    "content late": lambda: _delay_content(
        lambda count: LATE_SECONDS if count > 1 else 0.0
    ),
    "content late once": lambda: _delay_content(
        lambda count: LATE_SECONDS if count == LATE_ONCE else 0.0
    ),
    "other content": _use_other_content,
}
# Faults of a control VM; the others are an entry's.
CONTROL_KINDS = ("order forgotten",)
