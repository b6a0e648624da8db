// Rendezvous hashing of claim ranges over the members of a view.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/State/ClaimGroups.h>

namespace Loomreach
{

uint32 ClaimRangeOf(std::string_view inService, std::string_view inId)
{
	return static_cast<uint32>(HashBytes(inId, HashBytes(inService)) % cClaimRanges);
}

std::vector<std::string> ClaimGroupOf(const View &inView, uint32 inRange)
{
	const std::string key = "claim-range-" + std::to_string(inRange);
	std::vector<std::pair<uint64, const Member *>> order;
	for (const auto &[name, member] : inView.members)
		order.emplace_back(RendezvousWeight(key, name), &member);
	std::sort(order.begin(), order.end(),
			  [](const auto &inA, const auto &inB)
			  { return inA.first != inB.first ? inA.first > inB.first : inA.second->name < inB.second->name; });
	std::vector<std::string> group;
	std::set<std::string> zones;
	// First pass: one member per zone; second pass: fill up from zones already used
	for (const bool new_zones_only : {true, false})
	{
		for (const auto &[weight, member] : order)
		{
			const bool taken = std::find(group.begin(), group.end(), member->name) != group.end();
			if (group.size() == cClaimGroupSize || taken || (new_zones_only && zones.count(member->availability_zone) != 0))
				continue;
			group.push_back(member->name);
			zones.insert(member->availability_zone);
		}
	}
	return group;
}

} // namespace Loomreach
