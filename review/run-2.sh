#!/bin/sh
# Runs the case of a folder: sh review/run-2.sh N.  Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
number=$1
program=build/review-2/case-$number
[ -x "$program" ] && [ -x target/bshentryd ] || {
	echo "build the deploy file and review/build-2.sh first" >&2
	exit 2
}
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
BSH_BUILD=$PWD/target timeout -k 5 110 "$program" \
	"review/$number/record.txt" >"$TMPDIR/output" 2>&1
result=$?
case $result in
0 | 1) exit "$result" ;;
*)
	cat "$TMPDIR/output" >&2
	exit 2
	;;
esac
