#!/usr/bin/env bash
# The whole path with real processes under faults: stand-in, four entry hosts in two availability zones, the command-line tool.
# Usage: test_processes.sh BUILD. No check depends on timing beyond generous limits. Prints one line a check.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build/release}
. Scripts/deployment.sh
trap stop_deployment EXIT
PASSED=0
FAILED=0

# check NAME COMMAND...: runs a check and counts it.
check() {
	local name=$1; shift
	if "$@"; then PASSED=$((PASSED + 1)); echo "passed: $name"; else FAILED=$((FAILED + 1)); echo "FAILED: $name"; fi
}

# exits_with CODE COMMAND...
exits_with() { local want=$1; shift; "$@" >"$DIR/out" 2>&1; local got=$?; [ $got = "$want" ] || { echo "exit code $got, expected $want"; cat "$DIR/out"; false; }; }

# service ENTRY SERVICE QUERY [curl flags]: body of an answer.
service() { local entry=$1 name=$2 query=$3; shift 3; curl -s --max-time 20 "$@" "http://${CALLERS[$entry]}/v1/services/$name/work?$query"; }

# raw_status ENTRY BYTES: status of the answer to bytes that no client library would send.
raw_status() {
	local address=${CALLERS[$1]}
	exec 7<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
	printf "$2" >&7
	local line; IFS= read -r -t 5 line <&7
	exec 7>&- 7<&-
	echo "$line" | sed -n 's/^HTTP\/1.[01] \([0-9]*\).*/\1/p'
}

# header NAME FILE: value of an answer's header.
header() { sed -n "s/^$1: \(.*\)\r$/\1/pI" "$2" | tail -1; }

new_id() { curl -s -X POST "http://${CALLERS[$1]}/v1/ids" | sed 's/.*\["\(.*\)"\].*/\1/'; }

start_deployment msafiri ke-mombasa-1 ke-nairobi-1 || { echo "deployment did not start"; exit 1; }

# --- The path
each_entry_answers() {
	local entry
	for entry in "${ENTRIES[@]}"; do
		[ "$(service "$entry" price-basket "echo=from-$entry")" = "echo=from-$entry" ] || return 1
	done
}
check "a request through each entry host brings its own whole answer" each_entry_answers

not_through_callers() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' "http://${CALLERS[entry-a1]}/v1/status")" = 404 ] &&
		[ "$(curl -s -o /dev/null -w '%{http_code}' -X POST "http://${CALLERS[entry-a1]}/v1/hosts/pay-0/drain")" = 404 ]
}
check "operators' calls are not to be had through the callers' listener" not_through_callers

large_answer_whole() { [ "$(service entry-b1 price-basket "size=5000000" | wc -c)" = 5000006 ]; }
check "an answer of 5 MB comes whole" large_answer_whole

broken_answer_not_whole() {
	service entry-a1 settle-card "break=yes&size=100" -X POST -d x -D "$DIR/head" >/dev/null
	[ "$(header Loomreach-Outcome "$DIR/head")" = unknown ] || return 1
	service entry-a1 settle-card "break=yes&size=300000" -X POST -d x >/dev/null
	[ $? = 18 ] || [ $? = 56 ]
}
check "an answer that breaks off is never passed on as whole" broken_answer_not_whole

bad_requests() {
	local code
	code=$(service entry-a1 price-basket "" -o /dev/null -w '%{http_code}' -H 'Loomreach-Deadline-Ms: soon'); [ "$code" = 400 ] || return 1
	code=$(raw_status entry-a1 'POST /v1/services/price-basket/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'); [ "$code" = 400 ] || return 1
	code=$(raw_status entry-a1 'POST /v1/services/price-basket/x HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n'); [ "$code" = 400 ] || return 1
	code=$(raw_status entry-a1 'POST /v1/services/price-basket/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde'); [ "$code" = 400 ] || return 1
	code=$(raw_status entry-a1 'nonsense\r\n\r\n'); [ "$code" = 400 ] || return 1
	local body; body=$(head -c 3000000 /dev/zero | service entry-a1 price-basket "" -X POST -T - -H 'Expect:'); [ -z "$body" ] || return 1
	code=$(head -c 3000000 /dev/zero | service entry-a1 price-basket "" -o /dev/null -w '%{http_code}' -X POST --data-binary @- -H 'Expect:'); [ "$code" = 413 ] || return 1
	code=$(service entry-a1 no-such "" -o /dev/null -w '%{http_code}'); [ "$code" = 404 ]
}
check "bad headers, two lengths, oversized bodies and unknown services get a clear error" bad_requests

