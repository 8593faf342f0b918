#!/bin/sh
# make install into a folder of its own: with PREFIX, nothing lands outside
# DESTDIR, the installed programs start, a program builds against the
# installed library by pkg-config, and each manual page has its program.
set -u
cd "$(dirname "$0")/../.." || exit 2
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
prefix=/opt/slip
root=$tmp$prefix
bad=0

complain() {
	echo "$*"
	bad=1
}

make -s install DESTDIR="$tmp" PREFIX="$prefix" >"$tmp/log" 2>&1 || {
	cat "$tmp/log"
	exit 1
}
version=$(sed -n 's/.*ES_VERSION "\(.*\)"/\1/p' include/endiveslip.h)

for f in "$tmp"/*; do
	case $f in
	"$tmp/opt" | "$tmp/log") ;;
	*) complain "installed outside of PREFIX: $f" ;;
	esac
done
for f in lib/libendiveslip.a include/endiveslip.h lib/pkgconfig/endiveslip.pc \
	share/doc/endiveslip/examples/systemd/endive-entryd.service; do
	[ -f "$root/$f" ] || complain "not installed: $f"
done
for p in "$root"/bin/*; do
	got=$("$p" --version) || complain "$p --version fails"
	[ "$got" = "$(basename "$p") $version" ] ||
		complain "$p --version says $got"
	"$p" --help >"$tmp/help" || complain "$p --help fails"
	[ "$(wc -l <"$tmp/help")" -ge 5 ] || complain "$p --help is empty"
done
for m in "$root"/share/man/man[18]/*; do
	name=$(basename "$m")
	[ -x "$root/bin/${name%.*}" ] || complain "page without program: $name"
done

cat >"$tmp/user.c" <<'END'
#include <endiveslip.h>
#include <stdio.h>

int main(void)
{
	return puts(ES_VERSION) < 0;
}
END
export PKG_CONFIG_PATH="$root/lib/pkgconfig"
# The packages it asks for are the machine's own, so only our prefix moves.
set -- --define-variable="prefix=$root" endiveslip
cc -o "$tmp/user" "$tmp/user.c" $(pkg-config --cflags "$@") \
	$(pkg-config --libs "$@") || complain "does not build by pkg-config"
[ "$("$tmp/user")" = "$version" ] || complain "built against another version"
[ "$(pkg-config --modversion endiveslip)" = "$version" ] ||
	complain "pkg-config tells another version"
exit $bad
