// Turns of pools within the period.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Fleet/RollingPlan.h>

namespace Loomreach
{

static constexpr int64 cDayS = 86'400;

std::optional<StartWave> PlanRolling(const FleetState &inState, const PoolSpec &inPool, int64 inDateS)
{
	auto counts = inState.pool_counts.find(inPool.path);
	if (inPool.maintain_every_days <= 0 || counts == inState.pool_counts.end())
		return std::nullopt;
	// Each pool's turn begins at a time of its own within the period, so that the pools are spread over it
	const int64 period = inPool.maintain_every_days * cDayS;
	const int64 phase = static_cast<int64>(HashBytes(inPool.path) % static_cast<uint64>(period));
	const int64 turn = (inDateS - phase) / period * period + phase;
	auto last = inState.rolling_started.find(inPool.path);
	const int64 last_started = last == inState.rolling_started.end() ? 0 : last->second;
	if (last_started >= turn)
		return std::nullopt;
	// A pool that never had a turn waits for its own rather than join all others on the day that the setting appears
	if (last_started == 0 && inDateS - turn >= cDayS)
		return std::nullopt;
	for (const auto &[name, wave] : inState.waves)
		if (wave.state == EWaveState::Running || wave.state == EWaveState::Paused)
			for (const auto &[host_name, entry] : wave.hosts)
				if (auto host = inState.hosts.find(host_name);
					entry != EWaveHost::Done && host != inState.hosts.end() && host->second.pool == inPool.path)
					return std::nullopt;
	StartWave start;
	start.name = "rolling" + inPool.path + "/" + std::to_string(turn / cDayS);
	start.pool = inPool.path;
	start.rolling_date_s = inDateS;
	return start;
}

} // namespace Loomreach
