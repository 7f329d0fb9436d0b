# cluster.sh: shell functions that run stand-ins and entry instances on
# loopback.  Sourced by demo.sh and regress/test_processes.sh after BUILD has
# been set.  Every process is ended by its id when the shell exits.

cluster_pids=
cluster_ports=
cluster_seeds=
cluster_dir=$(mktemp -d "${TMPDIR:-/tmp}/bsh-XXXXXX") || exit 1
cluster_key=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f

cluster_now_ms() {
	date +%s%3N
}

# wait_until SECONDS COMMAND...: polls until the command succeeds.
wait_until() {
	local end
	end=$(($(cluster_now_ms) + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(cluster_now_ms)" -lt "$end" ] || return 1
		sleep 0.02
	done
}

# spawn NAME COMMAND...: starts a process and sets pid_NAME.
spawn() {
	local name=$1
	shift
	"$@" >"$cluster_dir/$name.out" 2>"$cluster_dir/$name.err" &
	eval "pid_$name=$!"
	cluster_pids="$cluster_pids $!"
}

# standin NAME PROGRAM ARGS...: starts a stand-in and sets port_NAME.
standin() {
	local name=$1
	local program=$2
	shift 2
	spawn "$name" "$BUILD/regress/standin/$program" "$@"
	wait_until 10 grep -q '^ready ' "$cluster_dir/$name.out" || {
		echo "$program did not start" >&2
		exit 1
	}
	eval "port_$name=$(sed -n 's/^ready //p' "$cluster_dir/$name.out")"
}

is_running() {
	[ -d "/proc/$1" ] && ! grep -q '^State:[[:space:]]*Z' "/proc/$1/status"
}

has_ended() {
	! is_running "$1"
}

# end_process PID: TERM, then KILL when it does not end in time.
end_process() {
	is_running "$1" || return 0
	kill -CONT "$1" 2>/dev/null
	kill -TERM "$1" 2>/dev/null
	wait_until "${2:-5}" has_ended "$1" || kill -KILL "$1" 2>/dev/null
}

cluster_finish() {
	local status=$?
	local pid
	trap - EXIT INT TERM
	for pid in $cluster_pids; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait
	rm -rf "$cluster_dir"
	exit $status
}
trap cluster_finish EXIT
trap 'exit 1' INT TERM

# free_port: a port below the ephemeral range that nothing uses now.
free_port() {
	local port
	local hex
	while :; do
		port=$(($(od -An -N2 -tu2 /dev/urandom) % 12000 + 20000))
		hex=$(printf ':%04X ' "$port")
		grep -q "$hex" /proc/net/tcp /proc/net/udp && continue
		case " $cluster_ports " in *" $port "*) continue ;; esac
		break
	done
	free_port=$port
	cluster_ports="$cluster_ports $port"
}

json_field() {
	sed -n "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n 1
}

post() {
	curl -sf -m 5 -X POST "127.0.0.1:$1/control" -d "$2" >/dev/null
}

records() {
	curl -sf -m 5 "127.0.0.1:$1/records"
}

cluster_items=

add_item() {
	cluster_items="${cluster_items:+$cluster_items,}$1"
}

# add_engine NAME ZONE POOL MEMORY_MIB [fencing]
add_engine() {
	standin "$1" standin_engine "$1" 0 "$4" "127.0.0.1:$port_weights" ${5:-}
	local port incarnation
	eval "port=\$port_$1"
	incarnation=$(curl -sf "127.0.0.1:$port/v1/status" |
		json_field incarnation)
	add_item "{\"name\":\"$1\",\"incarnation\":$incarnation,\"kind\":\"engine\",\"pool\":\"$3\",\"zone\":\"$2\",\"address\":\"127.0.0.1:$port\",\"control\":\"127.0.0.1:$port\",\"memory_mib\":$4,\"state\":\"live\"}"
}

# add_service NAME ZONE POOL
add_service() {
	standin "$1" standin_service 0
	local port
	eval "port=\$port_$1"
	add_item "{\"name\":\"$1\",\"incarnation\":1,\"kind\":\"service\",\"pool\":\"$3\",\"zone\":\"$2\",\"address\":\"127.0.0.1:$port\",\"control\":\"\",\"memory_mib\":0,\"state\":\"live\"}"
}

# add_entry NAME ZONE [EXTRA]: settings of one instance, and its list item.
# Sets api_NAME, entry_NAME and admin_NAME.  EXTRA is appended to [timing].
add_entry() {
	local api link gossip listen admin
	free_port && api=$free_port
	free_port && link=$free_port
	free_port && gossip=$free_port
	free_port && listen=$free_port
	free_port && admin=$free_port
	eval "api_$1=$api entry_$1=$listen admin_$1=$admin"
	cluster_seeds="${cluster_seeds:+$cluster_seeds,}127.0.0.1:$gossip"
	cat >"$cluster_dir/$1.ini" <<-END
		[instance]
		name=$1
		zone=$2
		[security]
		key=$cluster_key
		[store]
		address=127.0.0.1:${store_via:-$port_store}
		[router]
		listen=127.0.0.1:$listen
		admin=127.0.0.1:$admin
		[control]
		listen=127.0.0.1:$api
		link=127.0.0.1:$link
		gossip=127.0.0.1:$gossip
		seeds=$cluster_seeds
		[log]
		level=debug
		[timing]
		${3:-}
	END
	add_item "{\"name\":\"$1\",\"incarnation\":1,\"kind\":\"entry\",\"pool\":\"\",\"zone\":\"$2\",\"address\":\"127.0.0.1:$listen\",\"control\":\"127.0.0.1:$api\",\"memory_mib\":0,\"state\":\"live\"}"
}

start_entry() {
	spawn "control_$1" "$BUILD/bshcontrold" -c "$cluster_dir/$1.ini"
	spawn "router_$1" "$BUILD/bshrouterd" -c "$cluster_dir/$1.ini"
}

publish_list() {
	post "$port_store" "{\"instances\":[$cluster_items]}"
}

# apply_document PORT GENERATION FILE
apply_document() {
	curl -sf -m 20 -X PUT -H "If-Match: \"$2\"" --data-binary "@$3" \
		"127.0.0.1:$1/v1/config"
}

is_ready() {
	[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
		"127.0.0.1:$1/readyz")" = 200 ]
}

# wait_ready SECONDS NAME...: controller and router of each instance.
wait_ready() {
	local seconds=$1
	local name api admin
	shift
	for name in "$@"; do
		eval "api=\$api_$name admin=\$admin_$name"
		wait_until "$seconds" is_ready "$api" || {
			echo "controller of $name is not ready" >&2
			return 1
		}
		wait_until "$seconds" is_ready "$admin" || {
			echo "router of $name is not ready" >&2
			return 1
		}
	done
}

# executions KEY NAME...: of a key, over all services given, from their records.
executions() {
	local key=$1
	local total=0
	local name port n
	shift
	for name in "$@"; do
		eval "port=\$port_$name"
		n=$(records "$port" | json_field "$key")
		total=$((total + ${n:-0}))
	done
	echo "$total"
}
