#!/bin/sh
# run_proofs.sh BUILD: runs every proof program in parallel.  Each prints rows
# promise<TAB>faults<TAB>seeds<TAB>naive_violations<TAB>berylshunt_violations.
# Exit 0 only if all nine promises have a row, every naive figure is above zero
# and every berylshunt figure is zero or listed in KNOWN-RED.txt.
build=$1
here=$(dirname "$0")
rows="$build/regress/proofs.tsv"
status=0
pids=
for p in "$build"/regress/prove/prove_*; do
	[ -x "$p" ] || continue
	timeout 55 "$p" >"$p.out" 2>"$p.err" &
	pids="$pids $!:$p"
done
: >"$rows"
for entry in $pids; do
	p=${entry#*:}
	if ! wait "${entry%%:*}"; then
		echo "$(basename "$p") failed:" >&2
		tail -n 5 "$p.err" >&2
		status=1
	fi
	cat "$p.out" >>"$rows"
done
grep -c . "$rows" >/dev/null || status=1
cat "$rows"
for promise in replicas memory in-time whole-answer not-run at-most-once \
    leaving shutdown configuration; do
	grep -q "^$promise	" "$rows" || { echo "no proof: $promise"; status=1; }
done
while IFS='	' read -r promise faults seeds naive ours; do
	if [ "$naive" -le 0 ]; then
		echo "$promise/$faults: the naive version broke nothing"
		status=1
	fi
	if [ "$ours" -ne 0 ] &&
	    ! grep -q "^prove:$promise/$faults[[:space:]]" "$here/../KNOWN-RED.txt" 2>/dev/null; then
		echo "$promise/$faults: $ours violations"
		status=1
	fi
done <"$rows"
exit $status
