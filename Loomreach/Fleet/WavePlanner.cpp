// The widths of the wave policies, and the spare capacity of a pool.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Fleet/WavePlanner.h>

namespace Loomreach
{

static constexpr uint32 cFixedShareDivisor = 10;

uint32 LargestSafeSet::MaxDrains(const FleetState &, const PoolSpec &inPool, uint32 inOutCount)
{
	return inPool.wave_width > inOutCount ? inPool.wave_width - inOutCount : 0;
}

uint32 FixedShare::MaxDrains(const FleetState &inState, const PoolSpec &inPool, uint32 inOutCount)
{
	auto counts = inState.pool_counts.find(inPool.path);
	const uint32 hosts = counts == inState.pool_counts.end() ? 0 : counts->second.hosts;
	const uint32 width = std::max<uint32>(1, hosts / cFixedShareDivisor);
	return width > inOutCount ? width - inOutCount : 0;
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

Buffer ComputeBuffer(const FleetState &inState, const PoolSpec &inPool, const std::set<std::string> &inExcluded)
{
	Buffer buffer;
	std::map<std::string, int64> rack_service_cpu;
	for (const auto &[name, host] : inState.hosts)
	{
		if (host.pool != inPool.path)
			continue;
		const bool stays = host.IsAvailable() && inExcluded.count(name) == 0;
		if (stays)
			buffer.capacity += host.spec.capacity.cpu_milli;
		for (const ReplicaKey &replica : host.replicas)
		{
			const Placement &placement = inState.placements.find(replica)->second;
			auto job = inState.jobs.find(replica.job);
			const bool is_service = job != inState.jobs.end() && job->second.is_service;
			(is_service ? buffer.service_cpu : buffer.batch_cpu) += placement.requested.cpu_milli;
			if (is_service && stays)
				rack_service_cpu[host.spec.rack] += placement.requested.cpu_milli;
		}
	}
	if (inPool.buffer_percent >= 0)
	{
		buffer.required = buffer.capacity * inPool.buffer_percent / 100;
		return buffer;
	}
	// The largest rack may be lost during the wave
	for (const auto &[rack, service_cpu] : rack_service_cpu)
		buffer.required = std::max(buffer.required, service_cpu);
	return buffer;
}

} // namespace Loomreach
