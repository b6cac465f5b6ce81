"""Relays of a process's connections that fail as a network does.

While a relay is silent, bytes stay in the kernel's buffers and a new connection
gets no answer, since the queue of the listening socket is full.
"""

import contextlib
import selectors
import socket
import struct
import threading

CHUNK_BYTES = 65536
POLL_SECONDS = 0.01
# Connections that fill the queue of a listening socket without a backlog.
FILLERS = 4
_RESET = struct.pack("ii", 1, 0)


class Relay:
    """Passes connections on to one address.

    Attributes:
        port: Port on the loopback address that stands for the address.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        # Connections that are relayed, by either end, and those that are dead.
        self._peers = {}
        self._dead = set()
        self._fillers = []
        self._is_silent = False

    def set_silent(self, is_silent):
        """Begin or end to drop all packets."""
        if is_silent == self._is_silent:
            return
        self._is_silent = is_silent
        if is_silent:
            self._fillers = [_connect_later(self.port) for _ in range(FILLERS)]
            return
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def kill(self):
        """Let the open connections be silent for good."""
        self._dead |= set(self._peers)

    def reset(self):
        """Reset the open connections."""
        for sock in list(self._peers):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._close(sock)

    def poll(self):
        """Accept and pass on what there is."""
        if self._is_silent:
            return
        self._accept()
        with selectors.DefaultSelector() as selector:
            for sock in set(self._peers) - self._dead:
                selector.register(sock, selectors.EVENT_READ)
            if not selector.get_map():
                return
            for key, _ in selector.select(0):
                self._pass_on(key.fileobj)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except BlockingIOError:
                return
            try:
                far = socket.create_connection(self._address, 0.2)
            except OSError:
                near.close()
                continue
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.settimeout(1.0)
            self._peers[near], self._peers[far] = far, near

    def _pass_on(self, sock):
        peer = self._peers.get(sock)
        if peer is None:
            return
        try:
            data = sock.recv(CHUNK_BYTES)
            if data:
                peer.sendall(data)
        except OSError:
            data = b""
        if not data:
            self._close(sock)

    def _close(self, sock):
        peer = self._peers.pop(sock, None)
        if peer is None:
            return
        del self._peers[peer]
        self._dead -= {sock, peer}
        sock.close()
        peer.close()


class Relays:
    """Relays of a process by address, on a thread of their own."""

    def __init__(self):
        self._relays = {}
        self._silent = frozenset()
        self._lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def find_port(self, address):
        """Return the port of the relay to an address."""
        with self._lock:
            if address not in self._relays:
                self._relays[address] = Relay(address)
            return self._relays[address].port

    def apply(self, silent, killed, reset):
        """Apply what is disturbed now, by address.

        Args:
            silent: Addresses whose packets are dropped.
            killed: Addresses whose open connections are silent for good.
            reset: Addresses whose open connections are reset.
        """
        with self._lock:
            for address, relay in self._relays.items():
                if address in killed:
                    relay.kill()
                if address in reset:
                    relay.reset()
                relay.set_silent(address in silent)

    def _run(self):
        pause = threading.Event()
        while True:
            with self._lock:
                for relay in self._relays.values():
                    relay.poll()
            pause.wait(POLL_SECONDS / 5)


def _connect_later(port):
    sock = socket.socket()
    sock.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        sock.connect(("127.0.0.1", port))
    return sock
