#!/bin/sh
# Long property runs outside CI: SOAK cases a property (default 100000), each
# with the seed printed, so that a failure can be replayed by RC_PARAMS.
set -u
cd "$(dirname "$0")/.." || exit 2
seed=${SEED:-$(date +%s)}
cases=${SOAK:-100000}
rc=0
for t in build/san/tests/*_prop; do
	echo "soak $(basename "$t") seed=$seed cases=$cases"
	RC_PARAMS="seed=$seed max_success=$cases" "$t" || rc=1
done
exit $rc
