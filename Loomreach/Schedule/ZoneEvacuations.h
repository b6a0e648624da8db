// Which availability zones the operator has evacuated: nothing more is started there until a zone is taken back. Pure.
//
// A zone's newest record decides. Readings may overlap, so a record that lies before one that is known changes nothing.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// What a record of the operator says of one availability zone.
struct ZoneOrder
{
	std::string availability_zone;
	bool evacuate = false; ///< False: it is taken back.
};

/// See the head of the file.
class ZoneEvacuations
{
public:
	/// A record was read at this place; whether it changes which zones are evacuated.
	bool Note(const ZoneOrder &inOrder, uint64 inOffset);
	/// All newest records up to `inEnd` were read: a zone that they do not name was taken back, and its record removed. Whether that
	/// changes anything.
	bool Keep(const std::set<std::string> &inNamed, uint64 inEnd);
	const std::set<std::string> &Zones() const { return this->zones; }

private:
	std::set<std::string> zones;
	std::map<std::string, uint64> newest; ///< Place of the newest record of each zone. Invariant: has every zone of `zones`.
};

} // namespace Loomreach::Jobs
