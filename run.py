"""Start petrelthread from a checkout: adds the built dependencies, then hands over to the CLI."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from petrelthread.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
