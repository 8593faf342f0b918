#!/bin/sh
# Builds the stand-ins of review/4 to review/8 into target/review-2/, after the
# build of the deploy file. Run in the root of the repository.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 B=target daemons
mkdir -p target/review-2
cflags="-std=gnu11 -O1 -g -Wall -D_GNU_SOURCE $(pkg-config --cflags libevent msgpack glib-2.0)"
libs="$(pkg-config --libs libevent msgpack glib-2.0)"
for f in review/standin-2/case-*.c; do
	n=$(basename "$f" .c)
	# shellcheck disable=SC2086
	gcc $cflags -o "target/review-2/$n" "$f" review/standin-2/drive.c $libs
done
