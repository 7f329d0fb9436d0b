#!/bin/sh
# test_processes.sh: real processes on loopback, with SIGKILL, SIGSTOP and cut
# connections.  Every verdict is counted from the stand-ins' own records.
# Output is TAP.
set -u
BUILD=${BSH_BUILD:-build}
here=$(dirname "$0")
timing='probe_period_ms=200
lease_ms=1000
fresh_ms=2000
settle_ms=500
drain_ms=3000'
with_relays=

fail() {
	echo "# $*"
	exit 1
}

# A small deployment: two engines, one service pool, instances $1...
document() {
	cat <<-END
		{"deployment":"test","weight":0.2,
		"weight_store":{"loads_per_s":20,"concurrent":4},
		"pools":[{"name":"gpu","kind":"engine","fencing":$1,"memory_mib":1000},
		{"name":"app","kind":"service"}],
		"models":[{"name":"one","pool":"gpu","memory_mib":400,
		"max_replicas":1,"load_ms":$2,"deadline_ms":10000},
		{"name":"two","pool":"gpu","memory_mib":400,"max_replicas":1,
		"load_ms":$2,"deadline_ms":10000}],
		"services":[{"name":"pay","pool":"app","repeatable":false,
		"deadline_ms":8000}$3]}
	END
}

knows_members() {
	[ "$(curl -sf -m 2 "127.0.0.1:$1/v1/status" |
		grep -o '"state":"live","generation"' | wc -l)" -eq "$2" ]
}

# deploy FENCING LOAD_MS SERVICES NAME...
deploy() {
	local fencing=$1
	local load_ms=$2
	local services=$3
	local name api n word
	shift 3
	n=$#
	word=
	[ "$fencing" = true ] && word=fencing
	standin weights standin_weights 0
	post "$port_weights" "{\"transfer_ms\":$load_ms}"
	add_engine engine_1 a gpu 1000 $word
	add_engine engine_2 b gpu 1000 $word
	add_service app_1 a app
	for name in "$@"; do
		if [ -n "$with_relays" ]; then
			standin "relay_$name" standin_relay 0 "$port_store"
			eval "store_via=\$port_relay_$name"
		fi
		add_entry "$name" a "$timing"
	done
	publish_list
	for name in "$@"; do
		start_entry "$name"
	done
	for name in "$@"; do
		eval "api=\$api_$name"
		wait_until 10 knows_members "$api" "$n" ||
			fail "$name does not know $n members"
	done
	document "$fencing" "$load_ms" "$services" >"$cluster_dir/document"
	eval "api=\$api_$1"
	apply_document "$api" 0 "$cluster_dir/document" >/dev/null ||
		fail "document refused"
	wait_ready 10 "$@" || fail "not ready"
	wait_until 10 has_owner "$@" || fail "no owner"
}

# has_owner NAME...: sets owner to the instance that owns the cell.
has_owner() {
	local name api
	owner=
	for name in "$@"; do
		eval "api=\$api_$name"
		curl -sf -m 1 "127.0.0.1:$api/v1/status" |
			grep -q '"name":"gpu","owned":true' && owner=$name
	done
	[ -n "$owner" ]
}

# chat NAME MODEL DEADLINE_MS: prints the status code.
chat() {
	local port
	eval "port=\$entry_$1"
	curl -s -m 15 -o /dev/null -w '%{http_code}' \
		-H "Berylshunt-Deadline-Ms: $3" \
		-d "{\"model\":\"$2\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"a b\"}]}" \
		"127.0.0.1:$port/v1/chat/completions"
}

served() {
	[ "$(chat "$1" "$2" 4000)" = 200 ]
}

# pay NAME KEY [DEADLINE_MS]: prints status code and outcome.
pay() {
	local port
	eval "port=\$entry_$1"
	curl -s -m 15 -D - -o /dev/null -X POST -H "Idempotency-Key: $2" \
		-H "Berylshunt-Deadline-Ms: ${3:-8000}" -d '{"yen":5000}' \
		"127.0.0.1:$port/services/pay/x" | tr -d '\r' |
		awk 'NR == 1 { code = $2 }
		     tolower($1) == "berylshunt-outcome:" { outcome = $2 }
		     END { print code, outcome }'
}

