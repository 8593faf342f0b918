#!/bin/sh
# Builds every program that the scripts of review/9 to review/13 start: the
# daemons as the deploy file builds them, the project's stand-ins, and the one
# of this review.
set -eu
cd "$(dirname "$0")/.."
make -j8 B=target daemons
make -j8 B=target
${CC:-gcc} -O2 -Wall -o target/bin/review-many-routes \
	review/standin-3/many_routes.c $(pkg-config --cflags --libs msgpack)
