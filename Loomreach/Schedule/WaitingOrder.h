// Order in which the waiting jobs of a cell are planned. Pure: does no I/O.
//
// Load pattern: more work arrives at a pool than it can do, for example because a zone was lost while demand was at its peak. If jobs go by
// due time alone, each one starts when its slack is used up, and any further delay makes it late: nearly all jobs are late although the
// pool is busy all the time. So while a pool is short of capacity, jobs are deferred that would only take the capacity from others:
//  * a job that has not started and whose slack does not cover the usual delays between its steps,
//  * and, by the rule of Moore and Hodgson, the largest jobs of those that cannot all be done by their due times. This maximizes the number
//    of jobs in time. The team with the most work for its weight defers first.
// Deferred jobs go behind those that can be in time. Among these, teams that have more of the capacity than their weights entitle them to
// go behind the others, so that a flood from one team does not make the jobs of other teams late.

#pragma once

#include <Loomreach/Schedule/CellTypes.h>

namespace Loomreach::Jobs
{

/// A job that has tasks to start.
struct WaitingJob
{
	/// Since when a task of it has waited for its trial run, if that is overdue; otherwise cNotOverdue.
	Millis overdue_since = cNotOverdue;
	EDeadlineOutlook outlook = EDeadlineOutlook::InTime;
	uint32 priority = 0;
	/// Its team has more of the capacity than its weight entitles it to, in a pool that is short of capacity.
	bool is_over_share = false;
	/// Due time, later for larger jobs; of jobs that an evacuation held back until they were late: when they were accepted.
	int64 order_key = 0;
	CellJob *job = nullptr;
	std::string_view pool;
	std::string_view team;
	bool deferrable = false;   ///< It has a deadline, and none of its tasks has started.
	bool has_deadline = false; ///< False: its tasks run until it is cancelled.
	int64 due_wall_ms = 0;
	int64 earliest_end_wall_ms = 0; ///< When it ends if all its tasks find capacity at once.
	int64 work = 0;                 ///< Remaining work, thousandths of a core times seconds.

	/// Since when a job waits whose wait for a trial run is not overdue.
	static constexpr Millis cNotOverdue = std::numeric_limits<Millis>::max();

	bool operator<(const WaitingJob &inOther) const
	{
		return std::tie(this->overdue_since, this->outlook, this->priority, this->is_over_share, this->order_key) <
			   std::tie(inOther.overdue_since, inOther.outlook, inOther.priority, inOther.is_over_share, inOther.order_key);
	}
};

/// State of a pool that matters for the order of its jobs.
struct PoolState
{
	int64 cpu_milli = 0;   ///< Processor capacity of the workers that accept runs, thousandths of a core.
	bool is_short = false; ///< Whether the last planning pass found no capacity for some task.
	/// Remaining work of started jobs that have nothing to start now, by team, thousandths of a core times seconds.
	std::map<std::string_view, int64> started_work;
};

/// Weight of a team; teams without one count alike.
using TeamWeight = std::function<int64(std::string_view inTeam)>;

/// Sorts jobs into the order in which they are to be planned, after deferring jobs of pools that are short of capacity. Deferred jobs get
/// the outlook Late. Returns the number of deferred jobs.
size_t OrderWaitingJobs(std::vector<WaitingJob> &ioJobs, const std::map<std::string, PoolState, std::less<>> &inPools,
						const TeamWeight &inWeight, int64 inWallNow);

} // namespace Loomreach::Jobs
