#!/bin/sh
# Run once after `build` of the deploy file, with the package mirrors at hand: what the cases 6 to 10 need.
# The stand-ins are Python files beside the cases. Programs with --parts (cases 6, 7 and 10) need the packages of
# requirements-parts.txt, as the project's own pages say; nothing else is installed.
set -e
cd "$(dirname "$0")/.."
if [ ! -x .venv/bin/python ]; then
    echo "build-2: there is no .venv: run build of deploy/balancer.toml first" >&2
    exit 2
fi
.venv/bin/pip -q install -r requirements-parts.txt
.venv/bin/python -m compileall -q wickvane client/wickvane_client review/kit2.py review/tds2.py
