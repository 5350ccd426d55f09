#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library,
# so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
