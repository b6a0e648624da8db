# Functions to run a deployment on loopback: the stand-in, and two entry hosts in each of two availability zones. Sourced by other scripts.
# Needs: BUILD (folder with the programs). Sets: DIR, BASE, ENTRIES and the pids of what it started.

declare -A PID=()
declare -A CALLERS=()
declare -A OPERATORS=()
declare -A ENTRY_ZONE=()

# Chooses a block of 200 ports of which none is in use.
choose_ports() {
	local try port
	for try in $(seq 1 50); do
		BASE=$((20000 + (RANDOM % 60) * 200))
		local busy=0
		for port in $(seq $BASE $((BASE + 110))); do
			if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then busy=1; break; fi
		done
		[ $busy = 0 ] && return 0
	done
	echo "no free block of ports" >&2
	return 1
}

# start_standin SAMPLE [flags]: the platform and the workers of a deployment.
start_standin() {
	local sample=$1; shift
	"$BUILD/loomreach-standin" --platform="127.0.0.1:$BASE" --hosts="Samples/$sample-hosts.toml" --worker_port=$((BASE + 40)) "$@" 2>"$DIR/standin.log" &
	PID[standin]=$!
	wait_for "http://127.0.0.1:$BASE/standin/report"
}

# write_config NAME ZONE NUMBER: the configuration file of one entry host.
write_config() {
	local name=$1 zone=$2 port=$((BASE + 1 + $3 * 3))
	CALLERS[$name]="127.0.0.1:$port"
	OPERATORS[$name]="127.0.0.1:$((port + 1))"
	ENTRY_ZONE[$name]=$zone
	cat >"$DIR/$name.toml" <<-CONFIG
		name = "$name"
		availability_zone = "$zone"
		callers = "127.0.0.1:$port"
		operators = "127.0.0.1:$((port + 1))"
		peers = "127.0.0.1:$((port + 2))"
		platform = "127.0.0.1:$BASE"
		peer_key_file = "peer.key"
		seeds = ["127.0.0.1:$((BASE + 3))", "127.0.0.1:$((BASE + 6))"]
		heartbeat_ms = ${HEARTBEAT_MS:-200}
		suspect_after_ms = ${SUSPECT_MS:-1000}
		remove_after_ms = ${REMOVE_MS:-4000}
		plan_interval_ms = 100
		worker_poll_ms = 200
		worker_lease_ms = 4000
		worker_pace_ms = ${PACE_MS:-20}
		worker_failed_after_ms = 1500
		claim_lease_ms = 3000
		claim_quiet_ms = 1000
	CONFIG
}

# start_entry NAME: starts an entry host from its configuration.
start_entry() {
	"$BUILD/loomreachd" --config="$DIR/$1.toml" 2>>"$DIR/$1.log" &
	PID[$1]=$!
	wait_for "http://${CALLERS[$1]}/v1/health/ready"
}

# wait_for URL [SECONDS]: until it answers with success.
wait_for() {
	local i
	for i in $(seq 1 $((${2:-20} * 20))); do
		curl -sf -o /dev/null "$1" && return 0
		sleep 0.05
	done
	echo "no answer from $1" >&2
	return 1
}

# ctl WORDS...: the command-line tool against the first entry host, or against the one named in ASK.
ctl() { "$BUILD/loomreachctl" --server="${OPERATORS[${ASK:-$FIRST}]}" "$@"; }

# standin_set QUERY: turns a switch of the stand-in.
standin_set() { curl -sf -o /dev/null "http://127.0.0.1:$BASE/standin/set?$1"; }

# report_field NAME: a figure of the stand-in's report.
report_field() { curl -s "http://127.0.0.1:$BASE/standin/report" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }

# placed_all N: whether at least N replicas are placed.
placed_all() { [ "$(ctl --output=json status | sed -n 's/.*"placements": \([0-9]*\).*/\1/p')" -ge "$1" ]; }

# until_true SECONDS COMMAND...: repeats a command until it succeeds.
until_true() {
	local i limit=$1; shift
	for i in $(seq 1 $((limit * 10))); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "not reached within $limit s: $*" >&2
	return 1
}

# start_deployment SAMPLE ZONE_A ZONE_B: everything, with the sample's settings applied.
start_deployment() {
	DIR=$(mktemp -d)
	choose_ports || return 1
	head -c 24 /dev/urandom | base64 >"$DIR/peer.key"
	start_standin "$1" --reboot_ms="${REBOOT_MS:-1500}" || return 1
	ENTRIES=(entry-a1 entry-a2 entry-b1 entry-b2)
	FIRST=entry-a1
	write_config entry-a1 "$2" 0
	write_config entry-a2 "$2" 1
	write_config entry-b1 "$3" 2
	write_config entry-b2 "$3" 3
	local name
	for name in "${ENTRIES[@]}"; do start_entry "$name" || return 1; done
	until_true 20 ctl settings apply "Samples/$1.toml" && until_true 30 placed_all "${PLACED:-40}"
}

# stop_deployment: ends what was started, by id.
stop_deployment() {
	local name
	for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null; kill -KILL "${PID[$name]}" 2>/dev/null; done
	wait 2>/dev/null
	[ -n "${KEEP_LOGS:-}" ] && echo "logs in $DIR" || rm -rf "$DIR"
}
