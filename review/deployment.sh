# A small deployment on loopback: the platform's stand-in and some entry hosts, by the deploy file's command and settings template.
# Sourced by the cases, which set FOLDER (their own folder) before. record.txt there takes what was sent, answered and run.

REVIEW=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
ROOT=$(cd "$REVIEW/.." && pwd)
STANDINS="$ROOT/build/review"
ENTRY_HOSTS=${ENTRY_HOSTS:-3}
TROUBLE=${TROUBLE:-1}
declare -A PIDS=()
DIR=$(mktemp -d)
RECORD="$FOLDER/record.txt"
: >"$RECORD"

# Ends every process that was started, by its id.
end_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$DIR"
}
trap end_all EXIT

now_ms() { date +%s%3N; }
BEGAN=$(now_ms)
since_start() { echo $(($(now_ms) - BEGAN)); }
# note TEXT...: a line of the record, with the time since the start in ms.
note() { echo "$(since_start) ms  $*" | tee -a "$RECORD"; }
cannot_run() { note "could not run: $*"; exit 2; }
# verdict BROKEN RULE: ends the case.
verdict() {
	[ "$1" = 0 ] && { note "$2 held"; exit 0; }
	note "$2 BROKEN"
	exit 1
}

# within SECONDS COMMAND...: whether the command comes true in time.
within() {
	local end=$((SECONDS + $1)); shift
	until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}

# The settings template, filled as the platform fills it for a machine of msafiri-loom.
fill_settings() {
	local number=$1 base=$2
	sed -e "s/{{nodeName}}/front-hall-a-$number/" -e "s/{{zone}}/hall-a/" -e "s/{{listen.front}}/127.0.0.1:$base/" \
		-e "s/{{listen.ready}}/127.0.0.1:$((base + 1))/" -e "s/{{ip}}:{{internalPorts.0}}/127.0.0.1:$((base + 2))/" \
		-e "s/{{platform.address}}/127.0.0.1:$STORE_PORT/" -e "s/{{platform.parts}}/8/" -e "s/{{platform.reads_per_s}}/2000/" \
		-e "s/{{platform.read_mb_per_s}}/80.0/" -e "s/{{platform.append_ms}}/4.0/" -e "s/{{cloudApi.address}}/127.0.0.1:$((PORT + 1))/" \
		-e "s/{{advice}}//" -e "s/{{bounds.maxHoldMs}}/10000/" -e "s/{{bounds.upkeep_s}}/2/" -e "s/{{limits.cpuShare}}/0.25/" \
		-e "s/{{limits.linkMbps}}/1000.0/" -e "s/^metrics_port = .*/metrics_port = $((base + 3))/" "$ROOT/deploy/settings.toml.in"
}

entry_port() { echo $((PORT + 40 + $1 * 8)); }
url() { echo "http://127.0.0.1:$(entry_port "$1")"; }
metrics() { curl -s --max-time 5 "http://127.0.0.1:$(($(entry_port "$1") + 3))/metrics"; }

start_entry() {
	local number=$1 command
	fill_settings "$number" "$(entry_port "$number")" >"$DIR/entry-$number.toml"
	grep -q '{{' "$DIR/entry-$number.toml" && cannot_run "the settings template has a gap that this script does not fill"
	command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/system.toml")
	# shellcheck disable=SC2086
	(cd "$ROOT" && LOOMREACH_BOOT="$DIR/entry-$number.toml" exec $command >>"$DIR/entry-$number.log" 2>&1) &
	PIDS[$number]=$!
}

# start_platform TRY: in a block of 100 ports that no other test has.
start_platform() {
	PORT=$((10000 + (($$ + $1 * 37) % 200) * 100))
	exec 8>"${TMPDIR:-/tmp}/loomreach-ports-$PORT"
	flock -n 8 || return 1
	CONTROL="http://127.0.0.1:$((PORT + 2))"
	curl -s -o /dev/null --max-time 1 "$CONTROL/report" && return 1
	# shellcheck disable=SC2086
	"$STANDINS/${PLATFORM:-loomreach-platform}" --port=$PORT --pools="${POOLS:-fast,fast,fast,slow,slow,spare}" ${PLATFORM_FLAGS:-} >"$DIR/platform.log" 2>&1 &
	PIDS[platform]=$!
	answers_or_ended() { curl -s -o /dev/null --max-time 1 "$CONTROL/report" || ! kill -0 "${PIDS[platform]}" 2>/dev/null; }
	within 20 answers_or_ended
	kill -0 "${PIDS[platform]}" 2>/dev/null
}

