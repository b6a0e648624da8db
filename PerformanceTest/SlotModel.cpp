// Slot model: simulates entry hosts and workers in steps of one millisecond.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Random.h>
#include <PerformanceTest/SlotModel.h>

namespace Loomreach
{

static constexpr uint32 cSlots = 8;
static constexpr uint32 cSteps = 30'000;
static constexpr uint32 cReportEveryMs = 400;
static constexpr uint32 cMeanServiceMs = 80;
static constexpr uint32 cDeadlineMs = 1000;
static constexpr uint32 cRetryFullAfterMs = 20;

namespace
{

/// State of an entry host. The vectors have one element per worker.
struct ModelEntry
{
	std::deque<uint32> waiting; ///< Arrival times of the waiting requests, ms.
	std::vector<uint32> in_flight;
	std::vector<uint32> full_until; ///< No request is sent to the worker before this time, as it had no free slot, ms.
	std::vector<uint32> limits;     ///< Maximum number of requests in flight.
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
	std::multimap<uint32, std::pair<uint32, uint32>> completions;
	uint64 arrived = 0;
	uint64 served = 0;
	uint64 refused = 0;
	double used = 0;
	SlotCost cost;
	const double per_step = inLoad.load * inLoad.workers * cSlots / cMeanServiceMs;
	double due = 0;
	for (uint32 now = 0; now < cSteps; ++now)
	{
		while (!completions.empty() && completions.begin()->first <= now)
		{
			const auto [entry, worker] = completions.begin()->second;
			--entries[entry].in_flight[worker];
			--busy[worker];
			completions.erase(completions.begin());
		}
		for (due += per_step; due >= 1.0; due -= 1.0)
		{
			const bool to_first = random.Below(1000) < static_cast<uint64>(inLoad.skew * 1000);
			entries[to_first ? 0 : random.Below(inLoad.entry_hosts)].waiting.push_back(now);
			++arrived;
		}
		if (now % cReportEveryMs == 0)
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
					// The rendezvous order of the entry hosts differs from worker to worker
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
					const bool is_eligible = entry.in_flight[worker] < entry.limits[worker] && entry.full_until[worker] <= now;
					if (is_eligible && (best == inLoad.workers || entry.in_flight[worker] < entry.in_flight[best]))
						best = worker;
				}
				if (best == inLoad.workers)
					break;
				if (busy[best] >= cSlots)
				{
					++refused;
					entry.full_until[best] = now + cRetryFullAfterMs;
					continue;
				}
				++busy[best];
				++entry.in_flight[best];
				cost.max_in_flight = std::max(cost.max_in_flight, busy[best]);
				completions.emplace(now + cMeanServiceMs / 2 + static_cast<uint32>(random.Below(cMeanServiceMs)), std::pair(i, best));
				entry.waiting.pop_front();
				++served;
			}
		}
		used += static_cast<double>(completions.size());
	}
	cost.utilisation = 100.0 * used / cSteps / (inLoad.workers * cSlots);
	cost.served = 100.0 * static_cast<double>(served) / static_cast<double>(std::max<uint64>(1, arrived));
	cost.refused_full = static_cast<double>(refused) / static_cast<double>(std::max<uint64>(1, arrived));
	return cost;
}

template SlotCost RunSlots<FixedSlotShare>(const SlotLoad &, uint64);
template SlotCost RunSlots<DemandSlotShare>(const SlotLoad &, uint64);
template SlotCost RunSlots<UnlimitedSlotShare>(const SlotLoad &, uint64);

} // namespace Loomreach
