"""A complete system with an echo target in one process, for trials."""

from collections.abc import Iterator
import hashlib
import json
import pathlib
import secrets
import tempfile
import time
from typing import Any

from jasperweir import core
from jasperweir.components.bundle import flat_content
from jasperweir.daemons import agent as agent_daemon
from jasperweir.daemons import config
from jasperweir.daemons import control as control_daemon
from jasperweir.daemons import entry as entry_daemon
from jasperweir.helpers import clocks
from jasperweir.helpers import http_pool
from jasperweir.helpers import settings
from jasperweir.helpers import web

READY_SECONDS = 20.0
REPLY_WORDS = (
    "the",
    "weir",
    "holds",
    "and",
    "lets",
    "through",
    "what",
    "it",
    "can",
)
BUNDLE = """[bundle]
name = solo
[callers]
address_ttl_s = 5
[place here]
region = here
[service echo]
kind = model
max_in_flight = 16
"""


class EchoTarget:
    """A model server that answers each chat completion with fixed words."""

    def __init__(self, *, address: str) -> None:
        self._server = web.Server(
            address=address,
            threads=32,
            routes=[
                web.Route("POST", "/v1/chat/completions", self._complete),
                web.Route("GET", "/load", self._load),
            ],
        )

    def start(self) -> None:
        """Start the HTTP server."""
        self._server.start()

    def stop(self) -> None:
        """Stop the HTTP server."""
        self._server.stop()

    def _load(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, {"active": 0})

    def _complete(self, req: web.Req) -> web.Resp:
        body: dict[str, Any] = json.loads(req.body)
        if body.get("stream"):
            headers = [("Content-Type", "text/event-stream")]
            return web.Resp(200, headers, self._stream())
        message = {"role": "assistant", "content": " ".join(REPLY_WORDS)}
        return web.json_resp(200, {"choices": [{"message": message}]})

    def _stream(self) -> Iterator[bytes]:
        for word in REPLY_WORDS:
            chunk = {"choices": [{"delta": {"content": f"{word} "}}]}
            yield b"data: " + json.dumps(chunk).encode() + b"\n\n"
            time.sleep(0.05)
        yield b"data: [DONE]\n\n"


class Solo:
    """Runs one control VM, entry, agent and target as threads.

    Attributes:
        token: Bearer token of the only operator.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.token = secrets.token_hex(16)
        self._entry_http = f"{host}:{port}"
        self._control_http = f"{host}:{port + 1}"
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-"))
        target = f"{host}:{port + 2}"
        common = (
            f"[control]\nvoters = control@{host}:{port + 3}\n"
            f"[membership]\nseeds = entry@{host}:{port + 4}\n"
        )
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        clock = core.SystemClock()
        kernel = core.Kernel(clock=clock, seed=1)
        kernel.register("target", EchoTarget(address=target))
        control = control_daemon.ControlDaemon(
            values=self._parse_settings(
                "control",
                f"[node]\nname = control\nplace = here\n[listen]\n"
                f"internal = {host}:{port + 3}\nhttp = {host}:{port + 1}\n"
                f"{common}[data]\nfolder = {self._folder / 'data'}\n"
                f"[operators]\nsolo = {digest}\n",
            ),
            clock=clock,
        )
        entry = entry_daemon.EntryDaemon(
            values=self._parse_settings(
                "entry",
                f"[node]\nname = entry\nplace = here\n[listen]\n"
                f"internal = {host}:{port + 4}\nhttp = {host}:{port}\n"
                f"{common}",
            ),
            clock=clock,
        )
        agent = agent_daemon.AgentDaemon(
            values=self._parse_settings(
                "agent",
                f"[node]\nname = agent\nplace = here\n[listen]\n"
                f"internal = {host}:{port + 5}\nhttp = {host}:{port + 6}\n"
                f"{common}[target]\nurl = http://{target}\nkind = model\n"
                f"service = echo\n",
            ),
            clock=clock,
        )
        kernel.register("control", control)
        kernel.register("entry", entry)
        kernel.register("agent", agent)
        self._kernel = kernel
        self._http = http_pool.create()

    def start(self) -> None:
        """Start all components, then sign off and roll a bundle.

        Raises:
            TimeoutError: A request was not accepted or the entry did not become
                ready within ``READY_SECONDS``.
        """
        for name in ("target", "control", "entry", "agent"):
            self._kernel.get(name, object).start()  # type: ignore[attr-defined]
        self._post_until_accepted("/bootstrap", {})
        content = flat_content.from_ini(BUNDLE, "solo")
        sign_off = {
            "op_id": "first",
            "parent": 0,
            "change": content,
            "content_hash": flat_content.content_hash(content),
            "note": "",
        }
        self._post_until_accepted("/ops/sign_off", sign_off)
        self._post_until_accepted("/ops/roll", {"op_id": "roll", "version": 1})
        deadline = clocks.elapsed() + READY_SECONDS
        while clocks.elapsed() < deadline:
            resp = self._http.request(
                "GET", f"http://{self._entry_http}/readyz"
            )
            if resp.status == 200:
                return
            time.sleep(0.1)
        raise TimeoutError(f"the entry is not ready after {READY_SECONDS} s")

    def _post_until_accepted(self, path: str, body: dict[str, Any]) -> None:
        deadline = clocks.elapsed() + READY_SECONDS
        while clocks.elapsed() < deadline:
            resp = self._http.request(
                "POST",
                f"http://{self._control_http}{path}",
                json=body,
                headers={"Authorization": f"Bearer {self.token}"},
            )
            if resp.status == 200:
                return
            time.sleep(0.2)
        raise TimeoutError(f"{path} was not accepted within {READY_SECONDS} s")

    def _parse_settings(self, role: str, text: str) -> settings.Values:
        return settings.parse(text, f"solo {role}", config.SCHEMAS[role])