open_requests() { ctl --output=json status | sed -n 's/.*"open_requests": \([0-9]*\).*/\1/p'; }
nothing_open() { [ "$(open_requests)" = 0 ]; }
gone_callers_leave_nothing() {
	local i
	for i in $(seq 1 12); do
		# In the middle of a streamed answer, of a queued wait, and of the endpoint's work; repeatable and not
		curl -s --max-time 0.4 --limit-rate 20k -o /dev/null "http://${CALLERS[entry-a1]}/v1/services/price-basket/x?size=3000000" &
		curl -s --max-time 0.4 --limit-rate 20k -o /dev/null -X POST -d x "http://${CALLERS[entry-a1]}/v1/services/settle-card/x?size=3000000" &
		curl -s --max-time 0.4 -o /dev/null "http://${CALLERS[entry-a1]}/v1/services/price-basket/x?work_ms=1500" &
		curl -s --max-time 0.4 -o /dev/null -X POST -d x "http://${CALLERS[entry-a1]}/v1/services/settle-card/x?work_ms=1500" &
	done
	sleep 1
	until_true 15 nothing_open && each_entry_answers
}
check "callers that go away in the middle leave nothing open" gone_callers_leave_nothing

# --- Ids
issued_id_once() {
	local id entry; id=$(new_id entry-b1)
	for entry in "${ENTRIES[@]}"; do service "$entry" settle-card "echo=once" -X POST -d x -H "Idempotency-Key: $id" >"$DIR/answer"; done
	[ "$(cat "$DIR/answer")" = "echo=once" ] || return 1
	curl -s "http://127.0.0.1:$BASE/standin/report" | grep -q "\"settle-card/$id\":1[,}]"
}
check "an issued id sent to every entry host begins once and is answered everywhere" issued_id_once

own_id_answer() { [ "$(service "$1" settle-card "echo=own" -X POST -d x -H "Idempotency-Key: own-1")" = "echo=own" ]; }
own_id_once() {
	local entry
	until_true 30 own_id_answer entry-a2 || return 1
	for entry in "${ENTRIES[@]}"; do until_true 10 own_id_answer "$entry" || return 1; done
	curl -s "http://127.0.0.1:$BASE/standin/report" | grep -q '"settle-card/own-1":1[,}]'
}
check "a caller's own id sent to every entry host begins once" own_id_once

forged_id() { [ "$(service entry-a1 settle-card "" -o /dev/null -w '%{http_code}' -X POST -d x -H 'Idempotency-Key: lr1-0000000000000001-1-000000000000')" = 400 ]; }
check "a forged issued id is refused" forged_id

# --- Operators
operators_race() {
	local version; version=$(ctl --output=json settings show | sed -n 's/.*"version": \([0-9]*\).*/\1/p')
	ctl --base_version="$version" settings apply Samples/msafiri.toml >/dev/null || return 1
	sed 's/priority = 900/priority = 800/' Samples/msafiri.toml >"$DIR/second.toml"
	exits_with 7 ctl --base_version="$version" settings apply "$DIR/second.toml"
}
check "of two operators at one version the second gets conflict" operators_race

bad_settings() {
	printf 'priority = 3000\n' >"$DIR/bad.toml"
	exits_with 4 ctl settings apply "$DIR/bad.toml" && grep -q 'bad.toml:1:12' "$DIR/out" && exits_with 4 ctl settings check "$DIR/bad.toml"
}
check "bad settings are refused with file, line and column" bad_settings

