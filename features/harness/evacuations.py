"""Operators that evacuate data centres of a simulated site."""

from features.harness import site as site_lib
from jasperweir.components.configctl import evacuations

PLACE = "z2"
# Interval at which an operator resends an order without a clear response.
RESEND_SECONDS = 1.0
# Most control VMs that an operator tries.
MAX_TRIES = 20


class Order:
    """An operator's order, resent until it is acknowledged.

    Attributes:
        acked_at: Time of the acknowledgement, 0 before.
    """

    def __init__(self, site, evacuated, names, place=PLACE):
        self._site = site
        self._place = place
        self._evacuated = evacuated
        self._names = names
        self._tries = 0
        self._call = None
        self._sent_at = 0.0
        self.acked_at = 0.0

    def send(self):
        """Send the order to the next control VM that runs."""
        running = [n for n in self._names if n in self._site.nodes]
        if not running:
            return
        name = running[self._tries % len(running)]
        self._tries += 1
        self._sent_at = self._site.now
        self._call = send(self._site, name, self._evacuated, self._place)

    def advance(self):
        """Read the response and resend the order if it is time."""
        if self.acked_at:
            return
        result = self._site.results.get(self._call)
        if isinstance(result, evacuations.Evacuated):
            self.acked_at = self._site.now
        elif (
            self._call is None
            or self._site.now - self._sent_at >= RESEND_SECONDS
        ):
            self.send()


def send(site, name, evacuated, place=PLACE):
    """Send an order once and return its call."""
    started = site.nodes[name].evacuate(
        place, evacuated=evacuated, now=site.now
    )
    site.perform(name, started.acts)
    return (name, started.number)


def carry_out(site, evacuated, names=(), seconds=20.0):
    """Send an order until it is acknowledged and return it."""
    order = Order(site, evacuated, names or site.names)
    order.send()
    wait_for(site, [order], seconds)
    return order


def wait_for(site, orders, seconds=20.0):
    """Run until all orders are acknowledged."""
    end = site.now + seconds
    while site.now < end:
        site.run(site_lib.STEP)
        for order in orders:
            order.advance()
        if all(order.acked_at for order in orders):
            return
    raise AssertionError("an order was not acknowledged")


def committed(site):
    """Return the lists of evacuated data centres of all control VMs."""
    return {
        name: node.machine.evacuations().places
        for name, node in site.nodes.items()
    }
