// Sets the slot limits of all endpoints in use from the demand that the members of the zone have reported.

#pragma once

#include <Loomreach/Member/PeerMessages.h>
#include <Loomreach/Request/Dispatcher.h>
#include <Loomreach/Request/SlotShare.h>

namespace Loomreach
{

/// Demand that one member of the zone has reported.
struct MemberDemand
{
	std::string name;
	bool is_self = false;                          ///< Whether it is this entry host; its demand is then read from the dispatcher.
	std::unordered_map<uint32, uint32> by_service; ///< Requests in flight and waiting, by short hash of the job path.
};

/// The demands in a heartbeat message, by service.
std::unordered_map<uint32, uint32> DemandByService(const HeartbeatMessage &inHeartbeat);

/// Computes the limits of all endpoints in the own zone, and of those elsewhere that have requests in flight, with the policy in use.
void UpdateLimits(Dispatcher &ioDispatcher, const std::string &inOwnZone, std::span<const MemberDemand> inMembers);

} // namespace Loomreach
