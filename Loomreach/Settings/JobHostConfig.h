// The configuration file of an entry host that takes jobs: addresses, limits, times. Every key is checked.

#pragma once

#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// What one entry host is told by its file. Times in ms.
struct JobHostConfig
{
	std::string name;
	std::string availability_zone;
	Address callers;                 ///< Listener for callers.
	Address ready;                   ///< Listener for the balancer's question.
	Address peers;                   ///< UDP address for other entry hosts' questions.
	Address store;                   ///< The platform's log.
	std::optional<Address> machines; ///< The platform's machine service; without it hosts stay where they are.
	std::optional<Address> adviser;
	int64 metrics_port = 0;             ///< 0: none.
	int64 log_parts = 8;                ///< Partitions of a topic.
	int64 store_reads_per_s = 2000;     ///< Reading calls that the store takes from all hosts together,
	int64 store_read_mb_per_s = 80;     ///< and what it gives to them all, MB.
	int64 worker_lease_ms = 4000;       ///< Lease given to workers' runs.
	int64 worker_most_lease_ms = 10000; ///< The longest that workers grant: `worker_lease_ms` is checked against it.
	int64 maintenance_ms = 2000;        ///< A host's maintenance takes this.
	int64 owner_lease_ms = 2000;        ///< An owner's lease while the store is slow,
	int64 owner_short_lease_ms = 1500;  ///< and while it answers soon: the time until a lost owner is replaced.
	int64 owner_slack_ms = 300;
	int64 balance_headroom_percent = 115; ///< A pool gets this share of its need.
	int64 balance_margin = 1;             ///< And this many hosts more.
	int64 balance_slack = 1;              ///< Hosts too many that a pool keeps.
	int64 demand_hold_ms = 600;           ///< A need counts this long after it was last seen.
	int64 keep_ended_ms = 120000;         ///< Ended jobs are shown at least this long.
	int64 processor_milli = 1000;         ///< Processor of this host, thousandths of a core.
};

/// Parses and checks the file's text.
std::optional<JobHostConfig> ParseJobHostConfig(std::string_view inText, std::string_view inFile);

} // namespace Loomreach::Jobs
