#!/bin/sh
# Nothing has to be compiled: the stand-ins are Python and use the standard
# library only. Check that they and the programs can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." \
  python3 -c 'import catkinshunt.platform, review.rig.system'
