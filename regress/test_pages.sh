#!/bin/sh
# Checks the pages against the programs: runs the commands of blocks marked
# "sh", checks the commands of blocks marked "console", and compares the keys of
# settings and document and the error kinds with the pages that describe them.
# Prints TAP.
here=$(cd "$(dirname "${BSH_REGRESS:-$0}/.")" 2>/dev/null && pwd)
[ -f "$here/test_pages.sh" ] || here=$(cd "$(dirname "$0")" && pwd)
top=$(dirname "$here")
build=$(cd "${BSH_BUILD:-$top/build}" && pwd) || exit 1
PATH=$build:$PATH
export PATH
unset BERYLSHUNT_SERVER
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
results=$work/results
: >"$results"

# report STATUS NAME: one test.
report() {
	if [ "$1" -eq 0 ]; then
		echo "ok $2" >>"$results"
	else
		echo "not ok $2" >>"$results"
	fi
}

# blocks KIND FILE DIR: writes each block of a kind to DIR/1, DIR/2, ...
blocks() {
	mkdir -p "$3"
	awk -v kind="$1" -v dir="$3" '
		{ line = $0; sub(/^ +/, "", line) }
		inside && line == "```" { inside = 0; close(file); next }
		inside { print $0 > file }
		!inside && line == "```" kind { inside = 1; n++; file = dir "/" n; printf "" > file }
		END { print n + 0 }' "$2"
}

# Commands that need no running system; the blocks of a page share a directory.
for page in "$top"/docs/operating/*.md; do
	name=$(basename "$page" .md)
	count=$(blocks sh "$page" "$work/sh-$name")
	mkdir "$work/run-$name"
	n=1
	while [ "$n" -le "$count" ]; do
		(cd "$work/run-$name" && sh -eu "$work/sh-$name/$n") \
			>"$work/out" 2>&1
		status=$?
		[ $status -eq 0 ] || sed "s/^/# /" "$work/out" >&2
		report $status "/pages/run/$name-$n"
		n=$((n + 1))
	done
done
[ "$(grep -c '/pages/run/' "$results")" -ge 8 ]
report $? /pages/run/has-blocks

# check_line COMMAND...: a bshctl command on a page names a command and options
# that exist.  The command's help lists them.
check_line() {
	help=$(bshctl "$2" --help 2>/dev/null) || return 1
	shift 2
	for word in "$@"; do
		option=${word%%=*}
		case $option in
		--*) printf '%s\n' "$help" | grep -q -e " $option[ =]" -e " $option\$" || return 1 ;;
		-[A-Za-z]) printf '%s\n' "$help" | grep -q -e "^  $option[, ]" || return 1 ;;
		esac
	done
	return 0
}

seen=0
for page in "$top"/README.md "$top"/docs/operating/*.md; do
	name=$(basename "$page" .md)
	count=$(blocks console "$page" "$work/console-$name")
	[ "$count" -gt 0 ] || continue
	status=0
	while IFS= read -r line; do
		seen=$((seen + 1))
		set -f
		# shellcheck disable=SC2086
		check_line ${line%%[>|]*} || {
			echo "# $name: $line" >&2
			status=1
		}
		set +f
	done <<-END
		$(cat "$work/console-$name"/* | sed 's/^ *//' | grep '^bshctl ')
	END
	report $status "/pages/console/$name"
done
[ "$seen" -ge 10 ]
report $? /pages/console/has-commands

