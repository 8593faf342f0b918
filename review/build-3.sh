#!/bin/sh
# Builds every program that the scripts of review/9 to review/13 start: the
# daemons as the deploy file builds them, the project's stand-ins, and those
# of this review.
set -eu
cd "$(dirname "$0")/.."
make -j8 B=target daemons
make -j8 B=target
for s in call many_routes platform; do
	${CC:-gcc} -O2 -Wall -o "target/bin/review-$s" "review/standin-3/$s.c" \
		$(pkg-config --cflags --libs msgpack libevent)
done