# most_replicas MODEL: loads of the model in force at once, over both engines.
most_replicas() {
	local port
	for port in "$port_engine_1" "$port_engine_2"; do
		records "$port" | grep -o '{"model":"[^}]*"began_us"[^}]*}' |
			grep '"attempt"'
	done | awk -v model="\"model\":\"$1\"" '
		index($0, model) {
			match($0, /"began_us":[0-9]+/)
			print substr($0, RSTART + 11, RLENGTH - 11), 1
			if (match($0, /"ended_us":[0-9]+/))
				print substr($0, RSTART + 11, RLENGTH - 11), -1
		}' | sort -n -k 1,1 -k 2,2 | awk '
		{ n += $2; if (n > most) most = n }
		END { print most + 0 }'
}

# Guards against a deposit that runs again after its router was killed.
at_most_once_killed_router() {
	local i
	deploy true 100 '' entry_1 entry_2
	post "$port_app_1" '{"work_ms":300}'
	for i in 1 2 3 4 5 6; do
		pay entry_1 "key-$i" >"$cluster_dir/first_$i" &
	done
	wait_until 5 sh -c "curl -s 127.0.0.1:$port_store/records |
		grep -q '\"name\":\"intent/'" || fail "no intent was written"
	kill -KILL "$pid_router_entry_1"
	post "$port_app_1" '{"work_ms":0}'
	for i in 1 2 3 4 5 6; do
		pay entry_2 "key-$i" >"$cluster_dir/second_$i"
		echo "# key-$i: $(cat "$cluster_dir/second_$i")"
		grep -q '^[0-9]' "$cluster_dir/second_$i" ||
			fail "key-$i was not answered"
	done
	wait_until 5 sh -c "[ \$(curl -s 127.0.0.1:$port_app_1/records |
		grep -o '\"execution\":' | wc -l) -ge 1 ]" ||
		fail "no deposit ran, so the test proves nothing"
	for i in 1 2 3 4 5 6; do
		[ "$(executions "key-$i" app_1)" -le 1 ] ||
			fail "key-$i ran $(executions "key-$i" app_1) times"
	done
}

# Guards against a repeat after the answer was lost or the connection fell
# silent: the outcome is unknown and stays so.
at_most_once_lost_answer() {
	deploy true 100 '' entry_1 entry_2
	post "$port_app_1" '{"lose_answers":1}'
	set -- $(pay entry_1 lost)
	[ "${2:-}" = unknown ] || fail "first outcome is ${2:-none}"
	set -- $(pay entry_2 lost)
	[ "${2:-}" = unknown ] || fail "second outcome is ${2:-none}"
	[ "$(executions lost app_1)" = 1 ] || fail "it ran again"
	set -- $(pay entry_2 fine)
	[ "${2:-}" = answered ] || fail "another key: ${2:-none}"
	[ "$(executions fine app_1)" = 1 ] || fail "another key did not run"
}

# The same for a service that runs the call and then falls silent.
at_most_once_silent() {
	deploy true 100 '' entry_1 entry_2
	post "$port_app_1" '{"silent_after":1}'
	set -- $(pay entry_1 quiet 1500)
	[ "${2:-}" = unknown ] || fail "first outcome is ${2:-none}"
	set -- $(pay entry_2 quiet)
	[ "${2:-}" = unknown ] || fail "second outcome is ${2:-none}"
	[ "$(executions quiet app_1)" = 1 ] || fail "it ran again"
}

