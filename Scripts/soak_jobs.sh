#!/usr/bin/env bash
# A randomised soak of real processes: three entry hosts, each behind its own proxy to the platform's stand-in. The seed decides what goes wrong:
# a host's way to the store is delayed, cut, silent or open one way, or its open connections fall silent for good; processes are killed, frozen,
# stopped, suspended and started again; the store turns all away, is silent or loses answers; workers fall silent, carry orders out late, or cut a start and
# refuse its repeat, crash, start again under their ids (also in series) or have less room for a while; tasks crash each worker that starts them; several at once. Jobs go on coming in. Then
# calm: everything accepted must end well, but for the jobs whose tasks crash their workers: they must be given up. Of the others none may be,
# no rule may have been broken (the stand-in's workers judge), and no invariant.
# Usage: soak_jobs.sh BUILD SEED [SECONDS] [KINDS] [CALLERS] [ENTRIES]. KINDS faults are drawn from, all 19 by default, or those of a list as in 8,14,18 (19: none); with 18 no queue moves; with 17 no worker starts again under its
# id, with 14 there are no suspended hosts, crashes and shrinking room either, and a seed means what it did before these were there. The seed repeats the order of faults, not the processes' timing.
# CALLERS: "cancels": the callers keep their connections open, and cancel most of their jobs, at moments of the seed's choice; some jobs last until
# then. "peaks": also, every other 4 s five times as many jobs come, cancels come at the peak, and workers leave as planned. Nothing may start or run long after its
# cancel (the stand-in judges, RequestLedger.h). ENTRIES: entry hosts, 3 to 6. Environment: ENTRY_BUILD: folder of their program, if not BUILD;
# KEPT: folder for the logs of a run that failed; VERBOSE: print the stand-in's report.
set -u
cd "$(dirname "$0")/.." || exit 1
. Scripts/ports.sh
BUILD=$1
SEED=$2
LENGTH=${3:-25}
KINDS=${4:-19}
CALLERS=${5:-}
COUNT=${6:-3}
ENTRIES=$(seq 1 "$COUNT")
OLD_KINDS=14
case $KINDS in
*,*) IFS=, read -ra DRAWN <<<"$KINDS" ;;
*) read -ra DRAWN <<<"$(seq -s ' ' 0 $((KINDS - 1)))" ;;
esac
KEPT=${KEPT:-/tmp/loomreach-soak}
# What plays suspended machines has a clock of its own
[ "$KINDS" = $OLD_KINDS ] && PROGRAM=loomreachd || PROGRAM=loomreachd-suspendable
RANDOM=$SEED
DIR=$(mktemp -d)
declare -A PIDS

finish() {
	local pid
	for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -9 "$pid" 2>/dev/null; done
	rm -rf "$DIR"
}
trap finish EXIT

within() {
	local end=$((SECONDS + $1)); shift
	until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.2; done
}

base() { echo $((PORT + 30 + $1 * 10)); }
start_entry() {
	local base
	base=$(base "$1")
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
	echo 0 >"$DIR/e$1.suspended"
	LOOM_SUSPENDED_MS="$DIR/e$1.suspended" LOOM_JOBS="$DIR/e$1.toml" "${ENTRY_BUILD:-$BUILD}/$PROGRAM" --jobs_config_env=LOOM_JOBS >>"$DIR/e$1.log" 2>&1 &
	PIDS[e$1]=$!
}
start_proxy() {
	local base
	base=$(base "$1")
	"$BUILD/loomreach-proxy" --port=$((base + 4)) --to=$PORT >>"$DIR/proxy.log" 2>&1 &
	PIDS[p$1]=$!
}
way() { echo -n "$2" >"/dev/udp/127.0.0.1/$(($(base "$1") + 5))"; }
report() { curl -s --max-time 5 "$CONTROL/report"; }
orders() { curl -s --max-time 5 -X PUT "$CONTROL/orders/$1" >/dev/null; }
fault() { curl -s --max-time 5 -X PUT "$CONTROL/fault/$1" >/dev/null; }
call() { curl -s --max-time 5 -H 'Host: jobs.example' "$@"; }

