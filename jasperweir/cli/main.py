"""Entry point of the ``jasperweir`` command."""

import argparse
import sys

from jasperweir import __version__
from jasperweir import exceptions
from jasperweir.cli import daemons
from jasperweir.cli import evacuate
from jasperweir.cli import operate
from jasperweir.cli import quarantine
from jasperweir.cli import report
from jasperweir.cli import solo

EXIT_USAGE = 2

EPILOG = """\
examples:
  jasperweir check --config entry-1.ini
  jasperweir entry --config entry-1.ini
  jasperweir bundle sign-off --file souss.ini --control 127.0.0.1:7101
  jasperweir bundle roll --version 3 --control 127.0.0.1:7101
  jasperweir bundle status --control 127.0.0.1:7101 --json
  jasperweir report burn --entries 127.0.0.1:8080 --page burn.html
  jasperweir held list --entry 10.1.0.40:9101
  jasperweir held lift --entry 10.1.0.40:9101 --all
  jasperweir evacuate create z2 --control 10.1.0.10:9102,10.2.0.10:9102
  jasperweir evacuate list --control 10.1.0.10:9102
  jasperweir solo

exit codes: 0 success, 1 rejected or failed, 2 invalid usage or settings,
3 disk failure, 4 unreachable
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with the commands of all modules."""
    parser = argparse.ArgumentParser(
        prog="jasperweir",
        description="Load balancer for expert-parallel model groups.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    daemons.add_commands(commands)
    operate.add_commands(commands)
    report.add_commands(commands)
    quarantine.add_commands(commands)
    evacuate.add_commands(commands)
    solo.add_commands(commands)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    args = build_parser().parse_args(argv)
    try:
        code: int = args.func(args)
        return code
    except exceptions.SettingsError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    except exceptions.StorageError as exc:
        print(f"disk: {exc}", file=sys.stderr)
        return 3
    except BrokenPipeError:
        return 0
