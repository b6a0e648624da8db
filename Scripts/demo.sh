#!/usr/bin/env bash
# Shows the main job on the embedded stand-in: installs, builds, starts a deployment, sends requests, runs a maintenance wave.
# Usage: demo.sh [msafiri|kushiro]
set -u
cd "$(dirname "$0")/.." || exit 1
Scripts/install.sh && Scripts/build.sh >/dev/null || exit 1
BUILD=build/release
SAMPLE=${1:-msafiri}
case $SAMPLE in
	msafiri) ZONES="ke-mombasa-1 ke-nairobi-1"; SHORT=price-basket; ONCE=settle-card; LONG=reserve-stock; POOL=/msafiri/stock ;;
	kushiro) ZONES="hk-kushiro-1 hk-nemuro-1"; SHORT=book-call; ONCE=bill-call; LONG=call-leg; POOL=/kushiro/bridge ;;
	*) echo "usage: demo.sh [msafiri|kushiro]" >&2; exit 2 ;;
esac
. Scripts/deployment.sh
trap stop_deployment EXIT
echo "== Starting the stand-in (platform and 50 workers) and two entry hosts in each of two availability zones"
# shellcheck disable=SC2086
start_deployment "$SAMPLE" $ZONES || exit 1
ctl pool list
echo; echo "== One request through each entry host"
for entry in "${ENTRIES[@]}"; do
	printf '%s: ' "$entry"; curl -s "http://${CALLERS[$entry]}/v1/services/$SHORT/x?echo=answered-through-$entry"
done
echo; echo "== A request that may not be repeated, sent with one issued id through all four entry hosts"
ID=$(curl -s -X POST "http://${CALLERS[entry-a1]}/v1/ids" | sed 's/.*\["\(.*\)"\].*/\1/')
for entry in "${ENTRIES[@]}"; do
	curl -s -o /dev/null -X POST -d x -H "Idempotency-Key: $ID" -w "$entry: status %{http_code}\n" "http://${CALLERS[$entry]}/v1/services/$ONCE/x"
done
echo "Ids that began twice, by the endpoints' own count: $(report_field ids_begun_twice)"
echo; echo "== A change of settings, until it is in force everywhere"
ctl --wait settings apply "Samples/$SAMPLE.toml"
echo; echo "== A maintenance wave over $POOL while long requests are in flight"
for i in 1 2 3; do curl -s -X POST -d x "http://${CALLERS[entry-a1]}/v1/services/$LONG/x?work_ms=4000&echo=long-request-$i-whole" & CALLS[i]=$!; done
sleep 0.3
ctl --pool="$POOL" wave start demo-wave
timeout 90 "$BUILD/loomreachctl" --server="${OPERATORS[$FIRST]}" --follow wave status demo-wave
wait "${CALLS[@]}"
echo "Requests that the wave cut, by the workers' own count: $(report_field cut)"
echo; echo "== Status"
ctl status
