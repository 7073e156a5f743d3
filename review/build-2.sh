#!/usr/bin/env bash
# Prepares the scripts of the second review (cases 6 to 10), after the build of deploy/system.toml. Their stand-ins are
# Python files of the standard library alone (Python 3.11 or later), so there is nothing to build: this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
import sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for file in [*pathlib.Path("lib-2").glob("*.py"), *(pathlib.Path(str(n)) / "case.py" for n in range(6, 11))]:
    if file.is_file():
        compile(file.read_text(), str(file), "exec")
P
