#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python sources of this repository and need
# no compiler; the check finds a package that the build of deploy/system.toml has not installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/common-2:platform:packages/standins:packages/measure:packages/router:packages/core \
    python3 -c "import bookings, deployment, laburnumpier_platform_standin.store, laburnumpier_measure.local_fleet"
