#!/bin/sh
# Prepares the stand-ins of the cases. They are Python, with the standard
# library alone, so that only their byte code is made.
cd "$(dirname "$0")" && python3 -m compileall -q .
