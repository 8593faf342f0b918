#!/bin/sh
# One line a measure: name, value, unit, baseline value, tab-separated.
set -u
printf 'name\tvalue\tunit\tbaseline\n'
rc=0
for b in "$@" bench/*_bench.sh; do
	case $b in
	*.sh) [ -f "$b" ] && { sh "$b" || rc=1; } ;;
	*) "$b" || rc=1 ;;
	esac
done
exit $rc
