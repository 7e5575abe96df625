#!/bin/bash
# Builds what the scripts of the cases start besides target/auburnscale. All stand-ins are
# in Python, without packages, so that there is only their syntax to check.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
