// Tracks the longest pause between events of one kind, such as heartbeats of a host, so that a test can check how long a fault interrupts
// them.

#pragma once

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

/// Longest pauses by kind of event.
class GapWatch
{
public:
	/// Records an event that happens now.
	void Add(const std::string &inKind)
	{
		Timing &timing = this->kinds[inKind];
		const Millis now = NowMillis();
		timing.longest = std::max(timing.longest, timing.last < 0 ? 0 : now - timing.last);
		timing.last = now;
	}
	/// Restarts the measurement now for each known kind.
	void Reset()
	{
		for (auto &[kind, timing] : this->kinds)
			timing = {NowMillis(), 0};
	}
	/// The longest pause of each kind, ms, including the one since its last event.
	nlohmann::json Report() const
	{
		nlohmann::json report = nlohmann::json::object();
		for (const auto &[kind, timing] : this->kinds)
			report[kind] = std::max(timing.longest, NowMillis() - timing.last);
		return report;
	}

private:
	struct Timing
	{
		Millis last = -1;
		Millis longest = 0;
	};

	std::map<std::string, Timing> kinds;
};

} // namespace Loomreach
