# What the scripts of this review share: a small deployment of real processes on loopback addresses. Sourced by run.sh of a case.
# Exit codes of a case: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
. Scripts/ports.sh
TROUBLE=${TROUBLE:-1}
STAND_INS=build/review-2
DIR=$(mktemp -d)
RECORD=$CASE/record.txt
HOSTS="1 2 3 4 5 6"
declare -A PIDS

finish() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
cannot_run() { note "could not run: $*"; exit 2; }

: >"$RECORD"
# note TEXT: a line of the record, with the time of day.
note() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$RECORD"; }

# within SECONDS COMMAND...: whether the command comes true in time.
within() {
	local end=$((SECONDS + $1)); shift
	until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.2; done
}

base() { echo $((PORT + 30 + $1 * 10)); }
url() { echo "http://127.0.0.1:$(base "$1")"; }
report() { curl -s --max-time 5 "$CONTROL/report"; }

# The command of the deploy file, with settings as its template gives them for a small deployment.
start_host() {
	local base
	base=$(base "$1")
	cat >"$DIR/host-$1.toml" <<TOML
name = "host-$1"
availability_zone = "z"
callers = "127.0.0.1:$base"
ready = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
store = "127.0.0.1:$((PORT + 39))"
log_parts = 8
store_reads_per_s = 2000
store_read_mb_per_s = 80.0
store_append_ms = 4.0
machines = "127.0.0.1:$((PORT + 1))"
adviser = ""
worker_most_lease_ms = 6000
maintenance_s = 0.8
processor_share = 0.25
link_mbit_per_s = 1000.0
metrics_port = $((base + 3))
TOML
	LOOMREACH_BOOT="$DIR/host-$1.toml" target/loomreachd --jobs_config_env=LOOMREACH_BOOT >>"$DIR/host-$1.log" 2>&1 &
	PIDS[host-$1]=$!
}

# start_platform TRY POOLS: store, workers and machine service, and the store's limits in front of the store.
start_platform() {
	claim_ports "$1" || return 1
	CONTROL="http://127.0.0.1:$((PORT + 2))"
	"$STAND_INS/loomreach-platform" --port=$PORT --pools="$2" >"$DIR/platform.log" 2>&1 &
	PIDS[platform]=$!
	"$STAND_INS/loomreach-store-limits" $((PORT + 39)) $PORT >"$DIR/limits.log" 2>&1 &
	PIDS[limits]=$!
	answers() { curl -s -o /dev/null --max-time 2 "$CONTROL/report"; }
	within 10 answers && kill -0 "${PIDS[platform]}" 2>/dev/null && kill -0 "${PIDS[limits]}" 2>/dev/null
}

ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://127.0.0.1:$(($(base "$1") + 1))/ready")" = 200 ]; }
all_ready() { local host; for host in $HOSTS; do ready "$host" || return 1; done; }

# configure VERSION [POOL [NAME]]: a version of the configuration; with a queue q-move, or another name, prefix /move/, in this pool.
configure() {
	local queue=""
	[ -z "${2:-}" ] || queue=",{\"name\":\"${3:-q-move}\",\"host\":\"jobs.example\",\"pathPrefix\":\"/move/\",\"service\":\"$2\",\"maxAttempts\":4,\"stretch\":1.6,\"targetLatencyMs\":600}"
	curl -s --max-time 5 -X PUT "$CONTROL/operator/config" -d "{\"version\":$1,\"routes\":[$ROUTES$queue],\"services\":[$SERVICES]}" >/dev/null
	[ "$1" = 3 ] || note "operator: version $1, queue ${3:-q-move} ${2:+in pool }${2:-removed}"
}

# start_deployment POOL...: nine workers of 16 cores for each pool, a queue of the same name for each, and all hosts.
start_deployment() {
	local pool pools="" routes="" services="" host
	[ -x target/loomreachd ] && [ -x $STAND_INS/loomreach-platform ] && [ -x $STAND_INS/loomreach-store-limits ] || cannot_run "not built"
	for pool in "$@"; do
		for _ in 1 2 3 4 5 6 7 8 9; do pools+="$pool,"; done
		routes+="${routes:+,}{\"name\":\"q-$pool\",\"host\":\"jobs.example\",\"pathPrefix\":\"/$pool/\",\"service\":\"$pool\",\"maxAttempts\":4,\"stretch\":1.6,\"targetLatencyMs\":600}"
		services+="{\"name\":\"$pool\"},"
	done
	start_platform 1 "${pools}spare" || start_platform 2 "${pools}spare" || cannot_run "the stand-ins did not start"
	for host in $HOSTS; do start_host "$host"; done
	ROUTES=$routes SERVICES="$services{\"name\":\"spare\",\"spare\":true}"
	configure 3
	within 20 all_ready || cannot_run "the hosts did not become ready"
	note "ready: 6 entry hosts, 9 workers of 16 cores in each of $# pools, TROUBLE=$TROUBLE"
}

# submit HOST POOL ID BODY: hands in a job, tells the status in STATUS.
submit() {
	STATUS=$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 -H 'Host: jobs.example' -H 'Loomreach-Timeout-Ms: 3000' -X POST "$(url "$1")/$2/$3" -d "$4")
	note "host-$1: POST /$2/$3 $(head -c 120 <<<"$4") -> $STATUS"
}
# ask HOST POOL ID: the answer for the state of a job, in ANSWER.
ask() {
	ANSWER=$(curl -s -w ' %{http_code}' --max-time 5 -H 'Host: jobs.example' -H 'Loomreach-Timeout-Ms: 3000' "$(url "$1")/$2/$3")
	note "host-$1: GET /$2/$3 -> $ANSWER"
}
# starts ID: how many starts of a job's tasks workers have carried out.
starts() { grep -c "event=fake_start .*task=$1\." "$DIR/platform.log"; }
# running ID: how many tasks of a job run now.
running() { report | sed 's/.*"running":{\([^}]*\)}.*/\1/' | grep -o "\"$1\." | wc -l; }
# running_all: how many tasks run now.
running_all() { report | sed 's/.*"running":{\([^}]*\)}.*/\1/' | grep -o '":"m' | wc -l; }
# log_counts: what workers ran, and what the store refused, into the record.
log_counts() {
	note "starts and ends at the workers, by job:"
	grep -oE 'event=fake_(start|end) .*' "$DIR/platform.log" | sed -E 's/event=fake_(start|end) .*task=([0-9a-f]*)\..*/\2 \1/' | sort | uniq -c >>"$RECORD"
	note "store: $(tail -n 1 "$DIR/limits.log")"
	note "broken rules that the stand-in's workers saw: $(report | grep -o '"broken":\[[^]]*\]' | cut -c 1-500)"
}