# Samples of the README and of the manual pages.
check_samples() {
	status=1
	for sample in "$1"/*; do
		[ -s "$sample" ] || continue
		status=0
		$2 "$sample" >/dev/null || return 1
	done
	return $status
}
literals() {
	mkdir -p "$2"
	awk -v dir="$2" '
		/^\.Bd -literal$/ { inside = 1; n++; next }
		/^\.Ed/ { inside = 0 }
		inside { print $0 > (dir "/" n) }' "$1"
}
blocks json "$top/README.md" "$work/json" >/dev/null
check_samples "$work/json" "bshctl check"
report $? /pages/samples/readme-document
blocks ini "$top/README.md" "$work/ini" >/dev/null
check_samples "$work/ini" "bshconsoled --check-config -c"
report $? /pages/samples/readme-settings
literals "$top/docs/man/berylshunt.document.5" "$work/man-doc"
check_samples "$work/man-doc" "bshctl check"
report $? /pages/samples/manual-document
literals "$top/docs/man/berylshunt.conf.5" "$work/man-conf"
check_samples "$work/man-conf" "bshconsoled --check-config -c"
report $? /pages/samples/manual-settings

# has_all PAGE LIST: each line of the list is the key of an .It of the page.
has_all() {
	missing=0
	total=0
	while read -r key; do
		total=$((total + 1))
		grep -Eq "^\.It Li (.* )?$key( ,|\$)" "$1" || {
			echo "# $(basename "$1"): $key is missing" >&2
			missing=1
		}
	done <"$2"
	[ $missing -eq 0 ] && [ $total -ge 10 ]
}

settings=$top/lib/base/settings.c
sed -n 's/^	{ *"\([a-z]*\)", "\([a-z_]*\)", BSH_SETTING_.*/\1 \2/p' "$settings" >"$work/settings"
cut -d ' ' -f 2 "$work/settings" | sort -u >"$work/settings-keys"
has_all "$top/docs/man/berylshunt.conf.5" "$work/settings-keys"
report $? /pages/keys/settings
status=0
# A key stands under the heading of its group.
while read -r group key; do
	awk -v group="[$group]" -v key="$key" '
		/^\.Ss / { inside = $2 == group }
		inside && $1 == ".It" && $3 == key { found = 1 }
		END { exit !found }' "$top/docs/man/berylshunt.conf.5" || {
		echo "# $group.$key is missing" >&2
		status=1
	}
done <"$work/settings"
report $status /pages/keys/settings-groups

document=$top/lib/state/document.c
{
	sed -n 's/^	*{ *"\([a-z_]*\)", FIELD_.*/\1/p' "$document"
	tr '\n\t' '  ' <"$document" |
		sed -n 's/.*top_keys\[\] = {\([^}]*\)}.*/\1/p' | tr -d '" ' | tr ',' '\n'
	echo
	echo pool
} | sort -u | grep . >"$work/document-keys"
has_all "$top/docs/man/berylshunt.document.5" "$work/document-keys"
report $? /pages/keys/document

# Each error kind has a row with its status, outcome and Retry-After.
{ tr '\n\t' '  ' <"$top/lib/base/error.c"; echo; } |
	sed 's/\[BSH_/\n[BSH_/g' |
	sed -n 's/^\[BSH_[A-Z_]*\] = { *"\([a-z-]*\)",.*, *\([0-9]*\), *\([A-Z_]*\), *\(true\|false\) *}.*/\1 \2 \3 \4/p' |
	sed 's/BSH_OUTCOME_//; s/NOT_RUN/not-run/; s/UNKNOWN/unknown/; s/ANSWERED/answered/; s/true/yes/; s/false/no/' >"$work/errors"
status=0
while read -r kind code outcome retry; do
	grep -q "^| \`$kind\` | $code | $outcome | $retry | " "$top/docs/operating/errors.md" || {
		echo "# errors.md: $kind $code $outcome $retry is missing" >&2
		status=1
	}
done <"$work/errors"
kinds=$(sed -n '/BSH_OK = 0/,/BSH_ERR_COUNT/p' "$top/lib/base/error.h" | grep -c '^	BSH_[A-Z_]*\( = 0\)\{0,1\},')
[ "$kinds" -ge 20 ] && [ "$kinds" -eq "$(wc -l <"$work/errors")" ] || status=1
report $status /pages/errors

