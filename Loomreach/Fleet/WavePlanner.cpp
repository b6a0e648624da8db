// Widths of the wave policies and the reckoning of a pool's buffer.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/WavePlanner.h>

namespace Loomreach
{

static constexpr uint32 cFixedShareDivisor = 10;

uint32 LargestSafeSet::MayTake(const FleetState &, const PoolSpec &inPool, uint32 inOut)
{
	return inPool.wave_width > inOut ? inPool.wave_width - inOut : 0;
}

uint32 FixedShare::MayTake(const FleetState &inState, const PoolSpec &inPool, uint32 inOut)
{
	auto counts = inState.pool_counts.find(inPool.path);
	const uint32 hosts = counts == inState.pool_counts.end() ? 0 : counts->second.hosts;
	const uint32 width = std::max<uint32>(1, hosts / cFixedShareDivisor);
	return width > inOut ? width - inOut : 0;
}

bool IsPendingInWave(const FleetState &inState, const std::string &inHost)
{
	for (const auto &[name, wave] : inState.waves)
	{
		if (wave.state != EWaveState::Running && wave.state != EWaveState::Paused)
			continue;
		auto entry = wave.hosts.find(inHost);
		if (entry != wave.hosts.end() && entry->second == EWaveHost::Pending)
			return true;
	}
	return false;
}

Buffer ReckonBuffer(const FleetState &inState, const PoolSpec &inPool, const std::set<std::string> &inWithout)
{
	Buffer buffer;
	std::map<std::string, int64> rack_firm;
	for (const auto &[name, host] : inState.hosts)
	{
		if (host.pool != inPool.path)
			continue;
		const bool stays = host.IsAvailable() && inWithout.count(name) == 0;
		if (stays)
			buffer.capacity += host.spec.capacity.cpu_milli;
		for (const ReplicaKey &replica : host.replicas)
		{
			const Placement &placement = inState.placements.find(replica)->second;
			auto job = inState.jobs.find(replica.job);
			const bool firm = job != inState.jobs.end() && job->second.is_service;
			(firm ? buffer.firm : buffer.soft) += placement.need.cpu_milli;
			if (firm && stays)
				rack_firm[host.spec.rack] += placement.need.cpu_milli;
		}
	}
	if (inPool.buffer_percent >= 0)
	{
		buffer.wanted = buffer.capacity * inPool.buffer_percent / 100;
		return buffer;
	}
	// The largest rack may be lost while the wave is under way
	for (const auto &[rack, firm] : rack_firm)
		buffer.wanted = std::max(buffer.wanted, firm);
	return buffer;
}

} // namespace Loomreach
