#!/bin/sh
# Installs the Debian packages the build and the tests need; a machine that
# has them all is left alone, so that this runs without a network too.
set -eu
want="gcc g++ make pkg-config libevent-dev libevhtp-dev libmsgpack-dev \
libglib2.0-dev libjson-glib-dev liblog4c-dev libssl-dev libsodium-dev \
libcmocka-dev librapidcheck-dev clang-format clang-tidy libclang-rt-dev \
cppcheck mandoc gnuplot-nox curl"
missing=
for p in $want; do
	dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q \
	--no-install-recommends $missing