# Guards against a second replica when the owner dies during a load.
replicas_killed_owner() {
	local other
	deploy "$1" 700 '' entry_1 entry_2
	other=entry_1
	[ "$owner" = entry_1 ] && other=entry_2
	chat "$other" one 9000 >"$cluster_dir/code" &
	wait_until 5 sh -c "curl -s 127.0.0.1:$port_engine_1/records \
		127.0.0.1:$port_engine_2/records | grep -q began_us" ||
		fail "no load began"
	eval "kill -KILL \$pid_control_$owner"
	wait_until 10 served "$other" one || fail "the model is not served"
	wait_until 10 served "$other" two || fail "no takeover"
	[ "$(most_replicas one)" = 1 ] ||
		fail "$(most_replicas one) replicas in force at once"
	[ "$(most_replicas two)" = 1 ] || fail "replicas of the second model"
}

# Guards against a request that is refused because the owner has just died,
# although the takeover ends long before the deadline.
in_time_takeover() {
	local other
	deploy true 100 '' entry_1 entry_2
	other=entry_1
	[ "$owner" = entry_1 ] && other=entry_2
	eval "kill -$1 \$pid_control_$owner"
	began=$(cluster_now_ms)
	code=$(chat "$other" one 9000)
	echo "# owner got $1: $code after $(($(cluster_now_ms) - began)) ms"
	[ "$code" = 200 ] || fail "the waiting request was not served"
	[ "$(most_replicas one)" = 1 ] || fail "$(most_replicas one) replicas"
}

# Guards against a frozen owner that loads again after it was replaced.
replicas_frozen_owner() {
	local other
	deploy true 300 '' entry_1 entry_2
	other=entry_1
	[ "$owner" = entry_1 ] && other=entry_2
	eval "kill -STOP \$pid_control_$owner"
	wait_until 12 served "$other" one || fail "no takeover"
	eval "kill -CONT \$pid_control_$owner"
	wait_until 10 served "$owner" one || fail "the resumed instance is out"
	wait_until 10 served "$other" two || fail "second model"
	[ "$(most_replicas one)" = 1 ] || fail "$(most_replicas one) replicas"
	[ "$(most_replicas two)" = 1 ] || fail "$(most_replicas two) replicas"
}

# Guards against a second replica when the owner alone loses the store: it
# keeps its slots, the other instance takes the cell over.
replicas_cut_owner() {
	local other
	with_relays=1
	deploy true 300 '' entry_1 entry_2
	other=entry_1
	[ "$owner" = entry_1 ] && other=entry_2
	eval "kill -USR1 \$pid_relay_$owner"
	first=$owner
	wait_until 12 has_owner "$other" || fail "no takeover"
	served "$first" one || served "$other" one || fail "not served"
	wait_until 10 served "$other" one || fail "not served by the new owner"
	eval "kill -USR2 \$pid_relay_$first"
	wait_until 10 served "$first" two || fail "not served after the cut"
	[ "$(most_replicas one)" = 1 ] || fail "$(most_replicas one) replicas"
	[ "$(most_replicas two)" = 1 ] || fail "$(most_replicas two) replicas"
}

# timed_chat NAME MODEL DEADLINE_MS: code and milliseconds.
timed_chat() {
	local began code
	began=$(cluster_now_ms)
	code=$(chat "$1" "$2" "$3")
	echo "$code $(($(cluster_now_ms) - began))"
}

# Guards against a refusal that comes late or not at all: a load that cannot
# end in time is refused at once, a silent controller by the deadline.
in_time() {
	deploy true 20000 '' entry_1
	set -- $(timed_chat entry_1 one 1500)
	echo "# slow weight store: $1 after $2 ms"
	[ "$1" = 503 ] && [ "$2" -lt 700 ] || fail "not refused at once"
	kill -STOP "$pid_control_entry_1"
	set -- $(timed_chat entry_1 two 1500)
	echo "# frozen controller: $1 after $2 ms"
	[ "$1" = 503 ] && [ "$2" -lt 2000 ] || fail "not refused in time"
	kill -CONT "$pid_control_entry_1"
}

call_old() {
	curl -s -m 2 -o /dev/null "127.0.0.1:$1/services/old/x"
	curl -s -m 2 -o /dev/null "127.0.0.1:$1/healthz"
}

