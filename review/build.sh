#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They are Python and need no compiler, so this checks that
# they load with what the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps:platform:packages/standins:packages/measure:packages/router:packages/core:.
export PYTHONDONTWRITEBYTECODE=1
exec python3 -c "
import laburnumpier_platform_standin.launch
import laburnumpier_platform_standin.store
import review.common.caller
import review.common.engine
import review.common.installation
"
