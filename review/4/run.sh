#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
# could not run.  TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/rig ] && [ -x target/spjobd ] || exit 2
exec review/build/rig late-stop review/4