# Guards against an instance that serves a configuration which was replaced
# while its controller was frozen.  The bound is fresh_ms plus 1 s.
configuration_frozen() {
	local end accepted last
	deploy true 100 ',{"name":"old","pool":"app","repeatable":true}' \
		entry_1 entry_2 entry_3
	wait_until 5 sh -c "curl -sf -m 2 \
		127.0.0.1:$entry_entry_3/services/old/x" || fail "not served"
	kill -STOP "$pid_control_entry_3"
	document true 100 '' >"$cluster_dir/document2"
	generation=$(curl -sf "127.0.0.1:$api_entry_1/v1/config" |
		json_field generation)
	wait_until 20 apply_document "$api_entry_1" "$generation" \
		"$cluster_dir/document2" || fail "not accepted"
	accepted=$(records "$port_store" |
		grep -o "\"at_us\":[0-9]*,\"generation\":$((generation + 1))}" |
		sed 's/"at_us":\([0-9]*\).*/\1/' | tail -n 1)
	[ -n "$accepted" ] || fail "no record of the change"
	end=$(($(cluster_now_ms) + 4500))
	while [ "$(cluster_now_ms)" -lt $end ]; do
		call_old "$entry_entry_3"
	done
	last=$(records "$port_app_1" | grep -o '"at_us":[0-9]*' | tail -n 1 |
		sed 's/.*://')
	echo "# last use of the removed service: $(((last - accepted) / 1000)) ms"
	[ $(((last - accepted) / 1000)) -le 3000 ] || fail "used for too long"
	kill -CONT "$pid_control_entry_3"
	wait_until 10 sh -c "curl -sf -m 2 127.0.0.1:$api_entry_3/v1/config |
		grep -qv '\"old\"'" || fail "not adopted after the resume"
}

# put_document NAME GENERATION FILE: prints the status code, keeps the body.
put_document() {
	local port
	eval "port=\$api_$1"
	curl -s -m 20 -o "$cluster_dir/body_$4" -w '%{http_code}' -X PUT \
		-H "If-Match: \"$2\"" --data-binary "@$3" \
		"127.0.0.1:$port/v1/config" >"$cluster_dir/code_$4"
}

# race NAME NAME: two different documents on the same base at the same time.
race() {
	local base next
	base=$(curl -sf "127.0.0.1:$api_entry_1/v1/config" |
		json_field generation)
	document true 100 ',{"name":"left","pool":"app","repeatable":true}' \
		>"$cluster_dir/left"
	document true 100 ',{"name":"right","pool":"app","repeatable":true}' \
		>"$cluster_dir/right"
	put_document "$1" "$base" "$cluster_dir/left" 1 &
	first=$!
	put_document "$2" "$base" "$cluster_dir/right" 2 &
	wait "$first" "$!"
	set -- $(cat "$cluster_dir/code_1") $(cat "$cluster_dir/code_2")
	[ "$*" = '200 409' ] || [ "$*" = '409 200' ] || fail "answers: $*"
	next=$((base + 1))
	[ "$(records "$port_store" | grep -o "\"generation\":$next}" |
		wc -l)" = 1 ] || fail "generation $next was written twice"
	loser=1
	[ "$1" = 200 ] && loser=2
	[ "$(json_field generation <"$cluster_dir/body_$loser")" -ge $next ] ||
		fail "the conflict does not show the newer document"
}

# Guards against two operators whose changes are both accepted on one base, or
# whose conflict shows an old document.
configuration_race() {
	deploy true 100 '' entry_1 entry_2 entry_3
	race entry_1 entry_1
	wait_until 10 same_generation || fail "generations differ"
	race entry_1 entry_2
}

same_generation() {
	[ "$(for port in $api_entry_1 $api_entry_2 $api_entry_3; do
		curl -sf -m 2 "127.0.0.1:$port/v1/config" | json_field generation
	done | sort -u | wc -l)" = 1 ]
}

