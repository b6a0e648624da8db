// The operators' configuration in force: queues and pools, with the version that they come from.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// How a queue's policy limits the workers.
struct AdvicePolicy
{
	Millis decide_ms = 0; ///< A call to the adviser takes this,
	Millis each_ms = 0;   ///< and this for each worker named.
	Millis valid_ms = 0;  ///< Life of a ticket.
};

/// A queue: where callers hand in jobs.
struct Queue
{
	std::string name;
	std::string host;   ///< Host header that leads here; empty: any.
	std::string prefix; ///< Path prefix that leads here; the longest wins.
	std::string pool;
	uint32 priority = 0;
	uint32 max_attempts = 1;
	double stretch = 1.0;
	Millis target_ms = 0;
	std::optional<AdvicePolicy> advice;
};

/// A pool of hosts.
struct Pool
{
	std::string name;
	bool guards_capacity = false; ///< Workers reject what does not fit; else they start whatever they are told.
	bool spare = false;           ///< Its hosts are off and cost nothing.
};

/// One version of the configuration.
struct Catalogue
{
	int64 version = 0;
	std::vector<Queue> queues;
	std::map<std::string, Pool, std::less<>> pools;

	/// The queue that a caller's host and path lead to, or null.
	const Queue *Find(std::string_view inHost, std::string_view inPath) const;
};

} // namespace Loomreach::Jobs