# Another block of ports if something listens there.
start_platform() {
	claim_ports "$1" || return 1
	CONTROL="http://127.0.0.1:$((PORT + 2))"
	"$BUILD/loomreach-platform" --port=$PORT --seed="$SEED" >"$DIR/platform.log" 2>&1 &
	PIDS[platform]=$!
	answers() { report >/dev/null || ! kill -0 "${PIDS[platform]}" 2>/dev/null; }
	within 30 answers
	kill -0 "${PIDS[platform]}" 2>/dev/null && return
	cat "$DIR/platform.log"
	return 1
}
start_platform 1 || start_platform 2 || start_platform 3 || { echo "stand-in did not start"; exit 1; }
for number in $ENTRIES; do start_proxy $number; done
for number in $ENTRIES; do start_entry $number; done
# configure VERSION [POOL]: the queue of the jobs in this pool; without one there is no such queue.
configure() {
	local queue=""
	[ -n "${2:-}" ] && queue='{"name":"q-fast","host":"jobs.example","pathPrefix":"/fast/","service":"'"$2"'","maxAttempts":4,"stretch":1.6,"targetLatencyMs":600}'
	curl -s --max-time 5 -X PUT "$CONTROL/operator/config" -d '{"version":'"$1"',"routes":['"$queue"'],
	 "services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}' >/dev/null
}
configure 3 fast
BEGAN=$(date +%s%3N)
# move POOL SECONDS: moves the queue, with an even number of tenths after a while without it.
move() {
	[ $((10#$(tr -d . <<<"$2") % 2)) = 1 ] || { configure $(($(date +%s%3N) - BEGAN + 10)); sleep "$2"; }
	configure $(($(date +%s%3N) - BEGAN + 10)) "$1"
}
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://127.0.0.1:$(($(base "$1") + 1))/ready")" = 200 ]; }
all_ready() { local number; for number in $ENTRIES; do ready $number || return 1; done; }
within 30 all_ready || { echo "seed $SEED: entry hosts did not become ready"; exit 1; }

# submit ID ENTRY: a job; notes what the caller was told.
submit() {
	local body="{\"spec\":\"ms=$3 cpu=1000${5:-}\",\"steps\":[{\"count\":$4,\"cpu\":1000,\"memMb\":100,\"estimateMs\":300}]}"
	if [ -n "$CALLERS" ]; then
		ask POST "$2" "$1" 5000 "$body"
	else
		STATUS=$(call -o /dev/null -w '%{http_code}' -X POST "http://127.0.0.1:$(base "$2")/fast/$1" -d "$body")
	fi
	echo "$1 $STATUS" >>"$DIR/told"
}

# ask METHOD ENTRY ID LIMIT_MS [BODY]: sets STATUS to what a caller with kept connections is told, 0 if it leaves before an answer.
ask() { STATUS=$(curl -s --max-time 30 -X PUT "$CONTROL/call/$1/$(base "$2")/$4/fast/$3" -d "${5:-}"); }
# cancel ID ENTRY...: at one host after the other, until one has taken it.
cancel() {
	local id=$1 number; shift
	for number in "$@"; do
		ask DELETE "$number" "$id" 1500
		[ "${STATUS:0:1}" != 2 ] || { echo "$id" >>"$DIR/canceled"; return; }
	done
}
# live ID ENTRY OTHER PLAN WAIT_MS BODY: a job from its submission to its cancel.
live() {
	local id=$1 limit=5000
	# Leaves its first host, which may not have answered by then
	[ "$4" != 1 ] && [ "$4" != 6 ] || limit=$((30 + $5 / 10))
	ask POST "$2" "$id" $limit "$6"
	local told=$STATUS
	echo "$id $STATUS" >>"$DIR/told"
	case $4 in
	0) return ;;
	1 | 2 | 6) ;; # At once
	*) sleep $(($5 / 1000)).$(printf %03d $(($5 % 1000))) ;;
	esac
	cancel "$id" "$3" "$2" $ENTRIES
	case $4 in
	4) cancel "$id" "$2" ;; # Again, at another host
	5) [ "$told" != 200 ] || ask POST "$3" "$id" 5000 "$6" ;; # The submission comes again
	esac
}
# come ENTRY: a job of the seed's choice. Its id says how it must end: 0: completed; e: cancelled, unless it ends before; d: cancelled, since it lasts.
come() {
	local plan=$((RANDOM % 7)) wait=$((RANDOM % 4000)) count=$((RANDOM % 4 + 1)) spec="ms=$((RANDOM % 800 + 50))" other=$((RANDOM % COUNT + 1)) ends=e lasting=""
	# What lasts either runs until it is cancelled, or fails and is started again until then
	case $((plan ? RANDOM % 3 : 3)) in
	0) ends=d spec=lasts lasting=',"longRunning":true' ;;
	1) ends=d spec="fail $spec" lasting=',"longRunning":true' ;;
	3) ends=0 ;;
	esac
	[ $((wait % 3)) != 0 ] || { spec+=" saves" lasting+=',"checkpointing":true'; }
	ID=$((ID + 1))
	live "$(printf '%s%015x' $ends $ID)" "$1" "$other" $plan $wait \
		"{\"spec\":\"$spec cpu=500\",\"steps\":[{\"count\":$count,\"cpu\":500,\"memMb\":100,\"estimateMs\":300$lasting}]}" & STRIKES+=($!)
}

