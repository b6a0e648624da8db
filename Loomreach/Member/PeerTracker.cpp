// Liveness by heartbeats, and the choice of stewards.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Member/PeerTracker.h>

namespace Loomreach
{

static constexpr size_t cMaxIncarnations = 8192;
/// Words by the log are as far apart as a suspicion, so two may be missed before a zone counts as silent.
static constexpr Millis cLogBeatsToSuspect = 3;

bool PeerTracker::Hear(Digest inDigest, Millis inNow)
{
	auto known = this->sequences.find(inDigest.incarnation);
	if (known != this->sequences.end() && inDigest.sequence <= known->second.sequence)
		return FailFalse(EError::Replayed, "sequence " + std::to_string(inDigest.sequence) + " was heard before");
	auto peer = this->peers.find(inDigest.name);
	// While another incarnation of the same name is heard, datagrams of one that was heard before are late or replayed
	const bool is_new_incarnation = known == this->sequences.end();
	const bool other_lives = peer != this->peers.end() && peer->second.digest.incarnation != inDigest.incarnation &&
							 inNow - peer->second.heard < this->suspect_after;
	if (!is_new_incarnation && other_lives)
		return FailFalse(EError::Replayed, "an earlier incarnation of " + inDigest.name);
	if (is_new_incarnation)
	{
		this->sequence_order.push_back(inDigest.incarnation);
		if (this->sequence_order.size() > cMaxIncarnations)
		{
			this->sequences.erase(this->sequence_order.front());
			this->sequence_order.pop_front();
		}
	}
	this->sequences[inDigest.incarnation] = {inDigest.sequence, inNow};
	for (const ZoneMember &member : inDigest.zone_members)
	{
		LogOffset &offset = this->far_offsets[member.name];
		offset = std::max(offset, member.next_offset);
	}
	std::string name = inDigest.name;
	this->peers[std::move(name)] = {std::move(inDigest), inNow};
	return true;
}

void PeerTracker::HearLog(const FleetState &inState, Millis inNow)
{
	for (const auto &[zone_name, position] : inState.zones_alive)
	{
		LogBeat &beat = this->log_beats[zone_name];
		if (position <= beat.position)
			continue;
		beat = {position, inNow};
	}
}

bool PeerTracker::IsZoneAliveByLog(const std::string &inZone, Millis inNow) const
{
	auto beat = this->log_beats.find(inZone);
	return beat != this->log_beats.end() && inNow - beat->second.heard < cLogBeatsToSuspect * this->suspect_after;
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
	auto far_offset = this->far_offsets.find(inName);
	const LogOffset told = far_offset == this->far_offsets.end() ? 0 : far_offset->second;
	return std::max(told, peer == nullptr ? 0 : peer->digest.next_offset);
}

std::vector<ZoneMember> PeerTracker::ZoneMembers(Millis inNow) const
{
	std::vector<ZoneMember> members;
	for (const auto &[name, peer] : this->peers)
		if (peer.digest.availability_zone == this->zone && inNow - peer.heard < this->suspect_after)
			members.push_back({name, peer.digest.next_offset});
	return members;
}

std::optional<Millis> PeerTracker::IncarnationLastHeard(uint64 inIncarnation) const
{
	auto mark = this->sequences.find(inIncarnation);
	return mark == this->sequences.end() ? std::nullopt : std::optional(mark->second.heard);
}

std::optional<Millis> PeerTracker::ZoneLastDatagram(const std::string &inZone) const
{
	std::optional<Millis> heard;
	for (const auto &[name, peer] : this->peers)
		if (peer.digest.availability_zone == inZone && (!heard.has_value() || peer.heard > *heard))
			heard = peer.heard;
	return heard;
}

std::optional<Millis> PeerTracker::ZoneLastHeard(const std::string &inZone) const
{
	const std::optional<Millis> heard = this->ZoneLastDatagram(inZone);
	auto beat = this->log_beats.find(inZone);
	if (beat != this->log_beats.end() && (!heard.has_value() || beat->second.heard > *heard))
		return beat->second.heard;
	return heard;
}

const Digest *PeerTracker::LiveDigestOf(const std::string &inZone, Millis inNow) const
{
	const Peer *latest = nullptr;
	for (const auto &[name, peer] : this->peers)
		if (peer.digest.availability_zone == inZone && inNow - peer.heard < this->far_suspect_after &&
			(latest == nullptr || peer.heard > latest->heard))
			latest = &peer;
	return latest == nullptr ? nullptr : &latest->digest;
}

bool PeerTracker::IsHeard(const Member &inMember, Millis inNow) const
{
	if (inMember.availability_zone == this->zone)
		return this->IsLive(inMember.name, inNow);
	return this->LiveDigestOf(inMember.availability_zone, inNow) != nullptr;
}

bool PeerTracker::ZoneReachesPlatform(Millis inNow) const
{
	for (const auto &[name, peer] : this->peers)
		if (peer.digest.availability_zone == this->zone && peer.digest.reaches_platform && inNow - peer.heard < this->suspect_after)
			return true;
	return false;
}

StewardPicker::StewardPicker(const View &inView, const PeerTracker &inTracker, const std::string &inSelf, bool inSelfReachesPlatform,
							 bool inSelfStopping, Millis inNow)
	: self(inSelf)
{
	auto own = inView.members.find(inSelf);
	if (own == inView.members.end())
		return;
	this->self_zone = own->second.availability_zone;
	this->counts = inSelfReachesPlatform && !inSelfStopping;
	std::set<std::string> eligible;
	std::set<std::string> heard = {this->self_zone};
	for (const auto &[name, member] : inView.members)
	{
		if (member.availability_zone != this->self_zone)
		{
			this->silent_zones.insert(member.availability_zone);
			continue;
		}
		const bool is_self = name == inSelf;
		const Peer *peer = is_self || !inTracker.IsLive(name, inNow) ? nullptr : inTracker.Find(name);
		const bool reaches = is_self ? this->counts : peer != nullptr && peer->digest.reaches_platform && !peer->digest.stopping;
		if (!reaches)
			continue;
		eligible.insert(this->self_zone);
		this->zone_members.push_back(name);
	}
	for (const std::string &zone : this->silent_zones)
	{
		const Digest *digest = inTracker.LiveDigestOf(zone, inNow);
		const bool by_log = inTracker.IsZoneAliveByLog(zone, inNow);
		if (digest != nullptr || by_log)
			heard.insert(zone);
		if (by_log || (digest != nullptr && digest->zone_reaches_platform))
			eligible.insert(zone);
	}
	for (const std::string &zone : heard)
		this->silent_zones.erase(zone);
	this->zones.assign(eligible.begin(), eligible.end());
}

bool StewardPicker::IsMineIn(std::string_view inKey, const std::string &inZone) const
{
	if (!this->counts)
		return false;
	const bool zone_serves = std::find(this->zones.begin(), this->zones.end(), inZone) != this->zones.end();
	const std::string_view zone = zone_serves ? std::string_view(inZone) : RendezvousOwner(inKey, this->zones);
	return zone == this->self_zone && RendezvousOwner(inKey, this->zone_members) == this->self;
}

bool StewardPicker::IsMine(std::string_view inKey) const { return this->IsMineIn(inKey, std::string(RendezvousOwner(inKey, this->zones))); }

} // namespace Loomreach
