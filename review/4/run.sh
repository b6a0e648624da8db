#!/usr/bin/env bash
# A worker crashes that runs 200 small tasks of two jobs. Afterwards no job of its pool is started any more.
. "$(dirname "$0")/../common-2.sh"
start_deployment booking billing

SMALL='{"spec":"ms=300 cpu=1000","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300}]}'
LARGE='{"spec":"ms=8000 cpu=75","steps":[{"count":100,"cpu":75,"memMb":100,"estimateMs":8000}]}'
is_done() { ask 1 "$1" "$2"; [ "$ANSWER" = '{"state":"completed"} 200' ]; }
submit 1 booking 0000000000000001 "$SMALL"
within 15 is_done booking 0000000000000001 || cannot_run "a first small job did not complete"

submit 2 booking 00000000000000a1 "$LARGE"
submit 3 booking 00000000000000a2 "$LARGE"
all_run() { [ "$(running 00000000000000a1)" = 100 ] && [ "$(running 00000000000000a2)" = 100 ]; }
within 5 all_run || cannot_run "the tasks of the two jobs did not start"
sleep 1
HOST=$(report | sed 's/.*"running":{\([^}]*\)}.*/\1/' | grep -o ':"m[0-9]*"' | sort | uniq -c | sort -rn | head -n 1)
WORKER=$(grep -o 'm[0-9]*' <<<"$HOST")
if [ "$TROUBLE" = 1 ]; then
	curl -s -X PUT "$CONTROL/crash/$WORKER" >/dev/null
	note "crash of one of nine workers of the pool, $WORKER, which ran$(cut -d: -f1 <<<"$HOST")tasks; the next one starts within 2.5 s"
fi

# The next worker is up after 2.5 s. contactMs (3 s) later everything counts as calm again, and 4 s more must have been so
sleep 10
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
for number in 1 2; do ask 5 booking 00000000000000a$number; note "job 00000000000000a$number: $(starts 00000000000000a$number) starts, $(running 00000000000000a$number) tasks running"; done
ask 6 billing 00000000000000b1
log_counts
note "$(grep -h 'event=append_again' "$DIR"/host-*.log | wc -l) appends repeated, the last: $(grep -h 'event=append_again' "$DIR"/host-*.log | tail -n 1 | grep -o 'event=.*')"
[ $BROKEN = 0 ] && note "held" || note "broken: LOST"
exit $BROKEN
