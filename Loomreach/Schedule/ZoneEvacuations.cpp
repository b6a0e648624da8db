// Applies the operators' evacuation orders, of which the newest counts for each zone.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/ZoneEvacuations.h>

namespace Loomreach::Jobs
{

bool ZoneEvacuations::Apply(const ZoneOrder &inOrder, uint64 inOffset)
{
	const auto [known, is_first] = this->newest.try_emplace(inOrder.availability_zone, inOffset);
	if (!is_first && inOffset < known->second)
		return false;
	known->second = inOffset;
	if (inOrder.evacuate)
		return this->zones.insert(inOrder.availability_zone).second;
	return this->zones.erase(inOrder.availability_zone) > 0;
}

bool ZoneEvacuations::RetainNamed(const std::set<std::string> &inNamed, uint64 inEnd)
{
	const size_t ended =
		std::erase_if(this->zones, [&](const std::string &inZone) { return !inNamed.contains(inZone) && this->newest[inZone] < inEnd; });
	return ended > 0;
}

} // namespace Loomreach::Jobs
