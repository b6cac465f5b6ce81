"""An entry whose scripted targets are in two data centres."""

from features.harness import scripted_targets
from features.harness import site
from jasperweir.components.registry import ops

PLACES = ("z1", "z2")


class Entry(scripted_targets.Entry):
    """An entry with as many targets in each data centre.

    Attributes:
        revision: Revision of the list of evacuated data centres.
        ended: Calls of the hook for the end of an evacuation.
    """

    def __init__(self, *, count_each=2):
        super().__init__(count=2 * count_each)
        self._count_each = count_each
        self.revision = 0
        self.ended = []
        self.one.announce = self._announce_one

    async def start(self):
        await super().start()
        self.one.forwarder.targets.on_evacuation_ended = lambda place, now: (
            self.ended.append((place, now))
        )

    def place_of(self, target):
        return PLACES[self.targets.index(target) // self._count_each]

    def _announce_one(self, name, target):
        record = site.target(target_id=name, address=target.address)
        record = record._replace(place=self.place_of(target))
        self.one.directory.merge(record, self.clock.now)

    def evacuate(self, *places):
        """Bring a list of evacuated data centres into force."""
        self.revision += 1
        self.one.forwarder.on_evacuations(
            ops.EvacuationList(self.revision, tuple(sorted(places)))
        )

    def count_arrivals(self, place):
        return sum(
            len(target.arrivals)
            for target in self.targets
            if self.place_of(target) == place
        )

    def find_answers(self):
        """Return the status and the result code of each answer."""
        return [
            (answering.replied[0], dict(answering.replied[1]))
            for answering in self.answers
        ]

    def fill(self, place):
        """Occupy every slot of the targets of a data centre."""
        for target in self.targets:
            if self.place_of(target) == place:
                self.one.fill(target.name)
