#!/bin/sh
# Builds the stand-ins of cases 11 to 15, at any working directory. They need
# the standard library alone.
cd "$(dirname "$0")" || exit 2
python3 -m compileall -q harness_3 11 12 13 14 15
