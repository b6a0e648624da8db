// Computes when the maintenance wave of a pool is due.

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
	// Each pool is due at its own time within the period, so that the waves of the pools are spread over it
	const int64 period = inPool.maintain_every_days * cDayS;
	const int64 phase = static_cast<int64>(HashBytes(inPool.path) % static_cast<uint64>(period));
	const int64 due = (inDateS - phase) / period * period + phase;
	auto last = inState.rolling_started.find(inPool.path);
	const int64 last_started = last == inState.rolling_started.end() ? 0 : last->second;
	if (last_started >= due)
		return std::nullopt;
	// A pool without a wave so far waits for its own due time; otherwise all pools would start on the day that the setting is introduced
	if (last_started == 0 && inDateS - due >= cDayS)
		return std::nullopt;
	for (const auto &[name, wave] : inState.waves)
		if (wave.state == EWaveState::Running || wave.state == EWaveState::Paused)
			for (const auto &[host_name, entry] : wave.hosts)
				if (auto host = inState.hosts.find(host_name);
					entry != EWaveHost::Done && host != inState.hosts.end() && host->second.pool == inPool.path)
					return std::nullopt;
	StartWave start;
	start.name = "rolling" + inPool.path + "/" + std::to_string(due / cDayS);
	start.pool = inPool.path;
	start.rolling_date_s = inDateS;
	return start;
}

} // namespace Loomreach
