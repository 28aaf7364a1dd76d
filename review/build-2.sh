#!/bin/sh
# Builds the stand-ins of the second review: Python of the standard library alone, so it only compiles them.
# Run it after the build of the deploy file.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q standins_2.py 6 7 8 9 10
