#!/usr/bin/env bash
# Queues that configurations move between pools, with real processes: the platform's stand-in and three entry hosts on loopback.
# Usage: test_moves.sh BUILD. No check depends on timing beyond generous limits. Prints one line a check.
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

# start_entry NUMBER [PROGRAM]: another program plays a machine that can be suspended.
start_entry() {
	local number=$1 base=$((PORT + 40 + $1 * 10)) program=${2:-loomreachd}
	cat >"$DIR/e$number.toml" <<TOML
name = "entry-$number"
availability_zone = "z"
callers = "127.0.0.1:$base"
ready = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
metrics_port = $((base + 3))
store = "127.0.0.1:$PORT"
machines = "127.0.0.1:$((PORT + 1))"
maintenance_s = 0.8
TOML
	echo 0 >"$DIR/e$number.suspended"
	LOOM_SUSPENDED_MS="$DIR/e$number.suspended" LOOM_JOBS="$DIR/e$number.toml" "$BUILD/$program" --jobs_config_env=LOOM_JOBS >>"$DIR/e$number.log" 2>&1 &
	PIDS[$number]=$!
}

url() { echo "http://127.0.0.1:$((PORT + 40 + $1 * 10))"; }
report() { curl -s "$CONTROL/report"; }
unbroken() { report | grep -q '"broken":\[\]' || { report | grep -o '"broken":\[[^]]*\]' | cut -c1-2000; return 1; }; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://127.0.0.1:$((PORT + 41 + $1 * 10))/ready")" = 200 ]; }
all_ready() { ready 1 && ready 2 && ready 3; }
running() { report | sed 's/.*"running":{\([^}]*\)}.*/\1/' | grep -o "$1[^,]*" | wc -l; }

# Another block of ports if something listens there already.
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

# moved VERSION [POOL [NAME]]: the configuration with the queue in this pool; without one there is no such queue.
moved() {
	local queue=""
	[ -n "${2:-}" ] && queue=',{"name":"'"${3:-q-move}"'","host":"jobs.example","pathPrefix":"/move/","service":"'"$2"'","maxAttempts":2,"stretch":1.6,"targetLatencyMs":600}'
	curl -s -X PUT "$CONTROL/operator/config" -d '{"version":'"$1"',"routes":[
	 {"name":"q-fast","host":"jobs.example","pathPrefix":"/fast/","service":"fast","maxAttempts":2,"stretch":1.6,"targetLatencyMs":600},
	 {"name":"q-slow","host":"jobs.example","pathPrefix":"/slow/","service":"slow","maxAttempts":2,"priority":1}'"$queue"'],
	 "services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}' >/dev/null
}
move_call() { curl -s --max-time 8 -H 'Host: jobs.example' "$@"; }
move_job() {
	move_call -o /dev/null -w '%{http_code}' -X POST "$(url "$1")/move/$2" \
		-d "{\"spec\":\"$3 cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":100,\"estimateMs\":300}]}"
}
shows() { [ "$(move_call "$(url "$1")/move/$2")" = "{\"state\":\"$3\"}" ]; }
all_show() { shows 1 "$1" "$2" && shows 2 "$1" "$2" && shows 3 "$1" "$2"; }
is_moved() { [ "$(move_call -o /dev/null -w '%{http_code}' "$(url "$1")/move/")" = 200 ]; }
all_moved() { is_moved 1 && is_moved 2 && is_moved 3; }
starts_of() { grep -c "event=fake_start.*task=$1\." "$DIR/platform.log"; }
stopped() { [ "$(running "$1")" = 0 ]; }
moved 2001 fast
check "a queue is added" within 10 all_moved
check "its jobs are accepted" test "$(move_job 1 00000000000000d1 ms=200)$(move_job 2 00000000000000d2 ms=60000)" = 200200
check "one ends" within 15 shows 1 00000000000000d1 completed
check "and one runs" within 15 shows 1 00000000000000d2 running
moved 2002 slow
sleep 5
check "after the queue has moved all hosts know the job that ended" all_show 00000000000000d1 completed
check "and the one that runs" all_show 00000000000000d2 running
check "a repeat of the job that ended is accepted" test "$(move_job 3 00000000000000d1 ms=200)" = 200
check "new jobs are accepted" test "$(move_job 1 00000000000000d3 ms=200)" = 200
check "and end" within 15 shows 2 00000000000000d3 completed
check "the repeat started nothing" test "$(starts_of 00000000000000d1)" = 2
check "an id that nobody sent is gone" test "$(move_call -o /dev/null -w '%{http_code}' "$(url 1)/move/00000000000000df")" = 410
moved 2003
sleep 3
for number in 1 2 3; do kill -9 "${PIDS[$number]}"; done
moved 2004 spare q-other
for number in 1 2 3; do start_entry $number; done
check "hosts that start after further moves get ready" within 30 all_ready
check "they know the job that ended first" within 30 shows 1 00000000000000d1 completed
check "the one that ended after the first move" within 30 shows 2 00000000000000d3 completed
check "and the one that runs" within 30 shows 3 00000000000000d2 running
moved 2005 fast
sleep 5
check "a queue that moves back knows the jobs of all its pools" all_show 00000000000000d3 completed
check "a cancel of the job that runs is accepted" test "$(move_call -o /dev/null -w '%{http_code}' -X DELETE "$(url 2)/move/00000000000000d2")" = 200
check "and stops it" within 5 stopped 00000000000000d2
check "as all hosts say" within 10 all_show 00000000000000d2 canceled

