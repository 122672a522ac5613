#!/usr/bin/env bash
# Fails on committed merge conflict markers, on names of the users'
# platform in code outside platform/, and on unknown files at the root.
set -euo pipefail
cd "$(dirname "$0")/.."

NAMES='Attempt-Id|Deadline-Ms|Server-Seal|Server-Load|Expect-Instance'
NAMES+='|Instance-Id|Not-Executed|Weight-Versions|Last-Event-Id|Length-Hint'
NAMES+='|Wait-Ms|/api/(kv-|lots|items|report|order|readyz)|op/(config|version'
NAMES+='|retire)|pathPrefix|ANVILWELL_NODE_FILE'
FOUND=0

if git grep -nE '^(<<<<<<<|>>>>>>>) ' -- .; then
    echo "check-tree: merge conflict markers are committed" >&2
    FOUND=1
fi
if git grep -nP "(?<!Anvilwell-)($NAMES)" -- '*.py' ':!platform/*'; then
    echo "check-tree: names of the users' platform outside platform/" >&2
    FOUND=1
fi
ROOT_FILES='^(\.flake8|\.gitattributes|\.gitignore|KNOWN-RED\.txt|Makefile'
ROOT_FILES+='|README\.md|conftest\.py|constraints\.txt|pyproject\.toml'
ROOT_FILES+='|requirements\.txt)$'
if git ls-files | grep -v / | grep -vE "$ROOT_FILES"; then
    echo "check-tree: files at the root that do not belong there" >&2
    FOUND=1
fi
exit "$FOUND"
