#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/, and the program under test into target/ with
# the build line of the deploy file unless it is there. Needs Go only, and no network once the
# project's own modules are in the cache.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/platform ]; then
  bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
cd review/platform
GOWORK=off GOPROXY=off go build -o ../bin/standins .