# The store as the entry hosts reach it, with the limits of its appends.
start_store_limits() {
	STORE_PORT=$((PORT + 97))
	"$STANDINS/store-limits" $STORE_PORT $PORT >"$DIR/store-limits.log" 2>&1 &
	PIDS[limits]=$!
	passes() { curl -s -o /dev/null --max-time 1 "http://127.0.0.1:$STORE_PORT/log-newest?topic=none&part=0"; }
	within 10 passes || cannot_run "the store's limits did not start"
}

# put_config JSON: the operator writes a configuration; the store's answer is its acknowledgement.
put_config() {
	note "operator: op/config $1"
	curl -s -o /dev/null --max-time 5 -X PUT "$CONTROL/operator/config" -d "$1" || cannot_run "the configuration was not taken"
	note "operator: acknowledged"
}
is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://127.0.0.1:$(($(entry_port "$1") + 1))/ready")" = 200 ]; }
all_ready() { local n; for n in $(seq 1 "$ENTRY_HOSTS"); do is_ready "$n" || return 1; done; }

# call ENTRY METHOD PATH [BODY] [SECONDS]: a caller's request. Sets STATUS (000: no answer) and ANSWER.
call() {
	local entry=$1 method=$2 path=$3 body=${4:-} limit=${5:-4} got
	local words=(-s --max-time "$limit" -w ' %{http_code}' -H 'Host: jobs.example' -H 'Content-Type: application/json' -X "$method")
	[ -n "$body" ] && words+=(-d "$body")
	note "client to entry host $entry: $method $path $body"
	got=$(curl "${words[@]}" "$(url "$entry")$path")
	STATUS=${got##* }
	ANSWER=${got% *}
	note "client: $STATUS $ANSWER"
}

# job TEXT COUNT [MORE_OF_THE_STEP] [MORE_OF_THE_JOB]: body of a job of one step; each task asks for one core.
job() { echo "{\"spec\":\"$1 cpu=1000\",\"steps\":[{\"count\":$2,\"cpu\":1000,\"memMb\":100,\"estimateMs\":300${3:-}}]${4:-}}"; }

# runs_of ID: what the workers began and ended of a job, as "MS begin|end TASK RUN WORKER HOW", MS counted from the start of the script.
runs_of() {
	local day time event line
	grep -E "event=fake_(start|end) .*task=$1\." "$DIR/platform.log" | while read -r line; do
		day=$(echo "$line" | cut -c2-9)
		time=$(echo "$line" | cut -d' ' -f2)
		event=begin; case $line in *event=fake_end*) event=end ;; esac
		echo "$(($(date -d "$day $time" +%s%3N) - BEGAN)) $event $(field task "$line") $(field run "$line") $(field worker "$line") $(field how "$line")"
	done
}
field() { echo "$2" | sed -n "s/.* $1=\([^ ]*\).*/\1/p"; }
# record_runs ID...: writes them into the record.
record_runs() {
	local id
	for id in "$@"; do
		note "workers, job $id (ms, event, task, run, worker, end):"
		runs_of "$id" | sed 's/^/    /' | tee -a "$RECORD"
	done
}
# running ID: how many tasks of a job the workers run now.
running() { curl -s --max-time 5 "$CONTROL/report" | sed 's/.*"running":{\([^}]*\)}.*/\1/' | grep -o "\"$1\.[^,]*" | wc -l; }

# start_deployment CONFIG: platform, entry hosts and the first configuration, until a first job has been completed.
start_deployment() {
	local try n started=0
	[ -x "$STANDINS/${PLATFORM:-loomreach-platform}" ] || cannot_run "review/build.sh has not built the stand-in"
	[ -x "$ROOT/target/loomreachd" ] || cannot_run "the deploy file's build has not run"
	for try in 1 2 3 4 5; do start_platform $try && { started=1; break; }; done
	[ $started = 1 ] || cannot_run "no free block of ports"
	STORE_PORT=$PORT
	[ "${STORE_LIMITS:-0}" = 1 ] && start_store_limits
	for n in $(seq 1 "$ENTRY_HOSTS"); do start_entry "$n"; done
	put_config "$1"
	within 20 all_ready || cannot_run "the entry hosts did not get ready"
	first_accepted() { call 1 POST /jobs/00000000000000f0 "$(job ms=300 2)"; [ "$STATUS" = 200 ]; }
	within 15 first_accepted || cannot_run "no job was accepted"
	first_completed() { sleep 0.9; call 1 GET /jobs/00000000000000f0; [ "$ANSWER" = '{"state":"completed"}' ]; }
	within 20 first_completed || cannot_run "the first job was not completed"
	# Traffic and bounds count from a deployment at rest
	sleep 4
}
