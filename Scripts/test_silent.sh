#!/usr/bin/env bash
# What it costs when all open connections of all entry hosts to the store fall silent at once, without a reset, while new ones work: real
# processes, each entry host behind its own proxy to the platform's stand-in, and jobs that go on coming in.
# Usage: test_silent.sh BUILD [DAEMON]. Prints the longest pauses that the stand-in saw, ms: between starts, accepted jobs and heartbeats of
# each host; first undisturbed, then from the silence on. The bounds hold for a loaded machine.
set -u
cd "$(dirname "$0")/.." || exit 1
. Scripts/ports.sh
BUILD=${1:-build/release}
DAEMON=${2:-$BUILD/loomreachd}
DIR=$(mktemp -d)
FAILED=0
MOST_MS=1500 # Of a pause between starts or accepted jobs. A worker's lease and an owner's are longer.
LEASE_MS=1500 # The shortest lease of an owner (owner_short_lease_ms): no heartbeat's pause may be longer.
declare -A PIDS

finish() {
	local pid
	for pid in "${PIDS[@]}"; do kill -9 "$pid"; wait "$pid"; done 2>/dev/null
	rm -rf "$DIR"
}
trap finish EXIT

within() {
	local end=$((SECONDS + $1)); shift
	until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}
check() {
	local name=$1; shift
	if "$@"; then echo "passed: $name"; else FAILED=$((FAILED + 1)); echo "FAILED: $name"; fi
}

base() { echo $((PORT + 40 + $1 * 10)); }
start_entry() {
	local base
	base=$(base "$1")
	"$BUILD/loomreach-proxy" --port=$((base + 4)) --to=$PORT >>"$DIR/proxy.log" 2>&1 &
	PIDS[p$1]=$!
	cat >"$DIR/e$1.toml" <<TOML
name = "entry-$1"
availability_zone = "z"
callers = "127.0.0.1:$base"
ready = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
metrics_port = $((base + 3))
store = "127.0.0.1:$((base + 4))"
machines = "127.0.0.1:$((PORT + 1))"
maintenance_s = 0.8
TOML
	LOOM_JOBS="$DIR/e$1.toml" "$DAEMON" --jobs_config_env=LOOM_JOBS >>"$DIR/e$1.log" 2>&1 &
	PIDS[e$1]=$!
}
report() { curl -s --max-time 5 "$CONTROL/report"; }
start_platform() {
	claim_ports "$1" || return 1
	CONTROL="http://127.0.0.1:$((PORT + 2))"
	"$BUILD/loomreach-platform" --port=$PORT >"$DIR/platform.log" 2>&1 &
	PIDS[platform]=$!
	answers() { report >/dev/null || ! kill -0 "${PIDS[platform]}" 2>/dev/null; }
	within 30 answers
	kill -0 "${PIDS[platform]}" 2>/dev/null
}
start_platform 1 || start_platform 2 || start_platform 3 || { echo "stand-in did not start"; exit 1; }
for number in 1 2 3; do start_entry $number; done
curl -s -X PUT "$CONTROL/operator/config" -d '{"version":3,"routes":[
 {"name":"q-fast","host":"jobs.example","pathPrefix":"/fast/","service":"fast","maxAttempts":4,"stretch":1.6,"targetLatencyMs":600}],
 "services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}' >/dev/null
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://127.0.0.1:$(($(base "$1") + 1))/ready")" = 200 ]; }
all_ready() { ready 1 && ready 2 && ready 3; }
within 30 all_ready || { echo "entry hosts did not become ready"; exit 1; }

call() { curl -s --max-time 5 -H 'Host: jobs.example' "$@"; }
submit() {
	local status
	status=$(call -o /dev/null -w '%{http_code}' -X POST "http://127.0.0.1:$(base "$2")/fast/$1" \
		-d '{"spec":"ms=50 cpu=500","steps":[{"count":1,"cpu":500,"memMb":100,"estimateMs":50}]}')
	echo "$1 $status" >>"$DIR/told"
}
ID=0
# traffic SECONDS: a job every 50 ms, in turn to the entry hosts.
traffic() {
	local end=$((SECONDS + $1)) waited=()
	while [ $SECONDS -lt $end ]; do
		ID=$((ID + 1))
		submit "$(printf '%016x' $ID)" $((ID % 3 + 1)) & waited+=($!)
		sleep 0.05
	done
	GAPS=$(curl -s --max-time 5 "$CONTROL/gaps")
	wait "${waited[@]}"
}
gaps_reset() { curl -s --max-time 5 -X PUT "$CONTROL/gaps/reset" >/dev/null; }
gap() { echo "$GAPS" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }

traffic 4
gaps_reset
traffic 6
echo "undisturbed: $GAPS"
gaps_reset
for number in 1 2 3; do echo -n mute >"/dev/udp/127.0.0.1/$(($(base $number) + 5))"; done
traffic 8
echo "silent connections: $GAPS"
check "starts went on within $MOST_MS ms" test "$(gap start)" -le $MOST_MS
check "jobs were accepted within $MOST_MS ms" test "$(gap accepted)" -le $MOST_MS
for number in 1 2 3; do
	check "heartbeats of entry host $number went on within a lease" test "$(gap "heartbeat entry-$number")" -le $LEASE_MS
done
check "no owner let its cells go" test "$(cat "$DIR"/e*.log | grep -c 'event=cells_dropped')" = 0
grep -h 'event=kept_connections_given_up' "$DIR"/e*.log | sed 's/.*event/event/' | head -20
is_over() { call "http://127.0.0.1:$(base 1)/fast/$1" | grep -q completed; }
all_over() {
	local id status
	while read -r id status; do
		[ "$status" != 200 ] || within 30 is_over "$id" || { echo "job $id was accepted and did not complete"; return 1; }
	done <"$DIR/told"
}
check "every accepted job ended" all_over
sort "$DIR/told" | awk '{count[$2]++} END {for (status in count) print "told " status ": " count[status]}'
unbroken() { report | grep -q '"broken":\[\]' || { report; return 1; }; }
check "no rule was broken" unbroken
[ $FAILED = 0 ] || { tail -n 30 "$DIR"/e*.log; }
[ $FAILED = 0 ]
