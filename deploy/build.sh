#!/usr/bin/env bash
# Puts all that runs on the users' machines under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-cache-dir --target target/deps \
        -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/anvilwell_*
for package in kernel decisions outside gateway; do
    cp -r "packages/$package/anvilwell_$package" target/deps/
done
cp -r platform/anvilwell_platform target/deps/
find target/deps -path '*/anvilwell_*' -name __pycache__ -prune -exec rm -rf {} +
