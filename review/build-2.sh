#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file: the stand-ins are
# Python, so they are only compiled to see that this machine's python3 can read them.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("python3 3.8 or later is needed")
for name in glob.glob("support-2/*.py") + glob.glob("*/case.py"):
    ast.parse(open(name).read(), name)
END
