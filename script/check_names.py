"""Check that the platform's names stand in its adapter only.

Also that the adapter stays small, and that no package file of its folder
hides the standard module of the same name.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MOST_LINES = 1500
# Headers, calls and field names that only the adapter may know.
NAMES = re.compile(
    r"Attempt-Id|Deadline-Ms|Target-Instance|Server-Signature|Not-Executed"
    r"|Instance-Load|Token-Usage|Prefix-Hash|Request-Priority"
    r"|Instances[.](Heartbeat|Deregister)|Configuration[.](Replace|Describe)"
    r"|Drain[.](Create|Terminate)"
    r"|coldRemainingMs|coldStartS|warmupPerS|Cold-Start-Ms|maxAttempts"
    r"|pathPrefix|itlTargetMs|ttlS"
)


def main() -> int:
    """Print what is wrong; return 1 if anything is."""
    wrong = []
    for path in sorted((ROOT / "jasperweir").rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if NAMES.search(line):
                place = path.relative_to(ROOT)
                wrong.append(f"{place}:{number}: a name of the platform")
    adapter = sorted((ROOT / "platform").rglob("*.py"))
    lines = sum(len(path.read_text().splitlines()) for path in adapter)
    if lines > MOST_LINES:
        wrong.append(f"platform/ has {lines} lines, {MOST_LINES} at most")
    if (ROOT / "platform" / "__init__.py").exists():
        wrong.append("platform/__init__.py hides a standard module")
    for line in wrong:
        print(line)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
