# Ports for tests with real processes. Sourced by other scripts.

# claim_ports TRY: sets PORT to the first of a block of 100 ports, below the range from which the system takes callers' own; TRY: 1 and up, another
# block each. A block belongs to one test at a time: another that comes to the same one hears the first one's stand-in answer, takes it for its own,
# and hands its jobs to the first one's hosts.
claim_ports() {
	PORT=$((10000 + (($$ + $1 * 37) % 200) * 100))
	exec 8>"${TMPDIR:-/tmp}/loomreach-ports-$PORT"
	flock -n 8 || { echo "ports from $PORT on are another test's"; return 1; }
}
