// The slot model, in steps of one millisecond.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Random.h>
#include <PerformanceTest/SlotModel.h>

namespace Loomreach
{

static constexpr uint32 cSlots = 8;
static constexpr uint32 cSteps = 30'000;
static constexpr uint32 cReportEvery = 400;
static constexpr uint32 cHoldMs = 80;
static constexpr uint32 cDeadlineMs = 1000;
static constexpr uint32 cPauseMs = 20;

namespace
{

/// One entry host of the model.
struct ModelEntry
{
	std::deque<uint32> waiting; ///< Arrival times.
	std::vector<uint32> in_flight;
	std::vector<uint32> full_until;
	std::vector<uint32> limits;
};

} // namespace

template <SharePolicy P>
SlotCost RunSlots(const SlotLoad &inLoad, uint64 inSeed)
{
	Random random(inSeed);
	std::vector<ModelEntry> entries(inLoad.entry_hosts);
	for (ModelEntry &entry : entries)
	{
		entry.in_flight.resize(inLoad.workers);
		entry.full_until.resize(inLoad.workers);
		entry.limits.resize(inLoad.workers, cSlots / inLoad.entry_hosts + 1);
	}
	std::vector<uint32> busy(inLoad.workers);
	std::multimap<uint32, std::pair<uint32, uint32>> ends;
	uint64 arrived = 0;
	uint64 served = 0;
	uint64 refused = 0;
	double used = 0;
	SlotCost cost;
	const double per_step = inLoad.load * inLoad.workers * cSlots / cHoldMs;
	double owed = 0;
	for (uint32 now = 0; now < cSteps; ++now)
	{
		while (!ends.empty() && ends.begin()->first <= now)
		{
			const auto [entry, worker] = ends.begin()->second;
			--entries[entry].in_flight[worker];
			--busy[worker];
			ends.erase(ends.begin());
		}
		for (owed += per_step; owed >= 1.0; owed -= 1.0)
		{
			const bool to_first = random.Below(1000) < static_cast<uint64>(inLoad.skew * 1000);
			entries[to_first ? 0 : random.Below(inLoad.entry_hosts)].waiting.push_back(now);
			++arrived;
		}
		if (now % cReportEvery == 0)
		{
			std::vector<uint32> demands;
			for (const ModelEntry &entry : entries)
			{
				uint32 demand = static_cast<uint32>(entry.waiting.size());
				for (uint32 count : entry.in_flight)
					demand += count;
				demands.push_back((demand + inLoad.workers - 1) / inLoad.workers);
			}
			for (uint32 i = 0; i < inLoad.entry_hosts; ++i)
				for (uint32 worker = 0; worker < inLoad.workers; ++worker)
				{
					// Rendezvous order differs from worker to worker
					std::vector<uint32> order(demands);
					std::rotate(order.begin(), order.begin() + worker % inLoad.entry_hosts, order.end());
					const uint32 self = (i + inLoad.entry_hosts - worker % inLoad.entry_hosts) % inLoad.entry_hosts;
					entries[i].limits[worker] = P::Limit({cSlots, self, order});
				}
		}
		for (uint32 i = 0; i < inLoad.entry_hosts; ++i)
		{
			ModelEntry &entry = entries[i];
			while (!entry.waiting.empty() && now - entry.waiting.front() > cDeadlineMs)
				entry.waiting.pop_front();
			while (!entry.waiting.empty())
			{
				uint32 best = inLoad.workers;
				for (uint32 worker = 0; worker < inLoad.workers; ++worker)
				{
					const bool may = entry.in_flight[worker] < entry.limits[worker] && entry.full_until[worker] <= now;
					if (may && (best == inLoad.workers || entry.in_flight[worker] < entry.in_flight[best]))
						best = worker;
				}
				if (best == inLoad.workers)
					break;
				if (busy[best] >= cSlots)
				{
					++refused;
					entry.full_until[best] = now + cPauseMs;
					continue;
				}
				++busy[best];
				++entry.in_flight[best];
				cost.most_in_flight = std::max(cost.most_in_flight, busy[best]);
				ends.emplace(now + cHoldMs / 2 + static_cast<uint32>(random.Below(cHoldMs)), std::pair(i, best));
				entry.waiting.pop_front();
				++served;
			}
		}
		used += static_cast<double>(ends.size());
	}
	cost.utilisation = 100.0 * used / cSteps / (inLoad.workers * cSlots);
	cost.served = 100.0 * static_cast<double>(served) / static_cast<double>(std::max<uint64>(1, arrived));
	cost.refused_full = static_cast<double>(refused) / static_cast<double>(std::max<uint64>(1, arrived));
	return cost;
}

template SlotCost RunSlots<FixedSlotShare>(const SlotLoad &, uint64);
template SlotCost RunSlots<DemandSlotShare>(const SlotLoad &, uint64);
template SlotCost RunSlots<EndpointRefusal>(const SlotLoad &, uint64);

} // namespace Loomreach
