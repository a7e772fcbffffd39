#!/bin/sh
# Builds the stand-ins of the cases: compiles the Python sources below review/ into target/.
set -e
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$PWD/target/pycache-review" python3 -m compileall -q review
