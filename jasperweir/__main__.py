"""Run the command line with ``python -m jasperweir``."""

import sys

from jasperweir.cli import main

if __name__ == "__main__":
    sys.exit(main.main())
