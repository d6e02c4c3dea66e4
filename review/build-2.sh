#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. The stand-ins are
# Python files that need only the standard library; this compiles them.
cd "$(dirname "$0")" || exit 2
for file in harness_2.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    if [ -f "$file" ]; then
        python3 -m py_compile "$file" || exit 1
    fi
done
