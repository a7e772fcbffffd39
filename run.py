"""Runs petrelthread from a checkout: puts its dependencies on the module path and calls the CLI.

Bytecode is cached below target/, where the build writes it. A controller that first has to compile
its own sources starts late, and very late on a third of a processor core.
"""

import sys

ROOT = __file__.rpartition("/")[0] or "."
sys.path[:0] = [ROOT, ROOT + "/target/deps"]
sys.pycache_prefix = ROOT + "/target/pycache"

from petrelthread.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