# Guards against a change that is repeated, or reported as failed, because the
# store's answer was lost after it took effect.
lost_store_answers() {
	local base next
	deploy true 100 '' entry_1 entry_2
	base=$(curl -sf "127.0.0.1:$api_entry_1/v1/config" |
		json_field generation)
	next=$((base + 1))
	document true 150 '' >"$cluster_dir/document2"
	post "$port_store" '{"lose_answers":1}'
	put_document entry_1 "$base" "$cluster_dir/document2" 1
	code=$(cat "$cluster_dir/code_1")
	[ "$code" = 200 ] || fail "the change was answered with $code"
	[ "$(records "$port_store" | grep -o "\"generation\":$next}" |
		wc -l)" -ge 1 ] || fail "the change is not in the store"
	post "$port_store" '{"lose_answers":2}'
	wait_until 12 served entry_2 one || fail "the model is not served"
	[ "$(most_replicas one)" = 1 ] || fail "$(most_replicas one) replicas"
	post "$port_store" '{"lose_answers":1}'
	wait_until 12 sh -c "[ \$(curl -s -m 9 -o /dev/null -w '%{http_code}' \
		-X POST -H 'Idempotency-Key: once' -d x \
		127.0.0.1:$entry_entry_1/services/pay/x) = 201 ]" ||
		fail "the deposit was not answered"
	[ "$(executions once app_1)" = 1 ] || fail "not exactly one execution"
}

# Guards against an outage of the store that stops warm service: the witnesses
# confirm the configuration, and bound slots can still be loaded.
configuration_store_down() {
	local end
	deploy true 100 '' entry_1 entry_2 entry_3
	wait_until 10 served entry_1 one || fail "not served before"
	post "$port_store" '{"outage":1}'
	end=$(($(cluster_now_ms) + 4000))
	while [ "$(cluster_now_ms)" -lt $end ]; do
		served entry_2 one || fail "warm model refused in the outage"
	done
	set -- $(pay entry_1 down)
	[ "${2:-}" = not-run ] || fail "deposit in an outage: $*"
	[ "$(executions down app_1)" = 0 ] || fail "a refused deposit ran"
	post "$port_store" '{"outage":0}'
	wait_until 10 sh -c "[ \$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
		-X POST -H 'Idempotency-Key: down' -d x \
		127.0.0.1:$entry_entry_1/services/pay/x) = 201 ]" ||
		fail "no deposit after the outage"
	[ "$(executions down app_1)" = 1 ] || fail "not exactly one execution"
}

uptime_ms() {
	awk '{ print int($1 * 1000) }' /proc/uptime
}

# last_use PORT FIELD: milliseconds of the last record, on the same clock.
last_use() {
	local us
	us=$(records "$1" | grep -o "\"$2\":[0-9]*" | sort -t : -k 2 -n |
		tail -n 1 | sed 's/.*://')
	echo $((${us:-0} / 1000))
}

# Guards against new work on a target that leaves: a service by the platform's
# list, an engine by its own status.  The bound is 3 s.
leaving_targets() {
	local began end late
	deploy true 100 '' entry_1 entry_2
	add_service app_2 a app
	publish_list
	wait_until 10 served entry_1 one || fail "not served before"
	wait_until 5 sh -c "curl -s -o /dev/null -X POST \
		127.0.0.1:$entry_entry_1/services/pay/x; [ \$(curl -s \
		127.0.0.1:$port_app_2/records | grep -c at_us) -gt 0 ]" ||
		fail "the second service gets no work"
	engine=$port_engine_1
	records "$engine" | grep -q '"ready_us"' || engine=$port_engine_2
	began=$(uptime_ms)
	post "$port_store" '{"instance":{"name":"app_1","state":"leaving"}}'
	post "$engine" '{"leaving":1}'
	end=$((began + 4000))
	while [ "$(uptime_ms)" -lt $end ]; do
		pay entry_1 "a$(uptime_ms)" >/dev/null
		pay entry_2 "b$(uptime_ms)" >/dev/null
		chat entry_1 one 1000 >/dev/null
		chat entry_2 one 1000 >/dev/null
	done
	late=$(($(last_use "$port_app_1" at_us) - began))
	echo "# last use of the leaving service: $late ms"
	[ $late -le 3000 ] || fail "the service was used for too long"
	late=$(($(records "$engine" | grep -o '"requests":.*"orders"' |
		grep -o '"began_us":[0-9]*' | tail -n 1 | sed 's/.*://') / 1000 -
		began))
	echo "# last use of the leaving engine: $late ms"
	[ $late -le 3000 ] || fail "the engine was used for too long"
	[ $(($(last_use "$port_app_2" at_us) - began)) -gt 3000 ] ||
		fail "the other service was not used"
}

