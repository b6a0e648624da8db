// Configuration file of an entry host that runs jobs: addresses, limits, durations. Every key is checked, and an unknown key is an error,
// so that a misspelt one is not silently ignored.

#pragma once

#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// Configuration of one entry host. Durations are in the unit that ends their name.
struct JobHostConfig
{
	std::string name;
	std::string availability_zone;
	Address callers;                   ///< Address of the listener for callers.
	Address ready;                     ///< Address of the listener for the load balancer's readiness checks.
	Address peers;                     ///< UDP address for queries from other entry hosts.
	Address store;                     ///< Address of the platform's log store.
	std::optional<Address> machines;   ///< Address of the platform's machine service; without it, no hosts are moved.
	std::optional<Address> adviser;    ///< Address of the adviser service, if there is one.
	int64 metrics_port = 0;            ///< Port for metrics; 0: none.
	int64 log_partitions = 8;          ///< Number of partitions of a log topic.
	int64 store_reads_per_s = 2000;    ///< Limit of the store for read calls from all entry hosts together.
	int64 store_read_mb_per_s = 80;    ///< Limit of the store for data read by all entry hosts together, MB/s.
	double store_append_ms = 4.0;      ///< Usual duration of an append to the store, ms.
	int64 worker_lease_ms = 4000;      ///< Lease of runs on workers; capped by `worker_most_lease_ms`.
	int64 worker_max_lease_ms = 10000; ///< Longest lease that workers grant.
	int64 maintenance_ms = 2000;       ///< Duration of a host's maintenance.
	int64 owner_lease_ms = 2000;       ///< Lease of a cell's owner while the store is slow.
	int64 owner_short_lease_ms = 1500; ///< Lease while the store answers quickly; it bounds the time until a lost owner is replaced.
	int64 owner_slack_ms = 300;
	int64 balance_headroom_percent = 115; ///< Hosts assigned to a pool, percent of its demand.
	int64 balance_margin = 1;             ///< Hosts assigned to a pool in addition to this.
	int64 balance_slack = 1;              ///< Surplus hosts that a pool may keep.
	int64 demand_hold_ms = 600;           ///< Time for which a demand counts after it was last observed.
	int64 keep_ended_ms = 120000;         ///< Minimum time for which ended jobs can be queried.
	int64 processor_milli = 1000;         ///< Processor time available to this entry host, thousandths of a core.
	/// 1: records about jobs name the queue by its key. Versions before this setting cannot read such records.
	int64 records_name_queues = 1;
	/// Memory that requests of all listeners may take together until they are complete and answered, KB.
	int64 request_memory_kb = 32'768;
	int64 max_connections = 1500;    ///< Open connections of callers, on all listeners together.
	int64 request_stall_ms = 20'000; ///< A request loses its connection if its head, body or answer makes no progress for this long.
	int64 request_time_ms = 60'000;  ///< Longest time that the head and the body of a request may take together.
	int64 max_job_values = 65'536;   ///< Values in the JSON text of a job; a record has room for some 60,500.
	double link_mbit_per_s = 0.0;    ///< Rate of this entry host's network link, Mbit/s; 0: unknown.
};

/// Parses and checks the configuration file's TOML text. Fails with bad-config.
std::optional<JobHostConfig> ParseJobHostConfig(std::string_view inText, std::string_view inFile);

} // namespace Loomreach::Jobs
