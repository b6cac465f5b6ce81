"""Commands that run daemons, check files and generate keys."""

import argparse
import os
import pathlib
from typing import Any

from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.bundle import flat_content
from jasperweir.daemons import agent as agent_daemon
from jasperweir.daemons import base
from jasperweir.daemons import config
from jasperweir.daemons import control as control_daemon
from jasperweir.daemons import entry as entry_daemon
from jasperweir.helpers import link
from jasperweir.helpers import logs
from jasperweir.helpers import settings

_DAEMONS: dict[str, Any] = {
    "entry": entry_daemon.EntryDaemon,
    "control": control_daemon.ControlDaemon,
    "agent": agent_daemon.AgentDaemon,
}
_HELP = {
    "entry": "run an entry, which routes the callers' requests",
    "control": "run a control VM, which stores the replicated log",
    "agent": "run the agent of one target",
}


def add_commands(commands: Any) -> None:
    """Add the commands of this module to the parser."""
    for name, text in _HELP.items():
        sub = commands.add_parser(name, help=text)
        sub.add_argument("--config", required=True, type=pathlib.Path)
        sub.set_defaults(func=_run, role=name)
    check = commands.add_parser(
        "check", help="check settings or bundle files without starting"
    )
    check.add_argument(
        "--config", action="append", default=[], type=pathlib.Path
    )
    check.add_argument(
        "--bundle", action="append", default=[], type=pathlib.Path
    )
    check.set_defaults(func=_check)
    keys = commands.add_parser(
        "keys", help="generate keys for internal connections"
    )
    verbs = keys.add_subparsers(dest="verb", required=True)
    new = verbs.add_parser("new", help="write a new key pair to a file")
    new.add_argument("file", type=pathlib.Path)
    new.set_defaults(func=_new_keys)


def _run(args: argparse.Namespace) -> int:
    values = settings.read(args.config, config.SCHEMAS[args.role])
    common = config.read_common(values)
    logs.setup(style=common.log_style, level=common.log_level)
    daemon = _DAEMONS[args.role](values=values, clock=core.SystemClock())
    daemon.start()
    code: int = base.run(daemon, lambda: daemon.host.log.info("started"))
    return code


def _check(args: argparse.Namespace) -> int:
    problems: list[str] = []
    for path in args.config:
        problems += _check_settings(path)
    for path in args.bundle:
        try:
            flat_content.read(path)
        except exceptions.SettingsError as exc:
            problems += exc.problems
    for problem in problems:
        print(problem)
    if not problems:
        print(f"{len(args.config) + len(args.bundle)} files are valid")
    return 1 if problems else 0


def _check_settings(path: pathlib.Path) -> list[str]:
    """Return the problems of a file, for the role that fits it best."""
    found: dict[str, list[str]] = {}
    for role, schema in config.SCHEMAS.items():
        try:
            config.read_common(settings.read(path, schema))
            return []
        except exceptions.SettingsError as exc:
            found[role] = exc.problems
    return min(found.values(), key=len)


def _new_keys(args: argparse.Namespace) -> int:
    keys = link.generate_keys()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        fd = os.open(args.file, flags, 0o600)
    except FileExistsError:
        print(f"{args.file} already exists and was not changed")
        return 1
    with os.fdopen(fd, "wb") as out:
        out.write(keys.public + b"\n" + keys.secret + b"\n")
    print(f"wrote {args.file}; copy it to every VM")
    return 0