# millis SECONDS: of a number with one decimal.
millis() { echo $((10#$(tr -d . <<<"$1") * 100)); }
put() { curl -s --max-time 5 -X PUT "$CONTROL/$1" >/dev/null; }

# suspend ENTRY SECONDS: its machine is suspended, for its clocks too. A process that goes on before that would see time go back, so that
# a host is suspended or frozen by one fault at a time.
suspend() {
	local pid=${PIDS[e$1]} file="$DIR/e$1.suspended"
	kill -STOP "$pid" 2>/dev/null
	sleep "$2"
	# Another process may be in its place by now: to that one nothing happened
	kill -0 "$pid" 2>/dev/null && echo $(($(cat "$file") + $(millis "$2"))) >"$file"
	kill -CONT "$pid" 2>/dev/null
}

freeze() { kill -STOP "$1" 2>/dev/null; sleep "$2"; kill -CONT "$1" 2>/dev/null; }
# stop_alone ENTRY COMMAND...: unless the host is suspended, or for a suspension: unless another one stops it.
stop_alone() {
	local held="$DIR/e$1.held" how=-x; shift
	[ "$1" != freeze ] || how=-s
	exec 9>"$held"
	flock $how -n 9 && "$@"
	exec 9>&-
}

# scope KIND: what a fault affects, as the stand-in names it.
scope() {
	case $1 in
	[4-6]) echo store ;;
	7 | 11 | 12 | 15 | 16 | 17) echo workers ;;
	18) echo config ;;
	*) echo entry ;;
	esac
}
# strike ENTRY KIND SECONDS: lets the stand-in know of a fault, for what it excuses.
strike() {
	[ "$2" -lt 19 ] || return
	[ -z "$CALLERS" ] || put "trouble/$(scope $2)"
	do_strike "$@"
	[ -z "$CALLERS" ] || put "calm/$(scope $2)"
}
# One fault of the seed's choice on entry host $1, ended by itself; they overlap.
do_strike() {
	local number=$1 kind=$2 length=$3 pid length_ms
	length_ms=$(millis "$3")
	case $kind in
	0) way "$number" delay; sleep "$length"; way "$number" pass ;;
	1) way "$number" reset; sleep "$length"; way "$number" pass ;;
	2) way "$number" silent; sleep "$length"; way "$number" pass ;;
	3) way "$number" oneway; sleep "$length"; way "$number" pass ;;
	4) fault busy; sleep "$length"; fault none ;;
	5) fault lost; sleep "$length"; fault none ;;
	6) fault silent; sleep "$length"; fault none ;;
	7) curl -s -X PUT "$CONTROL/dark/m$number" >/dev/null; sleep "$length"; curl -s -X PUT "$CONTROL/light/m$number" >/dev/null ;;
	11) orders late; sleep "$length"; orders none ;;
	12) orders repeat; sleep "$length"; orders none ;;
	8) pid=${PIDS[e$number]}; stop_alone "$number" freeze "$pid" "$length" ;;
	14) stop_alone "$number" suspend "$number" "$length" ;;
	15) put "crash/m$number" ;;
	17) for gap in 20 150 600; do put "again/m$number/$((gap + length_ms / 40))"; sleep "0.$((length_ms % 7 + 2))"; done ;;
	16) put "room/m$number/$((length_ms * 3 + 2000))"; sleep "$length"; put "room/m$number/0" ;;
	18) case $number in 3) move fast "$length" ;; *) move slow "$length" ;; esac ;;
	13) way "$number" mute ;; # Connections that are open now, for good
	esac
}

