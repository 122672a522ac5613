#!/usr/bin/env bash
# Prepares what the scripts in review/4 to review/8 start.
#
# The stand-ins are programs for the Python interpreter and need no build; this
# checks that they compile, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for program in review/standins-2/world review/[4-8]/case; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), *sys.argv[1:], "exec")' \
        "$program"
done
if [ ! -e target/deps/anvilwell_platform ]; then
    echo "build-2: run deploy/build.sh first" >&2
    exit 1
fi
