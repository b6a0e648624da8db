// Sets the slot limits of all endpoints that requests go to now, from the demand that members of the zone have reported.

#pragma once

#include <Loomreach/Member/PeerMessages.h>
#include <Loomreach/Request/Dispatcher.h>
#include <Loomreach/Request/SlotShare.h>

namespace Loomreach
{

/// What one member of the zone has reported.
struct MemberDemand
{
	std::string name;
	bool is_self = false;                          ///< Its demand is then read from the dispatcher.
	std::unordered_map<uint32, uint32> by_service; ///< Requests in flight and waiting, by short hash of the job's path.
};

/// A digest's demands as a table.
std::unordered_map<uint32, uint32> DemandByService(const Digest &inDigest);

/// Works out the limits of all endpoints of services for which some member has demand, by the policy in use.
void UpdateLimits(Dispatcher &ioDispatcher, const std::string &inOwnZone, std::span<const MemberDemand> inMembers);

} // namespace Loomreach