# Guards against a shutdown that cuts a stream or leaves the cell to its lease.
shutdown_under_load() {
	local other began
	deploy true 100 '' entry_1 entry_2
	other=entry_1
	[ "$owner" = entry_1 ] && other=entry_2
	served "$owner" one || fail "not served before"
	post "$port_engine_1" '{"token_ms":150}'
	post "$port_engine_2" '{"token_ms":150}'
	eval "port=\$entry_$owner"
	curl -sN -m 20 -d '{"model":"one","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a"}]}' \
		"127.0.0.1:$port/v1/chat/completions" >"$cluster_dir/stream" &
	stream=$!
	wait_until 5 grep -q '"content":"a"' "$cluster_dir/stream" ||
		fail "no stream"
	began=$(cluster_now_ms)
	eval "kill -TERM \$pid_router_$owner \$pid_control_$owner"
	first=$owner
	wait_until 5 has_owner "$other" || fail "no handover"
	echo "# handover after $(($(cluster_now_ms) - began)) ms"
	wait "$stream" || fail "the stream was cut"
	grep -q '^data: \[DONE\]' "$cluster_dir/stream" ||
		fail "the stream is not whole"
	[ "$(grep -c '"content":" \{0,1\}a"' "$cluster_dir/stream")" = 20 ] ||
		fail "tokens are missing"
	eval "wait_until 10 has_ended \$pid_control_$first" ||
		fail "the controller did not exit"
	eval "wait_until 10 has_ended \$pid_router_$first" ||
		fail "the router did not exit"
	served "$other" two || fail "the other instance does not serve"
	records "$port_store" | grep -q "\"timeline/$first-" ||
		fail "the time line was not written before the exit"
	[ "$(most_replicas one)" = 1 ] || fail "$(most_replicas one) replicas"
}

number=0
failures=0

# run NAME FUNCTION ARGS...: in a shell of its own, with its own processes.
run() {
	local name=$1
	shift
	number=$((number + 1))
	if (
		. "$here/../demo/cluster.sh"
		standin store standin_store 0
		"$@"
	); then
		echo "ok $number $name"
	else
		echo "not ok $number $name"
		failures=$((failures + 1))
	fi
}

# Guards against sample documents that are no longer accepted.
examples() {
	local file
	for file in "$here"/../examples/*.json; do
		"$BUILD/bshctl" check "$file" >/dev/null || fail "$file"
	done
}

echo "1..17"
run at-most-once/killed-router at_most_once_killed_router
run at-most-once/lost-answer at_most_once_lost_answer
run at-most-once/silent-service at_most_once_silent
run replicas/killed-owner replicas_killed_owner true
run replicas/killed-owner-no-fencing replicas_killed_owner false
run replicas/frozen-owner replicas_frozen_owner
run replicas/cut-owner replicas_cut_owner
run in-time/slow-and-frozen in_time
run in-time/killed-owner in_time_takeover KILL
run in-time/frozen-owner in_time_takeover STOP
run configuration/frozen-controller configuration_frozen
run configuration/two-operators configuration_race
run configuration/lost-store-answers lost_store_answers
run configuration/store-down configuration_store_down
run leaving/service-and-engine leaving_targets
run shutdown/under-load shutdown_under_load
run examples/valid examples
[ $failures -eq 0 ]
