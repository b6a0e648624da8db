// The operators' configuration in force: queues, pools and teams, with the version that they come from; and who may call.

#pragma once

#include <Loomreach/Job/JobSpec.h>

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
	bool open = false; ///< Callers need no key, and its jobs are no team's.
};

/// A pool of hosts.
struct Pool
{
	std::string name;
	bool guards_capacity = false; ///< Workers reject what does not fit; else they start whatever they are told.
	bool spare = false;           ///< Its hosts are off and cost nothing.
};

/// A team: it hands in jobs with any of its keys, and pays for them.
struct Team
{
	std::string name;
	std::vector<std::string> keys; ///< Secrets: never in a log line.
	Resources at_most;             ///< What it may have running at once over all pools; 0: no limit.
	int64 weight = 0;              ///< Its share where everything is full, jobs a second; 0: not told.
};

/// A caller's request that the configuration allows.
struct Admission
{
	Queue queue;
	std::string team;    ///< Whose jobs it is about; empty: nobody's, the queue is open or there are no teams.
	uint64 key_hash = 0; ///< Names the key towards other entry hosts without telling it; 0: none was needed.
};

/// One version of the configuration.
struct Catalogue
{
	int64 version = 0;
	std::vector<Queue> queues;
	std::map<std::string, Pool, std::less<>> pools;
	std::optional<std::map<std::string, Team, std::less<>>> teams; ///< By name; nothing: callers have no keys here.

	/// The queue that a caller's host and path lead to, or null.
	const Queue *Find(std::string_view inHost, std::string_view inPath) const;
	/// The team that has a key, or null.
	const Team *TeamOf(std::string_view inKey) const;
	/// A team by name, or null.
	const Team *FindTeam(std::string_view inName) const;
	/// Whether a caller may do something with a queue. Leaves no-such-service or unknown-key.
	std::optional<Admission> Admit(std::string_view inHost, std::string_view inPath, std::string_view inKey) const;
	/// Whether what another version admitted is still allowed: the queue leads to the same pool, and the team has the key. Leaves the same.
	bool StillAdmits(std::string_view inQueue, std::string_view inPool, std::string_view inTeam, uint64 inKeyHash) const;
};

} // namespace Loomreach::Jobs
