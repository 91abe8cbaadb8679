# Sourced by the scripts of review/6 and later: starts a small deployment on
# loopback addresses, and ends what it started.
#
# Uses target/spjobd with the commands of deploy/system.toml, and stand-ins from
# build/review-2, which review/build-2.sh builds.

ROOT=$(cd "$(dirname "$0")/../.." && pwd)
HERE=$(cd "$(dirname "$0")" && pwd)
RIG=$ROOT/build/review-2
CALL=$RIG/call
RECORD=$HERE/record.txt
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
PIDS=""

record() {
	echo "$($CALL now) $*" >> "$RECORD"
}

unable() {
	record "the case could not run: $*"
	exit 2
}

finish() {
	# A stopped process takes its end only when it continues.
	for pid in $PIDS; do
		kill -CONT "$pid" 2> /dev/null
		kill -TERM "$pid" 2> /dev/null
	done
	sleep 0.3
	for pid in $PIDS; do
		kill -KILL "$pid" 2> /dev/null
	done
	wait 2> /dev/null
	rm -rf "$DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM

: > "$RECORD"
if [ ! -x "$ROOT/target/spjobd" ] || [ ! -x "$CALL" ]; then
	echo "target/spjobd or review/build-2.sh was not built" >> "$RECORD"
	exit 2
fi

cd "$ROOT" || exit 2

# start NAME COMMAND...: starts a process and sets PID_NAME.
start() {
	name=$1
	shift
	"$@" > "$DIR/$name.log" 2>&1 &
	PIDS="$PIDS $!"
	eval "PID_$name=$!"
}

# Connections from entries to agents pass through fault_proxy.
N_AGENTS=3
N_ENTRIES=2

PORTS=$($CALL ports 40)
take_port() {
	PORT=${PORTS%% *}
	PORTS=${PORTS#* }
}

configure() {
	$CALL PUT "$STORE" "/control/key?key=op/config" 2000 "$1" > /dev/null
}

CONFIG='{"version":1,"routes":[{"name":"q","host":"127.0.0.1","prefix":"/q/","service":"desk","priority":0,"max_attempts":4,"stretch":1.6,"target_completion_ms":60}],"services":[],"limits":{}}'

start_entry() { # N
	eval "front=\$FRONT_$1 ready=\$READY_$1 store=\$ENTRY_STORE_$1"
	take_port
	cat > "$DIR/entry$1.json" <<END
{
	"name": "e$1",
	"failure_domain": "z$1",
	"listen": "127.0.0.1:$front",
	"ready_listen": "127.0.0.1:$ready",
	"metrics_listen": "127.0.0.1:$PORT",
	"store": "127.0.0.1:$store",
	"lease_ms": 1000,
	"drain_ms": 5500
}
END
	start "entry_$1" env SEQUOIAPLANK_NODE_FILE="$DIR/entry$1.json" \
	    target/spjobd entry
}

start_agent() { # N
	eval "listen=\$AGENT_$1 advertise=\$ADVERTISE_$1 control=\$CONTROL_$1"
	take_port
	cat > "$DIR/agent$1.json" <<END
{
	"name": "a$1",
	"failure_domain": "z$1",
	"listen": "127.0.0.1:$listen",
	"advertise": "127.0.0.1:$advertise",
	"worker_listen": "127.0.0.1:$control",
	"metrics_listen": "127.0.0.1:$PORT",
	"store": "127.0.0.1:$STORE",
	"lease_ms": 1000,
	"drain_ms": 4500,
	"worker_heartbeat_ms": 1500
}
END
	start "agent_$1" env SEQUOIAPLANK_NODE_FILE="$DIR/agent$1.json" \
	    target/spjobd agent
}

# proxy QUERY: sets a rule of fault_proxy.
proxy() {
	$CALL POST "$PROXY" "/?$1" 2000 > /dev/null
}

# Cuts entry N off from all agents, or joins it again.  The first message of a
# link names its entry.
cut_entry() { # N
	for i in $(seq 0 $((N_AGENTS - 1))); do
		eval "pair=\$ADVERTISE_$i"
		proxy "pair=$pair&action=freeze&direction=both&match=e$1"
	done
}

join_entry() {
	for i in $(seq 0 $((N_AGENTS - 1))); do
		eval "pair=\$ADVERTISE_$i"
		proxy "pair=$pair&action=restore"
		proxy "pair=$pair&action=cut&scope=existing&match=e$1"
	done
}

start_deployment() {
	take_port; STORE=$PORT
	take_port; PROXY=$PORT
	workers="" pairs=""
	for i in $(seq 0 $((N_AGENTS - 1))); do
		take_port; eval "AGENT_$i=$PORT"; agent=$PORT
		take_port; eval "ADVERTISE_$i=$PORT"; pairs="$pairs $PORT=$agent"
		take_port; eval "CONTROL_$i=$PORT"; control=$PORT
		take_port; workers="$workers --worker $PORT:$control:z$i"
	done
	for i in $(seq 0 $((N_ENTRIES - 1))); do
		take_port; eval "FRONT_$i=$PORT"
		take_port; eval "READY_$i=$PORT"
		eval "ENTRY_STORE_$i=$STORE"
	done
	start platform "$RIG/standin_platform" --store "$STORE" $workers
	start proxy "$RIG/fault_proxy" "$PROXY" $pairs
	for i in $(seq 1 100); do
		set -- $($CALL GET "$STORE" /control/counts 500)
		[ "$3" = 200 ] && break
		sleep 0.05
	done
	[ "$3" = 200 ] || unable "the platform's stand-in does not answer"
	configure "$CONFIG"
	for i in $(seq 0 $((N_AGENTS - 1))); do
		start_agent "$i"
	done
	for i in $(seq 0 $((N_ENTRIES - 1))); do
		start_entry "$i"
	done
	# Ready when each entry completes a job wider than two workers.
	for i in $(seq 0 $((N_ENTRIES - 1))); do
		eval "front=\$FRONT_$i"
		for try in $(seq 1 60); do
			id=$(printf 'f%014x%d' "$try" "$i")
			set -- $($CALL POST "$front" "/q/$id" 2000 \
			    '{"spec":"1","best_effort":true,"steps":[{"count":20,"cpu":1000,"mem_mb":1,"estimate_ms":100}]}')
			[ "$3" = 200 ] && break
			sleep 0.1
		done
		[ "$3" = 200 ] || unable "entry $i completes no job"
	done
	record "deployment is ready: $N_ENTRIES entries, $N_AGENTS agents"
}

# Other clients' jobs, which nobody cancels: four beside the job of the case.
other_jobs() {
	for i in 1 2 3 4; do
		eval "front=\$FRONT_$((i % N_ENTRIES))"
		$CALL POST "$front" "/q/0000000000000a0$i" 4000 "$(chain_job 2 300)" \
		    > "$DIR/other$i" &
		PIDS="$PIDS $!"
	done
}

record_other_jobs() {
	for i in 1 2 3 4; do
		record "job 0000000000000a0$i: sent, ended, status: $(cat "$DIR/other$i")"
	done
}

# A job of N steps, one after the other, each of one task of MS ms.
chain_job() { # N MS
	steps='{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":'$2'}'
	for i in $(seq 1 $(($1 - 1))); do
		steps="$steps"',{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":'$2',"after":['$((i - 1))']}'
	done
	echo '{"spec":"'$2'","best_effort":true,"steps":['"$steps"']}'
}
