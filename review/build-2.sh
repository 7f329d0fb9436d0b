#!/bin/sh
# Builds the programs that the scripts of the cases 6 to 10 start, after the build
# of deploy/system.toml: review/N/main.c, with the project's stand-ins that they
# are linked with, into build/review-2.
set -eu
cd "$(dirname "$0")/.."
out=$PWD/build/review-2
packages="apr-1 apr-util-1 glib-2.0 jansson libcurl libmicrohttpd libsodium
	libxxhash msgpack zlib"
cflags="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -fno-strict-aliasing
	-Ilib -I. -Iregress -Ireview $(pkg-config --cflags $packages)"
libs="$(pkg-config --libs $packages) -lm -lpthread"

mkdir -p "$out"
make -j6 BUILD="$out" lib >"$out/lib.log" 2>&1 || {
	cat "$out/lib.log" >&2
	exit 1
}
# The stand-in of the earlier review fills in the template of the deploy file, but
# for sections, whose fields a small deployment does not have.
sed -z 's/{{#\([A-Za-z.]*\)}}.*{{\/\1}}//g' deploy/berylshunt.conf.in \
	>"$out/berylshunt.conf.in"
sed 's#deploy/berylshunt.conf.in#build/review-2/berylshunt.conf.in#' \
	review/stand.c >"$out/stand.c"
# prove.c needs the programs of the proofs.
for source in regress/support/*.c review/case2.c review/link.c "$out/stand.c"; do
	case $source in
	*/prove.c) continue ;;
	esac
	gcc $cflags -c -o "$out/$(basename "$source" .c).o" "$source" &
done
wait
for source in review/[6-9]/main.c review/10/main.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	gcc $cflags -o "$out/case-$number" "$source" "$out"/*.o \
		"$out/libbsh.a" $libs
done
