#!/bin/sh
# Builds the stand-ins of cases 6 to 10: checks that their Python files compile. The build of the
# deploy file must have run before, as they use nothing but the standard library beside it.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "the build of the deploy file has not run" >&2; exit 1; }
mkdir -p target/review-2
for file in review/lib-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py
do
    [ -f "$file" ] || continue
    name="target/review-2/$(echo "$file" | tr / -)c"
    python3 -c 'import py_compile, sys; py_compile.compile(*sys.argv[1:], doraise=True)' \
        "$file" "$name" || exit 1
done
