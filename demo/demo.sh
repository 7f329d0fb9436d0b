#!/bin/sh
# demo.sh BUILD: two entry instances in front of Shikotsu's deployment, all on
# loopback.  Sends a chat request to a cold model, and a deposit twice with the
# same Idempotency-Key.  The last line is "demo: ok" and the status 0 only if
# everything held.
set -u
BUILD=$1
here=$(dirname "$0")
. "$here/cluster.sh"

fail() {
	echo "demo: $*" >&2
	for f in "$cluster_dir"/control_*.err "$cluster_dir"/router_*.err; do
		[ -s "$f" ] && { echo "== ${f##*/}"; tail -n 15 "$f"; } >&2
	done
	exit 1
}

model=dock-reply-07
key=deposit-4711

echo "== stand-ins: store, weight store, nine engines, three services"
standin store standin_store 0
standin weights standin_weights 0
post "$port_weights" '{"transfer_ms":800,"loads_per_s":3,"concurrent":4}' ||
	fail "weight store"
n=0
for zone in a b c; do
	for i in 1 2 3; do
		n=$((n + 1))
		add_engine "assistant_$n" "ishikari-$zone" assistant 81920 fencing
	done
	add_service "dock_$zone" "ishikari-$zone" dock-app
done

echo "== two entry instances"
add_entry entry_1 ishikari-a
add_entry entry_2 ishikari-b
publish_list || fail "instance list"
start_entry entry_1
start_entry entry_2
wait_until 10 curl -sf -m 2 "127.0.0.1:$api_entry_1/healthz" ||
	fail "no controller"
apply_document "$api_entry_1" 0 "$here/../examples/shikotsu.json" ||
	fail "the document was not accepted"
echo
wait_ready 15 entry_1 entry_2 || fail "not ready"

echo "== an entry address for a caller in ishikari-a"
answer=$(curl -sf "127.0.0.1:$api_entry_2/v1/entry?zone=ishikari-a") ||
	fail "no entry answer"
echo "$answer"
entry=$(echo "$answer" | json_field address)
[ "$entry" = "127.0.0.1:$entry_entry_1" ] || fail "entry of another zone"

echo "== a chat request to $model, which is cold"
began=$(cluster_now_ms)
curl -sN -m 25 "http://$entry/v1/chat/completions" \
	-H 'Content-Type: application/json' \
	-d "{\"model\":\"$model\",\"stream\":true,\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"two kayaks on Saturday\"}]}" \
	>"$cluster_dir/answer" || fail "no answer: $(cat "$cluster_dir/answer")"
cat "$cluster_dir/answer"
echo "first answer after $(($(cluster_now_ms) - began)) ms"
tail -n 2 "$cluster_dir/answer" | grep -q '^data: \[DONE\]' ||
	fail "the answer is not whole"
text=$(grep -o '"content":"[^"]*"' "$cluster_dir/answer" |
	sed 's/"content":"\(.*\)"/\1/' | tr -d '\n')
[ "$text" = "two kayaks on Saturday" ] || fail "wrong answer: $text"

echo "== loads of $model, counted by the engines"
loads=0
n=0
while [ $n -lt 9 ]; do
	n=$((n + 1))
	eval "port=\$port_assistant_$n"
	count=$(records "$port" | grep -o "\"model\":\"$model\",\"attempt\"" |
		wc -l)
	[ "$count" -eq 0 ] || echo "assistant_$n: $count"
	loads=$((loads + count))
done
[ "$loads" -ge 1 ] && [ "$loads" -le 2 ] || fail "$loads loads, allowed 1 to 2"

echo "== a deposit, twice with the same key"
for i in 1 2; do
	curl -s -m 20 -i -X POST "http://$entry/services/deposits/new" \
		-H "Idempotency-Key: $key" -H 'Content-Type: application/json' \
		-d '{"boat":12,"yen":5000}' >"$cluster_dir/deposit_$i"
	grep -v '^Date' "$cluster_dir/deposit_$i"
	echo
	head -n 1 "$cluster_dir/deposit_$i" | grep -q ' 20[01] ' ||
		fail "deposit $i was not answered"
done
n=$(executions "$key" dock_a dock_b dock_c)
echo "executions counted by the services: $n"
[ "$n" = 1 ] || fail "the deposit ran $n times"
[ "$(tail -n 1 "$cluster_dir/deposit_1")" = \
	"$(tail -n 1 "$cluster_dir/deposit_2")" ] || fail "two answers differ"

echo "== time line of the load"
for name in entry_1 entry_2; do
	eval "port=\$api_$name"
	curl -sf "127.0.0.1:$port/timeline"
done | grep "\"$model\"" | sort >"$cluster_dir/timeline"
cut -c 1-230 "$cluster_dir/timeline"
grep -q '"event":"need"' "$cluster_dir/timeline" || fail "no need event"
grep -q '"event":"ready"' "$cluster_dir/timeline" || fail "no ready event"

echo "demo: ok"
