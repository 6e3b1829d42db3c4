#!/bin/sh
# Builds every stand-in that the scripts start: they are Python files that need no build, so this checks their syntax.
# The mixer itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
