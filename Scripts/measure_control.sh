#!/usr/bin/env bash
# Measures what control costs with nine real entry hosts in three availability zones over the stand-in: processor time, memory and bytes
# a second of each process, appends a second, idle and in a wave, and the time until new settings are in force on every entry host.
# Usage: measure_control.sh BUILD WORKERS [peers|alone|cut]
#   peers: as it is. alone: the baseline, nobody hears anybody, everybody polls the log and proposes for itself.
#   cut: the entry hosts of one zone never reach the platform, only peers.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=$1
WORKERS=$2
MODE=${3:-peers}
. Scripts/deployment.sh
trap stop_deployment EXIT
DIR=$(mktemp -d)
SECONDS_IDLE=${SECONDS_IDLE:-20}
APPLIES=${APPLIES:-40}

choose_ports || exit 1
# Workers need a block of their own
WORKER_BASE=$((BASE + 40))
[ "$WORKERS" -gt 60 ] && WORKER_BASE=$((10000 + (RANDOM % 16) * 500))
POOLS=$(((WORKERS + 5) / 6))
head -c 24 /dev/urandom | base64 >"$DIR/peer.key"
{
	echo "min_available_percent = 70"
	for i in $(seq 1 $POOLS); do
		echo "[pool.p$i]"; echo "[pool.p$i.job.service-$i]"; echo "replicas = 33"; echo "cpu_milli = 2000"; echo "memory_mb = 256"
	done
} >"$DIR/settings.toml"
for i in $(seq 1 $POOLS); do
	printf '[[host_group]]\npool = "/p%d"\nprefix = "p%d-host"\ncount = 6\navailability_zones = ["z1", "z2", "z3"]\n' "$i" "$i"
done >"$DIR/hosts.toml"
"$BUILD/loomreach-standin" --platform="127.0.0.1:$BASE" --hosts="$DIR/hosts.toml" --worker_port=$WORKER_BASE 2>"$DIR/standin.log" &
PID[standin]=$!
wait_for "http://127.0.0.1:$BASE/standin/report" || exit 1
ENTRIES=()
for i in 0 1 2 3 4 5 6 7 8; do
	name=entry-$i
	ENTRIES+=("$name")
	write_config "$name" "z$((i / 3 + 1))" "$i"
	# The defaults of the product, not the short times of the tests
	sed -i '/_ms = /d' "$DIR/$name.toml"
	if [ "$MODE" = alone ]; then
		head -c 24 /dev/urandom | base64 >"$DIR/$name.key"
		sed -i "s/\"peer.key\"/\"$name.key\"/" "$DIR/$name.toml"
		echo "remove_after_ms = 600000" >>"$DIR/$name.toml"
	fi
	[ "$MODE" = cut ] && [ $i -ge 6 ] && sed -i "s/^platform = .*/platform = \"127.0.0.1:$((BASE + 38))\"/" "$DIR/$name.toml"
done
FIRST=entry-0
for name in "${ENTRIES[@]}"; do start_entry "$name" || exit 1; done
until_true 20 ctl settings apply "$DIR/settings.toml" || exit 1
until_true 90 placed_all $((POOLS * 33 * 9 / 10)) || ctl status
sleep 8

metric() { curl -s "http://${OPERATORS[$1]}/v1/metrics" | awk -v name="$2" '$1 ~ "^" name {sum += $2} END {print sum + 0}'; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }
bytes_of() { echo $(($(metric "$1" loomreach_peer_bytes_total) + $(metric "$1" loomreach_platform_bytes) + $(metric "$1" loomreach_worker_bytes))); }

