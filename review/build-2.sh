#!/bin/sh
# Builds the stand-ins of cases 4 to 7: they are plain Python 3.11 and need only
# to compile. The entry nodes use what the deploy file's build puts into
# target/deps. Case 8 is a day of the bench and has none.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/common-2 review/4 review/5 review/6 review/7
