// One version of the operators' configuration: queues, pools and teams, and which callers it admits.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// Policy of a queue whose steps only run on workers that the adviser admits.
struct AdvicePolicy
{
	Millis base_ms = 0;       ///< Fixed time of a call to the adviser.
	Millis per_worker_ms = 0; ///< Additional time for each worker in the call.
	Millis valid_ms = 0;      ///< Validity of a ticket.
};

/// A queue, to which callers submit jobs.
struct Queue
{
	std::string name;
	std::string host;   ///< Host header that selects the queue; empty: any.
	std::string prefix; ///< Path prefix that selects the queue; the longest match wins.
	std::string pool;
	uint32 priority = 0;                ///< 0 goes first.
	uint32 max_attempts = 1;            ///< Failed runs of a task after which the job has failed.
	double stretch = 1.0;               ///< Factor on a job's predicted length; with `target_ms` it gives the deadline.
	Millis target_ms = 0;               ///< Time that is added to the deadline.
	std::optional<AdvicePolicy> advice; ///< None: any worker may run its steps.
	bool open = false;                  ///< Callers need no key, and the jobs belong to no team.
};

/// A pool of hosts.
struct Pool
{
	std::string name;
	bool enforces_capacity = false; ///< Workers reject runs beyond their capacity; otherwise they start every run.
	bool spare = false;             ///< Pool of unused hosts, which are off and cost nothing.
};

/// A team, which submits jobs with any of its keys and pays for them.
struct Team
{
	std::string name;
	std::vector<std::string> keys; ///< Secrets; must not appear in log lines.
	Resources limit;               ///< Limit of the resources of its runs over all pools; 0: no limit.
	int64 weight = 0;              ///< Its share under full load, jobs a second; 0: not given.
};

/// A caller's request that the configuration admits.
struct Admission
{
	Queue queue;
	std::string team;    ///< Team of the caller; empty if the queue is open or there are no teams.
	uint64 key_hash = 0; ///< Identifies the key in messages to other entry hosts without revealing it; 0: none was needed.
};

/// One version of the configuration.
struct Catalogue
{
	int64 version = 0;
	std::vector<Queue> queues;
	std::map<std::string, Pool, std::less<>> pools;
	std::optional<std::map<std::string, Team, std::less<>>> teams; ///< By name; none: callers have no keys.

	/// The queue that a caller's host header and path select, or null.
	const Queue *Find(std::string_view inHost, std::string_view inPath) const;
	/// A queue by name, or null.
	const Queue *FindQueue(std::string_view inName) const;
	/// The team that has a key, or null.
	const Team *TeamOf(std::string_view inKey) const;
	/// A team by name, or null.
	const Team *FindTeam(std::string_view inName) const;
	/// Hashes of a team's keys, see Admission.
	std::set<uint64> KeyHashesOf(std::string_view inTeam) const;
	/// Admits a caller's request to a queue, or returns nothing and sets the error no-such-service or unknown-key.
	std::optional<Admission> Admit(std::string_view inHost, std::string_view inPath, std::string_view inKey) const;
	/// Whether a request that another version admitted is still admitted: the queue exists, and the team has the key. The queue may belong
	/// to another pool now. Sets the same errors.
	bool StillAdmits(std::string_view inQueue, std::string_view inTeam, uint64 inKeyHash) const;
};

} // namespace Loomreach::Jobs