ID=0
END=$((SECONDS + LENGTH))
STRIKES=()
ROUND=0
while [ $SECONDS -lt $END ]; do
	number=$((RANDOM % COUNT + 1))
	kind=${DRAWN[RANDOM % ${#DRAWN[@]}]}
	length=$((RANDOM % 4)).$((RANDOM % 10))
	case $kind in
	9 | 10)
		[ -z "$CALLERS" ] || put trouble/entry
		kill -$([ $kind = 9 ] && echo KILL || echo TERM) "${PIDS[e$number]}"; wait "${PIDS[e$number]}" 2>/dev/null; start_entry $number
		[ -z "$CALLERS" ] || put calm/entry
		;;
	*) strike $number $kind $length & STRIKES+=($!) ;;
	esac
	peak=""
	if [ "$CALLERS" = peaks ]; then
		[ $((ROUND++ / 4 % 2)) = 0 ] || peak="1 2 3 4 5 6 7 8"
		[ $((RANDOM % 3)) != 0 ] || put "leave/m$((RANDOM % 3))/$((RANDOM % 3000 + 500))"
	fi
	for _ in 1 2 3; do
		if [ -n "$CALLERS" ]; then
			# Every other caller goes to the host at which the fault is
			for _ in 1 2 $peak; do come $((RANDOM % 2 ? number : RANDOM % COUNT + 1)); done
		else
			ID=$((ID + 1))
			submit "$(printf '%016x' $ID)" $((RANDOM % 3 + 1)) $((RANDOM % 800 + 50)) $((RANDOM % 4 + 1)) & STRIKES+=($!)
		fi
		sleep 0.3
	done
	# Now and then one whose tasks crash each worker that starts them, at once or a little later
	[ "$KINDS" != $OLD_KINDS ] && [ $((RANDOM % 5)) = 0 ] || continue
	ID=$((ID + 1))
	submit "$(printf 'c%015x' $ID)" $((RANDOM % 3 + 1)) 3000 1 " crash=$((RANDOM % 80))" & STRIKES+=($!)
done
wait "${STRIKES[@]}"

# Calm
configure $(($(date +%s%3N) - BEGAN + 10)) fast
fault none
orders none
for number in $ENTRIES; do
	way $number pass
	curl -s -X PUT "$CONTROL/light/m$number" >/dev/null
	put "room/m$number/0"
	kill -CONT "${PIDS[e$number]}" 2>/dev/null
	kill -0 "${PIDS[e$number]}" 2>/dev/null || start_entry $number
done
FAILED=0
fail() { FAILED=1; echo "seed $SEED: $*"; }
within 40 all_ready || fail "entry hosts are not ready again"
# What lasts is cancelled, unless nobody has taken it. Then a stretch without faults after which nothing of a cancelled job may be there
touch "$DIR/canceled"
while read -r id status; do
	[ "${id:0:1}" = d ] && [ "$status" != 503 ] && [ "$status" != 429 ] && [ "$status" != 404 ] || continue
	is_canceled() { grep -q "$id" "$DIR/canceled" || { cancel "$id" $ENTRIES; [ "$STATUS" = 410 ]; }; }
	within 30 is_canceled || fail "job $id could not be cancelled: $STATUS"
done <"$DIR/told"
[ -z "$CALLERS" ] || sleep 5
state_of() { call "http://127.0.0.1:$(base 1)/fast/$1"; }
STUCK=""
is_gone() { ! state_of "$1" | grep -q 'queued\|running'; }
while read -r id; do
	within $((FAILED ? 2 : 30)) is_gone "$id" || { STUCK+="$id "; fail "job $id was cancelled and is still there: $(state_of "$id")"; }
done <"$DIR/canceled"
is_over() {
	local state=completed
	case $1 in
	c*) state=failed ;;
	d*) state=canceled ;;
	e*) state='completed\|canceled' ;;
	esac
	state_of "$1" | grep -q "$state"
}
ACCEPTED=0
while read -r id status; do
	[ "$status" = 200 ] && ! grep -q "$id" <<<"$STUCK" || continue
	ACCEPTED=$((ACCEPTED + 1))
	within 60 is_over "$id" || fail "job $id was accepted and did not end as it should: $(state_of "$id")"
done <"$DIR/told"
# A refusal that says "not taken" must be true. An owner that has only just taken over says 503 until it is sure
is_sure() { SAYS=$(call -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(base 1)/fast/$1"); [ "$SAYS" = 410 ] || [ "$SAYS" = 200 ]; }
while read -r id status; do
	[ "$status" = 503 ] || [ "$status" = 429 ] || continue
	within 30 is_sure "$id" || fail "nobody is sure about job $id: $SAYS"
	[ "$SAYS" = 410 ] || fail "job $id was refused with $status and is known"
done <"$DIR/told"
report | grep -q '"broken":\[\]' || fail "broken: $(report)"
for number in $ENTRIES; do
	curl -s --max-time 5 "http://127.0.0.1:$(($(base $number) + 3))/metrics" | grep -q 'loomreach_broken_invariants 0' || fail "an invariant on entry host $number"
done
# A killed process takes its last lines with it: what hangs on these can be neither passed nor failed
"$BUILD/loomreach-logcheck" "$DIR"/e[1-6].log >"$DIR/logcheck.txt"
case $? in
0) ;;
2) echo "seed $SEED: the logs could not be checked:"; cat "$DIR/logcheck.txt" ;;
*) fail "the logs show it: $(cat "$DIR/logcheck.txt")" ;;
esac
[ $FAILED = 0 ] || { mkdir -p "$KEPT"; cp -r "$DIR" "$KEPT/seed-$SEED"; echo "logs kept in $KEPT/seed-$SEED"; }
[ -z "${VERBOSE:-}" ] || echo "seed $SEED: $(report) ends handed in: $(cat "$DIR"/e[1-6].log | grep -c event=ends_handed_in)"
echo "seed $SEED: $ACCEPTED of $ID jobs accepted, $([ $FAILED = 0 ] && echo passed || echo failed)"
exit $FAILED
