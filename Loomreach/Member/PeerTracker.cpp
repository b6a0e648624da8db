// Liveness by heartbeats, and the choice of assigned planners.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Member/PeerTracker.h>

namespace Loomreach
{

static constexpr size_t cMaxIncarnations = 8192;
/// Multiple of the suspicion time after which a zone without a log heartbeat is unresponsive. Log heartbeats are further apart than
/// heartbeat messages, and a late one must not make the zone unresponsive.
static constexpr Millis cLogHeartbeatTimeoutFactor = 3;

bool PeerTracker::OnHeartbeat(HeartbeatMessage inHeartbeat, Millis inNow)
{
	auto known = this->incarnations.find(inHeartbeat.incarnation);
	if (known != this->incarnations.end() && inHeartbeat.sequence <= known->second.sequence)
		return FailFalse(EError::Replayed, "sequence " + std::to_string(inHeartbeat.sequence) + " was heard before from this incarnation");
	auto peer = this->peers.find(inHeartbeat.name);
	// While another incarnation of the same name is live, datagrams of an incarnation known before are late or replayed
	const bool is_new_incarnation = known == this->incarnations.end();
	const bool other_is_live = peer != this->peers.end() && peer->second.heartbeat.incarnation != inHeartbeat.incarnation &&
							   inNow - peer->second.heard < this->suspect_after;
	if (!is_new_incarnation && other_is_live)
		return FailFalse(EError::Replayed, "datagram of an earlier incarnation of " + inHeartbeat.name);
	if (is_new_incarnation)
	{
		this->incarnation_order.push_back(inHeartbeat.incarnation);
		if (this->incarnation_order.size() > cMaxIncarnations)
		{
			this->incarnations.erase(this->incarnation_order.front());
			this->incarnation_order.pop_front();
		}
	}
	this->incarnations[inHeartbeat.incarnation] = {inHeartbeat.sequence, inNow};
	for (const ZoneMember &member : inHeartbeat.zone_members)
	{
		LogOffset &offset = this->remote_offsets[member.name];
		offset = std::max(offset, member.next_offset);
	}
	std::string name = inHeartbeat.name;
	this->peers[std::move(name)] = {std::move(inHeartbeat), inNow};
	return true;
}

void PeerTracker::UpdateFromLog(const FleetState &inState, Millis inNow)
{
	for (const auto &[zone_name, position] : inState.zones_alive)
	{
		LogHeartbeat &heartbeat = this->log_heartbeats[zone_name];
		if (position <= heartbeat.position)
			continue;
		heartbeat = {position, inNow};
	}
}

bool PeerTracker::HasRecentLogHeartbeat(const std::string &inZone, Millis inNow) const
{
	auto heartbeat = this->log_heartbeats.find(inZone);
	return heartbeat != this->log_heartbeats.end() && inNow - heartbeat->second.heard < cLogHeartbeatTimeoutFactor * this->suspect_after;
}

const Peer *PeerTracker::Find(const std::string &inName) const
{
	auto found = this->peers.find(inName);
	return found == this->peers.end() ? nullptr : &found->second;
}

bool PeerTracker::IsLive(const std::string &inName, Millis inNow) const
{
	const Peer *peer = this->Find(inName);
	return peer != nullptr && inNow - peer->heard < this->suspect_after;
}

std::optional<Millis> PeerTracker::LastHeard(const std::string &inName) const
{
	const Peer *peer = this->Find(inName);
	return peer == nullptr ? std::nullopt : std::optional(peer->heard);
}

LogOffset PeerTracker::ReadOffset(const std::string &inName) const
{
	const Peer *peer = this->Find(inName);
	auto remote_offset = this->remote_offsets.find(inName);
	const LogOffset reported = remote_offset == this->remote_offsets.end() ? 0 : remote_offset->second;
	return std::max(reported, peer == nullptr ? 0 : peer->heartbeat.next_offset);
}

std::vector<ZoneMember> PeerTracker::ZoneMembers(Millis inNow) const
{
	std::vector<ZoneMember> members;
	for (const auto &[name, peer] : this->peers)
		if (peer.heartbeat.availability_zone == this->zone && inNow - peer.heard < this->suspect_after)
			members.push_back({name, peer.heartbeat.next_offset});
	return members;
}

std::optional<Millis> PeerTracker::IncarnationLastHeard(uint64 inIncarnation) const
{
	auto record = this->incarnations.find(inIncarnation);
	return record == this->incarnations.end() ? std::nullopt : std::optional(record->second.heard);
}

std::optional<Millis> PeerTracker::ZoneLastDatagram(const std::string &inZone) const
{
	std::optional<Millis> heard;
	for (const auto &[name, peer] : this->peers)
		if (peer.heartbeat.availability_zone == inZone && (!heard.has_value() || peer.heard > *heard))
			heard = peer.heard;
	return heard;
}

std::optional<Millis> PeerTracker::ZoneLastHeard(const std::string &inZone) const
{
	const std::optional<Millis> heard = this->ZoneLastDatagram(inZone);
	auto heartbeat = this->log_heartbeats.find(inZone);
	if (heartbeat != this->log_heartbeats.end() && (!heard.has_value() || heartbeat->second.heard > *heard))
		return heartbeat->second.heard;
	return heard;
}

const HeartbeatMessage *PeerTracker::LatestHeartbeatOf(const std::string &inZone, Millis inNow) const
{
	const Peer *latest = nullptr;
	for (const auto &[name, peer] : this->peers)
		if (peer.heartbeat.availability_zone == inZone && inNow - peer.heard < this->remote_suspect_after &&
			(latest == nullptr || peer.heard > latest->heard))
			latest = &peer;
	return latest == nullptr ? nullptr : &latest->heartbeat;
}

bool PeerTracker::IsConsideredLive(const Member &inMember, Millis inNow) const
{
	if (inMember.availability_zone == this->zone)
		return this->IsLive(inMember.name, inNow);
	return this->LatestHeartbeatOf(inMember.availability_zone, inNow) != nullptr;
}

bool PeerTracker::ZoneReachesPlatform(Millis inNow) const
{
	for (const auto &[name, peer] : this->peers)
		if (peer.heartbeat.availability_zone == this->zone && peer.heartbeat.reaches_platform && inNow - peer.heard < this->suspect_after)
			return true;
	return false;
}

PlannerAssignment::PlannerAssignment(const View &inView, const PeerTracker &inTracker, const std::string &inSelf,
									 bool inSelfReachesPlatform, bool inSelfStopping, Millis inNow)
	: self(inSelf)
{
	auto own = inView.members.find(inSelf);
	if (own == inView.members.end())
		return;
	this->self_zone = own->second.availability_zone;
	this->is_candidate = inSelfReachesPlatform && !inSelfStopping;
	std::set<std::string> eligible;
	std::set<std::string> heard = {this->self_zone};
	for (const auto &[name, member] : inView.members)
	{
		if (member.availability_zone != this->self_zone)
		{
			this->unresponsive_zones.insert(member.availability_zone);
			continue;
		}
		const bool is_self = name == inSelf;
		const Peer *peer = is_self || !inTracker.IsLive(name, inNow) ? nullptr : inTracker.Find(name);
		const bool reaches =
			is_self ? this->is_candidate : peer != nullptr && peer->heartbeat.reaches_platform && !peer->heartbeat.stopping;
		if (!reaches)
			continue;
		eligible.insert(this->self_zone);
		this->zone_members.push_back(name);
	}
	for (const std::string &zone : this->unresponsive_zones)
	{
		const HeartbeatMessage *latest = inTracker.LatestHeartbeatOf(zone, inNow);
		const bool by_log = inTracker.HasRecentLogHeartbeat(zone, inNow);
		if (latest != nullptr || by_log)
			heard.insert(zone);
		if (by_log || (latest != nullptr && latest->zone_reaches_platform))
			eligible.insert(zone);
	}
	for (const std::string &zone : heard)
		this->unresponsive_zones.erase(zone);
	this->zones.assign(eligible.begin(), eligible.end());
}

bool PlannerAssignment::IsAssignedInZone(std::string_view inKey, const std::string &inZone) const
{
	if (!this->is_candidate)
		return false;
	const bool zone_is_eligible = std::find(this->zones.begin(), this->zones.end(), inZone) != this->zones.end();
	const std::string_view zone = zone_is_eligible ? std::string_view(inZone) : RendezvousOwner(inKey, this->zones);
	return zone == this->self_zone && RendezvousOwner(inKey, this->zone_members) == this->self;
}

bool PlannerAssignment::IsAssigned(std::string_view inKey) const
{
	return this->IsAssignedInZone(inKey, std::string(RendezvousOwner(inKey, this->zones)));
}

} // namespace Loomreach
