#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of the review start.
#
# They are Python modules of this repository (standins/ and review/common/) and use the
# libraries in target/deps, which the build command of deploy/system.toml has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps"
export PYTHONPYCACHEPREFIX="$PWD/target/review-pycache"
python3 -m compileall -q standins review/common review/[1-5]
python3 -c 'import aiohttp, review.common.deployment'
echo "review: the stand-ins are ready"