in_force() { ctl --wait --timeout_ms=15000 settings apply Samples/msafiri.toml | grep -q 'In force on 4 entry hosts'; }
check "accepted settings are in force on every entry host" in_force

explains() {
	ctl settings explain /msafiri/payment/settle-card | grep -Eq '^min_available_percent +70 +/msafiri ' &&
		ctl settings diff "$DIR/second.toml" | grep -q '/msafiri/payment/settle-card  priority: 900 -> 800' &&
		ctl job why /msafiri/payment/settle-card | grep -q '10 of 10 replicas'
}
check "explain, diff and why answer" explains

bad_config() {
	sed 's/heartbeat_ms = .*/heartbeat_ms = 1/' "$DIR/entry-a1.toml" >"$DIR/bad-entry.toml"
	exits_with 3 "$BUILD/loomreachd" --config="$DIR/bad-entry.toml" --check_config && grep -q 'bad-entry.toml:9:16' "$DIR/out" || return 1
	exits_with 3 "$BUILD/loomreachd" --config="$DIR/entry-a1.toml" && grep -qi 'address' "$DIR/out" || return 1
	exits_with 3 "$BUILD/loomreachd" && exits_with 0 "$BUILD/loomreachd" --config="$DIR/entry-a1.toml" --check_config
}
check "a bad configuration and an address in use end with exit code 3" bad_config

token_wanted() {
	echo secret-token >"$DIR/token"
	sed -e "s/:$((BASE + 1))\"/:$((BASE + 31))\"/; s/:$((BASE + 2))\"/:$((BASE + 32))\"/; s/^peers.*/peers = \"127.0.0.1:$((BASE + 33))\"/; s/entry-a1/entry-t/" \
		"$DIR/entry-a1.toml" >"$DIR/entry-t.toml"
	echo 'operators_token_file = "token"' >>"$DIR/entry-t.toml"
	CALLERS[entry-t]="127.0.0.1:$((BASE + 31))"; OPERATORS[entry-t]="127.0.0.1:$((BASE + 32))"
	start_entry entry-t || return 1
	ASK=entry-t exits_with 5 ctl status && ASK=entry-t exits_with 0 ctl --token_file="$DIR/token" status || return 1
	kill -TERM "${PID[entry-t]}" && wait "${PID[entry-t]}"
}
check "operators must show the token where one is configured, and a planned stop ends well" token_wanted

# --- Planned stops
stop_waits() {
	service entry-b2 reserve-stock "work_ms=5000&echo=held" -X POST -d x >"$DIR/held" &
	local caller=$!
	sleep 1
	kill -TERM "${PID[entry-b2]}"
	wait $caller
	[ "$(cat "$DIR/held")" = "echo=held" ] || return 1
	wait "${PID[entry-b2]}"
	[ $? = 0 ] && start_entry entry-b2
}
check "SIGTERM waits for a request in flight, which ends whole" stop_waits

wave_cuts_nothing() {
	local before i; before=$(report_field cut)
	for i in 1 2 3 4; do service entry-a1 reserve-stock "work_ms=4000&echo=$i" -X POST -d x >"$DIR/hold-$i" & done
	sleep 0.5
	ctl --pool=/msafiri/stock wave start stock-wave >/dev/null || return 1
	timeout 60 "$BUILD/loomreachctl" --server="${OPERATORS[entry-a1]}" --follow wave status stock-wave >"$DIR/wave" || { ctl wave status stock-wave; return 1; }
	for i in 1 2 3 4; do [ "$(cat "$DIR/hold-$i")" = "echo=$i" ] || return 1; done
	[ "$(report_field cut)" = "$before" ] && tail -1 "$DIR/wave" | grep -q '10 of 10 hosts done'
}
check "a maintenance wave takes every host once and cuts no request" wave_cuts_nothing

