#!/usr/bin/env bash
# Runs the script of a case: run-case.sh N. The build of the deploy file fills target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:platform:packages/standins:packages/measure:packages/router:packages/core:.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "review/$1/case.py"
