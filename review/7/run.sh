#!/usr/bin/env bash
# A queue is added, and then gets another name, while the owner of its pool's cell is being replaced. A job that was accepted under the first
# name runs; when the queue moves to another pool, the job is unknown there, and a repeat of it runs a second time.
. "$(dirname "$0")/../common-2.sh"
start_deployment booking billing

SMALL='{"spec":"ms=300 cpu=1000","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300}]}'
JOB=00000000000000c1
is_done() { ask 1 "$1" "$2"; [ "$ANSWER" = '{"state":"completed"} 200' ]; }
submit 1 booking 0000000000000001 "$SMALL"
within 15 is_done booking 0000000000000001 || cannot_run "a first small job did not complete"
OWNER=$(grep -l 'event=runs_planned request=0000000000000001' "$DIR"/host-*.log | head -n 1 | grep -o 'host-[0-9]' | tail -c 2)
[ -n "$OWNER" ] || cannot_run "the owner of the cell is not known"
OTHER=$((OWNER % 6 + 1))

if [ "$TROUBLE" = 1 ]; then
	kill -9 "${PIDS[host-$OWNER]}"; wait "${PIDS[host-$OWNER]}" 2>/dev/null
	note "host-$OWNER, the owner of booking's cell, is killed"
fi
configure 10 booking
is_known() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 -H 'Host: jobs.example' -X PUT "$(url $OTHER)/move/$JOB")" != 404 ]; }
for _ in 1 2 3 4 5 6 7 8; do is_known && break; sleep 0.05; done
submit $OTHER move $JOB "$SMALL"
[ "$STATUS" = 200 ] || cannot_run "the job was not accepted"
sleep 0.33
configure 11 booking q-renamed
[ "$TROUBLE" = 0 ] || start_host "$OWNER"
# The job runs, whichever versions its owner has read
within 15 eval '[ "$(starts $JOB)" -ge 4 ]' || cannot_run "the job did not start"
sleep 2
configure 12 billing q-renamed
# configApplyMs is 2 s, visible_ms 3 s
sleep 8
SHOWN=0
for host in 1 2 3 4 5 6; do ask $host move $JOB; [ "${ANSWER##* }" != 410 ] || SHOWN=410; done
BEFORE=$(starts $JOB)
submit $OTHER move $JOB "$SMALL"
sleep 8
ask $OTHER move $JOB
log_counts
note "starts of the job's 4 tasks: $BEFORE before its repeat, $(starts $JOB) after"
grep -oE 'event=fake_(start|end) .*task='$JOB'.*' "$DIR/platform.log" >>"$RECORD"
cat "$DIR"/host-*.log | grep -E 'event=(record_of_moved_queue|queue_registered|queue_moved|cell_owned)' | sort -k2 | grep -oE '[0-9:.]+ event=.*' | tail -n 40 >>"$RECORD"
BROKEN=0
[ "$(starts $JOB)" = "$BEFORE" ] || { note "broken: TWICE"; BROKEN=1; }
[ $SHOWN != 410 ] || note "an accepted job that nobody has cancelled was answered 410 (LOST)"
[ $BROKEN = 1 ] || note "held"
exit $BROKEN
