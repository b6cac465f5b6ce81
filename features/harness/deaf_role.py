"""Run a role's process that can be made deaf to other processes.

It drops frames from the senders that are listed in the file named by
JASPERWEIR_TEST_DEAF, one ``ip:port`` on each line; what it sends still arrives.
A line ``delay SECONDS`` delays all frames that it receives.
"""

import os
import pathlib
import queue
import runpy
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# This folder has a module with the name of a standard one.
sys.path[0] = str(ROOT)
POLL_SECONDS = 0.02
_senders = set()
_delayed = queue.Queue()


def _watch(path):
    while True:
        text = path.read_text() if path.exists() else ""
        _senders.clear()
        _senders.update(text.split())
        time.sleep(POLL_SECONDS)


def _find_delay_s():
    delays = [s for s in _senders if s.replace(".", "").isdigit()]
    return float(delays[0]) if "delay" in _senders else 0.0


def _deliver_delayed(deliver):
    while True:
        due_at, link, data = _delayed.get()
        time.sleep(max(due_at - time.monotonic(), 0.0))
        deliver(link, data)


def main():
    from jasperweir.helpers import link

    deliver = link.Link._accept

    def accept(self, data):
        env, _ = link.codec.decode(data)
        if env.src in _senders:
            return
        delay_s = _find_delay_s()
        if delay_s:
            _delayed.put((time.monotonic() + delay_s, self, data))
        else:
            deliver(self, data)

    link.Link._accept = accept
    threading.Thread(
        target=_deliver_delayed, args=(deliver,), daemon=True
    ).start()
    path = pathlib.Path(os.environ["JASPERWEIR_TEST_DEAF"])
    threading.Thread(target=_watch, args=(path,), daemon=True).start()
    sys.path.insert(0, str(ROOT / "platform"))
    script = str(ROOT / "platform" / "run.py")
    sys.argv = [script, *sys.argv[1:]]
    runpy.run_path(script, run_name="__main__")


if __name__ == "__main__":
    main()
