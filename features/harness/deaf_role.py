"""Run a role's process whose links to other processes can be disturbed.

The file that JASPERWEIR_TEST_DEAF names says how, one disturbance a line:

* ``ip:port``: frames from this process are dropped; what is sent to it arrives.
* ``cut ip:port``: frames from and to it are dropped, and after some time the
  connection to it counts as closed.
* ``late SECONDS ip:port``: frames from it are delayed.
* ``delay SECONDS``: all frames are delayed.

If JASPERWEIR_TEST_RELAYS is set, the process connects through relays, see
tcp_relay, and there are further kinds:

* ``silent ip:port``: packets of connections to it are dropped.
* ``dead ip:port``: open connections to it are silent for good.
* ``reset ip:port``: open connections to it are reset.

If a file of the same name with the suffix ``.plant`` names a fault, it is
planted in the process, see planted_faults.
"""

import os
import pathlib
import runpy
import signal
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# This folder has a module with the name of a standard one.
sys.path[0] = str(ROOT)
POLL_SECONDS = 0.02
# Time after which the link closes a connection that receives nothing.
SILENT_SECONDS = 2.0


class Disturbances:
    """Disturbances of the links, as the file last said."""

    def __init__(self, path):
        self._path = path
        self._text = ""
        self._deaf = frozenset()
        self._late = {}
        self._delay_s = 0.0
        self._relays = None
        # When each link was cut, by the name of the other process.
        self._cut_at = {}
        threading.Thread(target=self._watch, daemon=True).start()

    def drops(self, name):
        """Return whether frames from a process are dropped."""
        return name in self._deaf or name in self._cut_at

    def find_delay_s(self, name):
        """Return the delay of frames from a process, seconds."""
        return self._late.get(name, self._delay_s)

    def is_cut(self, name):
        """Return whether frames to a process are dropped."""
        return name in self._cut_at

    def is_closed(self, name):
        """Return whether the connection to a process is closed."""
        cut_at = self._cut_at.get(name)
        return cut_at is not None and time.monotonic() - cut_at > SILENT_SECONDS

    def use_relays(self, relays):
        """Disturb the connections of a process, too."""
        self._relays = relays

    def _watch(self):
        while True:
            text = self._path.read_text() if self._path.exists() else ""
            if text != self._text:
                self._text = text
                self._read(text)
            time.sleep(POLL_SECONDS)

    def _read(self, text):
        deaf, late, cut, delay_s = set(), {}, set(), 0.0
        for line in text.splitlines():
            match line.split():
                case ["cut", name]:
                    cut.add(name)
                case ["late", seconds, name]:
                    late[name] = float(seconds)
                case ["delay", seconds]:
                    delay_s = float(seconds)
                case [name]:
                    deaf.add(name)
        if self._relays is not None:
            self._relays.apply(**_list_tcp(text))
        now = time.monotonic()
        self._deaf, self._late, self._delay_s = frozenset(deaf), late, delay_s
        self._cut_at = {name: self._cut_at.get(name, now) for name in cut}


def _list_tcp(text):
    """Return the addresses whose connections are disturbed, by kind."""
    kinds = {"silent": set(), "dead": set(), "reset": set()}
    for line in text.splitlines():
        kind, _, name = line.partition(" ")
        if kind in kinds:
            kinds[kind].add(name)
    return {
        "silent": kinds["silent"],
        "killed": kinds["dead"],
        "reset": kinds["reset"],
    }


def _relay_connections(disturbances):
    import zmq

    from features.harness import tcp_relay

    relays = tcp_relay.Relays()
    disturbances.use_relays(relays)
    connect = zmq.Socket.connect

    def connect_by_relay(self, endpoint):
        if endpoint.startswith("tcp://"):
            port = relays.find_port(endpoint.removeprefix("tcp://"))
            endpoint = f"tcp://127.0.0.1:{port}"
        return connect(self, endpoint)

    zmq.Socket.connect = connect_by_relay


def _disturb_links(disturbances):
    from jasperweir.helpers import link as link_lib
    from jasperweir.helpers import loop_link

    accept = link_lib.Link._accept
    transmit = link_lib.Link._transmit

    def accept_later(self, data):
        env, _ = link_lib.codec.decode(data)
        if disturbances.drops(env.src):
            return
        delay_s = disturbances.find_delay_s(env.src)
        if not delay_s:
            accept(self, data)
        elif isinstance(self, loop_link.LoopLink) and self._loop is not None:
            self._loop.call_later(delay_s, accept, self, data)

    def transmit_unless_cut(self, dst, data):
        return not disturbances.is_cut(dst) and transmit(self, dst, data)

    link_lib.Link._accept = accept_later
    link_lib.Link._transmit = transmit_unless_cut
    if hasattr(link_lib.Link, "is_connected"):
        is_connected = link_lib.Link.is_connected
        link_lib.Link.is_connected = lambda self, dst: (
            not disturbances.is_closed(dst) and is_connected(self, dst)
        )


def main():
    # As the program does first; the imports below take as long as a start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = pathlib.Path(os.environ["JASPERWEIR_TEST_DEAF"])
    disturbances = Disturbances(path)
    _disturb_links(disturbances)
    if os.environ.get("JASPERWEIR_TEST_RELAYS"):
        _relay_connections(disturbances)
    plant = path.with_suffix(".plant")
    if plant.exists():
        from features.harness import planted_faults

        planted_faults.plant(plant.read_text())
    sys.path.insert(0, str(ROOT / "platform"))
    script = str(ROOT / "platform" / "run.py")
    sys.argv = [script, *sys.argv[1:]]
    runpy.run_path(script, run_name="__main__")


if __name__ == "__main__":
    main()
