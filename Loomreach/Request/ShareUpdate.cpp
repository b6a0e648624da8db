// Computes slot limits from demands.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Request/ShareUpdate.h>

namespace Loomreach
{

std::unordered_map<uint32, uint32> DemandByService(const HeartbeatMessage &inHeartbeat)
{
	std::unordered_map<uint32, uint32> table;
	for (const ServiceDemand &entry : inHeartbeat.demands)
		table[entry.service] = entry.requests;
	return table;
}

/// Demand of a member at one endpoint: its demand for each service there, divided by the number of endpoints that carry the service.
static uint32 DemandAt(const Dispatcher &inDispatcher, const MemberDemand &inMember, const Endpoint &inEndpoint)
{
	uint32 demand = 0;
	for (const std::string &job : inEndpoint.services)
	{
		uint32 reported = 0;
		if (inMember.is_self)
			reported = inDispatcher.Demand(job);
		else if (auto entry = inMember.by_service.find(ServiceHash(job)); entry != inMember.by_service.end())
			reported = entry->second;
		const uint32 spread = std::max<uint32>(1, inDispatcher.Endpoints().CountOf(job));
		demand += (reported + spread - 1) / spread;
	}
	return demand;
}

void UpdateLimits(Dispatcher &ioDispatcher, const std::string &inOwnZone, std::span<const MemberDemand> inMembers)
{
	if (inMembers.empty())
		return;
	for (auto &[host, endpoint] : ioDispatcher.Endpoints().All())
	{
		// An endpoint in another zone that this entry host does not use needs no share
		if (endpoint.availability_zone != inOwnZone && endpoint.in_flight == 0)
			continue;
		std::vector<std::pair<uint64, const MemberDemand *>> order;
		for (const MemberDemand &member : inMembers)
			order.emplace_back(RendezvousWeight(host, member.name), &member);
		std::sort(order.begin(), order.end(), [](const auto &inA, const auto &inB) { return inA.first > inB.first; });
		std::vector<uint32> demands;
		ShareInput input;
		input.slots = endpoint.slots;
		for (const auto &[weight, member] : order)
		{
			if (member->is_self)
				input.self = static_cast<uint32>(demands.size());
			demands.push_back(DemandAt(ioDispatcher, *member, endpoint));
		}
		input.demands = demands;
		endpoint.limit = DemandSlotShare::Limit(input);
	}
}

} // namespace Loomreach
