#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
python="$here/../../.venv/bin/python"
if [ ! -x "$python" ]; then
    echo "could not run: there is no .venv, see build in deploy/balancer.toml" | tee "$here/record.txt"
    exit 2
fi
exec "$python" "$here/case.py"
