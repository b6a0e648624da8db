// The weighted placement policy, and explanations for replicas that are not placed.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Fleet/WavePlanner.h>

namespace Loomreach
{

HostScore WeightedPlacement::Adjust(const FleetState &inState, const PoolSpec &inPool, const Host &inHost, const Resources &inFree,
									HostScore inScore)
{
	inScore.will_leave = IsPendingInWave(inState, inHost.spec.name) ? 1 : 0;
	// Packing leaves whole hosts idle and so saves buffer; levelling keeps few replicas on each host, so that the loss of a host moves
	// few
	const bool packs = inPool.weight_buffer > inPool.weight_moves;
	inScore.idle_cost = packs ? inFree.cpu_milli : -inFree.cpu_milli;
	return inScore;
}

std::string ExplainUnplaced(const FleetState &inState, const Unplaced &inUnplaced)
{
	auto found = inState.jobs.find(inUnplaced.replica.job);
	if (found == inState.jobs.end())
		return "The settings declare no such job.";
	const JobSpec &job = found->second;
	const std::string size = std::to_string(job.requested.cpu_milli) + " thousandths of a core, " +
							 std::to_string(job.requested.memory_mb) + " MB and " + std::to_string(job.requested.accelerators) +
							 " accelerators";
	switch (inUnplaced.why)
	{
	case EUnplaced::NeverFits: return "It can never run: no host of " + job.pool + " has " + size + ", even empty.";
	case EUnplaced::QuotaTooSmall: return "It can never run: team " + job.team + "'s quota is smaller than one replica (" + size + ").";
	case EUnplaced::QuotaFull: return "Team " + job.team + "'s quota is taken by its other replicas.";
	case EUnplaced::NoHosts: return "Pool " + job.pool + " has no available host.";
	case EUnplaced::NoCapacity:
		return "Every host of " + job.pool + " that could hold " + size + " is full with work of priority " + std::to_string(job.priority) +
			   " or higher.";
	case EUnplaced::WaitsForHosts:
		return "It waits briefly for hosts of " + job.pool + " that are starting up, rather than share a host with another replica.";
	case EUnplaced::BackingOff: return "It failed on several hosts and waits before it is tried again.";
	}
	return {};
}

} // namespace Loomreach
