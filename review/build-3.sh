#!/usr/bin/env bash
# Builds every stand-in that a script of the third review starts. The scripts of cases 11 to 15 need none: they play the
# platform, the operator, the servers and the clients in Python (common-3/harness.py) and start target/auburnscale, which
# the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile common-3/harness.py 1[1-5]/case.py
rm -rf common-3/__pycache__ 1[1-5]/__pycache__
