#!/usr/bin/env bash
# Odd input with real processes: records of other writers, orders of the operator and bodies of callers that no program should have sent. All entry
# hosts live, the other entries hold, and jobs run on.
# Usage: test_odd_input.sh BUILD. No check depends on timing beyond generous limits. Prints one line a check.
set -u
cd "$(dirname "$0")/.." || exit 1
. Scripts/ports.sh
BUILD=${1:-build/release}
DIR=$(mktemp -d)
PASSED=0
FAILED=0
declare -A PIDS

finish() {
	local pid
	for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
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
TOML
	LOOM_JOBS="$DIR/e$number.toml" "$BUILD/loomreachd" --jobs_config_env=LOOM_JOBS >>"$DIR/e$number.log" 2>&1 &
	PIDS[$number]=$!
}

url() { echo "http://127.0.0.1:$((PORT + 40 + $1 * 10))"; }
metrics() { curl -s --max-time 5 "http://127.0.0.1:$((PORT + 43 + $1 * 10))/metrics"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://127.0.0.1:$((PORT + 41 + $1 * 10))/ready")" = 200 ]; }
all_ready() { ready 1 && ready 2 && ready 3; }
alive() { kill -0 "${PIDS[1]}" 2>/dev/null && kill -0 "${PIDS[2]}" 2>/dev/null && kill -0 "${PIDS[3]}" 2>/dev/null; }
# The hosts live for as long as they take to read what was written.
stay_alive() { sleep 2; alive && all_ready; }
job() {
	curl -s -o /dev/null -w '%{http_code}' --max-time 8 -H 'Host: jobs.example' -X POST "$(url "$1")/fast/$2" \
		-d '{"spec":"ms=200","steps":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":300}]}'
}
is() { [ "$(curl -s --max-time 8 -H 'Host: jobs.example' "$(url "$1")/fast/$2")" = "{\"state\":\"$3\"}" ]; }
# call ENTRY METHOD PATH [FILE]: status of a call, with a file as its body.
call() {
	curl -s -o /dev/null -w '%{http_code}' --max-time 20 -H 'Host: jobs.example' -X "$2" ${4:+-H 'Expect:' --data-binary "@$4"} "$(url "$1")$3"
}
put() { curl -s -o /dev/null -X PUT "$CONTROL/$1" --data-binary "@$2"; }
# listed COUNT: the owner of the cell lists as many workers.
listed() { for number in 1 2 3; do metrics $number | grep -qE "_workers $1\$" && return; done; return 1; }
deep() { head -c "$1" /dev/zero | tr '\0' '['; head -c "$1" /dev/zero | tr '\0' ']'; }

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
start_platform 1 || start_platform 2 || start_platform 3 || { echo "stand-in did not start"; exit 1; }
for number in 1 2 3; do start_entry $number; done
cat >"$DIR/config" <<'JSON'
{"version":3,"routes":[{"name":"q-fast","host":"jobs.example","pathPrefix":"/fast/","service":"fast","maxAttempts":2,"stretch":1.6}],
 "services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}
JSON
put operator/config "$DIR/config"
check "all entry hosts are ready" within 15 all_ready
check "a job is accepted" test "$(job 1 0000000000000001)" = 200
check "and ends" within 15 is 2 0000000000000001 completed
echo '{"spec":"ms=200","steps":[{"count":1,"cpu":1000,"memMb":100}]}' >"$DIR/job"
restart_ended() { for number in 1 2 3; do kill -0 "${PIDS[$number]}" 2>/dev/null || start_entry $number; done; within 10 all_ready; }

# --- 131,000 levels are the most that a record of the store can hold
{ printf '{"a":'; deep 131000; printf '}'; } >"$DIR/deep"
{ printf '{"spec":"ms=200","steps":'; deep 2000000; printf '}'; } >"$DIR/deep-body"
{ printf '{"spec":"ms=200","steps":'; deep 2000; printf '}'; } >"$DIR/deep-small-body"

for number in 1 2 3; do
	check "a caller's deep body is refused by entry host $number" test "$(call $number POST /fast/00000000000000d$number "$DIR/deep-small-body")" = 400
	STATUS=$(call $number POST /fast/00000000000000e$number "$DIR/deep-body")
	check "a large one too ($STATUS)" test "$STATUS" = 413
done
check "callers' deep bodies end no entry host" stay_alive
for method in POST GET DELETE; do
	check "an id that is none is refused ($method)" test "$(call 1 $method /fast/%ff%fe1 "$DIR/job")" = 400
done
printf '{"spec":"ms=200 \xff\xfe","steps":[{"count":1,"cpu":1000,"memMb":100}]}' >"$DIR/no-text"
check "a payload that is not text is refused" test "$(call 1 POST /fast/00000000000000f1 "$DIR/no-text")" = 400
# 200 MB in chunks, without a length
head -c 200000000 /dev/zero | curl -s -o /dev/null --max-time 30 -H 'Host: jobs.example' -H 'Expect:' -X POST -T - "$(url 2)/fast/00000000000000f2"
memory_is_small() { [ "$(awk '/VmHWM/ { print $2 }' "/proc/${PIDS[2]}/status")" -lt 150000 ]; }
check "a body without an end is not kept" memory_is_small
restart_ended
put operator/config "$DIR/deep"
check "a deep configuration ends no entry host" stay_alive
restart_ended
check "the former configuration is in force" test "$(job 3 0000000000000002)" = 200
put operator/config "$DIR/config"
put servers/odd-1 "$DIR/deep"
printf '{"service":"fast","address":"127.0.0.1:9","zone":"z","state":"ready","labels":[],"capacity":{"cpu":%s,"memMb":%s},"born":1}' \
	9223372036854775807 1e300 >"$DIR/huge"
put servers/odd-2 "$DIR/huge"
put servers/odd-3 "$DIR/huge"
put 'servers/%ff%fe' "$DIR/huge"
check "odd entries in the list of workers end no entry host" stay_alive
restart_ended
check "a job is accepted after that" test "$(job 2 0000000000000003)" = 200
check "and the other workers run it" within 15 is 1 0000000000000003 completed
kill -9 "${PIDS[1]}"
start_entry 1
check "an entry host that starts reads the list beside the odd entry" within 15 ready 1
check "all entry hosts live" alive

echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
