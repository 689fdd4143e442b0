#!/bin/sh
# Links the bench's own files, which are no part of this repository, beside the site files here.
# Usage: link-bench-files.sh SITES_DIRECTORY    where the bench keeps real.json, wire.json and unlock.txt
set -eu
if [ $# -ne 1 ] || [ ! -f "$1/wire.json" ]; then
    echo "usage: $0 SITES_DIRECTORY (one that holds real.json, wire.json and unlock.txt)" >&2
    exit 2
fi
source_directory=$(cd "$1" && pwd)
cd "$(dirname "$0")"
for name in real.json wire.json unlock.txt; do
    ln -sf "$source_directory/$name" "$name"
done
