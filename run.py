"""Start petrelthread from a checkout: adds the built dependencies, then hands over to the CLI.

Compiled modules are looked for below target/, where the build puts them: a controller that has to
compile its own sources first comes up late, with a third of a core very late.
"""

import sys

ROOT = __file__.rpartition("/")[0] or "."
sys.path[:0] = [ROOT, ROOT + "/target/deps"]
sys.pycache_prefix = ROOT + "/target/pycache"

from petrelthread.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
