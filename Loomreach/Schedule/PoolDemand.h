// What a pool's owner tells the fleet's owner: how much its pool needs, and which workers it can spare.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
struct PoolDemand
{
	Resources need;         ///< Of jobs that can be in time: what runs, what could start, what comes in; the highest of the last moments.
	Resources late;         ///< Of jobs that can only be late.
	uint32 least_hosts = 0; ///< Tasks that must be apart from one another need this many.
	std::vector<std::string> spared; ///< Workers that are empty and stay so for the time asked for.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->need, this->late, this->least_hosts, this->spared);
	}
};

} // namespace Loomreach::Jobs
