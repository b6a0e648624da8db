// Availability zones that an operator has evacuated. Nothing is started in such a zone until its evacuation is ended.
//
// The newest record of a zone decides. Reads of the log may overlap, so a record with a lower offset than the known one is ignored.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// An operator's order for one availability zone, as read from a record.
struct ZoneOrder
{
	std::string availability_zone;
	bool evacuate = false; ///< False: the evacuation is ended.
};

/// The evacuated zones; does no I/O.
class ZoneEvacuations
{
public:
	/// Applies a record read at this offset. Returns whether the set of evacuated zones changes.
	bool Apply(const ZoneOrder &inOrder, uint64 inOffset);
	/// Applies a complete read of the newest records up to `inEnd`, which named the zones `inNamed`. A zone that is missing has had its
	/// evacuation ended and its record removed. Returns whether the set of evacuated zones changes.
	bool RetainNamed(const std::set<std::string> &inNamed, uint64 inEnd);
	const std::set<std::string> &Zones() const { return this->zones; }

private:
	std::set<std::string> zones;
	std::map<std::string, uint64> newest; ///< Offset of the newest record of each zone. Invariant: contains every zone of `zones`.
};

} // namespace Loomreach::Jobs
