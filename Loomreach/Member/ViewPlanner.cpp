// Joining and removal of members.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Member/ViewPlanner.h>

namespace Loomreach
{

/// Whether a member has been unresponsive for so long that it should be removed from the view.
static bool ShouldRemove(const ViewInputs &inInputs, const Member &inMember)
{
	// A live new incarnation of the same name proves that the member's incarnation has ended, once that one is no longer heard. Another
	// live incarnation proves nothing if the member's was never heard: it may be the older one, and this entry host cut off from the newer
	// one
	const Peer *peer = inInputs.tracker.Find(inMember.name);
	const std::optional<Millis> own_last = inInputs.tracker.IncarnationLastHeard(inMember.incarnation);
	const bool is_replaced =
		peer != nullptr && peer->heartbeat.incarnation != inMember.incarnation && inInputs.tracker.IsLive(inMember.name, inInputs.now);
	if (is_replaced && own_last.has_value() && inInputs.now - *own_last >= inInputs.suspect_after)
		return true;
	const bool same_zone = inMember.availability_zone == inInputs.self.availability_zone;
	// Members of other zones send heartbeats to only some members of this one, so the whole zone must be unresponsive
	const std::optional<Millis> heard =
		same_zone ? inInputs.tracker.LastHeard(inMember.name) : inInputs.tracker.ZoneLastHeard(inMember.availability_zone);
	const Millis since = std::max(heard.value_or(inInputs.listening_since), inInputs.listening_since);
	return inInputs.now - since >= inInputs.remove_after;
}

/// Whether some claim range would lose its last holder.
static bool LosesClaimRange(const FleetState &inState, const std::vector<Member> &inMembers)
{
	for (const std::set<std::string> &holders : inState.claim_holders)
	{
		const bool survives = std::any_of(inMembers.begin(), inMembers.end(),
										  [&](const Member &inMember)
										  {
											  if (holders.count(inMember.name) == 0)
												  return false;
											  return inState.view.members.find(inMember.name)->second.incarnation == inMember.incarnation;
										  });
		if (!survives)
			return true;
	}
	return false;
}

bool NeedsLogHeartbeat(const View &inView, const PeerTracker &inTracker, const std::string &inOwnZone, Millis inSilence, Millis inNow)
{
	std::set<std::string> zones;
	for (const auto &[name, member] : inView.members)
		zones.insert(member.availability_zone);
	zones.erase(inOwnZone);
	return std::any_of(zones.begin(), zones.end(),
					   [&](const std::string &inZone)
					   {
						   const std::optional<Millis> heard = inTracker.ZoneLastDatagram(inZone);
						   return !heard.has_value() || inNow - *heard >= inSilence;
					   });
}

std::optional<ChangeView> PlanView(const ViewInputs &inInputs)
{
	const View &view = inInputs.state.view;
	auto own = view.members.find(inInputs.self.name);
	const bool joins = own == view.members.end() || !(own->second == inInputs.self);
	std::vector<Member> members;
	bool removes = false;
	for (const auto &[name, member] : view.members)
	{
		if (name == inInputs.self.name)
			continue;
		if (ShouldRemove(inInputs, member))
			removes = true;
		else
			members.push_back(member);
	}
	if (!joins && !removes)
		return std::nullopt;
	members.push_back(inInputs.self);
	ChangeView change{view.number, std::move(members), false};
	change.reset = LosesClaimRange(inInputs.state, change.members);
	return change;
}

} // namespace Loomreach
