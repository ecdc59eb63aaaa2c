#!/bin/sh
# Builds the stand-ins of the cases: checks that Python can compile them. They
# use the standard library alone. The entry nodes come from the build of the
# deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import pathlib

for each in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(each.read_text("utf-8"), str(each), "exec")
    print("built", each)
END
