#!/usr/bin/env bash
# Ordinary traffic in which each step runs an image of its own, and two bursts of it. Afterwards no job of the pool is started any more.
. "$(dirname "$0")/../common-2.sh"
start_deployment booking billing

SMALL='{"spec":"ms=300 cpu=1000","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300}]}'
NUMBER=0
# mixed: hands in a job of five steps of one task each. Each step has an image of its own, named by its digest (125 characters).
mixed() {
	local step steps="" digest
	NUMBER=$((NUMBER + 1))
	for step in 1 2 3 4 5; do
		digest=$(printf '%064x' $((NUMBER * 5 + step)))
		steps+="${steps:+,}{\"count\":1,\"cpu\":500,\"memMb\":100,\"estimateMs\":100,\"image\":\"registry.kushiro.example/conference/booking/report-writer@sha256:$digest\"}"
	done
	submit $((NUMBER % 6 + 1)) booking "$(printf 'c%015x' $NUMBER)" "{\"spec\":\"ms=100 cpu=500\",\"steps\":[$steps]}" >/dev/null
}
# traffic SECONDS RATE: jobs at a rate for some seconds. RATE: 5 as usual, 13 in a burst.
traffic() {
	local jobs=$(($1 * $2)) begin job left
	begin=$(date +%s%3N)
	for job in $(seq 0 $((jobs - 1))); do
		left=$((begin + job * 1000 / $2 - $(date +%s%3N)))
		[ $left -le 0 ] || sleep "0.$(printf %03d $((left % 1000)))"
		mixed
	done
}
is_done() { ask 1 "$1" "$2"; [ "$ANSWER" = '{"state":"completed"} 200' ]; }
submit 1 booking 0000000000000001 "$SMALL"
within 15 is_done booking 0000000000000001 || cannot_run "a first small job did not complete"

BURST=13
[ "$TROUBLE" = 1 ] || BURST=5
note "traffic: 5 jobs of 5 steps a second for 50 s; in two times 4 s of it $BURST a second"
traffic 21 5
traffic 4 $BURST
traffic 21 5
traffic 4 $BURST
note "$NUMBER jobs were handed in, $(grep -c 'POST /booking/c.*-> 200' "$RECORD") accepted"

sleep 5
for number in 2 3 4 5; do submit "$number" booking "000000000000000$number" "$SMALL"; [ "$STATUS" = 200 ] || cannot_run "a job was not accepted"; done
submit 1 billing 00000000000000b1 "$SMALL"
# finish_s. The pool has 144 cores
MOST=0
END=$((SECONDS + 15))
while [ $SECONDS -lt $END ]; do
	# No task asks for more than one core
	USED=$(($(running_all) * 1000))
	[ "$USED" -le "$MOST" ] || MOST=$USED
	sleep 0.5
done
BROKEN=0
for number in 2 3 4 5; do
	ID=000000000000000$number
	ask 6 booking $ID
	note "job $ID: $(starts $ID) starts in 14 s; at most $MOST of 144000 thousandths of a core were in use"
	[ "$(starts $ID)" != 0 ] || [ "$MOST" -ge 72000 ] || BROKEN=1
done
ask 6 billing 00000000000000b1
note "store: $(tail -n 1 "$DIR/limits.log")"
note "starts at the workers: $(grep -c 'event=fake_start' "$DIR/platform.log"), of them of the traffic: $(grep -c 'event=fake_start .*task=c' "$DIR/platform.log")"
note "broken rules that the stand-in's workers saw: $(report | grep -o '"broken":\[[^]]*\]' | cut -c 1-500)"
note "$(grep -h 'event=append_again' "$DIR"/host-*.log | wc -l) appends repeated, the last: $(grep -h 'event=append_again' "$DIR"/host-*.log | tail -n 1 | grep -o 'event=.*')"
[ $BROKEN = 0 ] && note "held" || note "broken: LOST"
exit $BROKEN
