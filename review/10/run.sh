#!/bin/sh
# Runs this case; see claim.txt.  1: the rule was broken, 0: it held, 2: the case
# could not run.  TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$folder/../run-2.sh" "$(basename "$folder")"
