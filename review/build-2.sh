#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files, only compiled here.
cd "$(dirname "$0")/.." && python3 -m compileall -q review/standins_2
