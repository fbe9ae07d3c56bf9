#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/sequoialead ] && [ -x target/review3 ] || { echo "build first: the deploy file's build and review/build-3.sh" >&2; exit 2; }
exec target/review3 ghost "$here"
