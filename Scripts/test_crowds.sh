#!/usr/bin/env bash
# Crowds of callers that misbehave, with real processes: they end no entry host, its memory and its open descriptors stay within bounds, and
# ordinary callers are served while the crowd is there and afterwards.
# Usage: test_crowds.sh BUILD KIND (a kind of loomreach-crowd). No check depends on timing beyond generous limits. Prints one line a check.
set -u
cd "$(dirname "$0")/.." || exit 1
. Scripts/ports.sh
BUILD=${1:-build/release}
KIND=${2:?kind of crowd}
DIR=$(mktemp -d)
PASSED=0
FAILED=0
declare -A PIDS
CROWD=()

# Bounds of the entry hosts' configuration, far below the defaults, so that a small crowd meets them
REQUEST_MEMORY_KB=4096
MAX_CONNECTIONS=120
STALL_MS=2000
TIME_MS=6000
MAX_VALUES=2000
# Memory that each connection may take besides its request: buffers of the socket, the parser and the answer
CONNECTION_KB=64
# The request that is decoded at one time: the largest body, its copy, and the JSON values that the bound above allows
DECODED_KB=8192
# Descriptors that an entry host may have open beyond those at rest: connections to workers, other entry hosts and the store, and the test's own
SPARE_DESCRIPTORS=30
# Time for a crowd to send what it sends
CROWD_SECONDS=6

finish() {
	local pid
	for pid in "${CROWD[@]}" "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
	rm -rf "$DIR"
}
trap finish EXIT

check() {
	local name=$1; shift
	if "$@"; then PASSED=$((PASSED + 1)); echo "passed: $name"; else FAILED=$((FAILED + 1)); echo "FAILED: $name"; fi
}

# within SECONDS COMMAND...: whether the command comes true in time.
within() {
	local end=$((SECONDS + $1)); shift
	until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}

start_entry() {
	local number=$1 base=$((PORT + 40 + $1 * 10))
	cat >"$DIR/e$number.toml" <<TOML
name = "entry-$number"
availability_zone = "z"
callers = "127.0.0.1:$base"
ready = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
metrics_port = $((base + 3))
store = "127.0.0.1:$PORT"
machines = "127.0.0.1:$((PORT + 1))"
request_memory_kb = $REQUEST_MEMORY_KB
max_connections = $MAX_CONNECTIONS
request_stall_ms = $STALL_MS
request_time_ms = $TIME_MS
max_job_values = $MAX_VALUES
TOML
	LOOM_JOBS="$DIR/e$number.toml" "$BUILD/loomreachd" --jobs_config_env=LOOM_JOBS >>"$DIR/e$number.log" 2>&1 &
	PIDS[$number]=$!
}

url() { echo "http://127.0.0.1:$((PORT + 40 + $1 * 10))"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 "http://127.0.0.1:$((PORT + 41 + $1 * 10))/ready")" = 200 ]; }
all_ready() { ready 1 && ready 2 && ready 3; }
alive() { kill -0 "${PIDS[1]}" 2>/dev/null && kill -0 "${PIDS[2]}" 2>/dev/null && kill -0 "${PIDS[3]}" 2>/dev/null; }
# job ENTRY ID MS: hands in a job of three tasks.
job() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 8 -H 'Host: jobs.example' -X POST "$(url "$1")/fast/$2" \
		-d "{\"spec\":\"ms=$3\",\"steps\":[{\"count\":3,\"cpu\":1000,\"memMb\":100,\"estimateMs\":$3}]}")" = 200 ]
}
is() { [ "$(curl -s --max-time 8 -H 'Host: jobs.example' "$(url "$1")/fast/$2")" = "{\"state\":\"$3\"}" ]; }
# memory FIELD: a field of the crowded host's memory in KB (VmRSS, VmHWM).
memory() { awk -v field="$1:" '$1 == field { print $2 }' "/proc/${PIDS[1]}/status" 2>/dev/null || echo 0; }
descriptors() { ls "/proc/${PIDS[1]}/fd" 2>/dev/null | wc -l; }

start_platform() {
	claim_ports "$1" || return 1
	CONTROL="http://127.0.0.1:$((PORT + 2))"
	"$BUILD/loomreach-platform" --port=$PORT >"$DIR/platform.log" 2>&1 &
	PIDS[0]=$!
	answers() { curl -s -o /dev/null "$CONTROL/report" && kill -0 "${PIDS[0]}" 2>/dev/null || ! kill -0 "${PIDS[0]}" 2>/dev/null; }
	within 30 answers
	kill -0 "${PIDS[0]}" 2>/dev/null && return
	cat "$DIR/platform.log"
	return 1
}

# crowd DOOR PORT PATH COUNT: callers of the kind at one listener of the first host, for two minutes at most.
crowd() {
	"$BUILD/loomreach-crowd" --address="127.0.0.1:$2" --path="$3" --kind="$KIND" --connections="$4" --host=jobs.example --seconds=110 \
		>"$DIR/crowd.$1" 2>&1 &
	CROWD+=($!)
}
crowd_stays() { local pid; for pid in "${CROWD[@]}"; do kill -0 "$pid" 2>/dev/null && return; done; return 1; }
crowd_has_gone() { ! crowd_stays; }
end_crowd() { local pid; for pid in "${CROWD[@]}"; do kill -TERM "$pid" 2>/dev/null; done; within 20 crowd_has_gone; }