budget_holds() {
	local i refused=0
	for i in $(seq 0 9); do ctl host drain "price-$i" >/dev/null 2>"$DIR/err" || grep -q budget-exceeded "$DIR/err" && refused=$((refused + 0)); done
	local available; available=$(ctl --output=json pool show /msafiri/pricing | sed -n 's/.*"available": \([0-9]*\).*/\1/p')
	for i in $(seq 0 9); do ctl host undrain "price-$i" >/dev/null 2>&1; done
	[ "$available" = 7 ]
}
check "drains stop at the availability budget" budget_holds

leaving_gets_nothing() {
	curl -s -o /dev/null "http://127.0.0.1:$BASE/standin/worker?name=slip-0&action=leave"
	sleep 3
	local before i; before=$(report_field refused_unwanted)
	for i in $(seq 1 40); do service entry-a1 collection-slip "" >/dev/null; done
	local after; after=$(report_field refused_unwanted)
	curl -s -o /dev/null "http://127.0.0.1:$BASE/standin/worker?name=slip-0&action=stay"
	[ "$before" = "$after" ]
}
check "a host that says that it is leaving is sent nothing 3 s later" leaving_gets_nothing

# --- Platform outage
serves_without_platform() {
	standin_set down=1
	each_entry_answers || return 1
	sleep 9
	each_entry_answers && exits_with 10 ctl settings apply Samples/msafiri.toml || return 1
	# A new process takes the state from a peer
	kill -KILL "${PID[entry-a2]}"
	start_entry entry-a2 || return 1
	[ "$(service entry-a2 price-basket "echo=cold")" = "echo=cold" ] || return 1
	standin_set down=0
	until_true 20 ctl settings apply Samples/msafiri.toml
}
check "without the platform everybody serves, changes are refused, and a new process starts from a peer" serves_without_platform

version_of() { curl -s "http://${OPERATORS[$1]}/v1/status" | sed -n 's/.*"settings_version":\([0-9]*\).*/\1/p'; }
same_version() { [ -n "$(version_of "$1")" ] && [ "$(version_of "$1")" = "$(version_of "$2")" ]; }
current_through_peers() {
	# An entry host that never reaches the platform: its address leads nowhere
	sed -e "s/:$((BASE + 1))\"/:$((BASE + 34))\"/; s/:$((BASE + 2))\"/:$((BASE + 35))\"/; s/^peers.*/peers = \"127.0.0.1:$((BASE + 36))\"/" \
		-e "s/entry-a1/entry-p/; s/^platform.*/platform = \"127.0.0.1:$((BASE + 37))\"/" "$DIR/entry-a1.toml" >"$DIR/entry-p.toml"
	CALLERS[entry-p]="127.0.0.1:$((BASE + 34))"; OPERATORS[entry-p]="127.0.0.1:$((BASE + 35))"
	start_entry entry-p || return 1
	ctl settings apply Samples/msafiri.toml >/dev/null || return 1
	until_true 15 same_version entry-p entry-a1 || return 1
	[ "$(service entry-p price-basket "echo=cut")" = "echo=cut" ] && ASK=entry-p exits_with 10 ctl settings apply Samples/msafiri.toml
	local result=$?
	kill -TERM "${PID[entry-p]}" && wait "${PID[entry-p]}"
	return $result
}
check "an entry host that reaches peers only starts, stays current, serves, and accepts no change" current_through_peers

lost_answers() {
	standin_set lose_percent=60
	local i done=0
	for i in 1 2 3 4 5 6; do ctl settings apply Samples/msafiri.toml >/dev/null 2>&1 && done=$((done + 1)); done
	standin_set lose_percent=0
	[ $done -ge 5 ]
}
check "changes get through although answers of the log are lost" lost_answers

retention_overtakes() {
	standin_set retention=20
	kill -KILL "${PID[entry-b1]}"
	ctl settings apply Samples/msafiri.toml >/dev/null
	start_entry entry-b1 && until_true 20 each_entry_answers
	local result=$?
	standin_set retention=1000000
	return $result
}
check "a new process starts although retention has taken the first records" retention_overtakes

