"""Run a role's process that can be made deaf to other processes.

It drops frames from the senders that are listed in the file named by
JASPERWEIR_TEST_DEAF, one ``ip:port`` on each line; what it sends still arrives.
"""

import os
import pathlib
import runpy
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# This folder has a module with the name of a standard one.
sys.path[0] = str(ROOT)
POLL_SECONDS = 0.02
_senders = set()


def _watch(path):
    while True:
        text = path.read_text() if path.exists() else ""
        _senders.clear()
        _senders.update(text.split())
        time.sleep(POLL_SECONDS)


def main():
    from jasperweir.helpers import link

    deliver = link.Link._accept

    def accept(self, data):
        env, _ = link.codec.decode(data)
        if env.src not in _senders:
            deliver(self, data)

    link.Link._accept = accept
    path = pathlib.Path(os.environ["JASPERWEIR_TEST_DEAF"])
    threading.Thread(target=_watch, args=(path,), daemon=True).start()
    sys.path.insert(0, str(ROOT / "platform"))
    script = str(ROOT / "platform" / "run.py")
    sys.argv = [script, *sys.argv[1:]]
    runpy.run_path(script, run_name="__main__")


if __name__ == "__main__":
    main()
