#!/bin/sh
# Build the stand-ins that the scripts of review/6 and later start; run it after the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lab_2/*.py 6/case.py 7/case.py 8/case.py 9/case.py
