#!/usr/bin/env bash
# Runs the script of a case: run_case.sh FOLDER. The script's exit status is kept.
set -euo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
[ -d target/deps ] || {
    echo "run the build command of deploy/system.toml first" >&2
    exit 2
}
export PYTHONPATH="$PWD:$PWD/target/deps"
export PYTHONPYCACHEPREFIX="$PWD/target/review-pycache"
python3 -c "import review.common.deployment" || exit 2
set +e
timeout --signal=TERM --kill-after=5 115 python3 "$folder/case.py"
status=$?
set -e
[ "$status" -le 1 ] || exit 2
exit "$status"
