#!/bin/sh
# test_timeline.sh: the record of a request outlives the instance that served
# it.  Output is TAP.
set -u
BUILD=${BSH_BUILD:-build}
here=$(dirname "$0")
. "$here/../demo/cluster.sh"

fail() {
	echo "# $*"
	echo "not ok 1 /timeline/outlives-the-instance"
	exit 1
}

echo 1..1
standin store standin_store 0
add_service app_1 a app
add_entry entry_1 a "lease_ms=1000
[timeline]
flush_ms=200"
add_entry entry_2 a
publish_list
start_entry entry_1
start_entry entry_2
wait_until 10 curl -sf "127.0.0.1:$api_entry_1/healthz" || fail "no start"
cat >"$cluster_dir/document" <<-END
	{"deployment":"test","weight":0.2,
	"weight_store":{"loads_per_s":1,"concurrent":1},
	"pools":[{"name":"app","kind":"service"}],
	"services":[{"name":"pay","pool":"app","repeatable":false}]}
END
apply_document "$api_entry_1" 0 "$cluster_dir/document" >/dev/null ||
	fail "document refused"
wait_ready 10 entry_1 entry_2 || fail "not ready"
status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -X POST -d x \
	-H 'Idempotency-Key: deposit-1' "127.0.0.1:$entry_entry_1/services/pay/x")
[ "$status" = 201 ] || fail "deposit: $status"
is_recorded() {
	curl -sf "127.0.0.1:$port_store/v1/objects/timeline" |
		grep -q '"event":"recorded"[^}]*deposit-1'
}
wait_until 10 is_recorded || fail "the answer is not in the store"
kill -KILL "$pid_router_entry_1" "$pid_control_entry_1"
verdict=$("$BUILD/bshctl" timeline -s "127.0.0.1:$api_entry_2" \
	--store="127.0.0.1:$port_store" --key deposit-1 --verdict 2>&1)
printf '%s\n' "$verdict" | sed 's/^/# /'
printf '%s\n' "$verdict" | grep -q entry_1/bshrouterd || fail "no router event"
echo "ok 1 /timeline/outlives-the-instance"
