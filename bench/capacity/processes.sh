#!/bin/sh
# processes.sh BUILD [INSTANCES ...]: control overhead of real daemons on
# loopback, idle, by number of instances.  Prints
# processes<TAB>measure<TAB>instances<TAB>value<TAB>unit
# as means over the instances: processor time of both daemons, bytes of frames
# and datagrams sent, resident memory; and the store's calls for all.
set -u
BUILD=$1
shift
SPAN_S=20
here=$(dirname "$0")

counter() {
	curl -sf -m 5 "127.0.0.1:$1/metrics" |
		awk -v n="$2" '$1 == n { print $2 }'
}

ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

rss_kib() {
	awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"
}

# sample: sums over all instances in "ticks bytes rss", and the store's calls.
sample() {
	sum_ticks=0
	sum_bytes=0
	sum_control_kib=0
	sum_router_kib=0
	for i in $(seq "$n"); do
		eval "control=\$pid_control_e$i router=\$pid_router_e$i api=\$api_e$i"
		sum_ticks=$((sum_ticks + $(ticks "$control") + $(ticks "$router")))
		for c in bsh_frames_sent_bytes_total bsh_datagrams_sent_bytes_total; do
			sum_bytes=$((sum_bytes + $(counter "$api" $c)))
		done
		sum_control_kib=$((sum_control_kib + $(rss_kib "$control")))
		sum_router_kib=$((sum_router_kib + $(rss_kib "$router")))
	done
	calls=$(records "$port_store" | grep -o '"counts":{[^}]*}')
	reads=$(echo "$calls" | json_field reads)
	writes=$(echo "$calls" | json_field writes)
}

row() {
	awk -v m="$1" -v n="$n" -v v="$2" -v d="$3" -v u="$4" \
		'BEGIN { printf "processes\t%s\t%d\t%.3f\t%s\n", m, n, v / d, u }'
}

measure() {
	n=$1
	. "$here/../../demo/cluster.sh"
	standin store standin_store 0
	standin weights standin_weights 0
	for i in $(seq 9); do
		add_engine "assistant_$i" "zone-$((i % 3))" assistant 81920 fencing
	done
	add_service dock_1 zone-1 dock-app
	for i in $(seq "$n"); do
		add_entry "e$i" "zone-$((i % 3))"
	done
	publish_list || exit 1
	for i in $(seq "$n"); do
		start_entry "e$i"
	done
	wait_until 30 curl -sf "127.0.0.1:$api_e1/healthz" || exit 1
	apply_document "$api_e1" 0 "$here/../../examples/shikotsu.json" \
		>/dev/null || exit 1
	for i in $(seq "$n"); do
		wait_ready 60 "e$i" || exit 1
	done
	# The first seconds belong to the start and not to the steady state.
	sleep $SPAN_S
	sample
	ticks0=$sum_ticks bytes0=$sum_bytes reads0=$reads writes0=$writes
	began=$(cluster_now_ms)
	sleep $SPAN_S
	sample
	span=$(($(cluster_now_ms) - began))
	hz=$(getconf CLK_TCK)
	row cpu-per-instance $(((sum_ticks - ticks0) * 100000)) \
		$((hz * span * n)) %
	row sent-per-instance $(((sum_bytes - bytes0) * 1000)) $((span * n)) B/s
	row controller-memory "$sum_control_kib" $((1024 * n)) MiB
	row router-memory "$sum_router_kib" $((1024 * n)) MiB
	row store-reads $(((reads - reads0) * 1000)) "$span" 1/s
	row store-writes $(((writes - writes0) * 1000)) "$span" 1/s
}

for size in "${@:-2 6 20 50}"; do
	for n in $size; do
		(measure "$n") || exit 1
	done
done
