#!/bin/sh
# Long runs outside CI: SOAK cases a property (default 100000), each with the
# seed printed, so that a failure can be replayed by RC_PARAMS, and SIM_DAYS
# days of the emulator (default 1000).
set -u
cd "$(dirname "$0")/.." || exit 2
seed=${SEED:-$(date +%s)}
cases=${SOAK:-100000}
rc=0
for t in build/san/tests/*_prop; do
	echo "soak $(basename "$t") seed=$seed cases=$cases"
	n=$cases
	# a case of these is a day of the emulator
	[ "$(basename "$t")" != sim_prop ] || n=${SIM_DAYS:-1000}
	RC_PARAMS="seed=$seed max_success=$n" "$t" || rc=1
done
# Days of the emulator, a share of them on each processor.
days=${SIM_DAYS:-1000}
n=$(nproc)
i=0
pids=
while [ "$i" -lt "$n" ]; do
	build/bin/endive-sim --seed "$(((seed % 1000000) + i * 1000000))" \
		--days "$((days / n))" &
	pids="$pids $!"
	i=$((i + 1))
done
for p in $pids; do
	wait "$p" || rc=1
done
exit $rc