start_platform 1 || start_platform 2 || start_platform 3 || { echo "stand-in did not start"; exit 1; }
for number in 1 2 3; do start_entry $number; done
cat >"$DIR/config" <<'JSON'
{"version":3,"routes":[{"name":"q-fast","host":"jobs.example","pathPrefix":"/fast/","service":"fast","maxAttempts":2,"stretch":1.6}],
 "services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}
JSON
curl -s -o /dev/null -X PUT "$CONTROL/operator/config" --data-binary "@$DIR/config"
check "all entry hosts are ready" within 15 all_ready
# Nothing below could be told then
[ $FAILED = 0 ] || { tail -n 5 "$DIR"/e*.log; exit 1; }
check "a job is accepted" within 15 job 1 0000000000000001 200
check "and ends" within 15 is 2 0000000000000001 completed
for id in 2 3 4; do check "job $id is accepted before the crowd" within 15 job $((id - 1)) 000000000000000$id 3000; done

# --- The crowd: at a route, without a route, at the readiness address and at the metrics, of one host
REST_KB=$(memory VmHWM)
REST_DESCRIPTORS=$(descriptors)
AT_ROUTE=60 ELSEWHERE=15
[ "$KIND" = idle ] && AT_ROUTE=170
# Fewer where a caller may cost far more than it sends, but more than the spare descriptors
[ "$KIND" = tiny-chunks ] && AT_ROUTE=30 ELSEWHERE=10
CONNECTIONS=$((AT_ROUTE + 3 * ELSEWHERE))
MOST_KB=$((REST_KB + REQUEST_MEMORY_KB + CONNECTIONS * CONNECTION_KB + DECODED_KB))
MOST_DESCRIPTORS=$((REST_DESCRIPTORS + MAX_CONNECTIONS + SPARE_DESCRIPTORS))
crowd route $((PORT + 50)) '/fast/{id}' $AT_ROUTE
crowd none $((PORT + 50)) '/nowhere/{id}' $ELSEWHERE
crowd ready $((PORT + 51)) /ready $ELSEWHERE
crowd metrics $((PORT + 53)) /metrics $ELSEWHERE
MOST_SEEN=0
note_descriptors() { local now; now=$(descriptors); [ "$now" -gt $MOST_SEEN ] && MOST_SEEN=$now; }
END=$((SECONDS + CROWD_SECONDS))
while [ $SECONDS -lt $END ] && crowd_stays; do note_descriptors; sleep 0.1; done
PRESENT_KB=$(memory VmRSS)

few_descriptors() { [ "$(descriptors)" -le $((REST_DESCRIPTORS + SPARE_DESCRIPTORS)) ]; }
if crowd_stays; then
	check "an ordinary job is accepted" within 20 job 1 0000000000000005 200
	check "while the crowd is there" crowd_stays
	note_descriptors
	# Readers and idle connections that do what they may are not closed
	case $KIND in
	one-piece | small-pieces | chunks | tiny-chunks | slow-senders | pipelined | half-way)
		check "connections without progress are closed while the crowd is there" within 20 few_descriptors ;;
	esac
	check "an ordinary job ends" within 20 is 1 0000000000000005 completed
fi
check "the crowd ends" end_crowd
cat "$DIR"/crowd.*
# A crowd that never came would pass everything else
check "callers were connected at all four listeners" test "$(grep -l ': opened [1-9]' "$DIR"/crowd.* | wc -l)" = 4
check "no more than $MOST_DESCRIPTORS descriptors were open ($MOST_SEEN, $REST_DESCRIPTORS at rest)" test $MOST_SEEN -le $MOST_DESCRIPTORS
check "descriptors are closed after the crowd" within 20 few_descriptors
echo "descriptors after the crowd: $(descriptors)"
PEAK_KB=$(memory VmHWM)
check "memory was at most $MOST_KB KB (peak $PEAK_KB, during the crowd $PRESENT_KB, before it $REST_KB)" test "$PEAK_KB" -le $MOST_KB
AFTER_KB=$(memory VmRSS)
check "memory after the crowd is at most $MOST_KB KB ($AFTER_KB)" test "$AFTER_KB" -le $MOST_KB
if [ "$KIND" = many-values ]; then
	check "no job with too many values is accepted" eval "! grep -q ' 200:' '$DIR/crowd.route'"
fi
for id in 2 3 4; do check "job $id from before the crowd ends" within 30 is 2 000000000000000$id completed; done
check "an ordinary job is accepted after the crowd" within 20 job 1 0000000000000006 200
check "and ends after the crowd" within 20 is 1 0000000000000006 completed
check "all entry hosts live" alive
check "and are ready" within 15 all_ready

echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
