// Report of a pool's owner to the fleet's owner: the demand of the pool and the workers that it can release.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// Demand and releasable workers of one pool.
struct PoolDemand
{
	/// Demand of jobs that can meet their deadlines (running, ready to start, and forecast); the highest of the recent values.
	Resources in_time;
	Resources late;                      ///< Demand of jobs that can no longer meet their deadlines.
	uint32 min_hosts = 0;                ///< Number of hosts for tasks that must not share a host.
	std::vector<std::string> releasable; ///< Workers that are empty and stay empty for the requested time.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->in_time, this->late, this->min_hosts, this->releasable);
	}
};

} // namespace Loomreach::Jobs
