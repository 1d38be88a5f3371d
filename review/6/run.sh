#!/bin/sh
# Plays the case of claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/slatemux ] && [ -x bin/rig2 ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec bin/rig2 replacement-full-journal review/6
