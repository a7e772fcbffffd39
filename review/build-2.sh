#!/bin/sh
# Builds the stand-ins of the second review: they are Python programs that need only the standard
# library and what the deploy file's build installs. Their bytecode goes below target/.
cd "$(dirname "$0")/.." || exit 1
for folder in review/[4-8]; do
    [ -d "$folder" ] || continue
    python3 -X pycache_prefix=target/pycache -m compileall -q "$folder" || exit 1
done
PYTHONPATH=.:target/deps python3 -S -X pycache_prefix=target/pycache -c \
    "import orjson, petrelthread.state, petrelthread.protocol" || exit 1
