#!/bin/bash
# The stand-ins need only Python's standard library: check that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'END'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
END
