#!/bin/sh
# The stand-ins are Python files that use the standard library only: compiling them shows that they
# can start. The programs under test are built by the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib/*.py */play.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
