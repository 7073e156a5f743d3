#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the entry daemon, which the build of the deploy file makes.
# Their stand-ins are review/lib-3/standin.py, for Python 3.11 or later with its standard library only, so there is nothing to
# compile.
set -e
python3 - <<'END'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
END
