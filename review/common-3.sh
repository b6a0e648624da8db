# Functions of the scripts in review/9 to review/13: real entry hosts and the project's fake of the platform on loopback. Sourced by them.
# Every script ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
. Scripts/ports.sh
TOOLS=build/review-3
WORK=$(mktemp -d)
RECORD=${RECORD:?set by the script}
TROUBLE=${TROUBLE:-1}
BEGAN=$(date +%s%3N)
declare -A PIDS

# Ends all processes that the script started, by their ids.
finish() {
	local pid
	for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap finish EXIT
: >"$RECORD"

# note TEXT...: a line of the record, with the seconds since the script began.
note() {
	local now=$(($(date +%s%3N) - BEGAN))
	printf '%3d.%03d %s\n' $((now / 1000)) $((now % 1000)) "$*" | tee -a "$RECORD"
}
cannot_run() { note "could not run: $*"; exit 2; }
# within SECONDS COMMAND...: whether the command comes true in time.
within() {
	local end=$(($(date +%s%3N) + $1 * 1000)); shift
	until "$@"; do [ "$(date +%s%3N)" -lt $end ] || return 1; sleep 0.1; done
}

# start_platform POOL,POOL...: the fake of the metadata store, the machine service and one worker of 16 cores for each pool named.
start_platform() {
	local try
	[ -x target/loomreachd ] && [ -x $TOOLS/loomreach-platform ] || cannot_run "build the daemon by deploy/system.toml, and run review/build-3.sh"
	for try in 1 2 3 4; do
		claim_ports $try || continue
		CONTROL="http://127.0.0.1:$((PORT + 2))"
		$TOOLS/loomreach-platform --port=$PORT --pools="$1" >"$WORK/platform.log" 2>&1 &
		PIDS[platform]=$!
		platform_answers() { curl -s -o /dev/null --max-time 2 "$CONTROL/report" && kill -0 "${PIDS[platform]}" 2>/dev/null; }
		within 10 platform_answers && return
		kill -9 "${PIDS[platform]}" 2>/dev/null
	done
	cannot_run "the fake of the platform did not start"
}

# start_entry NUMBER [STORE_PORT]: an entry host, by the command and the template of deploy/system.toml. The limits of a small deployment.
start_entry() {
	local number=$1 base=$((PORT + 40 + $1 * 10)) store=${2:-$PORT}
	sed -e "s/{{nodeName}}/entry-$number/; s/{{zone}}/z/; s/{{listen.front}}/127.0.0.1:$base/; s/{{listen.ready}}/127.0.0.1:$((base + 1))/" \
		-e "s/{{ip}}:{{internalPorts.0}}/127.0.0.1:$((base + 2))/; s/{{platform.address}}/127.0.0.1:$store/; s/{{platform.parts}}/8/" \
		-e "s/{{platform.reads_per_s}}/2000/; s/{{platform.read_mb_per_s}}/80.0/; s/{{platform.append_ms}}/4.0/" \
		-e "s/{{cloudApi.address}}/127.0.0.1:$((PORT + 1))/; s/{{advice}}//; s/{{bounds.maxHoldMs}}/6000/; s/{{bounds.upkeep_s}}/0.8/" \
		-e "s/{{limits.cpuShare}}/0.25/; s/{{limits.linkMbps}}/1000.0/; s/^metrics_port.*/metrics_port = $((base + 3))/" \
		deploy/settings.toml.in >"$WORK/e$number.toml"
	LOOMREACH_BOOT="$WORK/e$number.toml" target/loomreachd --jobs_config_env=LOOMREACH_BOOT >>"$WORK/e$number.log" 2>&1 &
	PIDS[$number]=$!
}
url() { echo "http://127.0.0.1:$((PORT + 40 + $1 * 10))"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://127.0.0.1:$((PORT + 41 + $1 * 10))/ready")" = 200 ]; }
all_ready() { ready 1 && ready 2 && ready 3; }

# operator KEY BODY: the operator writes a record.
operator() { curl -s -o /dev/null -X PUT "$CONTROL/operator/$1" -d "$2"; }
report() { curl -s --max-time 2 "$CONTROL/report"; }
# submit ENTRY PATH BODY: hands a job in once; sets ANSWER to the status, 000 without one.
submit() {
	ANSWER=$(curl -s -o /dev/null -w '%{http_code}' --max-time 8 -H 'Host: jobs.example' -H 'Content-Type: application/json' -X POST "$(url "$1")$2" -d "$3")
	note "POST $2 to entry-$1: $ANSWER"
}
state() { curl -s --max-time 8 -H 'Host: jobs.example' "$(url "$1")$2"; }
is() { [ "$(state "$1" "$2")" = "{\"state\":\"$3\"}" ]; }
# runs_of ID: tasks of a job that run now, by the workers.
runs_of() { report | sed 's/.*"running":{\([^}]*\)}.*/\1/' | grep -o "\"$1[^,]*" | wc -l; }
# started ID: starts of a job's tasks that workers have carried out.
started() { grep -c "event=fake_start .*task=$1" "$WORK/platform.log"; }
