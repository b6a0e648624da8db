// Keeps the newest order for each zone.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/ZoneEvacuations.h>

namespace Loomreach::Jobs
{

bool ZoneEvacuations::Note(const ZoneOrder &inOrder, uint64 inOffset)
{
	const auto [known, is_first] = this->newest.try_emplace(inOrder.availability_zone, inOffset);
	if (!is_first && inOffset < known->second)
		return false;
	known->second = inOffset;
	if (inOrder.evacuate)
		return this->zones.insert(inOrder.availability_zone).second;
	return this->zones.erase(inOrder.availability_zone) > 0;
}

bool ZoneEvacuations::Keep(const std::set<std::string> &inNamed, uint64 inEnd)
{
	const size_t taken_back =
		std::erase_if(this->zones, [&](const std::string &inZone) { return !inNamed.contains(inZone) && this->newest[inZone] < inEnd; });
	return taken_back > 0;
}

} // namespace Loomreach::Jobs
