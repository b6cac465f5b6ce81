"""Stand-in targets that end under some requests and come back later."""

import json
import threading
import time

from standins import deployment

POLL_SECONDS = 0.02


class Respawner:
    """Keep targets running, each start with an id of its own.

    Attributes:
        ended: When targets ended, monotonic seconds.
    """

    def __init__(
        self, plat, numbers, *, ends_on="", back_s, events=0, crash_parts=()
    ):
        self._plat = plat
        self._crash_parts = ",".join(crash_parts)
        self._ends_on = ends_on
        self._back_s = back_s
        self.events = events
        self._file = plat.folder / "ends"
        self._starts = dict.fromkeys(numbers, 0)
        self._back_at = {}
        self._stop = threading.Event()
        self.ended = []
        for number in numbers:
            self._start(number)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _start(self, number):
        self._starts[number] += 1
        self._plat.start_target(
            number,
            "m",
            target_id=f"i-{number}-{self._starts[number]}",
            extra=(
                *("--ends-on", self._ends_on),
                *("--ends-file", str(self._file)),
                *("--events-before-end", str(self.events)),
                *("--crash-parts", self._crash_parts),
            ),
        )

    def _run(self):
        while not self._stop.wait(POLL_SECONDS):
            now = time.monotonic()
            for number in self._starts:
                proc = self._plat.procs[f"target-{number}"]
                if proc.poll() is None:
                    continue
                if number not in self._back_at:
                    self.ended.append(now)
                    self._back_at[number] = now + self._back_s
                elif now >= self._back_at[number]:
                    del self._back_at[number]
                    self._start(number)

    def bodies(self):
        """Return the bodies under which targets ended, in order."""
        if not self._file.exists():
            return []
        return self._file.read_bytes().splitlines()

    def records(self, what):
        """Return the arrivals or crashes that targets recorded, in order."""
        rows = [json.loads(line) for line in self.bodies()]
        return [row for row in rows if row["what"] == what]

    def stop(self):
        self._stop.set()
        self._thread.join()


class Engines:
    """Engines of the own interface, each a process that is started again.

    Attributes:
        ended: When engines ended, monotonic seconds.
    """

    def __init__(self, local, *, ends_on, back_s=0.6):
        self._local = local
        self._ends_on = ends_on
        self._back_s = back_s
        self._stop = threading.Event()
        self.ended = []
        for number in range(len(deployment.MODELS)):
            self._start(number)
        local.start_standins("plain", "--plain", deployment.PLAIN)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _start(self, number):
        self._local.start_standins(
            f"engine-{number}",
            *("--model", deployment.MODELS[number], "--slots", "64"),
            *("--ends-on", self._ends_on),
        )

    def _run(self):
        while not self._stop.wait(POLL_SECONDS):
            for number in range(len(deployment.MODELS)):
                proc = self._local.procs.get(f"engine-{number}")
                if proc is None or proc.poll() is None:
                    continue
                self.ended.append(time.monotonic())
                if self._stop.wait(self._back_s):
                    return
                self._start(number)

    def stop(self):
        self._stop.set()
        self._thread.join()
