#!/bin/sh
# Builds the stand-ins that the scripts under review/ start. Run it from
# anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j4 B=target target/libendiveslip.a >/dev/null
pkgs="libevent libevent_pthreads msgpack glib-2.0 gobject-2.0 json-glib-1.0 libsodium"
mkdir -p target/review
for p in minions caller; do
	# shellcheck disable=SC2046
	${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter \
		-D_GNU_SOURCE -Iinclude -Isrc -Iplatform \
		$(pkg-config --cflags $pkgs) -o "target/review/$p" \
		"review/standin/$p.c" target/libendiveslip.a \
		$(pkg-config --libs $pkgs) -levhtp -lssl -lcrypto -llog4c -lm
done
