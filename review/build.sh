#!/bin/sh
# Builds the review's stand-ins: standard-library Python that the deploy file's .venv runs.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review
