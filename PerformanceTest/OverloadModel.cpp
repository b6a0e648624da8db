// Overload model: simulates workers and arrivals in steps of one millisecond, with the real dispatcher or a plain queue.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Random.h>
#include <Loomreach/Request/Dispatcher.h>
#include <PerformanceTest/FleetBuilder.h>
#include <PerformanceTest/OverloadModel.h>

namespace Loomreach
{

static constexpr uint32 cWorkers = 9;
static constexpr uint32 cSlots = 8;
static constexpr uint32 cMeanServiceMs = 50;
static constexpr Millis cDeadlineMs = 500;
static constexpr Millis cRunMs = 20'000;

namespace
{

/// Requests of one priority class.
struct ClassTally
{
	uint64 arrived = 0;
	uint64 in_time = 0;
};

/// Arrival of a request. Both systems get the same arrivals.
struct Arrival
{
	Millis at = 0;
	bool is_high = false;
	Millis service_ms = 0;
};

std::vector<Arrival> Arrivals(const OverloadCase &inCase, uint64 inSeed)
{
	Random random(inSeed);
	std::vector<Arrival> arrivals;
	const double per_step = inCase.load * cWorkers * cSlots / cMeanServiceMs;
	double due = 0;
	for (Millis now = 1; now <= cRunMs; ++now)
		for (due += per_step; due >= 1.0; due -= 1.0)
			arrivals.push_back({now, random.Chance(50), static_cast<Millis>(cMeanServiceMs / 2 + random.Below(cMeanServiceMs))});
	return arrivals;
}

OverloadCost Finish(const ClassTally &inHigh, const ClassTally &inLow, double inRefusalMs, uint64 inRefused, uint64 inAttempts,
					uint64 inStarted)
{
	OverloadCost cost;
	cost.in_time_high = 100.0 * static_cast<double>(inHigh.in_time) / static_cast<double>(std::max<uint64>(1, inHigh.arrived));
	cost.in_time_low = 100.0 * static_cast<double>(inLow.in_time) / static_cast<double>(std::max<uint64>(1, inLow.arrived));
	const double capacity = static_cast<double>(cRunMs) * cWorkers * cSlots / cMeanServiceMs;
	cost.goodput = 100.0 * static_cast<double>(inHigh.in_time + inLow.in_time) / capacity;
	cost.mean_refusal_ms = inRefused == 0 ? 0 : inRefusalMs / static_cast<double>(inRefused);
	cost.attempts = static_cast<double>(inAttempts) / static_cast<double>(std::max<uint64>(1, inStarted));
	return cost;
}

/// Nine workers, each with a replica of a high-priority and of a low-priority service.
FleetBuilder BuildFleet()
{
	FleetShape shape;
	shape.hosts = cWorkers;
	shape.pools = 1;
	shape.replicas = 0;
	shape.zones = 1;
	FleetBuilder fleet(shape);
	std::vector<SettingsNode> nodes = fleet.state.settings.Nodes();
	for (const bool high : {true, false})
	{
		SettingsNode job{PoolPathOf(0) + (high ? "/high" : "/low"), ENodeKind::Job, {}};
		job.stated[ESetting::Replicas] = {cWorkers, {}};
		job.stated[ESetting::CpuMilli] = {1000, {}};
		job.stated[ESetting::MemoryMb] = {256, {}};
		job.stated[ESetting::Priority] = {high ? 900 : 50, {}};
		nodes.push_back(std::move(job));
	}
	fleet.Apply(ApplySettings{fleet.state.settings_version, nodes, "model"});
	fleet.PlaceAll();
	return fleet;
}

} // namespace

OverloadCost RunDispatcher(const OverloadCase &inCase, uint64 inSeed)
{
	const FleetBuilder fleet = BuildFleet();
	Dispatcher dispatcher("zone-0");
	std::vector<Decision> decisions;
	dispatcher.Update(fleet.state, {}, 0, decisions);
	const std::vector<Arrival> arrivals = Arrivals(inCase, inSeed);
	std::multimap<Millis, std::pair<RequestId, EAttempt>> completions;
	ClassTally high;
	ClassTally low;
	double refusal_ms = 0;
	uint64 refused = 0;
	std::set<RequestId> started;
	std::set<std::string> failed_hosts;
	for (uint32 i = 0; i < inCase.failed_workers; ++i)
		failed_hosts.insert("host-" + std::to_string(i));
	size_t next = 0;
	for (Millis now = 1; now <= cRunMs; ++now)
	{
		while (!completions.empty() && completions.begin()->first <= now)
		{
			const auto [id, result] = completions.begin()->second;
			completions.erase(completions.begin());
			dispatcher.Ended(id, result, false, now, decisions);
		}
		for (; next < arrivals.size() && arrivals[next].at <= now; ++next)
		{
			const Arrival &arrival = arrivals[next];
			++(arrival.is_high ? high : low).arrived;
			const std::string job = PoolPathOf(0) + (arrival.is_high ? "/high" : "/low");
			dispatcher.Arrive({next, job, arrival.is_high ? 900 : 50, now + cDeadlineMs, true}, now, decisions);
		}
		dispatcher.Tick(now, decisions);
		for (size_t i = 0; i < decisions.size(); ++i)
		{
			const Decision decision = decisions[i];
			const Arrival &arrival = arrivals[decision.request];
			if (decision.kind == EDecision::Start)
			{
				started.insert(decision.request);
				const bool has_failed = now > cRunMs / 2 && failed_hosts.count(decision.host) != 0;
				const bool is_late = now + arrival.service_ms > arrival.at + cDeadlineMs;
				const EAttempt result = has_failed ? EAttempt::Refused : is_late ? EAttempt::TimedOut : EAttempt::Answered;
				const Millis end = has_failed ? now + 1 : is_late ? arrival.at + cDeadlineMs : now + arrival.service_ms;
				completions.emplace(end, std::pair(decision.request, result));
			}
			else if (decision.kind == EDecision::Finish)
				++(arrival.is_high ? high : low).in_time;
			else
			{
				refusal_ms += static_cast<double>(now - arrival.at);
				++refused;
			}
		}
		decisions.clear();
	}
	return Finish(high, low, refusal_ms, refused, dispatcher.Attempts(), started.size());
}

OverloadCost RunFifo(const OverloadCase &inCase, uint64 inSeed)
{
	const std::vector<Arrival> arrivals = Arrivals(inCase, inSeed);
	std::deque<size_t> queue;
	std::multimap<Millis, size_t> completions;
	ClassTally high;
	ClassTally low;
	double refusal_ms = 0;
	uint64 refused = 0;
	size_t next = 0;
	uint64 started = 0;
	for (Millis now = 1; now <= cRunMs; ++now)
	{
		const uint32 workers = now > cRunMs / 2 ? cWorkers - inCase.failed_workers : cWorkers;
		while (!completions.empty() && completions.begin()->first <= now)
		{
			const Arrival &arrival = arrivals[completions.begin()->second];
			completions.erase(completions.begin());
			// The caller has given up once its deadline has passed, so the work was wasted
			if (now - arrival.at <= cDeadlineMs)
				++(arrival.is_high ? high : low).in_time;
			else
			{
				refusal_ms += static_cast<double>(cDeadlineMs);
				++refused;
			}
		}
		for (; next < arrivals.size() && arrivals[next].at <= now; ++next)
		{
			++(arrivals[next].is_high ? high : low).arrived;
			queue.push_back(next);
		}
		while (!queue.empty() && completions.size() < static_cast<size_t>(workers) * cSlots)
		{
			completions.emplace(now + arrivals[queue.front()].service_ms, queue.front());
			queue.pop_front();
			++started;
		}
	}
	refused += queue.size();
	refusal_ms += static_cast<double>(queue.size()) * static_cast<double>(cDeadlineMs);
	return Finish(high, low, refusal_ms, refused, started, started);
}

} // namespace Loomreach
