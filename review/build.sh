#!/bin/sh
# Builds the stand-ins of the scripts: they are plain Python of the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