# phase NAME SECONDS: what each process spends meanwhile.
phase() {
	local name before_cpu=() before_bytes=() i=0 appends; appends=$(report_field appends)
	for name in "${ENTRIES[@]}"; do before_cpu+=("$(cpu_ticks "$name")"); before_bytes+=("$(bytes_of "$name")"); done
	sleep "$2"
	local worst_cpu=0 worst_bytes=0 worst_rss=0 sum_cpu=0 sum_bytes=0
	for name in "${ENTRIES[@]}"; do
		local cpu=$(($(cpu_ticks "$name") - before_cpu[i])) bytes=$((($(bytes_of "$name") - before_bytes[i]) / $2)) rss
		rss=$(awk '/VmRSS/ {print $2}' "/proc/${PID[$name]}/status")
		sum_cpu=$((sum_cpu + cpu)); sum_bytes=$((sum_bytes + bytes))
		[ $cpu -gt $worst_cpu ] && worst_cpu=$cpu; [ $bytes -gt $worst_bytes ] && worst_bytes=$bytes; [ "$rss" -gt $worst_rss ] && worst_rss=$rss
		i=$((i + 1))
	done
	awk -v what="$1" -v s="$2" -v wc=$worst_cpu -v sc=$sum_cpu -v wb=$worst_bytes -v sb=$sum_bytes -v rss=$worst_rss -v a=$(($(report_field appends) - appends)) \
		'BEGIN {printf "%-6s cpu %% of a core: mean %.2f worst %.2f; bytes/s: mean %.0f worst %.0f; memory MB worst %.1f; appends/s %.2f\n", what, sc / s / 9, wc / s, sb / 9, wb, rss / 1024, a / s}'
}

version_of() { curl -s "http://${OPERATORS[$1]}/v1/status" | sed -n 's/.*"settings_version":\([0-9]*\).*/\1/p'; }

# in_force_times: applies settings again and again; prints times in ms until every entry host shows the new version.
in_force_times() {
	local i name position began
	for i in $(seq 1 "$APPLIES"); do
		began=$(date +%s%N)
		position=$(ctl --output=json settings apply "$DIR/settings.toml" | sed -n 's/.*"position":\([0-9]*\).*/\1/p')
		[ -n "$position" ] || { echo failed; continue; }
		for name in "${ENTRIES[@]}"; do while [ "$(version_of "$name")" != "$position" ]; do :; done; done
		echo $((($(date +%s%N) - began) / 1000000))
	done | sort -n | awk '{t[NR] = $1} END {printf "in force everywhere, ms: median %d p99 %d worst %d of %d\n", t[int((NR + 1) / 2)], t[int(NR * 0.99 + 0.5)], t[NR], NR}'
}

echo "== $WORKERS workers, $POOLS pools, $(ctl --output=json status | sed -n 's/.*"placements": \([0-9]*\).*/\1/p') replicas, mode $MODE"
phase idle "$SECONDS_IDLE"
in_force_times
# urgent_times: an urgent service is declared; ms until its first request is answered, and so until its task runs on a worker.
urgent_times() {
	local i began
	for i in $(seq 1 "${URGENT:-10}"); do
		{ cat "$DIR/settings.toml"; printf '[pool.p%d.job.urgent-%d]\npriority = 900\ncpu_milli = 8000\nreplicas = 1\n' $((i % POOLS + 1)) "$i"; } >"$DIR/urgent.toml"
		began=$(date +%s%N)
		ctl settings apply "$DIR/urgent.toml" >/dev/null || { echo failed; continue; }
		until curl -sf -o /dev/null "http://${CALLERS[entry-$((i % 9))]}/v1/services/urgent-$i/x"; do sleep 0.02; done
		echo $((($(date +%s%N) - began) / 1000000))
	done | sort -n | awk '{t[NR] = $1} END {printf "urgent service declared until answered, ms: median %d worst %d of %d\n", t[int((NR + 1) / 2)], t[NR], NR}'
}

if [ "$MODE" = peers ]; then urgent_times; fi
if [ "$MODE" != alone ]; then
	ctl wave start measured >/dev/null
	phase wave "$SECONDS_IDLE"
	ctl wave status measured | head -3
	ctl pool list | awk 'NR > 1 {print $NF}' | sort | uniq -c | sort -rn | head -2
fi