# late VERSION [POOL [NAME]]: the same with another queue, /late/, in this pool; without a pool there is no such queue.
late() {
	local queue=""
	[ -n "${2:-}" ] && queue=',{"name":"'"${3:-q-late}"'","host":"jobs.example","pathPrefix":"/late/","service":"'"$2"'","maxAttempts":2,"stretch":1.6,"targetLatencyMs":600}'
	curl -s -X PUT "$CONTROL/operator/config" -d '{"version":'"$1"',"routes":[
	 {"name":"q-fast","host":"jobs.example","pathPrefix":"/fast/","service":"fast","maxAttempts":2,"stretch":1.6,"targetLatencyMs":600},
	 {"name":"q-slow","host":"jobs.example","pathPrefix":"/slow/","service":"slow","maxAttempts":2,"priority":1}'"$queue"'],
	 "services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}' >/dev/null
}
post() { move_call -o /dev/null -w '%{http_code}' -X POST "$(url "$1")/$2/$3" -d '{"spec":"ms=200 cpu=1000","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":300}]}'; }
has_late() { [ "$(move_call -o /dev/null -w '%{http_code}' -X PUT "$(url "$1")/late/$2")" != 404 ]; }
started() { [ "$(starts_of "$1")" -ge 2 ]; }
late_shows() { [ "$(move_call "$(url "$1")/late/$2")" = '{"state":"completed"}' ]; }
all_late_show() { late_shows 1 "$1" && late_shows 2 "$1" && late_shows 3 "$1"; }
planned() { grep -qE "event=runs_planned request=$1" "$DIR"/e*.log; }

# lost_version VERSION JOB NAME: a job is accepted for a queue whose version the owner of its cell never reads; the next version has the queue
# under this name, or not at all.
lost_version() {
	local version=$1 job=$2 name=$3 probe owner other
	probe=$(printf '%016x' $((version)))
	post 1 fast "$probe" >/dev/null
	within 15 planned "$probe"
	owner=$(grep -lE "event=runs_planned request=$probe" "$DIR"/e*.log | tail -n 1 | sed 's/.*e\([0-9]\).log/\1/')
	other=$((owner % 3 + 1))
	kill -9 "${PIDS[$owner]}"
	wait "${PIDS[$owner]}" 2>/dev/null
	late "$version" fast
	within 5 has_late "$other" "$job"
	check "a job is accepted while its cell has no owner (${name:-removed})" test "$(post "$other" late "$job")" = 200
	late $((version + 1)) "${name:+fast}" "$name"
	start_entry "$owner"
	check "it starts under an owner that never read its queue's version" within 20 started "$job"
	sleep 2
	late $((version + 2)) slow "${name:-q-late}"
	check "all hosts know it once its queue is in another pool" within 20 all_late_show "$job"
	check "a repeat of it is accepted" test "$(post "$other" late "$job")" = 200
	sleep 5
	check "and starts nothing" test "$(starts_of "$job")" = 2
}
lost_version 2010 00000000000000c1 ""
late 2015
sleep 3
lost_version 2020 00000000000000c2 q-renamed
check "no rule was broken by the moves" unbroken

if [ $FAILED != 0 ]; then
	KEPT=${TMPDIR:-/tmp}/loomreach-moves
	mkdir -p "$KEPT"
	cp -r "$DIR" "$KEPT/$(date +%Y%m%d-%H%M%S)-$$"
	echo "logs kept in $KEPT"
fi
echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
