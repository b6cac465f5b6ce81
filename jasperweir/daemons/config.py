"""Schemas of the daemons' settings files and their common settings."""

import pathlib
from typing import NamedTuple

from jasperweir import exceptions
from jasperweir.components.membership import messages as member_messages
from jasperweir.helpers import link
from jasperweir.helpers import settings

PEER_PATTERN = r"[^@,\s]+@\d+\.\d+\.\d+\.\d+:\d+"
_PEERS = settings.text(
    pattern=rf"{PEER_PATTERN}(?:\s*,\s*{PEER_PATTERN})*"
)._replace(allowed="NAME@IP:PORT, comma-separated")

_NODE = settings.Section(
    fields={
        "name": settings.text(pattern=r"[A-Za-z0-9._-]+"),
        "place": settings.text(),
        "seed": settings.integer(low=0, high=2**31, default=0),
    }
)
_LISTEN = settings.Section(
    fields={
        "internal": settings.address(),
        "http": settings.address(),
        "threads": settings.integer(low=2, high=2000, default=64),
    }
)
_CONTROL = settings.Section(fields={"voters": _PEERS})
_SEEDS = settings.Section(
    required=False, fields={"seeds": _PEERS._replace(default="")}
)
_KEYS = settings.Section(
    required=False, fields={"file": settings.text(default="")}
)
_LOG = settings.Section(
    required=False,
    fields={
        "style": settings.choice("text", "json", default="text"),
        "level": settings.choice(
            "debug", "info", "notice", "warning", "error", default="info"
        ),
    },
)

_COMMON: settings.Schema = {
    "node": _NODE,
    "listen": _LISTEN,
    "control": _CONTROL,
    "membership": _SEEDS,
    "keys": _KEYS,
    "log": _LOG,
}

ENTRY_SCHEMA: settings.Schema = {
    **_COMMON,
    "limits": settings.Section(
        required=False,
        fields={
            "max_streams": settings.integer(low=1, high=5000, default=256),
            "drain_s": settings.number(low=0, high=3600, default=120.0),
        },
    ),
}

CONTROL_SCHEMA: settings.Schema = {
    **_COMMON,
    "data": settings.Section(fields={"folder": settings.text()}),
    # Maps an operator's name to the hexadecimal SHA-256 of its token.
    "operators": settings.Section(
        required=False,
        fields={},
        open_field=settings.text(pattern=r"[0-9a-f]{64}")._replace(
            allowed="the SHA-256 of a token, in hexadecimal"
        ),
    ),
}

AGENT_SCHEMA: settings.Schema = {
    **_COMMON,
    "target": settings.Section(
        fields={
            "url": settings.text(pattern=r"http://\d+\.\d+\.\d+\.\d+:\d+"),
            "kind": settings.choice("model", "plain"),
            "service": settings.text(),
            "adapters": settings.words(default=()),
            "role": settings.choice(
                "both", "prefill", "decode", default="both"
            ),
            "max_in_flight": settings.integer(low=1, high=10000, default=32),
            "checks_fence": settings.boolean(default=False),
            "group": settings.text(default=""),
            "ranks": settings.integer(low=0, high=4096, default=0),
        }
    ),
    "limits": settings.Section(
        required=False,
        fields={
            "drain_s": settings.number(low=0, high=3600, default=120.0),
        },
    ),
}

SCHEMAS: dict[str, settings.Schema] = {
    "entry": ENTRY_SCHEMA,
    "control": CONTROL_SCHEMA,
    "agent": AGENT_SCHEMA,
}


class CommonSettings(NamedTuple):
    """Settings common to all daemons.

    Attributes:
        name: Name of the node.
        place: Data centre of the node.
        seed: Seed of the random source, 0 for the start time.
        internal: ``ip:port`` for other Jasperweir processes.
        http: ``ip:port`` of the HTTP server.
        threads: Number of threads of the HTTP server.
        voters: Control nodes that vote.
        seeds: Nodes to connect to first, including the voters.
        keys: Key pair of the link, None without encryption.
        log_style: ``text`` or ``json``.
        log_level: Lowest level that is logged.
    """

    name: str
    place: str
    seed: int
    internal: str
    http: str
    threads: int
    voters: tuple[member_messages.Peer, ...]
    seeds: tuple[member_messages.Peer, ...]
    keys: link.Keys | None
    log_style: str
    log_level: str


def read_common(values: settings.Values) -> CommonSettings:
    """Return the common settings of a validated file.

    Raises:
        SettingsError: The key file cannot be read.
    """
    voters = _parse_peers(values["control"]["voters"])
    return CommonSettings(
        name=values["node"]["name"],
        place=values["node"]["place"],
        seed=values["node"]["seed"],
        internal=values["listen"]["internal"],
        http=values["listen"]["http"],
        threads=values["listen"]["threads"],
        voters=voters,
        seeds=(*_parse_peers(values["membership"]["seeds"]), *voters),
        keys=_read_keys(values["keys"]["file"]),
        log_style=values["log"]["style"],
        log_level=values["log"]["level"],
    )


def _parse_peers(text: str) -> tuple[member_messages.Peer, ...]:
    peers = []
    for item in text.split(","):
        name, separator, address = item.strip().partition("@")
        if separator:
            peers.append(member_messages.Peer(name=name, addr=address))
    return tuple(peers)


def _read_keys(path: str) -> link.Keys | None:
    if not path:
        return None
    try:
        lines = pathlib.Path(path).read_text(encoding="ascii").split()
        public, secret = lines
    except (OSError, ValueError) as exc:
        problem = (
            f"[keys] file: found '{path}'; allowed: a file that "
            f"'jasperweir keys new' wrote ({exc})"
        )
        raise exceptions.SettingsError(problems=[problem]) from exc
    return link.Keys(public=public.encode(), secret=secret.encode())
