// Computes slot shares.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Request/SlotShare.h>

#include <numeric>

namespace Loomreach
{

uint32 FixedSlotShare::Limit(const ShareInput &inInput)
{
	const uint32 members = std::max<uint32>(1, static_cast<uint32>(inInput.demands.size()));
	const uint32 remainder = inInput.slots % members;
	return inInput.slots / members + (inInput.self < remainder ? 1 : 0);
}

uint32 DemandSlotShare::Limit(const ShareInput &inInput)
{
	const uint64 total = std::accumulate(inInput.demands.begin(), inInput.demands.end(), uint64(0));
	// If all demand fits, every member may use its own slots and all free ones
	if (total <= inInput.slots)
		return inInput.slots - static_cast<uint32>(total) + inInput.demands[inInput.self];
	uint64 given = 0;
	std::vector<std::pair<uint64, uint32>> remainders;
	for (uint32 i = 0; i < inInput.demands.size(); ++i)
	{
		const uint64 product = static_cast<uint64>(inInput.slots) * inInput.demands[i];
		given += product / total;
		remainders.emplace_back(product % total, i);
	}
	// Largest remainder first; equal ones in rendezvous order, which is the same at every entry host
	std::stable_sort(remainders.begin(), remainders.end(), [](const auto &inA, const auto &inB) { return inA.first > inB.first; });
	uint32 limit = static_cast<uint32>(static_cast<uint64>(inInput.slots) * inInput.demands[inInput.self] / total);
	for (uint64 i = 0; i < inInput.slots - given && i < remainders.size(); ++i)
		if (remainders[i].second == inInput.self)
			++limit;
	return std::max<uint32>(1, limit);
}

} // namespace Loomreach
