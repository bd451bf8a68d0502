#!/usr/bin/env bash
# Plays case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standins ] && [ -x target/platform ] || review/build.sh || exit 2
exec review/bin/standins 3
