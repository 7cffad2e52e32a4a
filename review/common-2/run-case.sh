#!/bin/sh
# Runs the case whose folder is given, with the packages that build-2.sh has put into target/deps.
set -u
case_folder=$(cd "$1" && pwd)
root=$(cd "$case_folder/../.." && pwd)
cd "$root" || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
PYTHONPATH=target/deps:review/common-2:platform:packages/standins:packages/measure:packages/router:packages/core
export PYTHONPATH
exec timeout --signal=INT --kill-after=3 118 python3 "$case_folder/case.py"