# Counters that the pages name exist in the programs.
status=0
named=$(cat "$top"/docs/operating/*.md | grep -o 'bsh_[a-z_]*' | sort -u)
for counter in $named; do
	grep -rq "\"$counter\"" "$top"/lib "$top"/bsh*/ || {
		echo "# no counter $counter" >&2
		status=1
	}
done
[ -n "$named" ] || status=1
report $status /pages/counters

# in_items PAGE SECTION WORD: the word is listed by an .It of the section.
in_items() {
	awk -v section="$2" -v word="$3" '
		/^\.Sh / { major = $2; minor = "" }
		/^\.Ss / { minor = $2 }
		(major == section || minor == section) && $1 == ".It" {
			for (i = 3; i <= NF; i++) if ($i == word) found = 1
			# A name that the program completes.
			for (i = 3; i <= NF; i++)
				if (word ~ /-$/ && index($i, word) == 1) found = 1
		}
		END { exit !found }' "$1"
}

# all_in PAGE SECTION MINIMUM LIST
all_in() {
	missing=0
	total=0
	while read -r word; do
		total=$((total + 1))
		in_items "$1" "$2" "$word" || {
			echo "# $(basename "$1"), $2: $word is missing" >&2
			missing=1
		}
	done <"$4"
	[ $missing -eq 0 ] && [ $total -ge "$3" ]
}

# The log and the metrics of bshentryd, its calls to the platform included, are listed in its page, and nothing else
# is.
entryd=$top/bshentryd/bshentryd.8
cat "$top"/bshentryd/*.c "$top"/platform/*.c "$top/lib/base/log.c" \
	"$top/lib/base/crash.c" "$top/lib/transport/http_client.c" | tr '\n\t' '  ' |
	grep -o 'bsh_log(BSH[^;]*;\|bsh_log(reached[^;]*;\|"log-dropped[^;]*;\|"op=[^;]*;\|append(line, &at,[^;]*;' >"$work/calls"
grep -o '^[^"]*"[a-z-]*' "$work/calls" | sed 's/.*"//' | grep -v '^op$' | grep . | sort -u >"$work/events"
all_in "$entryd" Events 25 "$work/events"
report $? /pages/log/events
grep -o '[a-z_]*=\(%\|\\"\|" G\)' "$work/calls" | sed 's/=.*//' | sort -u >"$work/log-keys"
all_in "$entryd" Keys 50 "$work/log-keys"
report $? /pages/log/keys
grep -oh '"bsh_[a-z_]*"' "$top"/bshentryd/*.c "$top"/platform/*.c \
	"$top/lib/protocol/datagram.c" "$top/lib/transport/udp.c" |
	tr -d '"' | sort -u >"$work/metrics"
all_in "$entryd" METRICS 25 "$work/metrics"
report $? /pages/log/metrics
status=0
for section in Events Keys METRICS; do
	awk -v section="$section" '
		/^\.Sh / { major = $2; minor = "" }
		/^\.Ss / { minor = $2 }
		(major == section || minor == section) && $1 == ".It" {
			for (i = 3; i <= NF; i++) if ($i != ",") print $i
		}' "$entryd"
done >"$work/listed"
while read -r word; do
	grep -qx "$word" "$work/events" "$work/log-keys" "$work/metrics" && continue
	case $word in
	store-reached | store-lost) continue ;;
	esac
	echo "# bshentryd.8: $word is not in the program" >&2
	status=1
done <"$work/listed"
[ "$(wc -l <"$work/listed")" -ge 100 ] || status=1
report $status /pages/log/nothing-else

# Every promise and every row of section 7 of the design has its place.
status=0
for part in 'Router killed' 'Controller killed' 'Owner frozen and resumed' \
	'Store down or slow' 'Store answer lost' 'Target killed' \
	'Target leaving' 'Weight store slow' 'Region partitioned' \
	'Connection silent for good' 'Process killed during a load' \
	'Network cut between two processes' 'Lagging instance list' \
	'Two operators racing' 'Late and crossed answers' \
	'Target that ignores fencing numbers' 'Shutdown under load'; do
	awk -v head="## $part" '
		/^## / { inside = $0 == head }
		inside && /\*\*Symptom\*\*/ { symptom = 1 }
		inside && /\*\*Holds\*\*/ { holds = 1 }
		inside && /\*\*[Mm]orning\*\*/ { morning = 1 }
		END { exit !(symptom && holds && morning) }' \
		"$top/docs/operating/failures.md" || {
		echo "# failures.md: $part" >&2
		status=1
	}
done
report $status /pages/failures
status=0
promises=0
for promise in $(sed -n 's/^| `\([a-z-]*\)` | [A-Z].*\./\1/p' "$top/docs/design.md" | cut -d ' ' -f 1 | head -n 9); do
	grep -q "^| \`$promise\` | " "$top/docs/operating/regulator.md" || status=1
	promises=$((promises + 1))
done
[ $promises -eq 9 ] || status=1
report $status /pages/promises

# The console's generated source is that of its style sheet and script.
sh "$top/bshconsoled/embed.sh" | cmp -s - "$top/bshconsoled/assets.c"
report $? /pages/assets

echo "1..$(wc -l <"$results")"
awk '{ n++; if ($1 == "ok") { print "ok " n " " $2 } else { print "not ok " n " " $3; bad = 1 } }
	END { exit bad }' "$results"