# --- Everything at once: payments with ids under kills, pauses, crashes and outages
pay() {
	local entry=$1 id=$2
	service "$entry" settle-card "work_ms=20&echo=$id" -X POST -d x -H "Idempotency-Key: $id" -D "$DIR/pay-$id-$RANDOM.head" -o /dev/null
}
truthful_under_faults() {
	local i j entry id pids=()
	: >"$DIR/ids"
	for i in $(seq 1 8); do
		(
			for j in $(seq 1 12); do
				entry=${ENTRIES[$(((i + j) % 4))]}
				id=$(new_id "$entry")
				[ ${#id} -gt 10 ] || continue
				echo "$id" >>"$DIR/ids"
				# Twice, through different entry hosts, as a caller that heard nothing would
				pay "$entry" "$id"
				pay "${ENTRIES[$(((i + j + 1) % 4))]}" "$id"
			done
		) &
		pids+=($!)
	done
	sleep 0.5; kill -STOP "${PID[entry-b1]}"
	curl -s -o /dev/null "http://127.0.0.1:$BASE/standin/worker?name=pay-1&action=kill"
	sleep 0.5; standin_set down=1
	kill -KILL "${PID[entry-a2]}"
	curl -s -o /dev/null "http://127.0.0.1:$BASE/standin/worker?name=pay-4&action=kill"
	sleep 5; kill -CONT "${PID[entry-b1]}"
	standin_set down=0
	start_entry entry-a2
	curl -s -o /dev/null "http://127.0.0.1:$BASE/standin/worker?name=pay-1&action=start"
	curl -s -o /dev/null "http://127.0.0.1:$BASE/standin/worker?name=pay-4&action=start"
	wait "${pids[@]}"
	[ "$(report_field ids_begun_twice)" = 0 ] || { echo "an id began twice"; return 1; }
	# Whatever was answered "not-run" twice must not have begun; whatever was answered "ran" must have
	local report; report=$(curl -s "http://127.0.0.1:$BASE/standin/report")
	local ran=0 not_run=0 unknown=0
	while read -r id; do
		local outcomes; outcomes=$(cat "$DIR"/pay-"$id"-*.head 2>/dev/null | sed -n 's/^Loomreach-Outcome: \([a-z-]*\).*/\1/pI' | sort -u | tr '\n' ' ')
		local begun=0; case $report in *"settle-card/$id\":1"*) begun=1 ;; esac
		case $outcomes in
			*"ran "*) case " $outcomes" in *" ran "*) ran=$((ran + 1)); [ $begun = 1 ] || { echo "$id: said ran, did not begin"; return 1; } ;; *) not_run=$((not_run + 1)) ;; esac ;;
			*) unknown=$((unknown + 1)) ;;
		esac
		if [ "$outcomes" = "not-run " ] && [ $begun = 1 ] && [ "$(ls "$DIR"/pay-"$id"-*.head | wc -l)" = "$(grep -li 'Loomreach-Outcome: not-run' "$DIR"/pay-"$id"-*.head | wc -l)" ]; then
			echo "$id: said not-run, had begun"; return 1
		fi
	done <"$DIR/ids"
	echo "  ids: $(wc -l <"$DIR/ids"), ran: $ran, not run: $not_run, unknown or unanswered: $unknown"
	[ $ran -gt 0 ]
}
check "under kills, pauses and outages no id begins twice and outcomes are truthful" truthful_under_faults

recovered() { each_entry_answers && [ "$(ctl --output=json status | sed -n 's/.*"broken_invariants": \([0-9]*\).*/\1/p')" = 0 ]; }
check "afterwards everybody serves and no invariant was broken" until_true 30 recovered
no_broken_invariant() { ! grep -l 'event=invariant_broken' "$DIR"/*.log; }
check "no log tells of a broken invariant" no_broken_invariant

echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
