#!/bin/sh
# run_tests.sh BUILD: runs every test program and counts the TAP lines.
# A program that ends without its plan counts as one failure.  Failures that
# KNOWN-RED.txt lists by TAP name are printed and do not fail the run.
build=$1
passed=0
failed=0
known=0
here=$(dirname "$0")
export BSH_BUILD="$build" BSH_REGRESS="$here"

# said CASE: the last comments that the program printed before it reported CASE.
said() {
	printf '%s\n' "$out" | awk -v name="$1" '
		/^(not )?ok / { if ($0 ~ "^not ok [0-9]+ " name) exit; n = 0; next }
		/^#/ { line[++n] = $0 }
		END { for (i = n > 20 ? n - 19 : 1; i <= n; i++) print line[i] }'
}

for t in "$build"/regress/test_* "$here"/test_*.sh; do
	[ -x "$t" ] || continue
	name=$(basename "$t")
	began=$(date +%s)
	out=$(timeout 600 "$t" --tap 2>"$build/regress/$name.err")
	status=$?
	ok=$(printf '%s\n' "$out" | grep -c '^ok ')
	bad=$(printf '%s\n' "$out" | grep -c '^not ok ')
	planned=$(printf '%s\n' "$out" | sed -n 's/^1\.\.\([0-9]*\).*/\1/p' | head -n 1)
	if [ "$bad" -gt 0 ]; then
		red=0
		names=$(printf '%s\n' "$out" | sed -n 's/^not ok [0-9]* \([^ ]*\).*/\1/p')
		for n in $names; do
			if [ -f "$here/../KNOWN-RED.txt" ] &&
			    grep -q "^$name:$n[[:space:]]" "$here/../KNOWN-RED.txt"; then
				echo "known red: $name:$n"
				red=$((red + 1))
			else
				echo "FAILED: $name:$n"
				said "$n"
			fi
		done
		known=$((known + red))
		bad=$((bad - red))
	fi
	seen=$(printf '%s\n' "$out" | grep -c '^\(not \)\{0,1\}ok ')
	if [ -z "$planned" ] || [ "$seen" -lt "$planned" ] ||
	    { [ $status -ne 0 ] && [ "$bad" -eq 0 ] && [ "${red:-0}" -eq 0 ]; }; then
		echo "FAILED: $name ended with status $status after $seen tests"
		tail -n 20 "$build/regress/$name.err"
		bad=$((bad + 1))
	elif [ "$bad" -gt 0 ]; then
		tail -n 20 "$build/regress/$name.err"
	fi
	red=0
	echo "$name: $ok ok, $(($(date +%s) - began)) s"
	passed=$((passed + ok))
	failed=$((failed + bad))
done
[ $known -eq 0 ] || echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ] && [ $passed -gt 0 ]
