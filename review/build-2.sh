#!/bin/sh
# Compiles the programs and the stand-ins of cases 6 to 10. It runs after the
# build of the deploy file, which leaves the libraries under target/deps.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q catkinshunt standins review/stage2
